"""Sequential tests of a new version against the old one.

Each criterion is a proportion: errors, failed checks, slow first tokens, slow
paces. An answer is slow above a multiple of the old version's 90th
percentile. The null hypothesis is that the new version's proportion is at
most that of the old version in the same window plus a tolerance.

Badness: likelihood ratios against three alternatives, restarted at each slot
while they speak for the null hypothesis (CUSUM). A verdict falls when a ratio
exceeds alternatives x slots x scopes x criteria x instances / false_alarm.
By Ville's inequality and the union bound a version within the tolerances is
then taken back with a probability of at most false_alarm, over all slots and
over all instances that test, as far as the old version's proportion is known.

Growth: a sequential probability ratio test against the least alternative,
begun anew at each step. Evidence suffices when its ratio falls below
false_growth.
"""

import enum
import math

import attrs

from ..model.rollout import Criteria
from . import outcome_counts

ALTERNATIVES = (0.05, 0.2, 0.6)
LARGEST_PROPORTION = 0.98
ALL_ROUTES = '*'
SLOT_S = 1.0
HALF_LIVES_S = (2.0, 10.0)
RECENT_TRIALS = 20.0
PRIOR_TRIALS = 10.0
TROUBLE_EXCESS = 0.02
LEAST_SAMPLES = 30
SLOW_QUANTILE = 0.9
DEVIATIONS = 2.0
SUSPICION_RATIO = 10_000.0
ROUTES_EXPECTED = 16
THIN_ROUTE_SHARE = 0.02


class Criterion(enum.Enum):
    """What is compared between versions."""

    ERRORS = 'errors'
    CHECKS = 'failed checks'
    FIRST_TOKEN = 'time to first token'
    PACE = 'time between tokens'

    @property
    def timed(self) -> bool:
        """Whether the criterion compares times."""
        return self in (Criterion.FIRST_TOKEN, Criterion.PACE)


@attrs.frozen
class Sample:
    """Trials of one proportion and how many of them were hits."""

    hits: float
    trials: float


@attrs.frozen
class Regression:
    """The finding that a version is bad.

    Attributes:
        route: route on which it showed, or "*" for all together.
        criterion: what was worse.
        proportion: proportion that was found.
        tolerated: proportion that would have been accepted.
    """

    route: str
    criterion: Criterion
    proportion: float
    tolerated: float

    def text(self) -> str:
        """Return the verdict as one sentence for people."""
        return (
            f'{self.criterion.value} on route {self.route}: '
            f'{self.proportion:.3f} where {self.tolerated:.3f} is tolerated'
        )


def log_ratio(sample: Sample, null: float, alternative: float) -> float:
    """Return the log likelihood ratio of an alternative to the null."""
    misses = sample.trials - sample.hits
    return sample.hits * math.log(alternative / null) + misses * math.log(
        (1 - alternative) / (1 - null)
    )


def _sum(first: Sample, second: Sample) -> Sample:
    return Sample(first.hits + second.hits, first.trials + second.trials)


def _faded(sample: Sample, factor: float) -> Sample:
    return Sample(sample.hits * factor, sample.trials * factor)


def _present(recent: Sample, usual: float) -> float:
    """Return the proportion to expect from recent outcomes.

    Few outcomes are drawn to the usual proportion. In times of trouble the
    upper bound counts, as the trouble's extent is known only roughly then.
    """
    hits = recent.hits + PRIOR_TRIALS * usual
    sample = Sample(hits, recent.trials + PRIOR_TRIALS)
    proportion = sample.hits / sample.trials
    if proportion > usual + TROUBLE_EXCESS:
        return upper_bound(sample)
    return proportion


def upper_bound(sample: Sample) -> float:
    """Return the upper end of the Wilson interval of a proportion."""
    if not sample.trials:
        return 1.0
    n, z = sample.trials, DEVIATIONS
    centre = sample.hits / n + z * z / (2 * n)
    spread = sample.hits * (n - sample.hits) / n**3 + (z / (2 * n)) ** 2
    return (centre + z * math.sqrt(spread)) / (1 + z * z / n)


def slow_bucket(histogram: dict[int, int], factor: float) -> int | None:
    """Return the last bucket that is not slow, or None without samples."""
    total = sum(histogram.values())
    if total < LEAST_SAMPLES:
        return None
    seen = 0
    steps = round(math.log2(factor) * outcome_counts.BUCKETS_PER_OCTAVE)
    for index in sorted(histogram):
        seen += histogram[index]
        if seen >= SLOW_QUANTILE * total:
            return index + steps
    return None


def sample_of(
    counts: outcome_counts.Counts, criterion: Criterion, edge: int
) -> Sample:
    """Return the sample of one criterion in counts."""
    if criterion is Criterion.ERRORS:
        return Sample(counts.errors, counts.requests)
    if criterion is Criterion.CHECKS:
        return Sample(counts.failed_checks, counts.checks)
    first = criterion is Criterion.FIRST_TOKEN
    histogram = counts.first_token if first else counts.pace
    slow = sum(n for index, n in histogram.items() if index > edge)
    return Sample(slow, sum(histogram.values()))


@attrs.define
class _Test:
    """The state of the tests of one criterion in one scope."""

    recent: list[Sample] = attrs.field(
        factory=lambda: [Sample(0, 0)] * len(HALF_LIVES_S)
    )
    recent_s: float = 0.0
    worst: float = 0.0
    slot: int = 0
    badness: list[float] = attrs.field(
        factory=lambda: [0.0] * len(ALTERNATIVES)
    )
    since_restart: Sample = Sample(0, 0)
    step: float = 0.0
    whole: float = 0.0
    null: float = 0.0

    def see_old(self, sample: Sample, long: Sample, now_s: float) -> None:
        """Take in outcomes of the old version."""
        age_s = now_s - self.recent_s
        self.recent_s = now_s
        usual = long.hits / long.trials if long.trials else 0.0
        present = 0.0
        for index, half_life_s in enumerate(HALF_LIVES_S):
            faded = _faded(self.recent[index], 0.5 ** (age_s / half_life_s))
            recent = _sum(faded, sample)
            self.recent[index] = recent
            present = max(present, _present(recent, usual))
        if self.recent[-1].trials >= RECENT_TRIALS:
            self.worst = max(self.worst, present)
        else:
            present = self.worst
        self.null = max(upper_bound(long), present)

    def see_new(self, sample: Sample, tolerance: float, now_s: float) -> None:
        """Take in outcomes of the new version."""
        null = min(self.null + tolerance, LARGEST_PROPORTION - 0.01)
        slot = int(now_s / SLOT_S)
        if slot != self.slot:
            self._restart(slot)
        for index, excess in enumerate(ALTERNATIVES):
            alternative = min(null + excess, LARGEST_PROPORTION)
            self.badness[index] += log_ratio(sample, null, alternative)
        least = log_ratio(
            sample, null, min(null + ALTERNATIVES[0], LARGEST_PROPORTION)
        )
        self.step += least
        self.whole += least
        self.since_restart = _sum(self.since_restart, sample)

    def _restart(self, slot: int) -> None:
        self.slot = slot
        self.badness = [max(0.0, score) for score in self.badness]
        if not any(self.badness):
            self.since_restart = Sample(0, 0)


class VersionComparison:
    """The running tests of one rollout at one instance."""

    def __init__(
        self, criteria: Criteria, duration_s: float, instances: int
    ) -> None:
        self._criteria = criteria
        comparisons = (
            max(1.0, duration_s / SLOT_S)
            * (ROUTES_EXPECTED + 1)
            * len(Criterion)
            * len(ALTERNATIVES)
            * max(1, instances)
        )
        self._threshold = math.log(comparisons / criteria.false_alarm)
        self._suspicion = min(self._threshold, math.log(SUSPICION_RATIO))
        self._old: dict[str, outcome_counts.Counts] = {}
        self._tests: dict[tuple[str, Criterion], _Test] = {}

    def add(
        self,
        old: dict[str, outcome_counts.Counts],
        new: dict[str, outcome_counts.Counts],
        now_s: float,
        suspicious: bool = False,
    ) -> Regression | None:
        """Take in new outcomes per route.

        Args:
            old: outcomes of the old version since the last call.
            new: outcomes of the new version since the last call.
            now_s: present time on the monotonic clock.
            suspicious: whether a suspicion is enough for a verdict.

        Returns:
            The verdict if the new version is found to be bad.
        """
        for route, counts in old.items():
            for scope in (route, ALL_ROUTES):
                known = self._old.setdefault(scope, outcome_counts.Counts())
                outcome_counts.add(known, counts)
        found = None
        for scope in sorted({*old, *new, ALL_ROUTES}):
            old_part = _part(old, scope)
            new_part = _part(new, scope)
            for criterion in Criterion:
                verdict = self._test(
                    scope,
                    criterion,
                    old_part,
                    new_part,
                    now_s,
                    suspicious,
                )
                found = found or verdict
        return found

    def _test(
        self,
        scope: str,
        criterion: Criterion,
        old: outcome_counts.Counts,
        new: outcome_counts.Counts,
        now_s: float,
        suspicious: bool,
    ) -> Regression | None:
        edge, baseline = self._baseline(scope, criterion)
        if edge is None:
            return None
        long = sample_of(baseline, criterion, edge)
        if long.trials < LEAST_SAMPLES:
            return None
        test = self._tests.setdefault((scope, criterion), _Test())
        test.see_old(sample_of(old, criterion, edge), long, now_s)
        timed = criterion.timed
        tolerance = (
            self._criteria.slow_tolerance
            if timed
            else self._criteria.error_tolerance
        )
        test.see_new(sample_of(new, criterion, edge), tolerance, now_s)
        threshold = self._suspicion if suspicious else self._threshold
        if max(test.badness) < threshold:
            return None
        found = test.since_restart
        return Regression(
            scope,
            criterion,
            found.hits / max(1, found.trials),
            test.null + tolerance,
        )

    def _baseline(
        self, scope: str, criterion: Criterion
    ) -> tuple[int | None, outcome_counts.Counts]:
        """Return the slow bucket and the old version's counts for a scope."""
        baseline = self._old.get(scope, outcome_counts.Counts())
        if not criterion.timed:
            # A route without enough old traffic is held to the whole.
            if sample_of(baseline, criterion, 0).trials < LEAST_SAMPLES:
                baseline = self._old.get(ALL_ROUTES, outcome_counts.Counts())
            return 0, baseline
        first = criterion is Criterion.FIRST_TOKEN
        histogram = baseline.first_token if first else baseline.pace
        return slow_bucket(histogram, self._criteria.slow_factor), baseline

    def restart(self) -> None:
        """Begin the search for badness anew."""
        for test in self._tests.values():
            test.badness = [0.0] * len(ALTERNATIVES)
            test.since_restart = Sample(0, 0)

    def start_step(self) -> None:
        """Begin the evidence for growth anew."""
        for test in self._tests.values():
            test.step = 0.0

    def step_has_evidence(self) -> bool:
        """Return whether the evidence of this step speaks for growth."""
        return self._suffices(ALL_ROUTES, whole=False)

    def routes_lacking_evidence(self) -> tuple[str, ...]:
        """Return the routes in steady use without enough evidence."""
        everything = self._old.get(
            ALL_ROUTES, outcome_counts.Counts()
        ).requests
        return tuple(
            route
            for route, counts in sorted(self._old.items())
            if route != ALL_ROUTES
            and counts.requests >= THIN_ROUTE_SHARE * everything
            and not self._suffices(route, whole=True)
        )

    def _suffices(self, scope: str, whole: bool) -> bool:
        least = math.log(self._criteria.false_growth)
        tests = [
            test for (route, _), test in self._tests.items() if route == scope
        ]
        return bool(tests) and all(
            (test.whole if whole else test.step) <= least for test in tests
        )

    def has_baseline(self) -> bool:
        """Return whether the old version is known well enough."""
        seen = self._old.get(ALL_ROUTES, outcome_counts.Counts())
        return seen.requests >= LEAST_SAMPLES


def _part(
    counts: dict[str, outcome_counts.Counts], scope: str
) -> outcome_counts.Counts:
    if scope != ALL_ROUTES:
        return counts.get(scope, outcome_counts.Counts())
    total = outcome_counts.Counts()
    for part in counts.values():
        outcome_counts.add(total, part)
    return total
