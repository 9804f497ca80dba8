"""Tests of the quarantine of prompt parts that crash targets."""

import random
import time

from hypothesis import given
from hypothesis import strategies as st
import pytest

from wigeonfall.policy.targets import quarantine
from wigeonfall.policy.targets.quarantine import ANSWER_MEMORY_S
from wigeonfall.policy.targets.quarantine import QUARANTINE_S
from wigeonfall.policy.targets.quarantine import Quarantines
from wigeonfall.policy.targets.quarantine import SETTLE_S
from wigeonfall.policy.targets.quarantine import TARGETS_LOST

STABILITY_S = 3.0  # published time after which a part must be known
CRASHES = 5  # published number of crashes


def lose(quarantines, parts, count=TARGETS_LOST, at_s=0.0):
    for number in range(count):
        quarantines.record_lost(parts, f't{number}@{at_s}', at_s)


def settle(quarantines, now_s=SETTLE_S):
    quarantines.news(now_s)
    return now_s


def held(quarantines, parts, now_s, fleet_size=1):
    return quarantines.hold(parts, fleet_size, now_s) is not None


def test_requests_with_a_part_that_crashed_targets_are_held():
    quarantines = Quarantines('i1')
    quarantines.record_answered(['sound'], -1.0)
    lose(quarantines, ['sound', 'bad'])
    now_s = settle(quarantines)
    assert held(quarantines, ['sound', 'bad'], now_s)
    assert held(quarantines, ['bad', 'other'], now_s)
    assert not held(quarantines, ['sound'], now_s)
    (change,) = quarantines.take_changes()
    assert (change.part, change.number, change.targets) == ('bad', 1, 3)


def test_several_losses_at_one_target_are_one():
    quarantines = Quarantines('i1')
    for _ in range(10):
        quarantines.record_lost(['bad'], 't1', 0.0)
        quarantines.record_lost(['bad'], 't2', 0.0)
    assert not held(quarantines, ['bad'], settle(quarantines))


def test_parts_answered_lately_are_not_blamed_for_a_loss_of_all_targets():
    quarantines = Quarantines('i1')
    quarantines.record_answered(['common'], 0.0)
    lose(quarantines, ['common'], count=30, at_s=ANSWER_MEMORY_S - 1.0)
    assert not held(quarantines, ['common'], settle(quarantines, 100.0))


def test_a_sound_part_that_was_only_seen_beside_a_crashing_one_is_served():
    quarantines = Quarantines('i1')
    lose(quarantines, ['first', 'bad'])
    now_s = settle(quarantines)
    assert held(quarantines, ['first', 'bad'], now_s)
    assert not held(quarantines, ['first'], now_s)
    assert not held(quarantines, ['first', 'other'], now_s)
    quarantines.record_answered(['first', 'other'], now_s)
    assert held(quarantines, ['bad', 'other'], now_s)
    assert not held(quarantines, ['first'], now_s)


def test_a_loss_without_the_other_part_holds_all_requests_with_the_part():
    quarantines = Quarantines('i1')
    lose(quarantines, ['first', 'bad'])
    now_s = settle(quarantines)
    assert not held(quarantines, ['second', 'bad'], now_s)
    quarantines.record_lost(['second', 'bad'], 't9', now_s)
    assert held(quarantines, ['third', 'bad'], now_s)


def test_an_answer_ends_a_quarantine_at_all_instances():
    one, other = Quarantines('i1'), Quarantines('i2')
    lose(one, ['part'])
    now_s = settle(one)
    other.merge(one.news(now_s), now_s)
    assert held(other, ['part'], now_s)
    other.record_answered(['part'], now_s + 1.0)
    one.merge(other.news(now_s + 1.0), now_s + 1.0)
    assert not held(one, ['part'], now_s + 1.0)
    # The news that was on its way is older than the answer.
    assert one.news(now_s + 10.0) is None


def test_a_peer_that_knows_of_an_answer_prevents_the_quarantine():
    one, other = Quarantines('i1'), Quarantines('i2')
    other.record_answered(['part'], -5.0)
    lose(one, ['part'])
    other.merge(one.news(0.1), 0.2)
    one.merge(other.news(0.3), 0.4)
    assert not held(one, ['part'], settle(one, 2.0))


def test_one_request_after_a_quarantine_decides_on_the_next():
    quarantines = Quarantines('i1')
    lose(quarantines, ['part'])
    settle(quarantines)
    end_s = SETTLE_S + QUARANTINE_S
    assert held(quarantines, ['part'], end_s - 0.1)
    assert not held(quarantines, ['part'], end_s + 0.1)
    quarantines.record_sent(['part'], end_s + 0.1)
    assert held(quarantines, ['part'], end_s + 0.2)
    quarantines.record_lost(['part'], 'last', end_s + 0.3)
    assert held(quarantines, ['part'], end_s + 1.9 * QUARANTINE_S)
    assert not held(quarantines, ['part'], end_s + 2.1 * QUARANTINE_S)


def test_about_one_instance_of_many_tries_a_part():
    now_s = QUARANTINE_S + SETTLE_S + 1.0
    trying = 0
    for number in range(500):
        quarantines = Quarantines(f'i{number}')
        lose(quarantines, ['part'])
        settle(quarantines)
        trying += not held(quarantines, ['part'], now_s, fleet_size=500)
    assert trying <= 5


def test_a_part_that_nobody_sends_any_more_is_forgotten():
    quarantines = Quarantines('i1')
    lose(quarantines, ['part'])
    settle(quarantines)
    end_s = SETTLE_S + QUARANTINE_S + quarantine.FORGET_AFTER_S
    assert quarantines.held_count() == 1
    assert quarantines.news(end_s + 1.0) is None
    assert quarantines.held_count() == 0
    assert not held(quarantines, ['part'], end_s + 1.0, fleet_size=1000)


def test_a_quarantine_that_ended_is_not_revived_by_late_news():
    one, other = Quarantines('i1'), Quarantines('i2')
    lose(one, ['part'])
    now_s = settle(one)
    news = one.news(now_s)
    for _ in range(20):
        other.merge(news, now_s)
        now_s += QUARANTINE_S / 10
        told = other.news(now_s)
        if told is not None:
            one.merge(told, now_s)
        news = one.news(now_s) or news
    end_s = SETTLE_S + QUARANTINE_S
    assert not held(one, ['part'], end_s + 1.0)
    assert other.news(end_s + 1.0) is None


@pytest.mark.parametrize('seed', range(5))
def test_hundreds_of_instances_hold_a_part_within_the_published_time(seed):
    # All but the hubs hear hubs alone, and a fifth of the news is lost.
    draw = random.Random(seed)
    fleet = [Quarantines(f'i{n}') for n in range(300)]
    hubs, others = fleet[:4], fleet[4:]
    for number, instance in enumerate(draw.sample(others, CRASHES)):
        instance.record_lost(['bad'], f't{number}', 0.0)
    now_s = 0.0
    while now_s < STABILITY_S - 0.25:
        now_s += 0.25
        for sender in fleet:
            news = sender.news(now_s, 2 if sender in hubs else 1)
            for hearer in fleet if sender in hubs else hubs:
                if news and hearer is not sender and draw.random() > 0.2:
                    hearer.merge(news, now_s)
    assert all(held(i, ['bad'], STABILITY_S, 300) for i in fleet)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(['lost', 'answered']),
            st.sets(st.sampled_from('abcd'), min_size=1),
            st.integers(0, 5),
        ),
        max_size=30,
    )
)
def test_a_part_is_never_held_after_it_was_answered(steps):
    quarantines = Quarantines('i1')
    answered = set()
    for number, (kind, parts, target) in enumerate(steps):
        now_s = number * 0.4
        if kind == 'lost':
            quarantines.record_lost(sorted(parts), f't{target}', now_s)
        else:
            quarantines.record_answered(sorted(parts), now_s)
            answered |= parts
        quarantines.news(now_s)
        for part in answered:
            assert not held(quarantines, [part], now_s)


def test_prompts_without_end_of_new_parts_take_bounded_memory():
    quarantines = Quarantines('i1')
    for number in range(3 * quarantine.MAX_SUSPECTS):
        quarantines.record_lost([f'p{number}', 'bad'], f't{number}', 0.0)
    quarantines.record_answered(
        [f'q{n}' for n in range(3 * quarantine.MAX_ANSWERED)], 0.0
    )
    news = quarantines.news(SETTLE_S)
    assert len(news.lost) <= quarantine.MAX_NEWS_PARTS
    assert 'bad' in news.lost
    assert len(news.lost['bad'].lost_s) <= quarantine.MAX_TARGETS
    assert held(quarantines, ['bad'], SETTLE_S)


def test_a_loss_of_a_long_prompt_takes_linear_time():
    """A lost request of 1,200 parts held the event loop for 0.3 s."""

    def time_s(count):
        parts = [f'part {number}' for number in range(count)]
        times_s = []
        for _ in range(5):
            quarantines = Quarantines('i1')
            started_s = time.process_time()
            lose(quarantines, parts)
            times_s.append(time.process_time() - started_s)
        return min(times_s)

    # Sixteen times the parts; quadratic work takes 256 times as long.
    assert time_s(1600) < 64 * time_s(100)
