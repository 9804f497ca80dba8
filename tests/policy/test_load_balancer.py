"""Tests of room at targets and of the choice between them."""

import attrs

from wigeonfall.model.target import Target
from wigeonfall.policy.load_balancer import Bounds
from wigeonfall.policy.load_balancer import LoadBalancer
from wigeonfall.policy.load_balancer import PeerLoad
from wigeonfall.policy.load_balancer import RequestSize
from wigeonfall.policy.load_balancer import TargetLoad
from wigeonfall.policy.load_balancer import UNSEEN_REQUESTS
from wigeonfall.policy.moving_average import PeerAverage

EASY = Bounds(goal_s=1.0, patience_s=3.0, left_s=15.0)
SMALL = RequestSize(600, 100)


def make_balancer(*names, slots=4):
    balancer = LoadBalancer('dc')
    balancer.set_targets(
        Target(name, 's', 'dc', f'10.0.0.{n}:1', slots=slots)
        for n, name in enumerate(names)
    )
    return balancer


def teach(balancer, name, first_s, answer_s=0.5):
    for n in range(5):
        balancer.record_first_event(name, 0, first_s, n * 0.1)
        balancer.record_answer(name, SMALL, answer_s, n * 0.1)


def choose(balancer, names, size=SMALL, bounds=EASY, now_s=1.0):
    estimates = balancer.estimates(names, now_s)
    found = balancer.choose(estimates, size, bounds, now_s)
    return found.stats.target.name if found else None


def test_a_faster_target_goes_first_and_a_full_one_gets_nothing():
    balancer = make_balancer('slow', 'fast')
    teach(balancer, 'slow', 0.5)
    teach(balancer, 'fast', 0.1)
    for _ in range(4):
        assert choose(balancer, ('slow', 'fast')) == 'fast'
        balancer.request_sent('fast', RequestSize())
    assert choose(balancer, ('slow', 'fast')) == 'slow'


def test_what_peers_have_outstanding_takes_room():
    balancer = make_balancer('a', 'b')
    teach(balancer, 'a', 0.1)
    teach(balancer, 'b', 0.3)
    nothing = PeerAverage(0.0, 0.0)
    load = TargetLoad(4, 0.0, nothing, nothing)
    balancer.set_peer_loads([PeerLoad({'a': load}, {})])
    assert choose(balancer, ('a', 'b')) == 'b'


def test_prompts_that_are_not_read_yet_hold_up_a_new_one():
    balancer = make_balancer('a', 'b')
    teach(balancer, 'a', 0.10)
    teach(balancer, 'b', 0.12)
    balancer.request_sent('a', RequestSize(prompt_tokens=50_000))
    assert choose(balancer, ('a', 'b')) == 'b'
    balancer.mark_prompt_read('a', RequestSize(prompt_tokens=50_000))
    balancer.request_ended('a')
    assert choose(balancer, ('a', 'b')) == 'a'


def test_a_target_that_would_outlast_patience_gets_nothing():
    """A wait that the caller does not bear is lost twice."""
    balancer = make_balancer('slow')
    teach(balancer, 'slow', 0.5)
    hurry = attrs.evolve(EASY, patience_s=0.4)
    assert choose(balancer, ('slow',), bounds=hurry) is None


def test_an_answer_goes_where_it_ends_in_time_if_it_does_anywhere():
    """Short time limits at a slow target ended without an answer."""
    balancer = make_balancer('slow', 'fast', slots=1)
    teach(balancer, 'slow', 0.1, answer_s=4.0)
    teach(balancer, 'fast', 0.1, answer_s=1.0)
    hurry = attrs.evolve(EASY, left_s=3.0)
    balancer.request_sent('fast', RequestSize())
    assert choose(balancer, ('slow', 'fast'), bounds=hurry) is None
    assert choose(balancer, ('slow',), bounds=hurry) == 'slow'


def test_a_target_of_which_nothing_is_known_gets_few_requests():
    balancer = make_balancer('new', slots=14)
    sent = 0
    while choose(balancer, ('new',)) == 'new':
        balancer.request_sent('new', SMALL)
        sent += 1
    assert sent == UNSEEN_REQUESTS


def test_a_broken_target_is_probed_by_one_request():
    balancer = make_balancer('a')
    teach(balancer, 'a', 0.1)
    balancer.record_broken_connection('a', 1.0)
    assert choose(balancer, ('a',), now_s=1.1) is None
    assert choose(balancer, ('a',), now_s=2.0) == 'a'
    balancer.request_sent('a', SMALL)
    assert choose(balancer, ('a',), now_s=2.0) is None
    balancer.record_first_event('a', 0, 0.1, 2.1)
    assert choose(balancer, ('a',), now_s=2.2) == 'a'


def test_long_pauses_lower_a_limit_and_short_ones_raise_it():
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


def test_a_new_start_under_the_same_name_is_learned_anew():
    balancer = make_balancer('a')
    teach(balancer, 'a', 0.1)
    balancer.set_targets([Target('a', 's', 'dc', '10.0.0.0:1', incarnation=2)])
    (stats,) = balancer.all_stats()
    assert stats.estimate(1.0).first_s(SMALL) == 0.0
