"""Tests of the shortest and mean times over targets."""

import hypothesis
from hypothesis import strategies
import pytest

from tests.policy.test_load_balancer import make_balancer
from wigeonfall.policy.room.best_times import BestTimes
from wigeonfall.policy.room.best_times import mean_work
from wigeonfall.policy.targets.target_stats import RequestSize

TARGETS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.01, 2.0), strategies.integers(0, 50_000)
    ),
    min_size=1,
    max_size=12,
)


def estimates_of(targets):
    names = [f't{n}' for n in range(len(targets))]
    balancer = make_balancer(*names)
    for name, (first_s, queued) in zip(names, targets, strict=True):
        balancer.record_first_event(name, 0, first_s, 0.0)
        balancer.request_sent(name, RequestSize(queued))
    return balancer.estimates(names, 0.0)


@hypothesis.given(TARGETS, strategies.integers(0, 100_000))
def test_shortest_time_is_that_of_the_best_target(targets, tokens):
    estimates = estimates_of(targets)
    size = RequestSize(tokens)
    best_s = min(e.first_s(size) for e in estimates)
    assert BestTimes(estimates).first_s(size) == pytest.approx(best_s)


def test_unknown_targets_do_not_count_beside_known_ones():
    balancer = make_balancer('known', 'new')
    balancer.record_first_event('known', 0, 0.5, 0.0)
    estimates = balancer.estimates(('known', 'new'), 0.0)
    size = RequestSize()
    assert BestTimes(estimates).first_s(size) == pytest.approx(0.5)
    assert mean_work(estimates).of(size) == pytest.approx(0.5)
    assert BestTimes(estimates[1:]).first_s(size) == 0.0
