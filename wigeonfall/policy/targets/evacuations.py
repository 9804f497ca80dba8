"""Which data centres are evacuated, also after the store was restored.

Load pattern: operators empty a data centre for minutes and take it back, also
two at once. A store that was restored from an older copy lacks the newest
entries. They carry no count of their own, so what was known stays in force
until its operator has written again, or for a limited time. An entry that the
copy still has is in force until it is removed again.
"""

from collections.abc import Iterable

from ..versions.restored_orders import REWRITE_S


class Evacuations:
    """The evacuated data centres, over the eras of the store."""

    def __init__(self) -> None:
        self._era = 0
        self._stored: frozenset[str] = frozenset()
        self._lost: frozenset[str] = frozenset()
        self._lost_until_s = float('-inf')

    def update(
        self, stored: Iterable[str], now_s: float, era: int = 0
    ) -> None:
        """Set the data centres that the store has entries of.

        Args:
            stored: names of the data centres.
            now_s: present time on the monotonic clock.
            era: era of the store, 0 if unknown.
        """
        before = self.in_force(now_s)
        self._stored = frozenset(stored)
        if 0 < self._era < era:
            self._lost = before
            self._lost_until_s = now_s + REWRITE_S
        self._era = max(self._era, era)
        # What was written again is lifted at once by its removal.
        self._lost -= self._stored

    def in_force(self, now_s: float) -> frozenset[str]:
        """Return the names of the evacuated data centres."""
        if now_s >= self._lost_until_s:
            self._lost = frozenset()
        return self._stored | self._lost
