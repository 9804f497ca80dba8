"""Tests of pauses that double with each failure."""

import pathlib
import re

from hypothesis import given
from hypothesis import strategies as st
import pytest

import wigeonfall
from wigeonfall.model.target import Target
from wigeonfall.policy import backoff
from wigeonfall.policy.targets import load_balancer
from wigeonfall.policy.targets import quarantine

MANY = 5000  # a number that is doubled so often is too large
POWER = re.compile(r'\b2(\.0)? ?\*\* ?\(?(self\.|\w+\.)*[a-z_]')
# The exponent is an index into a table of a fixed size.
BOUNDED = {'policy/versions/outcome_counts.py'}


@given(st.floats(0.001, 10.0), st.integers(0, 2**70), st.floats(0.001, 100.0))
def test_a_pause_is_bounded_for_any_number_of_failures(first_s, count, most_s):
    pause_s = backoff.doubled_s(first_s, count, most_s)
    assert 0 < pause_s <= most_s
    if count < 30:
        assert pause_s == min(most_s, first_s * 2**count)


def test_a_target_that_refuses_thousands_of_connections_gets_a_pause():
    balancer = load_balancer.LoadBalancer('dc', 'i1')
    balancer.set_targets([Target('t', 's', 'dc', '10.0.0.1:1')])
    for number in range(MANY):
        pause_s = balancer.record_broken_connection('t', float(number))
    assert pause_s == load_balancer.MAX_BACKOFF_S


@pytest.mark.parametrize('number', [MANY, 2**53])
def test_a_quarantine_of_any_number_has_a_length(number):
    """Peers tell the number; a large one took all memory."""
    length_s = quarantine._Quarantine(number, 0.0).length_s
    assert length_s == quarantine.MAX_QUARANTINE_S


def test_no_other_power_of_two_has_a_count_for_its_exponent():
    root = pathlib.Path(wigeonfall.__file__).parent
    found = {
        path.relative_to(root).as_posix()
        for path in root.rglob('*.py')
        if POWER.search(path.read_text('utf-8'))
    }
    assert found <= BOUNDED
