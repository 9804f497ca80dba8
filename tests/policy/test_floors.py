"""Properties of the floors of kinds, large requests and customers."""

import attrs
import hypothesis
from hypothesis import strategies

from tests.policy.overload import Kind
from tests.policy.overload import Phase
from tests.policy.overload import replay
from tests.policy.overload import TUTOR_POOL
from tests.policy.test_waiting import dispatch
from tests.policy.test_waiting import make_queue
from tests.policy.test_waiting import make_request
from wigeonfall.policy.room.customer_shares import CustomerShares
from wigeonfall.policy.room.kind_shares import DEFAULT_FLOOR
from wigeonfall.policy.room.kind_shares import KindShares
from wigeonfall.policy.room.terms import RoomTerms

WORK_S = strategies.integers(0, 50)


@hypothesis.given(
    strategies.lists(strategies.tuples(WORK_S, WORK_S), min_size=2, max_size=6)
)
def test_kind_that_is_not_below_its_floor_has_it(counts):
    shares = KindShares()
    for kind, (served, lost) in enumerate(counts):
        shares.count_served(str(kind), served)
        shares.count_lost(str(kind), lost)
    share = [s / (s + lost) if lost else 1.0 for s, lost in counts]
    floor = DEFAULT_FLOOR * sum(share) / len(share)
    below = shares.below_floor(DEFAULT_FLOOR, 0.0)
    assert below == {str(k) for k, s in enumerate(share) if s < floor}


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from('abcdef'),
        strategies.tuples(WORK_S, strategies.integers(1, 20)),
        min_size=2,
    )
)
def test_customer_that_is_not_over_has_used_no_more_than_its_part(customers):
    shares = CustomerShares()
    for name, (used_s, _) in customers.items():
        shares.count_served(0, name, used_s)
    waiting = [(0, name) for name in customers]
    over = shares.over(waiting, lambda name: customers[name][1], 0.0)
    total_s = sum(used_s for used_s, _ in customers.values())
    rates = sum(rate for _, rate in customers.values())
    for name, (used_s, rate) in customers.items():
        assert (0, name) in over or used_s <= 1.11 * total_s * rate / rates
    assert len(over) < len(customers)


def test_kind_below_its_floor_goes_before_a_more_urgent_one():
    _, queue = make_queue()
    for n in range(20):
        request = make_request(f'u{n}', -3.0)
        queue.add(attrs.evolve(request, kind='urgent'))
        request = make_request(f'm{n}', -3.0, rank=1)
        queue.add(attrs.evolve(request, kind='middle'))
    dispatch(queue, 0.0)
    queue.pop_expired(0.0)
    queue._kinds.count_served('urgent', 100.0)
    queue.add(attrs.evolve(make_request('first', 0.1), kind='urgent'))
    queue.add(attrs.evolve(make_request('next', 0.1, 1), kind='middle'))
    queue._balancer.request_ended('a')
    assert dispatch(queue, 0.2) == ['next']


@hypothesis.settings(
    max_examples=8,
    deadline=None,
    derandomize=True,
    phases=(hypothesis.Phase.generate,),
)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(5, 30),  # arrivals in a second
            strategies.integers(150, 400),  # answer tokens
            strategies.integers(0, 7000),  # prompt tokens
        ),
        min_size=2,
        max_size=4,
    ),
    strategies.floats(1.2, 2.5),
    strategies.floats(0.4, 0.7),
)
def test_floors_hold_for_kinds_large_requests_and_customers(mixes, load, hot):
    """The largest requests got 0.13 of what their kind got."""
    kinds = [
        Kind(f'k{n}', n, float(per_s), answer, 0.6, 12.0, 1.0, prompt, 0.7)
        for n, (per_s, answer, prompt) in enumerate(mixes)
    ]
    work_s = sum(
        k.per_s * (0.1 + 1e-5 * k.prompt_tokens + 0.0045 * k.answer_tokens)
        for k in kinds
    )
    load *= 1.45 * TUTOR_POOL.targets * TUTOR_POOL.slots / work_s
    customers = {'a': hot} | dict.fromkeys('bcd', (1 - hot) / 3)
    result = replay(
        (Phase(12.0, load, customers=customers),),
        tuple(kinds),
        TUTOR_POOL,
        terms=lambda: RoomTerms(rate_of=lambda _customer: 1.0),
    )
    shares = [count.share for count in result.counts.values()]
    mean = sum(shares) / len(shares)
    assert min(shares) >= (DEFAULT_FLOOR - 0.1) * mean
    for kind in kinds:
        callers = [c for c in result.callers if c.kind is kind]
        callers.sort(key=lambda caller: caller.size)
        largest = callers[-max(20, len(callers) // 10) :]
        share = sum(c.served for c in largest) / len(largest)
        assert share >= 0.45 * result.counts[kind.name].share
    by_customer = {n: c.share for n, c in result.by_customer.items()}
    assert by_customer['a'] == min(by_customer.values())
