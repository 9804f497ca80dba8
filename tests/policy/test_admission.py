"""Tests of the admission decisions of a pool."""

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from wigeonfall.model import target
from wigeonfall.policy.room import admission
from wigeonfall.policy.room import grants

LIMITS = grants.PoolLimits(3, 100, 4)
TARGETS = ('a', 'b')


def make_pending(name, rank=1, **changes):
    """Return a request that arrives at 0 s and expires at 60 s."""
    pending = grants.PendingRequest(
        name, 'i/1', 'c', 1.0, rank, 10, 0, 60, True
    )
    return attrs.evolve(pending, **changes)


def make_pool(limits=LIMITS, targets=TARGETS):
    """Return an empty pool."""
    pool = admission.Pool(limits)
    pool.configure(
        limits,
        [target.Target(name, 's', 'dc', '', 0, 'v1') for name in targets],
    )
    return pool


def test_lower_tier_is_revoked_from_other_instance_before_shed():
    """A burst preempts the lower tier before any of it is shed."""
    pool = make_pool()
    for n in range(6):
        pool.enqueue(make_pending(f'low{n}', 3, holder='i/2'))
    assert len(pool.decide(0)) == 6
    for n in range(20):
        pool.enqueue(make_pending(f'high{n}', 0, arrived_s=1))
    decisions = pool.decide(1)
    assert {d.id for d in decisions} == {f'low{n}' for n in range(6)}
    assert all(isinstance(d, grants.Revoked) for d in decisions)
    for n in range(6):
        pool.release(f'low{n}')
    kinds = [type(d) for d in pool.decide(1.1)]
    assert kinds.count(grants.Granted) == 6
    assert kinds.count(grants.Shed) == 20 - 6 - LIMITS.queued_requests


def test_waiting_precedes_revocation():
    """Lower-tier work is revoked only after the preemption wait."""
    pool = make_pool(targets=['a'])
    pool.enqueue(make_pending('low', 3, cost_tokens=100))
    pool.decide(0)
    pool.enqueue(make_pending('high', 0))
    assert pool.decide(0.2) == ()
    assert pool.decide(0.3) == (grants.Revoked('low', 'i/1'),)
    assert pool.decide(0.4) == ()
    assert pool.decide(1.4) == (grants.Revoked('low', 'i/1'),)


def test_orders_are_not_revoked_nor_is_a_higher_tier_shed_meanwhile():
    """Non-revocable grants are kept, and no higher tier is shed for them."""
    pool = make_pool(targets=['a'])
    pool.enqueue(make_pending('order', 3, cost_tokens=100, revocable=False))
    pool.decide(0)
    for n in range(9):
        pool.enqueue(make_pending(f'high{n}', 0))
    assert pool.decide(1) == ()
    pool.release('order')
    kinds = [type(d) for d in pool.decide(2)]
    assert kinds == [grants.Granted] * 3 + [grants.Shed] * 2


def test_large_request_is_not_starved():
    """Reserved capacity is not given to smaller, less urgent requests."""
    pool = make_pool(targets=['a'])
    pool.enqueue(make_pending('first', cost_tokens=20))
    pool.decide(0)
    pool.enqueue(make_pending('large', cost_tokens=90, deadline_s=50))
    pool.enqueue(make_pending('small', 3, cost_tokens=20))
    assert pool.decide(1) == ()
    pool.release('first')
    assert pool.decide(2) == (grants.Granted('large', 'i/1', 'a'),)


def test_request_without_eligible_target_is_shed():
    """Excluded targets and other versions are not eligible."""
    pool = make_pool()
    pool.enqueue(make_pending('r', excluded_targets=frozenset(TARGETS)))
    pool.enqueue(make_pending('v1', 2, version='v1'))
    pool.enqueue(make_pending('v2', 3, version='v2'))
    reason = grants.ShedReason.NO_TARGET
    assert pool.decide(0) == (
        grants.Shed('r', 'i/1', reason),
        grants.Granted('v1', 'i/1', 'a'),
        grants.Shed('v2', 'i/1', reason),
    )


def test_paused_pool_grants_nothing_until_held_grants_are_known():
    """Grants reported by their holders count before new grants are made."""
    pool = make_pool(targets=['a'])
    pool.set_paused(True)
    pool.enqueue(make_pending('r', cost_tokens=60))
    assert pool.decide(0) == ()
    pool.add_grant(grants.HeldGrant('old', 'i/2', 'a', 1, 60, True, 0, 60))
    pool.set_paused(False)
    assert pool.decide(1) == ()
    pool.drop_grants('i/2')
    assert pool.decide(2) == (grants.Granted('r', 'i/1', 'a'),)


@hypothesis.given(
    strategies.lists(strategies.integers(1, 50), min_size=40, max_size=40),
    strategies.lists(strategies.integers(1, 50), min_size=40, max_size=40),
    strategies.sampled_from([0.5, 1.0, 3.0]),
)
def test_fairness_between_customers(first, second, weight):
    """Served tokens per weight differ by at most two requests."""
    pool = make_pool(grants.PoolLimits(1, 1000, 1000), ['a'])
    costs = {}
    for name, sizes in (('first', first), ('second', second)):
        for n, size in enumerate(sizes):
            costs[f'{name}{n}'] = size
            pool.enqueue(
                make_pending(
                    f'{name}{n}',
                    customer=name,
                    weight=weight if name == 'first' else 1.0,
                    cost_tokens=size,
                )
            )
    served = {'first': 0.0, 'second': 0.0}
    waiting = {'first': 40, 'second': 40}
    bound = 50 / weight + 50
    while min(waiting.values()) > 0:
        (granted,) = pool.decide(0)
        name = granted.id.rstrip('0123456789')
        share = weight if name == 'first' else 1.0
        served[name] += costs[granted.id] / share
        waiting[name] -= 1
        pool.release(granted.id)
        assert abs(served['first'] - served['second']) <= bound


class PoolMachine(stateful.RuleBasedStateMachine):
    """Compares a pool with a simple model of pending and running requests."""

    def __init__(self):
        super().__init__()
        self.pool = make_pool()
        self.waiting = {}
        self.running = {}
        self.revoked = set()
        self.now_s = 0.0
        self.count = 0

    @stateful.rule(
        rank=strategies.integers(0, 3),
        cost=strategies.integers(1, 130),
        customer=strategies.sampled_from('xyz'),
        revocable=strategies.booleans(),
        wait_s=strategies.sampled_from([0.5, 5, 50]),
        excluded=strategies.sampled_from([(), ('a',), ('b',)]),
    )
    def enqueue(self, rank, cost, customer, revocable, wait_s, excluded):
        """Enqueue a request twice; the second call changes nothing."""
        self.count += 1
        pending = make_pending(
            f'r{self.count}',
            rank,
            customer=customer,
            cost_tokens=cost,
            arrived_s=self.now_s,
            deadline_s=self.now_s + wait_s,
            revocable=revocable,
            excluded_targets=frozenset(excluded),
        )
        self.waiting[pending.id] = pending
        self.pool.enqueue(pending)
        self.pool.enqueue(pending)

    @stateful.rule(data=strategies.data())
    def finish(self, data):
        """Release or cancel a request, known or unknown."""
        names = [*self.running, *self.waiting, 'unknown']
        name = data.draw(strategies.sampled_from(names))
        self.running.pop(name, None)
        self.waiting.pop(name, None)
        self.pool.cancel(name)
        self.pool.release(name)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data())
    def repeat(self, data):
        """Enqueue a granted request again, as after a lost message."""
        name = data.draw(strategies.sampled_from(sorted(self.running)))
        self.pool.enqueue(self.running[name][0])

    @stateful.rule(delay_s=strategies.sampled_from([0.0, 0.1, 0.3, 2.0]))
    def decide(self, delay_s):
        """Advance time and check each decision against the model."""
        self.now_s += delay_s
        for decision in self.pool.decide(self.now_s):
            if isinstance(decision, grants.Granted):
                self._granted(decision)
            elif isinstance(decision, grants.Revoked):
                assert self.running[decision.id][0].revocable
                self.revoked.add(decision.id)
            else:
                self._shed(decision)
        self._check_preemption()

    def _check_preemption(self):
        """Enough work is revoked for a single request of the highest tier."""
        top = min((p.rank for p in self.waiting.values()), default=None)
        first = [p for p in self.waiting.values() if p.rank == top]
        if len(first) != 1:
            return
        (pending,) = first
        if self.now_s < admission.preemption_time_s(pending):
            return
        lower = {
            p.id
            for p, _ in self.running.values()
            if p.revocable and p.rank > pending.rank
        }
        possible = any(
            self._fits(pending, t, lower | self.revoked) for t in TARGETS
        )
        enough_revoked = any(
            self._fits(pending, t, self.revoked) for t in TARGETS
        )
        assert enough_revoked or not possible

    def _granted(self, decision):
        pending = self.waiting.pop(decision.id)
        assert decision.target not in pending.excluded_targets
        assert self.now_s < pending.deadline_s
        for other in self.waiting.values():
            if other.rank < pending.rank:
                assert not self._fits(other, decision.target)
        self.running[decision.id] = (pending, decision.target)

    def _shed(self, decision):
        pending = self.waiting.pop(decision.id)
        if decision.reason is grants.ShedReason.DEADLINE:
            assert pending.deadline_s <= self.now_s
            return
        assert decision.reason is grants.ShedReason.OVERLOADED
        lower = [p for p, _ in self.running.values()] + [
            *self.waiting.values()
        ]
        assert all(p.rank <= pending.rank for p in lower)

    def _work(self, target, without=frozenset()):
        costs = [
            min(p.cost_tokens, LIMITS.outstanding_tokens)
            for p, at in self.running.values()
            if at == target and p.id not in without
        ]
        return len(costs), sum(costs)

    def _fits(self, pending, target, without=frozenset()):
        requests, tokens = self._work(target, without)
        return (
            target not in pending.excluded_targets
            and requests < LIMITS.outstanding_requests
            and tokens + min(pending.cost_tokens, LIMITS.outstanding_tokens)
            <= LIMITS.outstanding_tokens
        )

    @stateful.invariant()
    def limits_hold(self):
        """No target has more outstanding than its limits."""
        for name in TARGETS:
            requests, tokens = self._work(name)
            assert requests <= LIMITS.outstanding_requests
            assert tokens <= LIMITS.outstanding_tokens

    @stateful.invariant()
    def model_and_pool_agree(self):
        """Pool and model have the same pending and running requests."""
        assert {h.id for h in self.pool.held()} == self.running.keys()
        assert self.pool.queued_requests == len(self.waiting)

    def teardown(self):
        """Every request ends in a grant or is shed."""
        for _ in range(len(self.waiting) + 1):
            for name in tuple(self.running):
                del self.running[name]
                self.pool.release(name)
            self.decide(0.0)
        assert not self.waiting


TestPool = PoolMachine.TestCase
TestPool.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40
)
