"""Tests of the sequential comparison of two versions."""

import random

import pytest

from wigeonfall.model.rollout import Criteria
from wigeonfall.model.rollout import Outcome
from wigeonfall.policy.versions import outcome_counts
from wigeonfall.policy.versions import version_comparison

OLD_ERRORS = 0.01


def _counts(rng, number, errors, slowness=1.0, check_failures=0.0):
    counts = outcome_counts.Counts()
    for _ in range(number):
        ok = rng.random() >= errors
        first_s = 0.4 * rng.lognormvariate(0, 0.5) * slowness
        check = rng.random() >= check_failures
        outcome_counts.count(
            counts, Outcome(ok, first_s if ok else None, None, check)
        )
    return counts


def _find_regression(seed, seconds=120, burst=0.0, route='a', **new):
    """Send each version 20 requests/s; return the regression and its time."""
    rng = random.Random(seed)
    comparison = version_comparison.VersionComparison(Criteria(), 600, 9)
    for second in range(seconds):
        errors = burst if 70 <= second < 80 else OLD_ERRORS
        old = {r: _counts(rng, 10, errors) for r in 'ab'}
        fresh = {r: _counts(rng, 10, errors) for r in 'ab'}
        if second >= 60 and new:
            fresh[route] = _counts(rng, 10, **{'errors': OLD_ERRORS, **new})
        found = comparison.add(old, fresh, float(second))
        if found is not None:
            return found, second
    return None, seconds


@pytest.mark.parametrize(
    ('new', 'criterion'),
    (
        ({'errors': 0.4}, version_comparison.Criterion.ERRORS),
        ({'slowness': 2.5}, version_comparison.Criterion.FIRST_TOKEN),
        ({'check_failures': 0.4}, version_comparison.Criterion.CHECKS),
    ),
)
def test_late_regression_on_one_route_is_found(new, criterion):
    """A minute of good outcomes does not mask a later regression."""
    for seed in range(5):
        found, second = _find_regression(seed, **new)
        assert found is not None and found.criterion is criterion
        assert found.route in ('a', version_comparison.ALL_ROUTES)
        assert 60 <= second <= 75


def test_equal_versions_have_no_regression():
    """This also holds for a burst of errors on both versions."""
    assert not any(_find_regression(seed)[0] for seed in range(10))
    assert not any(_find_regression(seed, burst=0.25)[0] for seed in range(10))


def test_growth_needs_evidence_of_the_same_step():
    """The evidence for growth is collected anew in each step."""
    rng = random.Random(1)
    comparison = version_comparison.VersionComparison(Criteria(), 600, 3)
    old = {'a': _counts(rng, 500, OLD_ERRORS)}
    comparison.add(old, {'a': _counts(rng, 20, OLD_ERRORS)}, 1.0)
    assert not comparison.step_has_evidence()
    comparison.add({}, {'a': _counts(rng, 300, OLD_ERRORS)}, 2.0)
    assert comparison.step_has_evidence()
    assert comparison.routes_lacking_evidence() == ()
    comparison.start_step()
    assert not comparison.step_has_evidence()


def test_route_without_new_traffic_lacks_evidence():
    """A route in steady use that the new version never served is listed."""
    rng = random.Random(1)
    comparison = version_comparison.VersionComparison(Criteria(), 600, 3)
    old = {r: _counts(rng, 200, OLD_ERRORS) for r in 'ab'}
    comparison.add(old, {'a': _counts(rng, 300, OLD_ERRORS)}, 1.0)
    assert comparison.routes_lacking_evidence() == ('b',)
