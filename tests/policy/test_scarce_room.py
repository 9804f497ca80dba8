"""Replays of scarce room: floors of kinds, customers, returning callers."""

import itertools

import pytest

from tests.policy.overload import Kind
from tests.policy.overload import Phase
from tests.policy.overload import replay
from tests.policy.overload import TUTOR_KINDS
from tests.policy.overload import TUTOR_POOL
from wigeonfall.policy.room.kind_shares import DEFAULT_FLOOR
from wigeonfall.policy.room.terms import RoomTerms

TOLERANCE = 0.05  # of a share, as losses are known after the wait
CUSTOMERS = dict.fromkeys('abcd', 0.25)
CALM = Phase(4.0, customers=CUSTOMERS)
AFTER = Phase(16.0, 0.8, customers=CUSTOMERS)
TROUBLES = {
    'burst': {'load': 2.5},
    'hot customer': {
        'load': 2.2,
        'customers': {'a': 0.7, 'b': 0.1, 'c': 0.1, 'd': 0.1},
    },
    'hot key': {'load': 2.0, 'hot_key': 0.3},
    'callers that repeat at once': {'load': 2.2, 'at_once': 0.5},
    'callers that leave': {'load': 2.2, 'leaving': 0.3},
}


def play(*phases, kinds=TUTOR_KINDS, seed=1):
    """Replay a load in which all customers have the same rate."""
    return replay(
        phases,
        kinds,
        TUTOR_POOL,
        seed,
        lambda: RoomTerms(rate_of=lambda _customer: 1.0),
    )


def least_to_mean(result):
    shares = [count.share for count in result.counts.values()]
    return min(shares) / (sum(shares) / len(shares))


@pytest.mark.parametrize('seed', range(2))
def test_requests_in_time_go_before_late_and_returning_ones(seed):
    """0.49 of the callers were in time, as returning ones passed for such."""
    load = (CALM, Phase(14.0, 2.0, customers=CUSTOMERS), AFTER)
    assert play(*load, seed=seed).in_time >= 0.6


@pytest.mark.parametrize('seed', range(2))
def test_each_kind_gets_its_floor_in_a_lasting_overload(seed):
    """The most urgent kind got all, the others 0.69 of the mean share."""
    result = play(Phase(30.0, 1.9), seed=seed)
    assert least_to_mean(result) >= DEFAULT_FLOOR - TOLERANCE


@pytest.mark.parametrize('seed', range(2))
def test_hot_customer_takes_nothing_from_the_others(seed):
    """They ask for less than their parts, and 0.65 of them were served."""
    hot = Phase(16.0, 2.2, customers=TROUBLES['hot customer']['customers'])
    by_customer = play(CALM, hot, seed=seed).by_customer
    assert min(by_customer[name].share for name in 'bcd') >= 0.8
    assert by_customer['a'].share >= 0.35


def test_callers_with_little_time_are_told_early():
    """Each refusal took 0.73 s of their 2.55 s."""
    kinds = (
        Kind('review', 0, 17.0, 378, 0.65, 12.9, 8.7, 6600),
        Kind('digest', 2, 40.0, 27, 1.22, 2.55, 0.21, 1800),
    )
    count = play(Phase(12.0, 3.0), kinds=kinds).counts['digest']
    assert count.held_s / count.refused <= 0.65


@pytest.mark.parametrize(
    'names',
    [(n,) for n in TROUBLES] + list(itertools.combinations(TROUBLES, 2)),
    ids='+'.join,
)
def test_promises_hold_in_troubles_alone_and_together(names):
    phase = {'customers': CUSTOMERS}
    for name in names:
        phase |= {**TROUBLES[name], 'load': 0.0}
    load = max(TROUBLES[name]['load'] for name in names)
    result = play(CALM, Phase(10.0, **(phase | {'load': load})), AFTER)
    assert least_to_mean(result) >= DEFAULT_FLOOR - TOLERANCE
    assert result.refused_with_room == 0
    assert result.held_s <= 0.5
    shares = [result.counts[kind.name].share for kind in TUTOR_KINDS]
    assert shares[0] >= shares[1] - TOLERANCE >= shares[2] - 2 * TOLERANCE
