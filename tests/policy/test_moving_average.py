"""Tests of moving averages and their combination over instances."""

import pytest

from wigeonfall.policy.targets import moving_average
from wigeonfall.policy.targets.moving_average import MovingAverage
from wigeonfall.policy.targets.moving_average import PeerAverage


def test_a_change_shows_within_a_few_observations():
    average = MovingAverage()
    for n in range(50):
        average.observe(1.0, n * 0.1)
    for n in range(20):
        average.observe(5.0, 5 + n * 0.1)
    assert average.value > 3.5


def test_peers_with_more_recent_observations_count_more():
    own = MovingAverage()
    own.observe(1.0, 0.0)
    peers = [PeerAverage(3.0, 3.0)]
    assert moving_average.combined(own, peers, 0.0) == pytest.approx(2.5)
    assert moving_average.combined(own, peers, 60.0) == pytest.approx(
        3.0, rel=0.01
    )


def test_average_without_observations_is_zero():
    assert moving_average.combined(MovingAverage(), [], 0.0) == 0.0
