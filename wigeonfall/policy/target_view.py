"""Which targets may get requests, by the store's entries and their age.

An entry whose lease expired while the store was unavailable does not mean that
its target is gone: the target is kept until the store has been back for a
while. An entry that is removed while the store works is dropped at once.
"""

import attrs

from ..model.target import Target
from ..model.target import TargetState

RENEWAL_S = 2.0  # entries are renewed within about this time after an outage


@attrs.frozen
class MissingTarget:
    """A target whose entry is missing.

    Attributes:
        target: the target as last listed.
        missing_s: when the entry was found missing.
    """

    target: Target
    missing_s: float


class TargetView:
    """The targets that this instance knows."""

    def __init__(self) -> None:
        self._listed: dict[str, Target] = {}
        self._missing: dict[str, MissingTarget] = {}
        self._unavailable = False
        self._recovered_s = float('-inf')

    def set_store_reachable(self, reachable: bool, now_s: float) -> None:
        """Set whether the store answers."""
        if reachable and self._unavailable:
            self._recovered_s = now_s
        self._unavailable = not reachable

    def update(self, targets: tuple[Target, ...], now_s: float) -> None:
        """Set the store's present list of targets."""
        listed = {target.name: target for target in targets}
        keep_missing = (
            self._unavailable or now_s < self._recovered_s + RENEWAL_S
        )
        for name, target in self._listed.items():
            if name not in listed and keep_missing:
                if target.state is TargetState.READY:
                    self._missing[name] = MissingTarget(target, now_s)
        for name in listed:
            self._missing.pop(name, None)
        self._listed = listed

    def usable(self, now_s: float) -> tuple[Target, ...]:
        """Return the targets that may get requests."""
        ready = [
            target
            for target in self._listed.values()
            if target.state is TargetState.READY
        ]
        if (
            self._missing
            and not self._unavailable
            and (now_s >= self._recovered_s + RENEWAL_S)
        ):
            self._missing.clear()
        listed_addresses = {target.address for target in self._listed.values()}
        ready.extend(
            missing.target
            for missing in self._missing.values()
            if missing.target.address not in listed_addresses
        )
        return tuple(ready)
