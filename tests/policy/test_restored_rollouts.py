"""Tests of the order of rollouts that a restored platform gives out."""

import attrs

from wigeonfall.model.rollout import Move
from wigeonfall.model.rollout import Rollout
from wigeonfall.policy.versions import rollout as policy

START = Move('m1', 'start', 'ana', 'why', 10.0, 0.01)
FIRST = Rollout('lm', 1, 'v1', 'v2', 0.0, 90.0, 1.0, moves=(START,))


def moved(rollout, name, at_unix_s):
    move = Move(name, 'grow', 'i1', 'why', at_unix_s, 0.1)
    return attrs.evolve(rollout, moves=(*rollout.moves, move))


def test_change_after_a_restore_supersedes_those_that_were_lost():
    """It was ignored until versions had passed the old ones."""
    lost = moved(moved(FIRST, 'm2', 20.0), 'm3', 30.0)
    again = moved(FIRST, 'm4', 40.0)
    assert policy.supersedes(again, lost)
    assert not policy.supersedes(lost, again)


def test_state_of_a_restored_platform_does_not_undo_what_was_decided():
    decided = moved(FIRST, 'm2', 20.0)
    assert not policy.supersedes(FIRST, decided)
    assert policy.supersedes(decided, FIRST)


def test_order_of_changes_does_not_rest_on_clocks():
    before = moved(FIRST, 'm2', 25.0)
    after = moved(before, 'm3', 20.0)
    assert policy.supersedes(after, before)
    assert not policy.supersedes(before, after)


def test_next_rollout_supersedes_the_one_before_it():
    following = attrs.evolve(FIRST, number=2, moves=(START,))
    assert policy.supersedes(following, moved(FIRST, 'm2', 20.0))


def test_same_newest_change_leaves_it_to_the_versions_of_objects():
    assert policy.supersedes(FIRST, FIRST) is None
