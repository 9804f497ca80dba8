"""Compares how fast two versions answer, by counts that instances add up.

Load pattern: a new version answers several times slower, but its targets begin
their answers as soon as the old ones. Targets differ in speed by themselves,
and each answer in length, so the mean of the logarithms over all targets is
compared, of the time between events or of a whole answer without events.
Prompts do not count, as the caches of new targets are empty.
"""

import math

import attrs

UNITS = 100  # in which a logarithm is counted, as counts are whole numbers
MIN_NEW_TIMES = 8
MIN_OLD_TIMES = 20
DOUBTFUL_FACTOR = 2.0  # times slower; unlike targets rarely account for it
SLOW_FACTOR = 2.5
# All requests load the targets of the new version more than a share did.
MOVED_SLOW_FACTOR = 3.0
CERTAINTY = 2.0  # standard errors, if times vary by a factor of e


@attrs.frozen
class Times:
    """Times of the answers of one version.

    Attributes:
        count: number of times.
        log_units: sum of their logarithms, in UNITS of log milliseconds.
    """

    count: int
    log_units: int

    @property
    def mean_log(self) -> float:
        """Mean of their logarithms."""
        return self.log_units / UNITS / max(1, self.count)


def log_units(time_s: float) -> int:
    """Return the logarithm of a time as a whole number."""
    return round(UNITS * math.log(max(1.0, time_s * 1000)))


def slowdown(new: Times, old: Times) -> float:
    """Return how many times slower the new version is, 0 if unknown."""
    if not new.count or not old.count:
        return 0.0
    return math.exp(new.mean_log - old.mean_log)


def is_slower(new: Times, old: Times, moved: bool) -> bool:
    """Return whether the new version is several times slower.

    Args:
        new: times of the new version.
        old: times of the old one.
        moved: whether the new version gets all requests.
    """
    if new.count < MIN_NEW_TIMES or old.count < MIN_OLD_TIMES:
        return False
    factor = MOVED_SLOW_FACTOR if moved else SLOW_FACTOR
    limit = factor * math.exp(CERTAINTY / math.sqrt(new.count))
    return slowdown(new, old) > limit


def is_doubtful(new: Times, old: Times) -> bool:
    """Return whether more answers are needed before all requests move."""
    if new.count < MIN_NEW_TIMES or old.count < MIN_OLD_TIMES:
        return False
    return slowdown(new, old) > DOUBTFUL_FACTOR
