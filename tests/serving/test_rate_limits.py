"""Tests of rate limits that several instances enforce together."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from wigeonfall.model import customer
from wigeonfall.model import instance
from wigeonfall.model import refusal
from wigeonfall.serving import rate_limits

INSTANCES = 9
PERIOD_S = 0.5
RATE_PER_S = 40.0
BURST = 20.0
CLIENT = customer.Customer('c', '', '', RATE_PER_S, BURST)


class Fleet:
    """Instances that exchange reports twice a second."""

    def __init__(self):
        self.now_s = 0.0
        live = tuple(
            instance.Instance(f'i{n}', 'dc', '') for n in range(INSTANCES)
        )
        self.limits = [
            rate_limits.RateLimiter(lambda: live, lambda: self.now_s)
            for _ in range(INSTANCES)
        ]
        self._swap_s = 0.0

    def send(self, at, now_s, client=CLIENT):
        """Return whether an instance admits a request."""
        while self._swap_s <= now_s:
            self.now_s = self._swap_s
            self.swap()
            self._swap_s += PERIOD_S
        self.now_s = now_s
        return self.limits[at].check(client, 1.0, now_s).is_ok()

    def swap(self):
        """Send the report of each instance to all others."""
        reports = [each.snapshot(self.now_s) for each in self.limits]
        for receiver, each in enumerate(self.limits):
            for sender, report in enumerate(reports):
                if sender != receiver:
                    each.merge(report, f'i{sender}', self.now_s)


def admitted(weights, offered_per_s, duration_s, seed, begin_s=0.0):
    """Return the numbers of requests admitted and offered after a time."""
    fleet = Fleet()
    source = random.Random(seed)
    offered = 0
    count = 0
    now_s = 0.0
    while now_s < duration_s:
        now_s += source.expovariate(offered_per_s)
        at = source.choices(range(INSTANCES), weights)[0]
        passed = fleet.send(at, now_s)
        if now_s >= begin_s:
            offered += 1
            count += passed
    return count, offered


@hypothesis.settings(max_examples=15)
@hypothesis.given(
    strategies.lists(
        strategies.sampled_from([0, 1, 3, 10]),
        min_size=INSTANCES,
        max_size=INSTANCES,
    ).filter(any),
    strategies.sampled_from([2.0, 10.0]),
    strategies.integers(0, 9),
)
def test_limit_holds_wherever_the_requests_arrive(weights, excess, seed):
    """Steady traffic above the limit is admitted at the limit, within 10 %."""
    count, _ = admitted(weights, excess * RATE_PER_S, 13, seed, begin_s=3)
    assert 0.9 * RATE_PER_S * 10 <= count <= 1.1 * RATE_PER_S * 10


@pytest.mark.parametrize('weights', [[1] * INSTANCES, [1] + [0] * 8])
def test_excess_over_the_limit_is_bounded_when_traffic_starts(weights):
    """In the first 3 s it is at most three bursts and 2 s of the limit."""
    count, _ = admitted(weights, 10 * RATE_PER_S, 3, 1)
    assert RATE_PER_S <= count <= 5 * RATE_PER_S + 3 * BURST


@pytest.mark.parametrize('weights', [[1] * INSTANCES, [1] + [0] * 8])
def test_customer_below_its_limit_is_admitted(weights):
    """At 80 % of the limit at most 2 % of the requests are refused."""
    offered_per_s = 0.8 * RATE_PER_S
    count, offered = admitted(weights, offered_per_s, 53, 2, begin_s=3)
    assert count >= 0.98 * offered


def test_disconnected_instance_falls_back_to_its_own_demand():
    """Reports of peers expire when they are no longer renewed."""
    fleet = Fleet()
    for step in range(400):
        fleet.send(step % 2, step / 100)
    alone = fleet.limits[0]
    shared = sum(
        alone.check(CLIENT, 1.0, 4 + n / 100).is_ok() for n in range(100)
    )
    own = sum(
        alone.check(CLIENT, 1.0, 8 + n / 100).is_ok() for n in range(100)
    )
    assert shared <= 0.75 * RATE_PER_S
    assert own >= RATE_PER_S


def test_refusal_says_when_to_retry():
    """A request after the stated delay is admitted."""
    fleet = Fleet()
    alone = fleet.limits[0]
    while (checked := alone.check(CLIENT, 1.0, 0.0)).is_ok():
        pass
    refused = checked.err_value
    assert refused.code is refusal.Code.LIMIT_EXCEEDED
    assert refused.run is refusal.Run.NOT_RUN
    assert not alone.check(CLIENT, 1.0, refused.retry_after_s / 2).is_ok()
    assert alone.check(CLIENT, 1.0, 2 * refused.retry_after_s).is_ok()


def test_outdated_reports_are_ignored_and_invalid_ones_raise():
    """A report older than the last one received changes nothing."""
    fleet = Fleet()
    topic = rate_limits.make_topic(fleet.limits[0])
    fleet.send(1, 1.0)
    old = fleet.limits[1].snapshot(1.0)
    for step in range(50):
        fleet.send(1, 1.0 + step / 100)
    topic.merge(fleet.limits[1].snapshot(2.0), 'i1', 2.0)
    known = fleet.limits[0]._peer_demand_per_s('c', 1.5)
    topic.merge(old, 'i1', 2.0)
    assert fleet.limits[0]._peer_demand_per_s('c', 1.5) == known
    for payload in (b'', b'[]', b'{"at":1}', b'{"at":1,"demand":{"c":"x"}}'):
        with pytest.raises(ValueError):
            topic.merge(payload, 'i1', 2.0)


def test_idle_customers_are_dropped():
    """Reports contain only active customers."""
    fleet = Fleet()
    fleet.send(0, 0.0)
    assert b'"c"' in fleet.limits[0].snapshot(0.0)
    fleet.now_s = 60.0
    assert b'"c"' not in fleet.limits[0].snapshot(60.0)
