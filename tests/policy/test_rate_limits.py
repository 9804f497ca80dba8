"""Tests of how a rate limit is divided between instances."""

import pytest

from wigeonfall.policy.room import rate_limits

LIMIT = rate_limits.RateLimit(40.0, 9.0)


@pytest.mark.parametrize(
    ('own_per_s', 'others_per_s', 'rate_per_s'),
    [(60, 20, 30), (1, 20, 20), (0, 0, 40), (0, 1000, 40 * 0.1 / 9)],
)
def test_rate(own_per_s, others_per_s, rate_per_s):
    """The rate follows demand above the limit, and spare capacity below."""
    allowed = rate_limits.instance_limit(
        LIMIT, own_per_s, others_per_s, 9, False
    )
    assert allowed.rate_per_s == pytest.approx(rate_per_s)


def test_burst():
    """The burst of an instance is at least one request."""
    few = rate_limits.RateLimit(40.0, 2.0)
    assert rate_limits.instance_limit(few, 1, 99, 9, False).burst_requests == 1
    assert (
        rate_limits.instance_limit(LIMIT, 9, 0, 9, False).burst_requests == 9
    )
