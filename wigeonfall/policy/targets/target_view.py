"""Which targets may get requests, by the store's entries and their age.

An entry whose lease expired while the store was unavailable does not mean that
its target is gone: the target is kept until the store has been back for a
while. An entry that is removed while the store works is dropped at once.

A store that was restored from an older copy has the entries of then. What
was known before stays in force until the targets have written again, or until
the entry of one that is gone would have expired.
"""

import attrs

from ...model.target import Target
from ...model.target import TargetState

RENEWAL_S = 2.0  # entries are renewed within about this time after an outage
EXPIRY_S = 5.0  # entries of silent targets are removed before this time
DEPARTED_KEPT_S = 60.0  # longer than the age of copies that are restored


@attrs.frozen
class MissingTarget:
    """A target whose entry is missing.

    Attributes:
        target: the target as last listed.
        missing_s: when the entry was found missing.
    """

    target: Target
    missing_s: float


@attrs.frozen
class OutdatedEntry:
    """An entry that a restored store has as it was before.

    Attributes:
        incarnation: newest known incarnation of its target.
        target: the target as it was known, None if it was gone.
        until_s: when the entry counts again.
    """

    incarnation: int
    target: Target | None
    until_s: float


class TargetView:
    """The targets that this instance knows."""

    def __init__(self) -> None:
        self._listed: dict[str, Target] = {}
        self._missing: dict[str, MissingTarget] = {}
        self._outdated: dict[str, OutdatedEntry] = {}
        self._departed: dict[str, MissingTarget] = {}
        self._unavailable = False
        self._recovered_s = float('-inf')
        self._era = 0

    def set_store_reachable(self, reachable: bool, now_s: float) -> None:
        """Set whether the store answers."""
        if reachable and self._unavailable:
            self._recovered_s = now_s
        self._unavailable = not reachable

    def update(
        self, targets: tuple[Target, ...], now_s: float, era: int = 0
    ) -> None:
        """Set the store's present list of targets.

        Args:
            targets: the targets by the entries in the store.
            now_s: present time on the monotonic clock.
            era: era of the store, 0 if unknown.
        """
        listed = {target.name: target for target in targets}
        if 0 < self._era < era:
            self._recovered_s = max(self._recovered_s, now_s)
            self._find_outdated(listed, now_s)
        self._era = max(self._era, era)
        keep_missing = (
            self._unavailable or now_s < self._recovered_s + RENEWAL_S
        )
        for name, target in self._in_force(now_s).items():
            if name in listed:
                continue
            if not keep_missing:
                self._departed[name] = MissingTarget(target, now_s)
            elif target.state is TargetState.READY:
                self._missing[name] = MissingTarget(target, now_s)
        self._forget_departed(now_s)
        for name in listed:
            self._missing.pop(name, None)
        for name, entry in tuple(self._outdated.items()):
            if name not in listed or _is_newer(listed[name], entry):
                del self._outdated[name]
        self._listed = listed

    def usable(self, now_s: float) -> tuple[Target, ...]:
        """Return the targets that may get requests."""
        in_force = self._in_force(now_s).values()
        ready = [t for t in in_force if t.state is TargetState.READY]
        if (
            self._missing
            and not self._unavailable
            and (now_s >= self._recovered_s + RENEWAL_S)
        ):
            self._missing.clear()
        listed_addresses = {target.address for target in in_force}
        ready.extend(
            missing.target
            for missing in self._missing.values()
            if missing.target.address not in listed_addresses
        )
        return tuple(ready)

    def _in_force(self, now_s: float) -> dict[str, Target]:
        """Return the listed targets, with what is known of outdated ones."""
        if not self._outdated:
            return self._listed
        targets = dict(self._listed)
        for name, entry in tuple(self._outdated.items()):
            if now_s >= entry.until_s:
                del self._outdated[name]
            elif entry.target is None:
                targets.pop(name, None)
            else:
                targets[name] = entry.target
        return targets

    def _find_outdated(self, listed: dict[str, Target], now_s: float) -> None:
        """Note the entries that are older than what is known of targets."""
        in_force = self._in_force(now_s)
        until_s = now_s + EXPIRY_S
        self._outdated = {}
        for name, target in listed.items():
            known = in_force.get(name)
            departed = self._departed.get(name)
            if known is not None:
                entry = OutdatedEntry(known.incarnation, known, until_s)
                gone = known.state is TargetState.LEAVING
            elif departed is not None:
                incarnation = departed.target.incarnation
                entry = OutdatedEntry(incarnation, None, until_s)
                gone = True
            else:
                continue
            same = target.incarnation == entry.incarnation
            if target.incarnation < entry.incarnation or (gone and same):
                self._outdated[name] = entry

    def _forget_departed(self, now_s: float) -> None:
        for name, departed in tuple(self._departed.items()):
            if now_s - departed.missing_s > DEPARTED_KEPT_S:
                del self._departed[name]


def _is_newer(target: Target, entry: OutdatedEntry) -> bool:
    return target.incarnation > entry.incarnation
