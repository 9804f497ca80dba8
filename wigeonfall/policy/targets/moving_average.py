"""Moving averages that are combined with those of peers."""

from collections.abc import Iterable
import math

import attrs

DECAY_S = 4.0  # weights fall to 1/e in this time
MAX_WEIGHT = 12.0  # of earlier observations against a new one


@attrs.define
class MovingAverage:
    """An average that decays exponentially over time.

    Attributes:
        value: the average.
        weight: decayed number of observations in it.
        updated_s: time of the last observation, on the monotonic clock.
    """

    value: float = 0.0
    weight: float = 0.0
    updated_s: float = 0.0

    def observe(self, value: float, now_s: float) -> None:
        """Add an observation."""
        old_weight = min(MAX_WEIGHT, self.weight_at(now_s))
        self.weight = old_weight + 1.0
        self.value += (value - self.value) / self.weight
        self.updated_s = now_s

    def weight_at(self, now_s: float) -> float:
        """Return the decayed weight as of now."""
        if not self.weight:
            return 0.0
        age_s = max(0.0, now_s - self.updated_s)
        return self.weight * math.exp(-age_s / DECAY_S)


@attrs.frozen
class PeerAverage:
    """The moving average of a peer.

    Attributes:
        value: the average.
        weight: decayed number of observations in it.
    """

    value: float
    weight: float


def combined(
    own: MovingAverage, peers: Iterable[PeerAverage], now_s: float
) -> float:
    """Return the average over all instances, 0 if nothing is known.

    Args:
        own: average of this instance.
        peers: averages of its peers.
        now_s: present time on the monotonic clock.
    """
    weight = own.weight_at(now_s)
    total = own.value * weight
    for average in peers:
        weight += average.weight
        total += average.value * average.weight
    if weight > 1e-9:
        return total / weight
    return own.value
