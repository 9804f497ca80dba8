"""Sequential hypothesis tests of a new version against the old one.

Each criterion is a proportion: errors, failed checks, slow first tokens, slow
token intervals. An answer is slow above a multiple of the old version's 90th
percentile. The null hypothesis is that the new version's proportion is at
most that of the old version in the same window plus a tolerance.

Regressions: likelihood ratios against three alternatives, reset at each slot
while they favour the null hypothesis (CUSUM). A regression is reported when a
ratio exceeds
alternatives x slots x scopes x criteria x instances / false_alarm.
By Ville's inequality and the union bound, a version within the tolerances is
then rolled back with a probability of at most false_alarm, over all slots and
all testing instances, as far as the old version's proportion is known.

Growth: a sequential probability ratio test against the smallest alternative,
restarted at each step. The evidence is sufficient when the ratio falls below
false_growth.
"""

import enum
import math

import attrs

from ...model.rollout import Criteria
from . import outcome_counts

ALTERNATIVES = (0.05, 0.2, 0.6)
MAX_PROPORTION = 0.98
ALL_ROUTES = '*'
SLOT_S = 1.0
HALF_LIVES_S = (2.0, 10.0)
MIN_RECENT_TRIALS = 20.0
PRIOR_TRIALS = 10.0
INCIDENT_EXCESS = 0.02
MIN_SAMPLES = 30
SLOW_QUANTILE = 0.9
WILSON_Z = 2.0
SUSPICION_RATIO = 10_000.0
ROUTES_EXPECTED = 16
MIN_ROUTE_SHARE = 0.02


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
    """Number of trials and of hits among them."""

    hits: float
    trials: float


@attrs.frozen
class Regression:
    """The finding that the new version is worse than tolerated.

    Attributes:
        route: route on which it was found, or "*" for all together.
        criterion: criterion that was exceeded.
        proportion: observed proportion.
        tolerated: largest proportion that is accepted.
    """

    route: str
    criterion: Criterion
    proportion: float
    tolerated: float

    def text(self) -> str:
        """Return the finding as one sentence for operators."""
        return (
            f'{self.criterion.value} on route {self.route}: '
            f'{self.proportion:.3f} where {self.tolerated:.3f} is tolerated'
        )


def log_ratio(sample: Sample, null: float, alternative: float) -> float:
    """Return the log likelihood ratio of the alternative to the null."""
    misses = sample.trials - sample.hits
    return sample.hits * math.log(alternative / null) + misses * math.log(
        (1 - alternative) / (1 - null)
    )


def _sum(first: Sample, second: Sample) -> Sample:
    return Sample(first.hits + second.hits, first.trials + second.trials)


def _decayed(sample: Sample, factor: float) -> Sample:
    return Sample(sample.hits * factor, sample.trials * factor)


def _expected_proportion(recent: Sample, usual: float) -> float:
    """Return the proportion expected from recent outcomes.

    With few outcomes it is shrunk towards the usual proportion. During an
    incident, an excess above INCIDENT_EXCESS, it is the upper confidence
    bound, since the size of the incident is known only roughly.
    """
    hits = recent.hits + PRIOR_TRIALS * usual
    sample = Sample(hits, recent.trials + PRIOR_TRIALS)
    proportion = sample.hits / sample.trials
    if proportion > usual + INCIDENT_EXCESS:
        return upper_bound(sample)
    return proportion


def upper_bound(sample: Sample) -> float:
    """Return the upper bound of the Wilson interval of a proportion."""
    if not sample.trials:
        return 1.0
    n, z = sample.trials, WILSON_Z
    centre = sample.hits / n + z * z / (2 * n)
    spread = sample.hits * (n - sample.hits) / n**3 + (z / (2 * n)) ** 2
    return (centre + z * math.sqrt(spread)) / (1 + z * z / n)


def slow_threshold_bucket(
    histogram: dict[int, int], factor: float
) -> int | None:
    """Return the last bucket that is not slow, None with too few samples."""
    total = sum(histogram.values())
    if total < MIN_SAMPLES:
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
    """Return the sample of one criterion; edge is the last bucket not slow."""
    if criterion is Criterion.ERRORS:
        return Sample(counts.errors, counts.requests)
    if criterion is Criterion.CHECKS:
        return Sample(counts.failed_checks, counts.checks)
    first = criterion is Criterion.FIRST_TOKEN
    histogram = counts.first_token if first else counts.pace
    slow = sum(n for index, n in histogram.items() if index > edge)
    return Sample(slow, sum(histogram.values()))


@attrs.define
class _ScopeTest:
    """The state of the tests of one criterion on one route or on all."""

    recent: list[Sample] = attrs.field(
        factory=lambda: [Sample(0, 0)] * len(HALF_LIVES_S)
    )
    recent_s: float = 0.0
    worst_proportion: float = 0.0
    slot: int = 0
    regression_scores: list[float] = attrs.field(
        factory=lambda: [0.0] * len(ALTERNATIVES)
    )
    since_restart: Sample = Sample(0, 0)
    step_score: float = 0.0
    total_score: float = 0.0
    null: float = 0.0

    def add_old(self, sample: Sample, long: Sample, now_s: float) -> None:
        """Add outcomes of the old version and update the null proportion."""
        age_s = now_s - self.recent_s
        self.recent_s = now_s
        usual = long.hits / long.trials if long.trials else 0.0
        present = 0.0
        for index, half_life_s in enumerate(HALF_LIVES_S):
            decayed = _decayed(
                self.recent[index], 0.5 ** (age_s / half_life_s)
            )
            recent = _sum(decayed, sample)
            self.recent[index] = recent
            present = max(present, _expected_proportion(recent, usual))
        if self.recent[-1].trials >= MIN_RECENT_TRIALS:
            self.worst_proportion = max(self.worst_proportion, present)
        else:
            present = self.worst_proportion
        self.null = max(upper_bound(long), present)

    def add_new(self, sample: Sample, tolerance: float, now_s: float) -> None:
        """Add outcomes of the new version to the scores."""
        null = min(self.null + tolerance, MAX_PROPORTION - 0.01)
        slot = int(now_s / SLOT_S)
        if slot != self.slot:
            self._start_slot(slot)
        for index, excess in enumerate(ALTERNATIVES):
            alternative = min(null + excess, MAX_PROPORTION)
            self.regression_scores[index] += log_ratio(
                sample, null, alternative
            )
        log_likelihood = log_ratio(
            sample, null, min(null + ALTERNATIVES[0], MAX_PROPORTION)
        )
        self.step_score += log_likelihood
        self.total_score += log_likelihood
        self.since_restart = _sum(self.since_restart, sample)

    def _start_slot(self, slot: int) -> None:
        self.slot = slot
        self.regression_scores = [
            max(0.0, score) for score in self.regression_scores
        ]
        if not any(self.regression_scores):
            self.since_restart = Sample(0, 0)


class VersionComparison:
    """The sequential tests of one rollout at one instance."""

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
        self._suspicion_threshold = min(
            self._threshold, math.log(SUSPICION_RATIO)
        )
        self._old: dict[str, outcome_counts.Counts] = {}
        self._tests: dict[tuple[str, Criterion], _ScopeTest] = {}

    def add(
        self,
        old: dict[str, outcome_counts.Counts],
        new: dict[str, outcome_counts.Counts],
        now_s: float,
        suspicious: bool = False,
    ) -> Regression | None:
        """Add new outcomes by route and test for a regression.

        Args:
            old: outcomes of the old version since the last call.
            new: outcomes of the new version since the last call.
            now_s: present time on the monotonic clock.
            suspicious: whether the lower threshold of a suspicion applies.

        Returns:
            The regression if the new version is found to be worse.
        """
        for route, counts in old.items():
            for scope in (route, ALL_ROUTES):
                known = self._old.setdefault(scope, outcome_counts.Counts())
                outcome_counts.add(known, counts)
        found = None
        for scope in sorted({*old, *new, ALL_ROUTES}):
            old_part = _counts_of(old, scope)
            new_part = _counts_of(new, scope)
            for criterion in Criterion:
                regression = self._test(
                    scope,
                    criterion,
                    old_part,
                    new_part,
                    now_s,
                    suspicious,
                )
                found = found or regression
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
        if long.trials < MIN_SAMPLES:
            return None
        test = self._tests.setdefault((scope, criterion), _ScopeTest())
        test.add_old(sample_of(old, criterion, edge), long, now_s)
        timed = criterion.timed
        tolerance = (
            self._criteria.slow_tolerance
            if timed
            else self._criteria.error_tolerance
        )
        test.add_new(sample_of(new, criterion, edge), tolerance, now_s)
        threshold = (
            self._suspicion_threshold if suspicious else self._threshold
        )
        if max(test.regression_scores) < threshold:
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
        """Return the last bucket not slow and the old counts for a scope."""
        baseline = self._old.get(scope, outcome_counts.Counts())
        if not criterion.timed:
            # A route with too little old traffic is compared with all routes.
            if sample_of(baseline, criterion, 0).trials < MIN_SAMPLES:
                baseline = self._old.get(ALL_ROUTES, outcome_counts.Counts())
            return 0, baseline
        first = criterion is Criterion.FIRST_TOKEN
        histogram = baseline.first_token if first else baseline.pace
        return slow_threshold_bucket(
            histogram, self._criteria.slow_factor
        ), baseline

    def restart(self) -> None:
        """Reset the scores of regressions."""
        for test in self._tests.values():
            test.regression_scores = [0.0] * len(ALTERNATIVES)
            test.since_restart = Sample(0, 0)

    def start_step(self) -> None:
        """Reset the evidence for growth at the start of a step."""
        for test in self._tests.values():
            test.step_score = 0.0

    def step_has_evidence(self) -> bool:
        """Return whether the evidence of this step allows growth."""
        return self._has_evidence(ALL_ROUTES, total=False)

    def routes_lacking_evidence(self) -> tuple[str, ...]:
        """Return the routes in steady use that lack evidence."""
        all_requests = self._old.get(
            ALL_ROUTES, outcome_counts.Counts()
        ).requests
        return tuple(
            route
            for route, counts in sorted(self._old.items())
            if route != ALL_ROUTES
            and counts.requests >= MIN_ROUTE_SHARE * all_requests
            and not self._has_evidence(route, total=True)
        )

    def _has_evidence(self, scope: str, total: bool) -> bool:
        threshold = math.log(self._criteria.false_growth)
        tests = [
            test for (route, _), test in self._tests.items() if route == scope
        ]
        return bool(tests) and all(
            (test.total_score if total else test.step_score) <= threshold
            for test in tests
        )

    def has_baseline(self) -> bool:
        """Return whether there are enough samples of the old version."""
        seen = self._old.get(ALL_ROUTES, outcome_counts.Counts())
        return seen.requests >= MIN_SAMPLES


def _counts_of(
    counts: dict[str, outcome_counts.Counts], scope: str
) -> outcome_counts.Counts:
    if scope != ALL_ROUTES:
        return counts.get(scope, outcome_counts.Counts())
    total = outcome_counts.Counts()
    for part in counts.values():
        outcome_counts.add(total, part)
    return total
