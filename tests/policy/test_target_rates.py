"""Tests of the request rates that targets accept."""

import pytest

from wigeonfall.policy.targets import target_rates
from wigeonfall.policy.targets.target_rates import TargetRates


@pytest.mark.parametrize(
    ('value', 'per_s'),
    [
        (b'7.5', 7.5),
        (b' 2 ', 2.0),
        (b'0', 0.0),
        (b'', None),
        (b'-1', None),
        (b'nan', None),
        (b'inf', None),
        (b'many', None),
    ],
)
def test_only_numbers_from_zero_on_are_limits(value, per_s):
    assert target_rates.parse(value) == per_s


def test_limits_are_recorded_when_they_begin_end_or_change_notably():
    rates = TargetRates()
    assert not rates.observe('t', None, 0.0)
    assert rates.observe('t', 4.0, 0.0)
    assert not rates.observe('t', 4.5, 0.0)
    assert rates.observe('t', 8.0, 0.0)
    assert rates.observe('t', None, 0.0)
    assert not rates.observe('t', None, 0.0)
