"""Bounds how often requests of a service are sent to a second target.

Load pattern: all targets of a service fail at once. Resends must not multiply
the load, summed over all instances.
"""

import collections

import attrs

WINDOW_S = 10.0  # length of the published window
USED_SHARE = 0.85  # requests are counted where they arrive


@attrs.frozen
class ResendLimits:
    """The published bounds on resends.

    Attributes:
        ratio: resends for each request in a window.
        slack: resends of the whole fleet in a window above the ratio.
    """

    ratio: float
    slack: float


class ResendBudget:
    """Requests and resends of one service at this instance."""

    def __init__(self) -> None:
        self._requests: collections.deque[float] = collections.deque()
        self._resends: collections.deque[float] = collections.deque()

    def requested(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now_s)
        self._drop(now_s)

    def take(self, limits: ResendLimits, instances: int, now_s: float) -> bool:
        """Take one resend, if the budget holds one.

        Args:
            limits: the published bounds.
            instances: instances that share the slack.
            now_s: present time on the monotonic clock.
        """
        self._drop(now_s)
        allowed = USED_SHARE * (
            limits.ratio * len(self._requests)
            + limits.slack / max(1, instances)
        )
        if len(self._resends) + 1 > allowed:
            return False
        self._resends.append(now_s)
        return True

    def _drop(self, now_s: float) -> None:
        for times in (self._requests, self._resends):
            while times and times[0] < now_s - WINDOW_S:
                times.popleft()
