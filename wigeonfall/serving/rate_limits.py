"""Limits of customers over all instances.

Each instance reports the recent demand of the customers that are active at
it, admitted or not, and lets through its part of each limit.
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

from ..model.customer import Customer
from ..model.refusal import Code
from ..model.refusal import not_run
from ..model.refusal import Refusal
from ..policy import rate_limits
from ..ports.peers import Topic
from .admission import LiveInstances

TOPIC = 'customer-demand'
REPORT_LIFE_S = 3.0
LEAST_DEMAND_PER_S = 0.01


@attrs.define
class _Active:
    """What is known here of a customer."""

    customer: Customer
    since_s: float
    bucket: rate_limits.TokenBucket
    demand: rate_limits.Demand = attrs.field(factory=rate_limits.Demand)


@attrs.frozen
class _Report:
    """The demand at a peer by customer.

    Attributes:
        at_unix_ms: when the peer wrote it, on the peer's clock.
        received_s: when it came, on this process's monotonic clock.
        demand_per_s: requests per second by customer.
    """

    at_unix_ms: int
    received_s: float
    demand_per_s: dict[str, float]


class RateLimiter:
    """The limits of all customers, as one instance applies them.

    Args:
        live_instances: returns the instances that may be serving.
        monotonic: returns the present time when reports come and go.
    """

    def __init__(
        self,
        live_instances: LiveInstances,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._live_instances = live_instances
        self._monotonic = monotonic
        self._active: dict[str, _Active] = {}
        self._reports: dict[str, _Report] = {}
        self._lock = threading.Lock()

    def check(
        self, customer: Customer, cost: float, now_s: float
    ) -> Result[None, Refusal]:
        """Count a request and refuse it if its customer is above its limit.

        Args:
            customer: the customer, with its limits.
            cost: what the request counts for, 1 for an ordinary one.
            now_s: present time on the monotonic clock.
        """
        with self._lock:
            active = self._active.get(customer.name)
            if active is None:
                bucket = rate_limits.TokenBucket(now_s)
                active = _Active(customer, now_s, bucket)
                self._active[customer.name] = active
            active.customer = customer
            active.demand.add(cost, now_s)
            allowed = self._instance_limit(active, now_s)
            wait_s = active.bucket.take(cost, allowed, now_s)
        if wait_s > 0:
            message = f'the limit is {customer.rate_requests_per_s:g}/s'
            return Err(not_run(Code.LIMIT_EXCEEDED, message, wait_s))
        return Ok(None)

    def _instance_limit(
        self, active: _Active, now_s: float
    ) -> rate_limits.RateLimit:
        customer = active.customer
        limit = rate_limits.RateLimit(
            customer.rate_requests_per_s, customer.burst_requests
        )
        return rate_limits.instance_limit(
            limit,
            active.demand.rate_per_s(now_s),
            self._demand_elsewhere(customer.name, now_s),
            len(self._live_instances()),
            now_s - active.since_s < rate_limits.SETTLING_S,
        )

    def _demand_elsewhere(self, customer: str, now_s: float) -> float:
        return sum(
            report.demand_per_s.get(customer, 0.0)
            for report in self._reports.values()
            if now_s - report.received_s < REPORT_LIFE_S
        )

    def snapshot(self, now_unix_s: float) -> bytes:
        """Return the encoded demand here, and forget idle customers."""
        now_s = self._monotonic()
        with self._lock:
            self._forget_idle(now_s)
            demand = {
                name: round(active.demand.rate_per_s(now_s), 3)
                for name, active in self._active.items()
            }
        report = {'at': round(now_unix_s * 1000), 'demand': demand}
        return json.dumps(report, separators=(',', ':')).encode()

    def _forget_idle(self, now_s: float) -> None:
        for name, active in tuple(self._active.items()):
            if active.demand.rate_per_s(now_s) >= LEAST_DEMAND_PER_S:
                continue
            if active.bucket.is_full(
                self._instance_limit(active, now_s), now_s
            ):
                del self._active[name]

    def merge(self, payload: bytes, sender: str, now_unix_s: float) -> None:
        """Take the demand at a peer, unless a later report has come.

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
                or now_s - known.received_s >= REPORT_LIFE_S
            ):
                self._reports[sender] = report


def _decode(payload: bytes, now_s: float) -> _Report:
    value: Any = json.loads(payload)
    try:
        demand = {
            str(name): float(rate) for name, rate in value['demand'].items()
        }
        return _Report(int(value['at']), now_s, demand)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f'not a demand report: {error!r}') from error


def make_topic(own_limits: RateLimiter) -> Topic:
    """Return the topic by which instances report their demand."""
    return Topic(TOPIC, own_limits.snapshot, own_limits.merge)
