"""Limits how often requests of a service are resent to another target.

Load pattern: all targets of a service fail at once. Resends by all instances
together must not multiply the load.
"""

import collections

import attrs

WINDOW_S = 10.0  # unless the settings say otherwise
USED_SHARE = 0.85  # requests are counted at the instance they reach


@attrs.frozen
class ResendLimits:
    """The published limits on resends.

    Attributes:
        ratio: resends per request in a window.
        slack: further resends of all instances in a window.
        window_s: length of the window.
    """

    ratio: float
    slack: float
    window_s: float = WINDOW_S


class ResendBudget:
    """Counts requests and resends of one service at one instance."""

    def __init__(self) -> None:
        self._requests: collections.deque[float] = collections.deque()
        self._resends: collections.deque[float] = collections.deque()

    def requested(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now_s)

    def take(self, limits: ResendLimits, instances: int, now_s: float) -> bool:
        """Count one resend, or return False if the budget is used up.

        Args:
            limits: the published limits.
            instances: number of instances that share the slack.
            now_s: present time on the monotonic clock.
        """
        self._drop(limits.window_s, now_s)
        allowed = USED_SHARE * (
            limits.ratio * len(self._requests)
            + limits.slack / max(1, instances)
        )
        if len(self._resends) + 1 > allowed:
            return False
        self._resends.append(now_s)
        return True

    def _drop(self, window_s: float, now_s: float) -> None:
        for times in (self._requests, self._resends):
            while times and times[0] < now_s - window_s:
                times.popleft()
