"""Rate limits of customers, divided between instances by demand."""

import math

import attrs

DEMAND_TIME_CONSTANT_S = 2.0
SETTLING_S = 1.0
MAX_SETTLING_SHARES = 2.0
MIN_SHARE_FRACTION = 0.1


@attrs.define
class Demand:
    """A request rate, averaged with exponential decay.

    Attributes:
        per_s: rate as of the last update.
        updated_s: time of the last update.
    """

    per_s: float = 0.0
    updated_s: float = 0.0

    def rate_per_s(self, now_s: float) -> float:
        """Return the rate decayed to the present."""
        idle_s = max(0.0, now_s - self.updated_s)
        return self.per_s * math.exp(-idle_s / DEMAND_TIME_CONSTANT_S)

    def add(self, requests: float, now_s: float) -> None:
        """Add requests that arrive now."""
        self.per_s = self.rate_per_s(now_s) + requests / DEMAND_TIME_CONSTANT_S
        self.updated_s = now_s


@attrs.frozen
class RateLimit:
    """A rate limit with its burst size.

    Attributes:
        rate_per_s: sustained requests per second.
        burst_requests: requests that may arrive at once.
    """

    rate_per_s: float
    burst_requests: float


def instance_limit(
    limit: RateLimit,
    own_per_s: float,
    others_per_s: float,
    instances: int,
    settling: bool,
) -> RateLimit:
    """Return one instance's part of a limit over all instances.

    If the total demand exceeds the limit, it is divided in proportion to
    demand. Otherwise an instance may use all that the others do not.

    Args:
        limit: the limit over all instances.
        own_per_s: demand at this instance.
        others_per_s: demand reported by the other instances.
        instances: number of instances that may be serving.
        settling: whether reports may not include recent demand yet; the rate
            is then at most MAX_SETTLING_SHARES equal parts.
    """
    count = max(1, instances)
    total_per_s = own_per_s + others_per_s
    fraction = own_per_s / total_per_s if total_per_s > 0 else 1 / count
    if total_per_s > limit.rate_per_s:
        rate_per_s = limit.rate_per_s * fraction
    else:
        rate_per_s = limit.rate_per_s - others_per_s
    if settling:
        settling_per_s = limit.rate_per_s * MAX_SETTLING_SHARES / count
        rate_per_s = min(rate_per_s, settling_per_s)
    min_per_s = limit.rate_per_s * MIN_SHARE_FRACTION / count
    burst_fraction = max(fraction, 1 / math.sqrt(count))
    if settling:
        burst_fraction = 1 / math.sqrt(count)
    return RateLimit(
        max(rate_per_s, min_per_s),
        max(1.0, limit.burst_requests * burst_fraction),
    )


class TokenBucket:
    """A token bucket whose rate and size may change between calls."""

    def __init__(self, now_s: float) -> None:
        self._tokens = math.inf
        self._updated_s = now_s

    def take(self, cost: float, allowed: RateLimit, now_s: float) -> float:
        """Take the tokens of a request, or none if there are too few.

        Args:
            cost: tokens of the request.
            allowed: the present rate and size.
            now_s: present time.

        Returns:
            0 if the request is admitted, else the seconds until it could be.
        """
        self._refill(allowed, now_s)
        if self._tokens >= min(cost, allowed.burst_requests):
            self._tokens -= cost
            return 0.0
        return (cost - self._tokens) / allowed.rate_per_s

    def is_full(self, allowed: RateLimit, now_s: float) -> bool:
        """Return whether the bucket is full, so that it can be dropped."""
        self._refill(allowed, now_s)
        return self._tokens >= allowed.burst_requests

    def _refill(self, allowed: RateLimit, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        tokens = self._tokens + elapsed_s * allowed.rate_per_s
        self._tokens = min(allowed.burst_requests, tokens)
