"""Tests of operators' changes to stored rollouts."""

import attrs
import pytest
from result import Err
from result import Ok

from tests.fakes import rollout_nodes
from wigeonfall.model.rollout import Phase


@pytest.fixture
def world():
    """Return a world with a running rollout."""
    world = rollout_nodes.World()
    world.operate('start', rollout_nodes.new_rollout(world))
    return world


def test_change_with_a_lost_answer_is_made_once(world):
    """A change whose answer is lost is stored once and reported as made."""
    world.platform.lose_writes = 1
    assert isinstance(world.operate('pause'), Ok)
    whats = [move.what for move in world.stored().moves]
    assert whats == ['start', 'pause']


def test_change_is_recomputed_after_a_conflict(world):
    """A change after a concurrent rollback is refused as not allowed."""
    world.platform.before_write = lambda: world.operate('take-back')
    refused = world.operate('pause')
    assert 'taken-back' in refused.err_value.message
    assert not refused.err_value.effect_unknown
    assert world.stored().phase is Phase.ROLLED_BACK


def test_second_start_is_refused(world):
    """A service has at most one running rollout."""
    other = attrs.evolve(rollout_nodes.new_rollout(world), new_version='other')
    refused = world.operate('start', other)
    assert 'not ended' in refused.err_value.message
    assert world.stored().new_version == 'new'


def test_platform_outage_is_reported(world):
    """During an outage a change fails, and its effect is not unknown."""
    world.platform.down = True
    refused = world.operate('take-back')
    assert isinstance(refused, Err)
    assert not refused.err_value.effect_unknown
