"""Tracks which share of each kind's engine time a service serves.

Load pattern: an overload that lasts longer than callers wait. Ranks decide
who goes first and nothing limits them, so the kinds of the first rank take
all and those after it get what is left, which may be nothing. So each kind is
entitled to a floor, a part of the mean share over the kinds of the service:
below it, its requests go before those of kinds above theirs. What a kind does
not ask for is lent to the others at once, as only what was asked for counts.
"""

import math

import attrs

DEFAULT_FLOOR = 0.8  # of the mean share served over the kinds
DECAY_S = 10.0  # work falls to 1/e in this time
MIN_LOST_S = 0.05  # less lost work does not count as an overload


@attrs.define
class _Work:
    served_s: float = 0.0
    lost_s: float = 0.0


class KindShares:
    """Sums served and lost work by kind, with decay."""

    def __init__(self) -> None:
        self._work: dict[str, _Work] = {}
        self._decayed_s = 0.0

    def count_served(self, kind: str, work_s: float) -> None:
        """Count a request that got a target.

        Args:
            kind: name of its kind.
            work_s: engine time that it needs.
        """
        self._work.setdefault(kind, _Work()).served_s += work_s

    def count_lost(self, kind: str, work_s: float) -> None:
        """Count a request that was refused."""
        self._work.setdefault(kind, _Work()).lost_s += work_s

    def count_returned(self, kind: str, work_s: float) -> None:
        """Count a caller as not lost, as it came back after its refusal."""
        work = self._work.setdefault(kind, _Work())
        work.lost_s = max(0.0, work.lost_s - work_s)

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

    def _decay(self, now_s: float) -> None:
        kept = math.exp(-max(0.0, now_s - self._decayed_s) / DECAY_S)
        self._decayed_s = now_s
        for work in self._work.values():
            work.served_s *= kept
            work.lost_s *= kept


def _share(work: _Work) -> float:
    if work.lost_s < MIN_LOST_S:
        return 1.0
    return work.served_s / (work.served_s + work.lost_s)
