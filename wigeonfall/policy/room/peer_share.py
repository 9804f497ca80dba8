"""Divides free slots among instances that place requests by themselves.

Load pattern: requests wait at several instances, which learn of each other's
queues late. If each filled all free slots, targets would get too many at once.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from ..targets.target_stats import TargetEstimate

PERIOD_S = 0.05  # in which peers exchange their state


class PeerShare:
    """The slots that one instance may fill beside its peers.

    Args:
        draw: returns random numbers from 0 to 1.

    Attributes:
        freed_slots: slots that requests of this instance have freed.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        self.freed_slots = 0
        self._draw = draw
        self._drawn_s = 0.0
        self._drawn_slots = 0

    def draw(
        self,
        own_waiting: Mapping[int, int],
        estimates: Iterable[TargetEstimate],
        peers_waiting: Mapping[int, int],
        now_s: float,
    ) -> None:
        """Draw the number of slots to fill in the next period.

        Args:
            own_waiting: waiting requests by priority class, at least one.
            estimates: targets that may get requests.
            peers_waiting: waiting requests of all peers by priority class.
            now_s: present time on the monotonic clock.
        """
        if now_s - self._drawn_s < PERIOD_S:
            return
        self._drawn_s = now_s
        first = min(own_waiting)
        own = own_waiting[first]
        ahead = sum(n for c, n in peers_waiting.items() if c < first)
        same = peers_waiting.get(first, 0)
        free = sum(max(0, int(e.free_slots)) for e in estimates) - ahead
        share = max(0.0, free * own / max(1, own + same))
        self._drawn_slots = int(share) + (self._draw() < share - int(share))

    def allows(self, own: int, peers_waiting: Mapping[int, int]) -> bool:
        """Return whether a request of a priority class may be dispatched."""
        competing = sum(n for c, n in peers_waiting.items() if c <= own)
        if not competing:
            return True
        ahead = any(n for c, n in peers_waiting.items() if c < own)
        return self._drawn_slots > 0 or (self.freed_slots > 0 and not ahead)

    def count_dispatch(self, peers_waiting: Mapping[int, int]) -> None:
        """Count a request that was dispatched."""
        if not any(peers_waiting.values()):
            return
        if self.freed_slots:
            self.freed_slots -= 1
        elif self._drawn_slots:
            self._drawn_slots -= 1
