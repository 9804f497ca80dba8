"""Tests of whom an instance asks for what others know already."""

import pytest

from wigeonfall.policy import view_lag
from wigeonfall.policy.view_lag import KindLag
from wigeonfall.policy.view_lag import LagTerms

PEERS = {name: name for name in ('a', 'b', 'c')}
TERMS = LagTerms()
STORE_CALLS_PER_S = 100  # a quarter of the default rate of reads
STEP_S = 0.1


def far(_peer):
    return False


def make_lag():
    lag = KindLag()
    lag.set_ahead(True, 1, 0.0)
    return lag


def test_a_peer_that_failed_is_not_the_next_to_be_asked():
    """One that always failed was asked again for ever."""
    lag = make_lag()
    asked = []
    now_s = 0.0
    for _ in PEERS:
        name = lag.choose(PEERS, far, now_s)
        asked.append(name)
        lag.record_failed(name, PEERS, 'x', now_s)
        now_s += 0.1
    assert set(asked) == set(PEERS)
    # Once all have failed, the first of them has had the longest pause.
    assert lag.choose(PEERS, far, now_s) == asked[0]


def test_near_peers_go_first_unless_they_failed():
    lag = make_lag()
    assert {lag.choose(PEERS, lambda p: p == 'b', 0.0) for _ in range(20)} == {
        'b'
    }
    lag.record_failed('b', PEERS, 'x', 0.0)
    assert {lag.choose(PEERS, lambda p: p == 'b', 0.1) for _ in range(50)} == {
        'a',
        'c',
    }


def test_pauses_grow_only_while_no_other_peer_is_left():
    lag = make_lag()
    lag.record_failed('a', PEERS, 'x', 1.0)
    assert lag.may_fetch(1.0 + view_lag.FETCH_PAUSE_S, 0.1)
    for name in ('b', 'c'):
        lag.record_failed(name, PEERS, 'x', 1.0)
    assert not lag.may_fetch(1.0 + view_lag.FETCH_PAUSE_S, 0.1)
    assert lag.may_fetch(1.0 + TERMS.max_fetch_pause_s, 0.1)


def test_pauses_stay_bounded_however_often_nothing_helps():
    """A number too large ended each fetch after 25 minutes of failures."""
    lag = make_lag()
    for number in range(3000):
        lag.record_failed('a', ('a',), 'x', float(number))
        assert lag.next_fetch_s - number <= TERMS.max_fetch_pause_s
        lag.record_listed(9, 'x', float(number))
        assert lag.store_from_s - number <= (
            TERMS.store_after_s + view_lag.MAX_STORE_PAUSE_S
        )


@pytest.mark.parametrize('fleet_size', [18, 100, 500])
def test_instances_that_peers_do_not_help_ask_the_store_spread_out(fleet_size):
    """They asked peers for ever, though the store was in reach."""
    lags = [make_lag() for _ in range(fleet_size)]
    asked_s = []
    for step in range(600):
        now_s = step * 0.1
        for lag in lags:
            if lag.needs_store(fleet_size, now_s):
                asked_s.append(now_s)
                lag.record_listed(fleet_size, None, now_s)
    firsts = asked_s[:fleet_size]
    spread_s = fleet_size / STORE_CALLS_PER_S
    assert min(firsts) >= TERMS.store_after_s
    assert max(firsts) <= 2 * (TERMS.store_after_s + spread_s) + 0.2
    # What does not help is asked for less and less often.
    assert len(asked_s) < 8 * fleet_size
    for start in range(60):
        calls = sum(start <= at_s < start + 1 for at_s in asked_s)
        assert calls <= 2 * STORE_CALLS_PER_S


@pytest.mark.parametrize('apply_s', [2.0, 3.0, 20.0])
def test_a_fetch_that_still_arrives_is_waited_for(apply_s):
    """A narrow link would carry the listing of the store as well."""
    terms = LagTerms(apply_s)
    lag = make_lag()
    steps = round(apply_s / 2 / STEP_S)
    for step in range(steps - 1):
        now_s = step * STEP_S
        lag.record_progress(now_s)
        assert not lag.needs_store(1, now_s, terms)
    # A byte now and then would keep a change from being in force in time.
    asked = False
    for step in range(steps, steps + 2):
        lag.record_progress(step * STEP_S)
        asked = asked or lag.needs_store(1, step * STEP_S, terms)
    assert asked


def test_a_peer_that_takes_long_does_not_keep_others_from_being_asked():
    """One that sent a byte now and then was waited for half a minute."""
    terms = LagTerms(3.0)
    peers = {f'p{n}': n for n in range(20)}
    lag = make_lag()
    asked_s = []
    for step in range(300):
        now_s = step * STEP_S
        lag.record_progress(now_s)
        if lag.may_fetch(now_s, STEP_S, terms):
            peer = lag.choose(peers, far, now_s, terms)
            lag.record_fetching(f'p{peer}', now_s)
            asked_s.append(now_s)
    assert len(lag.fetching) == len(asked_s)  # none was asked twice
    # The next one when the first has taken twice as long as before.
    waits_s = [round(s - asked_s[0], 1) for s in asked_s]
    assert waits_s[:5] == [0.0, 0.5, 1.0, 2.0, 4.0]
    assert len(asked_s) == 7


def test_nobody_is_asked_twice_at_the_same_time():
    lag = make_lag()
    for number in range(3):
        name = lag.choose(PEERS, far, 0.0)
        lag.record_fetching(name, 0.0)
        assert len(lag.fetching) == number + 1
    assert lag.choose(PEERS, far, 0.0) is None
    lag.record_ended('b')
    assert lag.choose(PEERS, far, 0.0) == 'b'


@pytest.mark.parametrize('fleet_size', [9, 18, 84, 114, 195, 500])
@pytest.mark.parametrize('apply_s', [2.0, 3.0])
@pytest.mark.parametrize('trickles', [False, True])
def test_the_store_is_asked_in_time_where_no_peer_helps(
    fleet_size, apply_s, trickles
):
    """Bounds were constants, and added up to more than the setting."""
    terms = LagTerms(apply_s, 6000.0)
    latest_s = 0.0
    for _ in range(200):
        lag = make_lag()
        for step in range(200):
            now_s = step * STEP_S
            if trickles:
                lag.record_progress(now_s)
            if lag.needs_store(fleet_size, now_s, terms):
                latest_s = max(latest_s, now_s)
                break
    # A quarter of the time is left to list the objects and decode them.
    assert latest_s <= 0.75 * apply_s


def test_a_lag_is_reported_with_its_start_and_its_end():
    lag = make_lag()
    reported = [
        step / 10 for step in range(260) if lag.is_due_report(step / 10)
    ]
    assert reported == [2.0, 12.0, 22.0]
    assert lag.set_ahead(True, 1, 26.0) is None
    # A part has arrived, so that the rest is a lag of its own.
    assert lag.set_ahead(True, 2, 27.0) == 27.0
    assert lag.lag_s(28.0) == 1.0
    assert lag.set_ahead(False, 2, 28.0) is None
    assert lag.lag_s(40.0) == 0.0
