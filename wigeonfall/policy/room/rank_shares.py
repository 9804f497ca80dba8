"""Tracks which share of each rank's requests a service serves.

Load pattern: an overload that lasts longer than callers wait. Short requests
of the last rank go first, as they hardly take room; long ones of the first
rank follow, and the ranks between get nothing. So a rank goes before more
urgent ones only while these are served at least as often.
"""

from collections.abc import Mapping
import math

import attrs

DECAY_S = 5.0  # counts fall to 1/e in this time
TOLERANCE = 0.04  # difference of two shares that counts as none
MIN_LOST = 0.5  # fewer lost requests do not count as an overload


@attrs.define
class _Counts:
    served: float = 0.0
    lost: float = 0.0


class RankShares:
    """Counts served and lost requests by rank, with decay."""

    def __init__(self) -> None:
        self._counts: dict[int, _Counts] = {}
        self._decayed_s = 0.0

    def count_served(self, rank: int) -> None:
        """Count a request that got a target."""
        self._counts.setdefault(rank, _Counts()).served += 1.0

    def count_lost(self, rank: int) -> None:
        """Count a request that was refused."""
        self._counts.setdefault(rank, _Counts()).lost += 1.0

    def count_returned(self, rank: int) -> None:
        """Count a caller as not lost, as it came back after its refusal."""
        counts = self._counts.setdefault(rank, _Counts())
        counts.lost = max(0.0, counts.lost - 1.0)

    def held_back(
        self, late: Mapping[int, int], now_s: float
    ) -> frozenset[int]:
        """Return the ranks that must not go before more urgent ones.

        Args:
            late: waiting requests that missed their goal, by rank; they count
                as lost until they are served.
            now_s: present time on the monotonic clock.
        """
        self._decay(now_s)
        held = set()
        least = 1.0
        for rank in sorted(self._counts.keys() | late.keys()):
            share = self._share(rank, late.get(rank, 0))
            if share > least + TOLERANCE:
                held.add(rank)
            least = min(least, share)
        return frozenset(held)

    def _share(self, rank: int, late: int) -> float:
        counts = self._counts.get(rank, _Counts())
        lost = counts.lost + late
        if lost < MIN_LOST:
            return 1.0
        return counts.served / (counts.served + lost)

    def _decay(self, now_s: float) -> None:
        kept = math.exp(-max(0.0, now_s - self._decayed_s) / DECAY_S)
        self._decayed_s = now_s
        for counts in self._counts.values():
            counts.served *= kept
            counts.lost *= kept
