"""What targets say of themselves keeps requests from them."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from wigeonfall.model.target import Target
from wigeonfall.policy.targets.load_balancer import LoadBalancer
from wigeonfall.policy.targets.target_choice import TimeBudget
from wigeonfall.policy.targets.target_signals import MAX_PAUSE_S
from wigeonfall.policy.targets.target_signals import parse_pause_s
from wigeonfall.policy.targets.target_signals import says_leaving
from wigeonfall.policy.targets.target_signals import TargetSignals
from wigeonfall.policy.targets.target_stats import RequestSize

BUDGET = TimeBudget(1.0, 2.0, 10.0)
NAMES = ('a', 'b')
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('leaves'), st.sampled_from(NAMES)),
        st.tuples(st.just('pauses'), st.sampled_from(NAMES), st.floats(0, 20)),
        st.tuples(st.just('restarts'), st.sampled_from(NAMES)),
        st.tuples(st.just('entries are lost'), st.sampled_from(NAMES)),
        st.tuples(st.just('entries are listed'), st.sampled_from(NAMES)),
        st.tuples(st.just('peer tells'), st.sampled_from(NAMES)),
        st.tuples(st.just('time passes'), st.floats(0, 30)),
        st.tuples(st.just('maintenance'), st.none()),
    ),
    max_size=30,
)


def _target(name, incarnation):
    return Target(name, 's', 'dc', '10.0.0.1:1', incarnation, slots=8)


@given(STEPS)
def test_no_sequence_lets_a_request_through(steps):
    balancer = LoadBalancer('dc')
    incarnations = dict.fromkeys(NAMES, 1)
    listed = set(NAMES)
    left: set[tuple[str, int]] = set()
    paused_until_s: dict[tuple[str, int], float] = {}
    now_s = 1.0

    def list_targets():
        balancer.set_targets(_target(n, incarnations[n]) for n in listed)

    list_targets()
    for step, *values in steps:
        name = values[0]
        if step == 'leaves' and name in listed:
            balancer.record_leaving(name, now_s)
            left.add((name, incarnations[name]))
        elif step == 'pauses' and name in listed:
            balancer.record_requested_pause(name, values[1], now_s)
            key = (name, incarnations[name])
            until_s = now_s + values[1]
            paused_until_s[key] = max(until_s, paused_until_s.get(key, 0.0))
        elif step == 'restarts':
            incarnations[name] += 1
        elif step == 'entries are lost':
            listed.discard(name)
        elif step == 'entries are listed':
            listed.add(name)
        elif step == 'peer tells':
            key = f'{name}/{incarnations[name]}'
            balancer.signals.merge({key: 1.0}, now_s)
            left.add((name, incarnations[name]))
        elif step == 'time passes':
            now_s += name
        else:
            keys = {f'{n}/{incarnations[n]}' for n in listed}
            balancer.signals.keep(keys, now_s)
        list_targets()
        for name in listed:
            key = (name, incarnations[name])
            forbidden = key in left or now_s < paused_until_s.get(key, 0.0)
            chosen = balancer.choose(
                balancer.estimates((name,), now_s),
                RequestSize(10, 10),
                BUDGET,
                now_s,
            )
            assert not (forbidden and chosen)
            assert balancer.allows(name, now_s) == (not forbidden)


def test_a_target_comes_back_from_a_pause_with_one_request_at_a_time():
    balancer = LoadBalancer('dc')
    balancer.set_targets((_target('a', 1),))
    balancer.record_first_event('a', 100, 0.1, 0.0)
    balancer.record_requested_pause('a', 2.0, 0.0)

    def is_open(now_s):
        (estimate,) = balancer.estimates(('a',), now_s)
        return estimate.is_open(now_s)

    assert [is_open(1.9), is_open(2.1)] == [False, True]
    balancer.request_sent('a', RequestSize(10, 10))
    assert not is_open(2.2)
    balancer.record_first_event('a', 100, 0.1, 2.3)
    assert is_open(2.3)


@pytest.mark.parametrize(
    ('values', 'pause_s'),
    [
        ([], None),
        ([b''], None),
        ([b'-1'], None),
        ([b'soon'], None),
        ([b'inf'], None),
        ([b'nan'], None),
        ([b'1e9'], None),
        ([b'1_0'], None),
        (['٣'.encode()], None),
        ([b'Sun, 06 Nov 1994 08:49:37 GMT'], None),
        ([b'9' * 5000], None),
        ([b'0'], 0.0),
        ([b' 2.5 '], 2.5),
        ([b'1', b'soon', b'3'], 3.0),
        ([b'999999999999'], MAX_PAUSE_S),
    ],
)
def test_odd_pauses_have_one_meaning(values, pause_s):
    assert parse_pause_s(values) == pause_s


def test_only_a_one_says_that_a_target_leaves():
    assert says_leaving([b'0', b' 1 '])
    for values in ([], [b''], [b'0'], [b'true'], [b'11']):
        assert not says_leaving(values)


def test_memory_of_targets_is_bounded(monkeypatch):
    monkeypatch.setattr(
        'wigeonfall.policy.targets.target_signals.MAX_TARGETS', 3
    )
    signals = TargetSignals()
    for number in range(10):
        signals.mark_leaving(f't{number}/1', number)
        signals.pause(f't{number}/1', 0.5, number)
    assert len(signals.leaving_s) == 3
    assert len(signals.paused_until_s) <= 4
