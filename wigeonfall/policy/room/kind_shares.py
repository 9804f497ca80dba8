"""Tracks which share of each kind's engine time a service serves.

Load pattern: an overload that lasts longer than callers wait. Ranks decide
who goes first and nothing limits them, so the kinds of the first rank take
all and those after it get what is left, which may be nothing. So each kind is
entitled to a floor, a part of the mean share over the kinds of the service:
below it, its requests go before those of kinds above theirs. Long prompts
often cannot be in time, and would get nothing while others can; so the large
requests of a kind have the same part of the share of their kind. What is not
asked for is lent to the others at once, as only what was asked for counts.
"""

from collections.abc import Iterator
import math

import attrs

DEFAULT_FLOOR = 0.8  # of the mean share served over the kinds
DECAY_S = 10.0  # work falls to 1/e in this time
LARGE_FACTOR = 1.5  # of the mean; the largest fifth or so exceed it
MEAN_GAIN = 0.02  # weight of a new request in the mean work of its kind
MIN_LOST_S = 0.05  # less lost work does not count as an overload


@attrs.define
class _Work:
    served_s: float = 0.0
    lost_s: float = 0.0


class KindShares:
    """Sums served and lost work by kind, with decay."""

    def __init__(self) -> None:
        self._work: dict[str, _Work] = {}
        self._large: dict[str, _Work] = {}
        self._mean_s: dict[str, float] = {}
        self._decayed_s = 0.0

    def count_served(self, kind: str, work_s: float) -> None:
        """Count a request that got a target.

        Args:
            kind: name of its kind.
            work_s: engine time that it needs.
        """
        for work in self._counts(kind, work_s):
            work.served_s += work_s

    def count_lost(self, kind: str, work_s: float) -> None:
        """Count a request that was refused."""
        for work in self._counts(kind, work_s):
            work.lost_s += work_s

    def count_returned(self, kind: str, work_s: float) -> None:
        """Count a caller as not lost, as it came back after its refusal."""
        for work in self._counts(kind, work_s):
            work.lost_s = max(0.0, work.lost_s - work_s)

    def count_asked(self, kind: str, work_s: float) -> None:
        """Count a new request in the mean work of its kind."""
        mean_s = self._mean_s.setdefault(kind, work_s)
        self._mean_s[kind] = mean_s + MEAN_GAIN * (work_s - mean_s)

    def is_large(self, kind: str, work_s: float) -> bool:
        """Return whether a request is among the largest of its kind."""
        return work_s > LARGE_FACTOR * self._mean_s.get(kind, work_s)

    def below_floor(self, floor: float, now_s: float) -> frozenset[str]:
        """Return the kinds that are served less than they are entitled to.

        Args:
            floor: entitlement of each kind, as a part of the mean share.
            now_s: present time on the monotonic clock.
        """
        self._decay(now_s)
        shares = {kind: _share(work) for kind, work in self._work.items()}
        if len(shares) < 2:
            return frozenset()
        least = floor * sum(shares.values()) / len(shares)
        return frozenset(k for k, share in shares.items() if share < least)

    def large_below_floor(self, floor: float) -> frozenset[str]:
        """Return the kinds whose large requests are served too seldom.

        Args:
            floor: their entitlement, as a part of the share of their kind.
        """
        return frozenset(
            kind
            for kind, work in self._large.items()
            if _share(work) < floor * _share(self._work[kind])
        )

    def _counts(self, kind: str, work_s: float) -> Iterator[_Work]:
        yield self._work.setdefault(kind, _Work())
        if self.is_large(kind, work_s):
            yield self._large.setdefault(kind, _Work())

    def _decay(self, now_s: float) -> None:
        kept = math.exp(-max(0.0, now_s - self._decayed_s) / DECAY_S)
        self._decayed_s = now_s
        for work in (*self._work.values(), *self._large.values()):
            work.served_s *= kept
            work.lost_s *= kept


def _share(work: _Work) -> float:
    if work.lost_s < MIN_LOST_S:
        return 1.0
    return work.served_s / (work.served_s + work.lost_s)
