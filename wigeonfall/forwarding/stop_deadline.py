"""Ends the calls of an instance in time for its stop.

What a process does not answer before it is killed is cut off. So calls have
to end before that, with an answer of their own where their target gave none,
and a call that would take longer than is left is not sent to a target. Those
that may not be repeated keep a larger margin than the others.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib

KEPT_TIMES = 32  # newest times of answers, by route
ONCE_QUANTILE = 0.9  # of those of calls that may not be repeated
REPEATABLE_QUANTILE = 0.5


class AnswerTimes:
    """How long answers on each route took lately."""

    def __init__(self) -> None:
        self._times_s: dict[str, collections.deque[float]] = {}

    def record(self, route: str, time_s: float) -> None:
        """Record the time from sending a request to the end of its answer."""
        kept_s = self._times_s.setdefault(
            route, collections.deque(maxlen=KEPT_TIMES)
        )
        kept_s.append(time_s)

    def expected_s(self, route: str, repeatable: bool, goal_s: float) -> float:
        """Return the time that a request needs at a target.

        Args:
            route: name of the route.
            repeatable: whether the request may be repeated.
            goal_s: time for an answer, if none is known yet.
        """
        times_s = sorted(self._times_s.get(route, ()))
        if not times_s:
            return goal_s
        quantile = REPEATABLE_QUANTILE if repeatable else ONCE_QUANTILE
        return times_s[int(quantile * (len(times_s) - 1))]


class StopDeadline:
    """The time by which all calls have to end.

    Attributes:
        stop_s: the time on the monotonic clock, infinite before a stop.
    """

    def __init__(self) -> None:
        self.stop_s = float('inf')
        self._limits: dict[asyncio.Timeout, tuple[float, float]] = {}

    def set(self, stop_s: float) -> None:
        """Set the time; it holds for calls in progress as well."""
        self.stop_s = stop_s
        for limit, (until_s, reserve_s) in self._limits.items():
            if not limit.expired():
                limit.reschedule(self._end_s(until_s, reserve_s))

    def allows(self, needed_s: float, now_s: float) -> bool:
        """Return whether there is time left for what takes so long."""
        return now_s + needed_s <= self.stop_s

    @contextlib.asynccontextmanager
    async def limit(
        self, until_s: float, reserve_s: float = 0.0
    ) -> AsyncIterator[None]:
        """Raise TimeoutError in what lasts longer than until a time.

        Args:
            until_s: time on the monotonic clock.
            reserve_s: how long before a stop it has to end.
        """
        async with asyncio.timeout_at(
            self._end_s(until_s, reserve_s)
        ) as limit:
            self._limits[limit] = (until_s, reserve_s)
            try:
                yield
            finally:
                del self._limits[limit]

    def _end_s(self, until_s: float, reserve_s: float) -> float | None:
        end_s = min(until_s, self.stop_s - reserve_s)
        return None if end_s == float('inf') else end_s
