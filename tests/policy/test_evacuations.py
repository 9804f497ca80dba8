"""Tests of which data centres are evacuated."""

from wigeonfall.policy.targets.evacuations import Evacuations
from wigeonfall.policy.versions.restored_orders import REWRITE_S


def test_evacuations_hold_from_entry_to_removal():
    evacuations = Evacuations()
    evacuations.update(['east', 'west'], 0.0, 1)
    assert evacuations.in_force(1e6) == {'east', 'west'}
    evacuations.update(['west'], 1e6, 1)
    assert evacuations.in_force(1e6) == {'west'}


def test_a_restored_store_ends_no_evacuation_at_once():
    evacuations = Evacuations()
    evacuations.update(['east'], 0.0, 1)
    evacuations.update([], 10.0, 2)
    assert evacuations.in_force(10.1) == {'east'}
    assert not evacuations.in_force(10.0 + REWRITE_S)


def test_an_entry_that_is_written_again_ends_with_its_removal():
    evacuations = Evacuations()
    evacuations.update(['east', 'west'], 0.0, 1)
    evacuations.update([], 10.0, 2)
    evacuations.update(['east'], 11.0, 2)
    evacuations.update([], 12.0, 2)
    assert evacuations.in_force(12.0) == {'west'}


def test_an_entry_that_a_restore_brings_back_is_in_force():
    evacuations = Evacuations()
    evacuations.update([], 0.0, 1)
    evacuations.update(['east'], 10.0, 2)
    assert evacuations.in_force(1e6) == {'east'}
