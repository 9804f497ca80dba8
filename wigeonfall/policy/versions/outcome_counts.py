"""Grow-only counts of request outcomes that instances exchange.

Each instance counts the outcomes that it observed, per rollout, version and
route. The counts of one incarnation only grow, so the larger of two is the
newer one, and late or repeated messages are harmless.
"""

import bisect

import attrs

from ...model.rollout import Outcome

BUCKETS_PER_OCTAVE = 4
OCTAVES = 18
MIN_TIME_S = 0.0005
BUCKET_BOUNDS_S = tuple(
    MIN_TIME_S * 2 ** (index / BUCKETS_PER_OCTAVE)
    for index in range(OCTAVES * BUCKETS_PER_OCTAVE)
)
MAX_INCARNATIONS = 2


@attrs.frozen(order=True)
class CountsKey:
    """The rollout, version and route that counts belong to.

    Attributes:
        rollout: identifier of the rollout.
        version: version that the requests were sent to.
        route: name of the route.
    """

    rollout: str
    version: str
    route: str


@attrs.define
class Counts:
    """Counts of outcomes; every value only grows.

    Attributes:
        requests: requests with a known outcome.
        errors: requests without a complete answer.
        checks: answers that were checked.
        failed_checks: answers that failed their check.
        first_token: answers per bucket of the time to the first token.
        pace: answers per bucket of the time between tokens.
    """

    requests: int = 0
    errors: int = 0
    checks: int = 0
    failed_checks: int = 0
    first_token: dict[int, int] = attrs.field(factory=dict)
    pace: dict[int, int] = attrs.field(factory=dict)


_SCALARS = ('requests', 'errors', 'checks', 'failed_checks')
_HISTOGRAMS = ('first_token', 'pace')


def bucket(time_s: float) -> int:
    """Return the index of the histogram bucket that a time falls into."""
    return bisect.bisect_left(BUCKET_BOUNDS_S, time_s)


def count(counts: Counts, outcome: Outcome) -> None:
    """Add one outcome to counts."""
    counts.requests += 1
    counts.errors += not outcome.ok
    if outcome.check_ok is not None:
        counts.checks += 1
        counts.failed_checks += not outcome.check_ok
    if outcome.first_token_s is not None:
        _add(counts.first_token, bucket(outcome.first_token_s), 1)
    if outcome.pace_s is not None:
        _add(counts.pace, bucket(outcome.pace_s), 1)


def _add(histogram: dict[int, int], index: int, number: int) -> None:
    histogram[index] = histogram.get(index, 0) + number


def add(total: Counts, part: Counts) -> None:
    """Add counts to a total."""
    for name in _SCALARS:
        setattr(total, name, getattr(total, name) + getattr(part, name))
    for name in _HISTOGRAMS:
        for index, number in getattr(part, name).items():
            _add(getattr(total, name), index, number)


def merge_newer(known: Counts, received: Counts) -> Counts:
    """Raise known counts to the received ones where those are larger.

    Returns:
        The increase of each count.
    """
    new = Counts()
    for name in _SCALARS:
        growth = max(0, getattr(received, name) - getattr(known, name))
        setattr(new, name, growth)
    for name in _HISTOGRAMS:
        before = getattr(known, name)
        for index, number in getattr(received, name).items():
            if number > before.get(index, 0):
                getattr(new, name)[index] = number - before.get(index, 0)
    add(known, new)
    return new


@attrs.frozen
class InstanceCounts:
    """All counts of one incarnation of an instance.

    Attributes:
        instance: name of the instance.
        incarnation: start time in milliseconds.
        counts: counts by rollout, version and route.
    """

    instance: str
    incarnation: int
    counts: dict[CountsKey, Counts]


class OutcomeCounts:
    """The counts of this instance and those received from others."""

    def __init__(self, instance: str, incarnation: int) -> None:
        self._own = InstanceCounts(instance, incarnation, {})
        self._reports: dict[str, dict[int, InstanceCounts]] = {
            instance: {incarnation: self._own}
        }
        self._pending: dict[CountsKey, Counts] = {}

    def observe(self, key: CountsKey, outcome: Outcome) -> None:
        """Count an outcome that this instance observed."""
        count(self._own.counts.setdefault(key, Counts()), outcome)
        count(self._pending.setdefault(key, Counts()), outcome)

    def merge(self, report: InstanceCounts) -> None:
        """Merge a report, which may be old or a repetition."""
        incarnations = self._reports.setdefault(report.instance, {})
        if len(incarnations) >= MAX_INCARNATIONS:
            oldest = min(incarnations)
            if report.incarnation < oldest:
                return
            if report.incarnation not in incarnations:
                del incarnations[oldest]
        known = incarnations.setdefault(
            report.incarnation,
            InstanceCounts(report.instance, report.incarnation, {}),
        )
        for key, received in report.counts.items():
            new = merge_newer(known.counts.setdefault(key, Counts()), received)
            if new.requests:
                add(self._pending.setdefault(key, Counts()), new)

    def take_new(self) -> dict[CountsKey, Counts]:
        """Return the increase of all counts since the last call."""
        pending = self._pending
        self._pending = {}
        return pending

    def keep_only(self, rollouts: frozenset[str]) -> None:
        """Drop the counts of all rollouts but the given ones."""
        for incarnations in self._reports.values():
            for report in incarnations.values():
                for key in tuple(report.counts):
                    if key.rollout not in rollouts:
                        del report.counts[key]

    def reports(self) -> tuple[InstanceCounts, ...]:
        """Return all reports with counts, this instance's own first."""
        own = (self._own,)
        others = tuple(
            report
            for incarnations in self._reports.values()
            for report in incarnations.values()
            if report is not self._own and report.counts
        )
        return own + others
