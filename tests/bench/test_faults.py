"""Tests of the fault schedule."""

import pytest

from bench import faults


def test_burst_raises_the_rate_while_it_lasts() -> None:
    rate_at = faults.rate((faults.parse('burst@10-20'),), 5.0)
    assert [rate_at(at_s) for at_s in (9.9, 10, 19.9, 20)] == [5, 15, 15, 5]


def test_other_faults_leave_the_rate() -> None:
    rate_at = faults.rate((faults.parse('engine-slow@0-20'),), 5.0)
    assert rate_at(10) == 5


def test_unknown_fault_is_refused() -> None:
    with pytest.raises(ValueError, match='engine-slow'):
        faults.parse('engine-fast@1-2')
