"""Rate limits of customers, enforced over all instances.

Each instance reports the recent demand of its active customers to its peers,
counting refused requests too, and admits its share of each limit.
"""

from collections.abc import Callable
import json
import threading
import time
from typing import Any

import attrs
from result import Err
from result import Ok
from result import Result

from .. import decoding
from ..model.customer import Customer
from ..model.refusal import Code
from ..model.refusal import not_run
from ..model.refusal import Refusal
from ..policy.room import rate_limits
from ..ports.peers import Topic
from .admission import LiveInstances

TOPIC = 'customer-demand'
REPORT_TTL_S = 3.0
MIN_DEMAND_PER_S = 0.01


@attrs.define
class _CustomerState:
    """State of a customer at this instance.

    Attributes:
        customer: the customer, as configured.
        first_seen_s: time of its first request since it was last idle.
        bucket: the token bucket for this instance's share of the limit.
        demand: recent demand at this instance.
    """

    customer: Customer
    first_seen_s: float
    bucket: rate_limits.TokenBucket
    demand: rate_limits.Demand = attrs.field(factory=rate_limits.Demand)


@attrs.frozen
class _Report:
    """Demand of customers at a peer.

    Attributes:
        at_unix_ms: when the peer made the report, on the peer's clock.
        received_s: when it was received, on this process's monotonic clock.
        demand_per_s: requests per second by customer.
    """

    at_unix_ms: int
    received_s: float
    demand_per_s: dict[str, float]


class RateLimiter:
    """Applies the rate limits of all customers at one instance.

    Args:
        live_instances: returns the instances that may be serving.
        monotonic: reads the monotonic clock when reports are sent or merged.
    """

    def __init__(
        self,
        live_instances: LiveInstances,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._live_instances = live_instances
        self._monotonic = monotonic
        self._customers: dict[str, _CustomerState] = {}
        self._reports: dict[str, _Report] = {}
        self._lock = threading.Lock()

    def check(
        self, customer: Customer, cost: float, now_s: float
    ) -> Result[None, Refusal]:
        """Count a request; refuse it if its customer exceeds its limit.

        Args:
            customer: the customer, with its limits.
            cost: tokens that the request takes; 1 for an ordinary request.
            now_s: present time on the monotonic clock.
        """
        with self._lock:
            state = self._customers.get(customer.name)
            if state is None:
                bucket = rate_limits.TokenBucket(now_s)
                state = _CustomerState(customer, now_s, bucket)
                self._customers[customer.name] = state
            state.customer = customer
            state.demand.add(cost, now_s)
            allowed = self._instance_limit(state, now_s)
            wait_s = state.bucket.take(cost, allowed, now_s)
        if wait_s > 0:
            message = f'the limit is {customer.rate_requests_per_s:g}/s'
            return Err(not_run(Code.LIMIT_EXCEEDED, message, wait_s))
        return Ok(None)

    def _instance_limit(
        self, state: _CustomerState, now_s: float
    ) -> rate_limits.RateLimit:
        customer = state.customer
        limit = rate_limits.RateLimit(
            customer.rate_requests_per_s, customer.burst_requests
        )
        return rate_limits.instance_limit(
            limit,
            state.demand.rate_per_s(now_s),
            self._peer_demand_per_s(customer.name, now_s),
            len(self._live_instances()),
            now_s - state.first_seen_s < rate_limits.SETTLING_S,
        )

    def _peer_demand_per_s(self, customer: str, now_s: float) -> float:
        return sum(
            report.demand_per_s.get(customer, 0.0)
            for report in self._reports.values()
            if now_s - report.received_s < REPORT_TTL_S
        )

    def snapshot(self, now_unix_s: float) -> bytes:
        """Return the encoded demand at this instance; drop idle customers."""
        now_s = self._monotonic()
        with self._lock:
            self._drop_idle(now_s)
            demand = {
                name: round(state.demand.rate_per_s(now_s), 3)
                for name, state in self._customers.items()
            }
        report = {'at': round(now_unix_s * 1000), 'demand': demand}
        return json.dumps(report, separators=(',', ':')).encode()

    def _drop_idle(self, now_s: float) -> None:
        for name, state in tuple(self._customers.items()):
            if state.demand.rate_per_s(now_s) >= MIN_DEMAND_PER_S:
                continue
            if state.bucket.is_full(self._instance_limit(state, now_s), now_s):
                del self._customers[name]

    def merge(self, payload: bytes, sender: str, now_unix_s: float) -> None:
        """Store the demand at a peer, unless a later report was received.

        Raises:
            ValueError: the payload is not a report.
        """
        now_s = self._monotonic()
        report = _decode(payload, now_s)
        with self._lock:
            known = self._reports.get(sender)
            if (
                known is None
                or known.at_unix_ms <= report.at_unix_ms
                or now_s - known.received_s >= REPORT_TTL_S
            ):
                self._reports[sender] = report


def _decode(payload: bytes, now_s: float) -> _Report:
    value: Any = decoding.loads(payload)
    try:
        demand = {
            str(name): float(rate) for name, rate in value['demand'].items()
        }
        return _Report(int(value['at']), now_s, demand)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f'not a demand report: {error!r}') from error


def make_topic(rate_limiter: RateLimiter) -> Topic:
    """Return the topic with which instances exchange their demand."""
    return Topic(TOPIC, rate_limiter.snapshot, rate_limiter.merge)
