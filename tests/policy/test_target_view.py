"""Tests of which targets may get requests."""

import attrs

from wigeonfall.model.target import Target
from wigeonfall.model.target import TargetState
from wigeonfall.policy.target_view import RENEWAL_S
from wigeonfall.policy.target_view import TargetView

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
