"""Tests of operators' changes of stored rollouts."""

import attrs
import pytest
from result import Err
from result import Ok

from tests.fakes import rollout_nodes
from wigeonfall.model.rollout import Phase


@pytest.fixture
def world():
    """Return a world with a rollout under way."""
    world = rollout_nodes.World()
    world.operate('start', rollout_nodes.new_rollout(world))
    return world


def test_lost_answers_are_settled(world):
    """A change whose answer is lost is made once and reported as made."""
    world.platform.lose_writes = 1
    assert isinstance(world.operate('pause'), Ok)
    whats = [move.what for move in world.stored().moves]
    assert whats == ['start', 'pause']


def test_conflicting_operators_both_get_their_turn(world):
    """A change that meets a conflict is computed anew."""
    world.platform.before_write = lambda: world.operate('take-back')
    refused = world.operate('pause')
    assert 'taken-back' in refused.err_value.message
    assert not refused.err_value.effect_unknown
    assert world.stored().phase is Phase.ROLLED_BACK


def test_second_start_is_refused(world):
    """Two rollouts of one service never run at once."""
    other = attrs.evolve(rollout_nodes.new_rollout(world), new_version='other')
    refused = world.operate('start', other)
    assert 'not ended' in refused.err_value.message
    assert world.stored().new_version == 'new'


def test_outage_is_told(world):
    """Without the platform nothing is changed, and that is known."""
    world.platform.down = True
    refused = world.operate('take-back')
    assert isinstance(refused, Err)
    assert not refused.err_value.effect_unknown
