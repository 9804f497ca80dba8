"""Tests of who decides on rollouts, and on what."""

import asyncio

import attrs
from result import Ok

from tests.policy.test_load_balancer import make_balancer
from tests.policy.test_routing import make_route
from tests.policy.test_version_trial import answer
from tests.policy.test_version_trial import BUSY_DUE_S
from tests.policy.test_version_trial import DUE_S
from tests.policy.test_version_trial import make_trials
from tests.policy.test_version_trial import MOVED_S
from wigeonfall.forwarding.rollouts import Rollouts
from wigeonfall.model.target import Target
from wigeonfall.policy.versions.version_trial import State
from wigeonfall.ports.platform import StoredObject


class Store:
    """A store that keeps the reported statuses."""

    def __init__(self):
        self.reported = []

    def report(self, entry):
        self.reported.append(entry.status)
        return Ok(entry)


def make_rollouts(
    store, seen_s, may_report=True, knows_load=True, stored=None
):
    trials = make_trials()
    trials.set_orders([], 0.0)
    trials.set_orders([make_order()], seen_s)
    answer(trials, 'v2', True, 20)
    return Rollouts(
        trials=trials,
        balancer=make_balancer('a'),
        store=lambda: store,
        entries=lambda: (StoredObject('rollouts', 's', {}, 1),),
        decode=lambda _entry: stored or make_order(),
        encode=lambda _order, state: {'State': state.value},
        may_report=lambda: may_report,
        knows_load=lambda: knows_load,
        record=lambda *_args, **_fields: None,
    )


def make_order():
    (order,) = make_trials().running()
    return order


def decide(rollouts):
    async def scenario():
        for order in rollouts.trials.running():
            await rollouts._decide(order)

    asyncio.run(scenario())


@attrs.frozen
class Request:
    """The fields of a request that tell its parts."""

    route: object
    id: str = 'id'
    service: str = 's'
    customer: object = None


def test_a_version_that_fails_on_one_route_only_is_taken_back():
    """It took over, as its failures were few among those of all routes."""
    rollouts = make_rollouts(Store(), 0.0)
    old = Target('a', 's', 'dc', '10.0.0.1:1', version='v1')
    new = attrs.evolve(old, name='b', version='v2')
    for number in range(4000):
        target = old if number % 20 else new
        route = make_route('rare' if number // 20 % 10 == 0 else 'usual', '/')
        fails = (
            target is new and route.name == 'rare' and number // 200 % 5 < 2
        )
        ok = not fails
        rollouts.add_evidence(Request(route), target, ok, 0.1)
    assert rollouts.trials.decide('s', True, 6.5) is State.ROLLED_BACK
    (order,) = rollouts.trials.running()
    assert rollouts.trials.summary(order)['part'] == 'route rare'


def test_one_that_may_not_report_stores_nothing(monkeypatch):
    """Each of 195 instances wrote each verdict."""
    monkeypatch.setattr('time.monotonic', lambda: 11.9)
    store = Store()
    rollouts = make_rollouts(store, 0.0, may_report=False)
    decide(rollouts)
    assert store.reported == []
    assert rollouts.trials.decide('s', True, 11.9) is State.COMPLETED


def test_move_is_not_final_while_requests_of_others_may_run(monkeypatch):
    """Old targets stop at once when it is, which cut their streams."""
    store = Store()
    rollouts = make_rollouts(store, 0.0, knows_load=False)
    for now_s in (6.5, 7.5, 9.0, MOVED_S, DUE_S):
        monkeypatch.setattr('time.monotonic', lambda now_s=now_s: now_s)
        decide(rollouts)
    assert store.reported == []
    monkeypatch.setattr('time.monotonic', lambda: BUSY_DUE_S)
    decide(rollouts)
    assert store.reported == [{'State': State.COMPLETED.value}]


def test_arbiter_finishes_the_move_once_old_targets_are_idle(monkeypatch):
    store = Store()
    rollouts = make_rollouts(store, 0.0)
    for now_s in (MOVED_S, DUE_S):
        monkeypatch.setattr('time.monotonic', lambda now_s=now_s: now_s)
        decide(rollouts)
    assert store.reported == [{'State': State.COMPLETED.value}]


def test_no_verdict_is_stored_for_the_order_before_it(monkeypatch):
    """A restored store had that one instead, with a status of its own."""
    monkeypatch.setattr('time.monotonic', lambda: 11.9)
    store = Store()
    before = attrs.evolve(make_order(), version='v1')
    decide(make_rollouts(store, 0.0, stored=before))
    assert store.reported == []
