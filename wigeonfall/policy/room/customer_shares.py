"""Tracks how much engine time each customer of a rank has used.

Load pattern: one customer sends many times its usual load while room is
scarce. In order of arrival it gets room in proportion to what it sends, and
all others are late with it. So each is entitled to a part of the engine time
that its rank gets, in proportion to its rate. One that has used more goes
after the others of the same class; nothing is withheld from it while they do
not ask.
"""

from collections.abc import Callable
from collections.abc import Collection
import math
from typing import TypeAlias

DECAY_S = 5.0  # used time falls to 1/e in this time
TOLERANCE = 0.1  # of an entitlement
MIN_USED_S = 0.5  # less engine time says nothing of customers

Holder: TypeAlias = tuple[int, str]  # rank and name of a customer


class CustomerShares:
    """Sums the engine time of customers by rank, with decay."""

    def __init__(self) -> None:
        self._used_s: dict[Holder, float] = {}
        self._decayed_s = 0.0

    def count_served(self, rank: int, customer: str, work_s: float) -> None:
        """Count a request that got a target.

        Args:
            rank: its priority.
            customer: name of its customer.
            work_s: engine time that it needs.
        """
        holder = rank, customer
        self._used_s[holder] = self._used_s.get(holder, 0.0) + work_s

    def over(
        self,
        waiting: Collection[Holder],
        rate_of: Callable[[str], float],
        now_s: float,
    ) -> frozenset[Holder]:
        """Return the customers that have used more than their part.

        Args:
            waiting: the customers whose requests wait. Only they and those
                that used engine time lately have a part.
            rate_of: returns the rate of a customer, 0 if it is unknown;
                then it is left out.
            now_s: present time on the monotonic clock.
        """
        self._decay(now_s)
        rates = {
            holder: rate_of(holder[1])
            for holder in self._used_s.keys() | set(waiting)
        }
        over: set[Holder] = set()
        for rank in {rank for rank, _ in rates}:
            members = [h for h, r in rates.items() if h[0] == rank and r > 0]
            used_s = sum(self._used_s.get(h, 0.0) for h in members)
            if used_s < MIN_USED_S:
                continue
            part_s = used_s / sum(rates[h] for h in members)
            over.update(
                h
                for h in members
                if self._used_s.get(h, 0.0)
                > (1.0 + TOLERANCE) * part_s * rates[h]
            )
        return frozenset(over)

    def _decay(self, now_s: float) -> None:
        kept = math.exp(-max(0.0, now_s - self._decayed_s) / DECAY_S)
        self._decayed_s = now_s
        self._used_s = {
            holder: used_s * kept
            for holder, used_s in self._used_s.items()
            if used_s * kept > 1e-3
        }
