"""Tests of queueing, dispatch and refusal, some under simulated load."""

import heapq

import attrs
import pytest

from tests.policy.test_load_balancer import make_balancer
from tests.policy.test_load_balancer import train
from wigeonfall.policy.room import patience
from wigeonfall.policy.room.pending import PendingRequest
from wigeonfall.policy.room.waiting import RequestQueue
from wigeonfall.policy.targets.target_stats import RequestSize

GOAL_S = 0.8
PATIENCE_S = 3.2


def make_request(name, arrived_s=0.0, rank=0, is_retry=False):
    wait_s = patience.wait_limit_s(True, GOAL_S, 0.2, 15.0, is_retry)
    return PendingRequest(
        id=name,
        rank=rank,
        is_retry=is_retry,
        arrived_s=arrived_s,
        goal_s=arrived_s + GOAL_S,
        patience_s=arrived_s + PATIENCE_S,
        deadline_s=arrived_s + 15.0,
        queue_deadline_s=arrived_s + wait_s,
        size=RequestSize(600, 100),
    )


def dispatch(queue, now_s, peers=None):
    return [
        pending.id for pending, _ in queue.dispatch(('a',), peers or {}, now_s)
    ]


def make_queue(slots=1, draw=lambda: 0.5):
    balancer = make_balancer('a', slots=slots)
    train(balancer, 'a', 0.1)
    return balancer, RequestQueue(balancer, draw)


def test_lower_ranks_go_first():
    _, queue = make_queue()
    queue.add(make_request('low', 0.0, rank=1))
    queue.add(make_request('high', 0.1, rank=0))
    assert dispatch(queue, 0.2) == ['high']


def test_requests_that_can_meet_their_goal_go_before_others():
    _, queue = make_queue()
    queue.add(make_request('late', 0.0))
    queue.add(make_request('back', 0.1, is_retry=True))
    queue.add(make_request('in-time', 0.9))
    assert dispatch(queue, 1.0) == ['in-time']


def test_retries_go_before_late_requests():
    _, queue = make_queue()
    queue.add(make_request('late', 0.0))
    queue.add(make_request('back', 0.05, is_retry=True))
    assert dispatch(queue, 1.0) == ['back']


def test_short_requests_go_first():
    _, queue = make_queue(slots=10)
    short = RequestSize(600, 4)
    queue.add(make_request('late', 0.0))
    queue.add(make_request('middle', 0.9, rank=1))
    queue.add(attrs.evolve(make_request('short', 0.9, rank=2), size=short))
    queue.add(make_request('urgent', 0.95))
    assert dispatch(queue, 1.0) == ['short', 'urgent', 'middle', 'late']


def test_late_short_request_keeps_the_order_of_its_rank():
    _, queue = make_queue(slots=10)
    late = attrs.evolve(
        make_request('short', 0.0, rank=2), size=RequestSize(600, 4)
    )
    queue.add(late)
    queue.add(make_request('middle', 0.9, rank=1))
    assert dispatch(queue, 1.0) == ['middle', 'short']


def test_requests_past_their_queue_deadline_are_removed():
    _, queue = make_queue()
    queue.add(make_request('a', 0.0))
    assert queue.pop_expired(1.0) == []
    assert [pending.id for pending in queue.pop_expired(2.0)] == ['a']
    assert len(queue) == 0


def test_slots_are_shared_in_proportion_to_waiting_requests():
    balancer, queue = make_queue(slots=10)
    for n in range(10):
        queue.add(make_request(f'w{n}', 0.0))
    assert len(dispatch(queue, 0.1, {0: 30})) == pytest.approx(2.5, abs=0.5)


def test_requests_of_peers_that_are_ahead_go_first():
    _, queue = make_queue(slots=4)
    _, peer = make_queue(slots=4)
    queue.add(make_request('low', 0.0, rank=1))
    for n in range(5):
        peer.add(make_request(f'high-{n}', 0.0))
        peer.add(make_request(f'late-{n}', -2.0, rank=1))
    list(peer.dispatch((), {}, 0.1))
    assert dispatch(queue, 0.1, peer.counts_by_class()) == []


def test_late_requests_of_peers_go_after_those_that_can_meet_their_goal():
    _, queue = make_queue(slots=4)
    queue.add(make_request('in-time', 0.0))
    assert dispatch(queue, 0.1, {2: 50}) == ['in-time']


def test_short_requests_of_all_ranks_keep_their_order():
    _, queue = make_queue(slots=10)
    for rank in (2, 0, 1):
        pending = make_request(f'rank-{rank}', 0.9, rank=rank)
        queue.add(attrs.evolve(pending, size=RequestSize(600, 4)))
    assert dispatch(queue, 1.0) == ['rank-0', 'rank-1', 'rank-2']


def test_wait_limit_leaves_the_target_time_within_the_patience():
    wait_s = patience.wait_limit_s(True, GOAL_S, 0.2, 15.0)
    assert 0 < wait_s < patience.patience_s(GOAL_S, 0.2) == PATIENCE_S
    assert patience.wait_limit_s(True, 0.3, 0.2, 1.0) == pytest.approx(0.6)
    wait_s = patience.wait_limit_s(True, 0.3, 0.2, 1.0, is_retry=True)
    assert wait_s == pytest.approx(0.75)
    assert patience.wait_limit_s(False, 0.3, 0.0, 1.5) < 1.5


def test_retry_delay_is_within_what_callers_honour():
    _, queue = make_queue()
    for n in range(400):
        queue.add(make_request(f'w{n}', 0.0))
    dispatch(queue, 0.1)
    refused = make_request('refused', 0.0)
    for left_s in (1.5, 12.0, 12.0):
        refused = attrs.evolve(refused, deadline_s=0.1 + left_s)
        delay_s = queue.retry_after_s(refused, 0.1)
        assert delay_s is not None and 0 < delay_s <= left_s / 3
    short = attrs.evolve(refused, deadline_s=0.6)
    assert queue.retry_after_s(short, 0.1) is None


def simulate_overload(by_arrival, load=2.0, seconds=20, slots=10):
    """Simulate an overload and return the share of answers in time."""
    balancer, queue = make_queue(slots=slots)
    gap_s = 1.0 / (slots * load)  # each answer takes a second
    in_time = answered = 0
    ends: list[float] = []
    now_s = 10.0
    for n in range(int(seconds / gap_s)):
        now_s += gap_s
        while ends and ends[0] <= now_s:
            heapq.heappop(ends)
            balancer.request_ended('a')
        queue.add(make_request(str(n), now_s))
        queue.pop_expired(now_s)
        if by_arrival:
            dispatched = dispatch_by_arrival(balancer, queue, slots)
        else:
            dispatched = [w for w, _ in queue.dispatch(('a',), {}, now_s)]
        for pending in dispatched:
            balancer.mark_prompt_read('a', pending.size)
            heapq.heappush(ends, now_s + 1.0)
            answered += 1
            in_time += now_s + 0.1 <= pending.goal_s
    return in_time / answered


def dispatch_by_arrival(balancer, queue, slots):
    dispatched = []
    queued = queue._pending
    while queued and balancer.all_stats()[0].own_requests < slots:
        pending = min(queued.values(), key=lambda w: w.arrived_s)
        queue.remove(pending.id)
        balancer.request_sent('a', pending.size)
        dispatched.append(pending)
    return dispatched


def test_long_overload_is_answered_in_time_instead_of_in_order():
    """At twice the capacity for 20 s, order of arrival makes most late."""
    assert simulate_overload(by_arrival=True) < 0.2
    assert simulate_overload(by_arrival=False) > 0.95


def served_by_rank(seconds=30, slots=10):
    """Simulate a lasting overload and return the share served by rank.

    Long requests of rank 0 need 0.6 of all slots, those of rank 1 need 0.5,
    short requests of rank 2 need 0.3. No caller retries.
    """
    balancer = make_balancer('a', slots=slots)
    balancer.record_first_event('a', 0, 0.02, 0.0)
    balancer.record_answer('a', RequestSize(0, 100), 1.0, 0.0)
    queue = RequestQueue(balancer, lambda: 0.5)
    classes = ((0, 150, 0.6), (1, 120, 0.5), (2, 10, 0.3))
    arrived, served = [0, 0, 0], [0, 0, 0]
    due = [0.0, 0.0, 0.0]
    running = []
    for step in range(seconds * 100):
        now_s = step * 0.01
        for rank, tokens, share in classes:
            while due[rank] <= now_s:
                due[rank] += tokens * 0.01 / (share * slots)
                arrived[rank] += 1
                queue.add(
                    PendingRequest(
                        f'{rank}-{arrived[rank]}',
                        rank,
                        False,
                        now_s,
                        now_s + 0.3,
                        now_s + 3.0,
                        now_s + 12.0,
                        now_s + 1.8,
                        RequestSize(0, tokens),
                    )
                )
        for ended_s in [end_s for end_s in running if end_s <= now_s]:
            running.remove(ended_s)
            balancer.request_ended('a')
        queue.pop_expired(now_s)
        for pending, _ in queue.dispatch(('a',), {}, now_s):
            served[pending.rank] += 1
            balancer.mark_prompt_read('a', pending.size)
            running.append(now_s + pending.size.answer_tokens * 0.01)
    return [s / a for s, a in zip(served, arrived, strict=True)]


def test_no_rank_is_served_less_often_than_a_less_urgent_one():
    """Guards against starvation in an overload that lasts a whole day."""
    shares = served_by_rank()
    assert shares[0] >= shares[1] - 0.05
    assert shares[1] >= shares[2] - 0.05
