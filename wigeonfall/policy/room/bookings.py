"""Recognises callers that were told to return, and keeps room for them.

Load pattern: callers that are refused in a burst return once, each with a new
request at any instance, into the load that is left of the burst. Among new
arrivals many are refused again and then lost. A caller is recognised by what
it sends anyway and by its deadline. Its goal is that of its first request, so
that it does not take the place of a caller that can be in time; and if it
comes at the time that it was told, it goes before all others that cannot.
"""

import heapq
import itertools
from typing import TypeAlias

import attrs

from .pending import PendingRequest

EARLY_S = 0.1  # before its time a caller may return
LAPSE_S = 0.5  # after its time; callers are punctual
FORGET_S = 5.0  # after its time; then the caller will not come
SAME_DEADLINE_SHARE = 0.5  # of the time since; routes may shorten the first
MAX_RETURNS = 4096  # remembered for one service

_Key: TypeAlias = int  # holds none of the bytes that callers send


@attrs.frozen
class Booking:
    """A caller that was told to return.

    Attributes:
        arrived_s: arrival of its first request, on the monotonic clock.
        deadline_s: deadline of that request.
        goal_s: goal of that request.
        due_s: time at which it was told to return.
        has_room: whether room is kept for it at that time.
    """

    arrived_s: float
    deadline_s: float
    goal_s: float
    due_s: float
    has_room: bool


class Bookings:
    """The callers of one service that were told to return."""

    def __init__(self) -> None:
        self._by_key: dict[_Key, list[Booking]] = {}
        self._by_time: list[tuple[float, int, _Key, Booking]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return sum(len(bookings) for bookings in self._by_key.values())

    def add(
        self, pending: PendingRequest, due_s: float, has_room: bool
    ) -> None:
        """Remember a caller that was told to return.

        Args:
            pending: its refused request.
            due_s: time that it was told, on the monotonic clock.
            has_room: whether room is kept for it then.
        """
        booking = Booking(
            pending.arrived_s,
            pending.deadline_s,
            pending.goal_s,
            due_s,
            has_room,
        )
        key = _key(pending)
        self._by_key.setdefault(key, []).append(booking)
        heapq.heappush(
            self._by_time,
            (due_s + FORGET_S, next(self._numbers), key, booking),
        )
        if len(self._by_time) > MAX_RETURNS:
            self._forget_first()

    def recognise(self, pending: PendingRequest) -> PendingRequest | None:
        """Return a new request with what is known of its caller.

        Returns:
            The request with the goal of its first one, or None if its caller
            was not told to return.
        """
        while self._by_time and self._by_time[0][0] < pending.arrived_s:
            self._forget_first()
        key = _key(pending)
        booking = min(
            (b for b in self._by_key.get(key, ()) if _is_same(b, pending)),
            key=lambda b: b.due_s,
            default=None,
        )
        if booking is None:
            return None
        self._remove(key, booking)
        early_s = booking.due_s - pending.arrived_s
        return attrs.evolve(
            pending,
            is_retry=True,
            goal_s=min(pending.goal_s, booking.goal_s),
            is_booked=booking.has_room and -LAPSE_S <= early_s <= EARLY_S,
        )

    def _forget_first(self) -> None:
        _, _, key, booking = heapq.heappop(self._by_time)
        if booking in self._by_key.get(key, ()):
            self._remove(key, booking)

    def _remove(self, key: _Key, booking: Booking) -> None:
        bookings = self._by_key[key]
        bookings.remove(booking)
        if not bookings:
            del self._by_key[key]


def _is_same(booking: Booking, pending: PendingRequest) -> bool:
    """Return whether a request may be of a caller that returns.

    Its deadline is about that of the first one; that of a new caller who
    sends the same is later by the time between the two.
    """
    elapsed_s = pending.arrived_s - booking.arrived_s
    later_s = abs(pending.deadline_s - booking.deadline_s)
    return later_s < SAME_DEADLINE_SHARE * elapsed_s


def _key(pending: PendingRequest) -> _Key:
    return hash((pending.kind, pending.customer, pending.size, pending.parts))
