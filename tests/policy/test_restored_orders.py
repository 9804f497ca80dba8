"""Tests of rollout orders in a store that was restored."""

import attrs

from tests.policy.test_version_trial import answer
from tests.policy.test_version_trial import new_version_share
from tests.policy.test_version_trial import ORDER
from wigeonfall.policy.versions.restored_orders import RestoredOrders
from wigeonfall.policy.versions.restored_orders import REWRITE_S
from wigeonfall.policy.versions.version_trial import State
from wigeonfall.policy.versions.version_trial import Trials

BEFORE = attrs.evolve(ORDER, version='v1', state=State.COMPLETED)
COMPLETED = attrs.evolve(ORDER, state=State.COMPLETED)
TAKEN_BACK = attrs.evolve(ORDER, state=State.ROLLED_BACK)


class Instance:
    """The orders and trials of one instance."""

    def __init__(self):
        self.orders = RestoredOrders()
        self.trials = Trials()

    def update(self, orders, now_s, era):
        in_force = self.orders.update(orders, now_s, era)
        self.trials.set_orders(in_force, now_s)

    def tick(self, now_s):
        self.trials.set_orders(self.orders.in_force(now_s), now_s)


def test_completed_move_is_not_undone_by_the_order_before_it():
    """Targets of the old version had stopped: none was left for requests."""
    instance = Instance()
    instance.update([BEFORE], 0.0, 1)
    instance.update([COMPLETED], 5.0, 1)
    instance.update([BEFORE], 9.0, 2)
    assert new_version_share(instance.trials) == 1.0


def test_verdict_is_stored_again_for_an_order_that_runs_again():
    instance = Instance()
    instance.update([TAKEN_BACK], 5.0, 1)
    instance.update([ORDER], 9.0, 2)
    assert new_version_share(instance.trials) == 0.0
    assert instance.trials.decide('s', True, 9.1) is State.ROLLED_BACK


def test_order_that_a_restored_store_lost_stays_in_force_until_written():
    """A version that was found bad got all requests that chance gave it."""
    instance = Instance()
    instance.update([ORDER], 0.0, 1)
    answer(instance.trials, 'v2', False, 9)
    assert instance.trials.decide('s', True, 1.0) is State.ROLLED_BACK
    instance.update([], 9.0, 2)
    assert new_version_share(instance.trials) == 0.0
    instance.update([ORDER], 11.0, 2)
    assert instance.trials.decide('s', True, 11.1) is State.ROLLED_BACK


def test_new_order_of_the_new_era_counts_at_once():
    instance = Instance()
    instance.update([COMPLETED], 5.0, 1)
    instance.update([BEFORE], 9.0, 2)
    newest = attrs.evolve(ORDER, version='v3')
    instance.update([newest], 9.5, 2)
    assert instance.trials.running() == (newest,)


def test_order_that_nobody_writes_again_is_dropped_in_time():
    instance = Instance()
    instance.update([TAKEN_BACK], 5.0, 1)
    instance.update([], 9.0, 2)
    instance.tick(9.0 + REWRITE_S - 0.1)
    assert new_version_share(instance.trials) == 0.0
    assert instance.orders.has_expired(9.0 + REWRITE_S)
    instance.tick(9.0 + REWRITE_S)
    assert new_version_share(instance.trials) == 1.0
    assert not instance.orders.has_expired(9.0 + REWRITE_S)


def test_order_that_is_removed_within_an_era_is_dropped_at_once():
    instance = Instance()
    instance.update([TAKEN_BACK], 5.0, 1)
    instance.update([], 6.0, 1)
    assert new_version_share(instance.trials) == 1.0
