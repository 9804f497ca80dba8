"""Tests of which targets may get requests."""

import attrs

from wigeonfall.model.target import Target
from wigeonfall.model.target import TargetState
from wigeonfall.policy.targets.target_view import DEPARTED_KEPT_S
from wigeonfall.policy.targets.target_view import EXPIRY_S
from wigeonfall.policy.targets.target_view import RENEWAL_S
from wigeonfall.policy.targets.target_view import TargetView

A = Target('a', 's', 'dc', '10.0.0.1:1')
B = Target('b', 's', 'dc', '10.0.0.2:1')


def names(view, now_s):
    return {target.name for target in view.usable(now_s)}


def test_leaving_target_gets_no_requests():
    view = TargetView()
    view.update((A, attrs.evolve(B, state=TargetState.LEAVING)), 0.0)
    assert names(view, 0.0) == {'a'}


def test_target_with_a_removed_entry_is_dropped_at_once():
    view = TargetView()
    view.update((A, B), 0.0)
    view.update((A,), 1.0)
    assert names(view, 1.0) == {'a'}


def test_targets_missing_after_an_outage_are_kept_for_a_while():
    view = TargetView()
    view.update((A, B), 0.0)
    view.set_store_reachable(False, 1.0)
    view.set_store_reachable(True, 9.0)
    view.update((), 9.1)
    assert names(view, 9.2) == {'a', 'b'}
    view.update((A,), 9.5)
    assert names(view, 9.6) == {'a', 'b'}
    assert names(view, 9.0 + RENEWAL_S + 0.1) == {'a'}


def test_missing_target_whose_address_is_reused_is_dropped():
    view = TargetView()
    view.update((A, B), 0.0)
    view.set_store_reachable(False, 1.0)
    view.set_store_reachable(True, 2.0)
    other = attrs.evolve(B, address=A.address)
    view.update((other,), 2.1)
    assert names(view, 2.2) == {'b'}


def test_target_that_was_leaving_before_an_outage_is_not_kept():
    view = TargetView()
    view.update((attrs.evolve(A, state=TargetState.LEAVING),), 0.0)
    view.set_store_reachable(False, 1.0)
    view.set_store_reachable(True, 2.0)
    view.update((), 2.1)
    assert names(view, 2.2) == set()


def restored_view(*known, gone=()):
    """Return a view of a store that is about to begin its second era."""
    view = TargetView()
    view.update((*known, *gone), 0.0, 1)
    view.update(known, 1.0, 1)
    return view


def test_target_that_a_restored_store_has_not_yet_is_kept_for_a_while():
    view = restored_view(A, B)
    view.update((A,), 9.0, 2)
    assert names(view, 9.1) == {'a', 'b'}
    assert names(view, 9.0 + RENEWAL_S + 0.1) == {'a'}


def test_target_that_is_gone_gets_no_requests_from_a_restored_entry():
    """Its address may belong to another target by then."""
    view = restored_view(A, gone=(B,))
    view.update((A, B), 9.0, 2)
    assert names(view, 9.1) == {'a'}
    view.update((A,), 13.0, 2)
    assert names(view, 13.1) == {'a'}


def test_target_that_is_back_gets_requests_once_it_must_have_written():
    view = restored_view(A, gone=(B,))
    view.update((A, B), 9.0, 2)
    assert names(view, 9.0 + EXPIRY_S) == {'a', 'b'}


def test_restarted_target_gets_requests_beside_its_restored_entry():
    view = restored_view(A, gone=(B,))
    view.update((A, B), 9.0, 2)
    view.update((A, attrs.evolve(B, incarnation=1)), 9.5, 2)
    assert names(view, 9.6) == {'a', 'b'}


def test_leaving_target_is_not_ready_again_in_a_restored_store():
    leaving = attrs.evolve(B, state=TargetState.LEAVING)
    view = restored_view(A, leaving)
    view.update((A, B), 9.0, 2)
    assert names(view, 9.1) == {'a'}
    view.update((A, leaving), 9.5, 2)
    view.update((A,), 11.0, 2)
    assert names(view, 11.1) == {'a'}


def test_earlier_address_of_a_restarted_target_is_not_used_again():
    restarted = attrs.evolve(B, incarnation=7, address='10.0.0.3:1')
    view = restored_view(A, restarted)
    view.update((A, B), 9.0, 2)
    assert set(view.usable(9.1)) == {A, restarted}


def test_new_target_at_the_address_of_a_restored_entry_is_kept():
    view = TargetView()
    view.update((A, B), 0.0, 1)
    view.update((A,), 1.0, 1)
    new = attrs.evolve(B, name='c')
    view.update((A, new), 2.0, 1)
    view.update((A, B), 9.0, 2)
    assert names(view, 9.1) == {'a', 'c'}


def test_second_restore_keeps_what_the_first_one_left_outdated():
    view = restored_view(A, gone=(B,))
    view.update((A, B), 9.0, 2)
    view.update((A, B), 10.0, 3)
    assert names(view, 9.0 + EXPIRY_S + 0.1) == {'a'}


def test_departed_targets_are_forgotten_in_time():
    view = restored_view(A, gone=(B,))
    late_s = 2.0 + DEPARTED_KEPT_S
    view.update((A,), late_s, 1)
    view.update((A, B), late_s + 1.0, 2)
    assert names(view, late_s + 1.1) == {'a', 'b'}


def test_target_that_two_restores_have_in_turn_is_not_taken_for_gone():
    view = restored_view(A, B)
    view.update((A,), 9.0, 2)
    view.update((A, B), 9.5, 3)
    assert names(view, 9.6) == {'a', 'b'}
