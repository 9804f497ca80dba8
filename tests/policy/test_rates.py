"""Tests of the learned prefill and decode speeds."""

import hypothesis
from hypothesis import strategies
import pytest

from wigeonfall.policy.targets import rates


def test_average_follows_a_changed_speed():
    """Six samples bring it within a tenth of the new speed."""
    average = rates.Average(1.0).with_sample(0.001, 1.0, 0.0)
    for n in range(6):
        average = average.with_sample(0.006, 1.0, n)
    assert average.at(rates.PoolAverage(0.001, 0.001), 5.0) == pytest.approx(
        0.006, rel=0.1
    )


def test_average_decays_to_the_mean_over_targets():
    """One half-life without samples halves the difference."""
    average = rates.Average(0.0).with_sample(0.008, 1.0, 0.0)
    pool = rates.pool_average([average, rates.Average(0.5)], 1.0)
    assert pool == rates.PoolAverage(0.008, 0.008)
    pool = rates.PoolAverage(0.002, 0.001)
    assert average.at(pool, rates.HALF_LIFE_S) == pytest.approx(0.005)
    assert rates.Average(0.008).at(pool, 0.0) < pool.min_s
    assert rates.pool_average([], 1.0) == rates.PoolAverage(1.0, 1.0)


@hypothesis.given(
    strategies.lists(strategies.tuples(
        strategies.floats(1e-5, 1.0), strategies.floats(0, 1),
        strategies.floats(0, 100),
    ), min_size=1),
    strategies.floats(1e-5, 1.0),
)  # fmt: skip
def test_average_stays_within_its_samples(samples, mean_s):
    """No sequence of samples and pauses leaves the range of the samples."""
    average = rates.Average(mean_s)
    now_s = 0.0
    seen = [mean_s]
    for token_s, weight, pause_s in samples:
        now_s += pause_s
        seen.append(token_s)
        average = average.with_sample(token_s, weight, now_s)
        lowest, highest = min(seen), max(seen)
        at_s = average.at(rates.PoolAverage(mean_s, mean_s), now_s + pause_s)
        assert lowest * 0.999 <= at_s <= highest * 1.001


def test_small_prompts_have_little_weight():
    """The fixed cost of a short prompt does not make an engine look slow."""
    known = rates.Rates().after_prefill(4096, 0.5, 0.0)
    after = known.after_prefill(8, 0.02, 1.0)
    assert after.prefill.token_s < 1.2 * known.prefill.token_s
    assert known.after_prefill(0, 1.0, 1.0) == known
