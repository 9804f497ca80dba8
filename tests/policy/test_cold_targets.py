"""Tests of the pace at which targets that may be cold get requests.

Several sides place requests for the same targets, as fast as each may.
"""

import attrs
import pytest

from wigeonfall.model.target import Target
from wigeonfall.policy.targets import cold_targets
from wigeonfall.policy.targets.cold_targets import ColdTargets
from wigeonfall.policy.targets.cold_targets import PacedShare
from wigeonfall.policy.targets.load_balancer import LoadBalancer
from wigeonfall.policy.targets.target_choice import TimeBudget
from wigeonfall.policy.targets.target_stats import RequestSize

ENDURED_PER_S = 16.0
TERMS = cold_targets.make_terms(ENDURED_PER_S, 1.5, 5.0, 3.0)
MOST = 29  # published: 16 x 1.5 + 5
COLD_MOST = 21  # of the 29, so that two sides may overlap
INSTANCES = 78
STEP_S = 0.005
NAMES = tuple(f't{number:02}' for number in range(30))


def make_targets(cold_s=0.0, version=1, incarnation=1, names=NAMES):
    return tuple(
        Target(
            name,
            's',
            'dc',
            '10.0.0.1:1',
            incarnation,
            cold_s=cold_s,
            entry_version=version,
        )
        for name in names
    )


def make_side(part=1.0, position=0, targets=None, now_s=0.0):
    cold = ColdTargets()
    cold.set_terms({'s': TERMS})
    cold.share_of = lambda _s: PacedShare(part, {}, position)
    cold.update(make_targets() if targets is None else targets, now_s)
    return cold


def send(sides, from_s, until_s, sent=None):
    """Let all sides send as fast as they may; return times by target."""
    sent = {name: [] for name in NAMES} if sent is None else sent
    for step in range(round((until_s - from_s) / STEP_S)):
        now_s = from_s + step * STEP_S
        for side in sides:
            side.refresh_share(now_s)
            for name in NAMES:
                pace = side.pace_of(name)
                while pace is not None and pace.room(now_s) >= 1:
                    side.count_sent(name)
                    sent[name].append(now_s)
    return sent


def busiest(sent):
    """Return the most requests of any target in any second."""
    return max(
        sum(first <= at_s < first + 1.0 for at_s in times_s)
        for times_s in sent.values()
        for first in times_s
    )


@pytest.mark.parametrize('count', [1, 10, 30])
def test_targets_that_are_cold_at_once_get_what_each_endures(count):
    """A whole data centre, or all targets, come back at once."""
    cold = make_targets(3.0, incarnation=2, names=NAMES[:count])
    side = make_side(targets=cold + make_targets(names=NAMES[count:]))
    sent = send([side], 0.0, 3.0)
    for name in NAMES[:count]:
        assert 2.6 * ENDURED_PER_S <= len(sent[name]) <= 3.0 * COLD_MOST
    assert busiest(sent) <= MOST


def test_a_target_that_turns_cold_while_it_is_full_gets_too_much():
    """News of it takes more than a second; the bound does not wait."""
    side = make_side()
    sent = send([side], 0.0, 5.0)
    assert busiest(sent) <= MOST
    side.update(make_targets(2.0, 2), 5.0)
    send([side], 5.0, 9.0, sent)
    assert busiest(sent) <= MOST
    between = [s for s in sent['t00'] if 5.5 <= s < 6.5]
    assert len(between) <= COLD_MOST


@pytest.mark.parametrize('lost_s', [2.0, 2.3, 2.9])
def test_the_arbiter_is_lost_halfway(lost_s):
    targets = make_targets(3.0)
    first = make_side(targets=targets)
    sent = send([first], 0.0, lost_s)
    # The next one had its own part and gets that of all clients at once.
    following = make_side(1 / INSTANCES, targets=targets)
    following.refresh_share(lost_s - 0.1)
    following.share_of = lambda _s: PacedShare()
    send([following], lost_s, 5.0, sent)
    assert busiest(sent) <= MOST


@pytest.mark.parametrize('cold_s', [0.0, 30.0])
@pytest.mark.parametrize(
    'sizes', [(39, 39), (52, 26), (55, *[1] * 23), (1,) * 78, (26, 26, 26)]
)
def test_parts_of_a_fleet_that_do_not_hear_each_other(sizes, cold_s):
    targets = make_targets(cold_s)
    sides = [
        make_side(size / INSTANCES, sum(sizes[:number]), targets)
        for number, size in enumerate(sizes)
    ]
    sent = send(sides, 0.0, 4.0)
    assert busiest(sent) <= MOST
    allowed = COLD_MOST if cold_s else 26
    assert min(map(len, sent.values())) >= 0.5 * 4 * allowed


def is_cold(side, now_s, name='t00'):
    side.pace_of(name).room(now_s)
    return side.pace_of(name).is_cold


@pytest.mark.parametrize('reason', ['connection', 'evacuation'])
def test_a_suspected_target_is_cold_until_its_entry_says_otherwise(reason):
    side = make_side()
    side.suspect('t00', reason, 10.0)
    # An entry of just before says nothing of the time after.
    side.update(make_targets(0.0, 2), 10.1)
    assert is_cold(side, 10.2)
    side.update(make_targets(0.0, 3), 11.0)
    assert not is_cold(side, 11.0)
    side.suspect('t00', reason, 12.0)
    side.update(make_targets(5.0, 4), 12.1)
    assert is_cold(side, 17.0)
    assert not is_cold(side, 17.2)


def test_a_new_start_that_does_not_tell_is_cold_for_the_longest_time():
    side = make_side()
    side.update(make_targets(None, 2, incarnation=2), 10.0)
    assert is_cold(side, 12.9)
    assert not is_cold(side, 13.1)


def test_an_entry_that_did_not_change_prolongs_nothing():
    side = make_side(targets=make_targets(2.0))
    side.update(make_targets(2.0), 1.9)
    assert not is_cold(side, 2.1)


def test_begun_and_ended_marks_are_told_once():
    side = make_side(targets=make_targets(2.0, names=('t00',)))
    side.update(make_targets(1.0, 2, names=('t00',)), 1.0)
    side.update(make_targets(0.0, 3, names=('t00',)), 2.0)
    told = [(change.target, change.reason) for change in side.take_changes()]
    assert told == [('t00', 'entry'), ('t00', '')]
    assert not side.take_changes()


def test_services_without_a_bound_have_no_pace():
    assert make_side(targets=make_targets()).pace_of('t00')
    side = ColdTargets()
    side.update(make_targets(3.0), 0.0)
    assert side.pace_of('t00') is None


def make_balancer(*cold_s):
    balancer = LoadBalancer('dc')
    balancer.cold.set_terms({'s': TERMS})
    targets = tuple(
        attrs.evolve(target, cold_s=seconds)
        for target, seconds in zip(make_targets(), cold_s, strict=False)
    )
    balancer.cold.update(targets, 0.0)
    balancer.set_targets(targets)
    for target in targets:
        balancer.record_first_event(target.name, 0, 0.05, 0.0)
    return balancer


def test_warm_targets_go_first_and_cold_ones_take_the_rest():
    balancer = make_balancer(9.0, 9.0, 0.0)
    size = RequestSize(100, 10)
    chosen = []
    for _ in range(14):
        estimate = balancer.choose(
            balancer.estimates(NAMES[:3], 5.0),
            size,
            TimeBudget(9.0, 9.0, 9.0),
            5.0,
        )
        if estimate is not None:
            chosen.append(estimate.stats.target.name)
            balancer.request_sent(chosen[-1], size)
    assert chosen[0] == 't02'
    assert {'t00', 't01'} <= set(chosen)


def test_the_room_of_a_cold_target_is_what_its_rate_allows():
    balancer = make_balancer(9.0, 0.0)
    cold, warm = balancer.estimates(NAMES[:2], 1.0)
    cold.is_open(1.0), warm.is_open(1.0)
    assert cold.concurrency(0.25) == pytest.approx(21 * 0.25)
    assert warm.concurrency(0.25) == pytest.approx(26 * 0.25)
    assert warm.concurrency(9.0) == warm.stats.limit
