"""Which targets may get new work, by the store's entries and their age.

An entry that vanished because its lease ran out while the store was away is
not the end of its target: it is kept until the store has been back for a
while. An entry that vanished while the store was well is gone at once.
"""

import attrs

from ..model.target import Target
from ..model.target import TargetState

RETURN_S = 2.0  # entries are back about this long after the store


@attrs.frozen
class Kept:
    """A target whose entry is missing.

    Attributes:
        target: the target as last listed.
        missing_s: time at which the entry was found missing.
    """

    target: Target
    missing_s: float


class TargetView:
    """The targets that this instance knows of."""

    def __init__(self) -> None:
        self._listed: dict[str, Target] = {}
        self._kept: dict[str, Kept] = {}
        self._away = False
        self._back_s = float('-inf')

    def set_store_reachable(self, reachable: bool, now_s: float) -> None:
        """Note whether the store answers."""
        if reachable and self._away:
            self._back_s = now_s
        self._away = not reachable

    def update(self, targets: tuple[Target, ...], now_s: float) -> None:
        """Take the store's present list of targets."""
        listed = {target.name: target for target in targets}
        lapsed = self._away or now_s < self._back_s + RETURN_S
        for name, target in self._listed.items():
            if name not in listed and lapsed:
                if target.state is TargetState.READY:
                    self._kept[name] = Kept(target, now_s)
        for name in listed:
            self._kept.pop(name, None)
        self._listed = listed

    def usable(self, now_s: float) -> tuple[Target, ...]:
        """Return the targets that may get new work."""
        ready = [
            target
            for target in self._listed.values()
            if target.state is TargetState.READY
        ]
        if (
            self._kept
            and not self._away
            and (now_s >= self._back_s + RETURN_S)
        ):
            self._kept.clear()
        taken = {target.address for target in self._listed.values()}
        ready.extend(
            kept.target
            for kept in self._kept.values()
            if kept.target.address not in taken
        )
        return tuple(ready)
