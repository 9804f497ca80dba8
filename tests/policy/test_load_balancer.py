"""Tests of the load of targets and of the choice among them."""

import attrs

from wigeonfall.model.target import Target
from wigeonfall.policy.targets.load_balancer import LoadBalancer
from wigeonfall.policy.targets.moving_average import PeerAverage
from wigeonfall.policy.targets.target_choice import TimeBudget
from wigeonfall.policy.targets.target_stats import PeerLoad
from wigeonfall.policy.targets.target_stats import RequestSize
from wigeonfall.policy.targets.target_stats import TargetLoad
from wigeonfall.policy.targets.target_stats import UNKNOWN_TARGET_REQUESTS

RELAXED = TimeBudget(goal_s=1.0, patience_s=3.0, time_left_s=15.0)
SMALL_SIZE = RequestSize(600, 100)


def make_balancer(*names, slots=4):
    balancer = LoadBalancer('dc')
    balancer.set_targets(
        Target(name, 's', 'dc', f'10.0.0.{n}:1', slots=slots)
        for n, name in enumerate(names)
    )
    return balancer


def train(balancer, name, first_s, answer_s=0.5):
    for n in range(5):
        balancer.record_first_event(name, 0, first_s, n * 0.1)
        balancer.record_answer(name, SMALL_SIZE, answer_s, n * 0.1)


def choose(
    balancer,
    names,
    size=SMALL_SIZE,
    budget=RELAXED,
    now_s=1.0,
    crowded=False,
):
    estimates = balancer.estimates(names, now_s)
    chosen = balancer.choose(estimates, size, budget, now_s, crowded=crowded)
    return chosen.stats.target.name if chosen else None


def test_faster_target_is_chosen_until_it_is_full():
    balancer = make_balancer('slow', 'fast')
    train(balancer, 'slow', 0.5)
    train(balancer, 'fast', 0.1)
    for _ in range(4):
        assert choose(balancer, ('slow', 'fast')) == 'fast'
        balancer.request_sent('fast', RequestSize())
    assert choose(balancer, ('slow', 'fast')) == 'slow'


def test_requests_of_peers_count_against_the_limit():
    balancer = make_balancer('a', 'b')
    train(balancer, 'a', 0.1)
    train(balancer, 'b', 0.3)
    unknown = PeerAverage(0.0, 0.0)
    load = TargetLoad(4, 0.0, unknown, unknown)
    balancer.set_peer_loads([PeerLoad({'a': load}, {})])
    assert choose(balancer, ('a', 'b')) == 'b'


def test_queued_prompts_add_to_the_time_to_a_first_event():
    balancer = make_balancer('a', 'b')
    train(balancer, 'a', 0.10)
    train(balancer, 'b', 0.12)
    balancer.request_sent('a', RequestSize(prompt_tokens=50_000))
    assert choose(balancer, ('a', 'b')) == 'b'
    balancer.mark_prompt_read('a', RequestSize(prompt_tokens=50_000))
    balancer.request_ended('a')
    assert choose(balancer, ('a', 'b')) == 'a'


def test_target_slower_than_the_callers_patience_is_not_chosen():
    """A caller that gives up wastes the wait and the work of the target."""
    balancer = make_balancer('slow')
    train(balancer, 'slow', 0.5)
    short = attrs.evolve(RELAXED, patience_s=0.4)
    assert choose(balancer, ('slow',), budget=short) is None


def test_target_that_misses_the_deadline_is_last_resort():
    """Requests with short deadlines ended unanswered at a slow target."""
    balancer = make_balancer('slow', 'fast', slots=1)
    train(balancer, 'slow', 0.1, answer_s=4.0)
    train(balancer, 'fast', 0.1, answer_s=1.0)
    short = attrs.evolve(RELAXED, time_left_s=3.0)
    balancer.request_sent('fast', RequestSize())
    assert choose(balancer, ('slow', 'fast'), budget=short) is None
    assert choose(balancer, ('slow',), budget=short) == 'slow'


def test_unknown_target_gets_few_requests():
    balancer = make_balancer('new', slots=14)
    sent = 0
    while choose(balancer, ('new',)) == 'new':
        balancer.request_sent('new', SMALL_SIZE)
        sent += 1
    assert sent == UNKNOWN_TARGET_REQUESTS


def test_target_with_broken_connections_is_probed_by_one_request():
    balancer = make_balancer('a')
    train(balancer, 'a', 0.1)
    balancer.record_broken_connection('a', 1.0)
    assert choose(balancer, ('a',), now_s=1.1) is None
    assert choose(balancer, ('a',), now_s=2.0) == 'a'
    balancer.request_sent('a', SMALL_SIZE)
    assert choose(balancer, ('a',), now_s=2.0) is None
    balancer.record_first_event('a', 0, 0.1, 2.1)
    assert choose(balancer, ('a',), now_s=2.2) == 'a'


def test_long_pauses_lower_the_limit_and_short_ones_raise_it():
    balancer = make_balancer('a', slots=10)
    for _ in range(9):
        balancer.request_sent('a', RequestSize())
    balancer.record_pause('a', 0.19, 0.2, 10.0)
    (stats,) = balancer.all_stats()
    assert stats.limit < 9
    lowered = stats.limit
    for n in range(20):
        balancer.record_pause('a', 0.05, 0.2, 11.0 + n)
    assert lowered < stats.limit <= 10


def test_new_incarnation_starts_with_fresh_statistics():
    balancer = make_balancer('a')
    train(balancer, 'a', 0.1)
    balancer.set_targets([Target('a', 's', 'dc', '10.0.0.0:1', incarnation=2)])
    (stats,) = balancer.all_stats()
    assert stats.estimate(1.0).first_s(SMALL_SIZE) == 0.0


def lowered_target():
    """Return a target of 7 slots whose limit fell to 3, with 3 running."""
    balancer = make_balancer('a', slots=7)
    train(balancer, 'a', 0.1)
    for n in range(20):
        balancer.record_pause('a', 0.3, 0.2, 2.0 + n)
    for _ in range(3):
        balancer.request_sent('a', RequestSize())
    return balancer


def test_lowered_limit_binds_long_prompts_alone_while_many_wait():
    """At the worst load, 5 of 7 slots were used while requests waited."""
    balancer = lowered_target()
    long_prompt = RequestSize(6_600, 400)
    assert choose(balancer, ('a',), long_prompt, now_s=30.0) is None
    short_prompt = RequestSize(600, 300)
    assert choose(balancer, ('a',), short_prompt, now_s=30.0) is None
    assert (
        choose(balancer, ('a',), long_prompt, now_s=30.0, crowded=True) is None
    )
    sent = 0
    while choose(balancer, ('a',), short_prompt, now_s=30.0, crowded=True):
        balancer.request_sent('a', RequestSize())
        sent += 1
    assert sent == 4


def test_one_long_pause_while_few_run_does_not_empty_a_target():
    """A limit of 7 fell to 3 after one stream that ended alone there."""
    balancer = make_balancer('a', slots=7)
    balancer.request_sent('a', RequestSize())
    lowered = balancer.record_pause('a', 0.3, 0.2, 10.0)
    assert lowered is not None and 5 <= lowered < 7
