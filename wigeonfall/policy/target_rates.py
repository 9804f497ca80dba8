"""Request rates that targets accept, from all instances together.

A target in need names in its answers how many requests a second it accepts.
The limit holds until an answer names another one, or none.
"""

import math

import attrs

NOTABLE_CHANGE = 1.25  # factor between limits that are worth a log line


@attrs.define
class TargetRate:
    """The rate that a target accepts.

    Attributes:
        per_s: requests a second, of all instances.
        recorded_per_s: the limit that was recorded last.
    """

    per_s: float
    recorded_per_s: float


class TargetRates:
    """The rates that targets accept, by target."""

    def __init__(self) -> None:
        self._rates: dict[str, TargetRate] = {}

    def observe(self, name: str, per_s: float | None) -> bool:
        """Apply what an answer says of the limit of its target.

        Args:
            name: name of the target.
            per_s: requests a second that it accepts, None for no limit.

        Returns:
            Whether the limit began, ended or changed notably.
        """
        rate = self._rates.get(name)
        if per_s is None:
            return self._rates.pop(name, None) is not None
        if rate is None:
            self._rates[name] = TargetRate(per_s, per_s)
            return True
        rate.per_s = per_s
        low = rate.recorded_per_s / NOTABLE_CHANGE
        if low <= per_s <= rate.recorded_per_s * NOTABLE_CHANGE:
            return False
        rate.recorded_per_s = per_s
        return True

    def forget(self, name: str) -> None:
        """Drop the limit of a target that ended or started anew."""
        self._rates.pop(name, None)


def parse(value: bytes) -> float | None:
    """Return the requests a second that a target names, None if invalid."""
    try:
        per_s = float(value)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0 else None
