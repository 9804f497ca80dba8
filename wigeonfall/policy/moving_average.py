"""Averages that weigh recent observations more, and join those of peers."""

from collections.abc import Iterable
import math

import attrs

DECAY_S = 4.0  # observations older than this count little
MAX_WEIGHT = 12.0  # observations that a new one is weighed against


@attrs.define
class MovingAverage:
    """An average that this instance learns.

    Attributes:
        value: the average.
        weight: recent observations in it.
        updated_s: time of the last one, on the monotonic clock.
    """

    value: float = 0.0
    weight: float = 0.0
    updated_s: float = 0.0

    def observe(self, value: float, now_s: float) -> None:
        """Take an observation."""
        before = min(MAX_WEIGHT, self.weight_at(now_s))
        self.weight = before + 1.0
        self.value += (value - self.value) / self.weight
        self.updated_s = now_s

    def weight_at(self, now_s: float) -> float:
        """Return the weight as of now."""
        if not self.weight:
            return 0.0
        age_s = max(0.0, now_s - self.updated_s)
        return self.weight * math.exp(-age_s / DECAY_S)


@attrs.frozen
class PeerAverage:
    """An average that a peer learned.

    Attributes:
        value: the average.
        weight: recent observations in it.
    """

    value: float
    weight: float


def combined(
    own: MovingAverage, said: Iterable[PeerAverage], now_s: float
) -> float:
    """Return the average over all instances, 0 if nothing is known.

    Args:
        own: what this instance learned.
        said: what its peers learned.
        now_s: present time on the monotonic clock.
    """
    weight = own.weight_at(now_s)
    total = own.value * weight
    for item in said:
        weight += item.weight
        total += item.value * item.weight
    if weight > 1e-9:
        return total / weight
    return own.value
