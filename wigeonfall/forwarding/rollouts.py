"""Takes part in rollouts: limits new versions, collects evidence, decides."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import attrs
from result import Err

from .. import decoding
from ..events import Event
from ..model.target import Target
from ..policy.targets.load_balancer import LoadBalancer
from ..policy.targets.target_stats import RequestSize
from ..policy.versions import version_failures
from ..policy.versions.version_trial import Order
from ..policy.versions.version_trial import State
from ..policy.versions.version_trial import Trials
from ..ports.objects import ObjectStore
from ..ports.platform import StoredObject
from ..recorder import Record
from .routed_request import RoutedRequest

DECISION_INTERVAL_S = 0.25  # moves are due within a second or two


@attrs.frozen
class Rollouts:
    """The rollouts that this instance takes part in.

    Attributes:
        trials: rollouts in progress and the evidence on their versions.
        balancer: load balancer over the targets.
        store: returns the present client of the store.
        entries: returns the stored orders.
        decode: returns the order of a stored entry; raises ValueError.
        encode: returns the stored status of an order in a state.
        may_report: returns whether this instance stores verdicts.
        knows_load: returns whether it knows the load of all instances.
        record: records events.
    """

    trials: Trials
    balancer: LoadBalancer
    store: Callable[[], ObjectStore]
    entries: Callable[[], tuple[StoredObject, ...]]
    decode: Callable[[StoredObject], Order]
    encode: Callable[[Order, State], dict[str, Any]]
    may_report: Callable[[], bool]
    knows_load: Callable[[], bool]
    record: Record

    def allows(self, request: RoutedRequest, name: str) -> bool:
        """Return whether a target may get a request, by its version."""
        known = self.balancer.stats_of((name,))
        version = known[0].target.version if known else ''
        return self.trials.allows(request.service, version, request.id)

    def add_evidence(
        self,
        request: RoutedRequest,
        target: Target,
        ok: bool,
        first_s: float,
        lasted_s: float = 0.0,
    ) -> None:
        """Count an answer as evidence on the version of its target."""
        now_s = time.monotonic()
        slowest_old_s = max(
            (
                stats.estimate(now_s).first_s(RequestSize())
                for stats in self.balancer.all_stats()
                if stats.target.service == request.service
                and stats.target.version != target.version
            ),
            default=0.0,
        )
        parts = [
            version_failures.ROUTE + request.route.name,
            version_failures.DATA_CENTER + target.data_center,
        ]
        if request.customer is not None:
            parts.append(version_failures.CUSTOMER + request.customer.name)
        self.trials.add_evidence(
            request.service,
            target.version,
            ok,
            first_s,
            slowest_old_s,
            parts,
            lasted_s,
        )

    def add_time(
        self, request: RoutedRequest, target: Target, time_s: float
    ) -> None:
        """Count a time of an answer as evidence on the target's version."""
        self.trials.add_time(
            request.service, target.version, request.route.name, time_s
        )

    async def run(self) -> None:
        """Decide on rollouts and store their results, until cancelled."""
        while True:
            await asyncio.sleep(DECISION_INTERVAL_S)
            for order in self.trials.running():
                await self._decide(order)

    async def _decide(self, order: Order) -> None:
        moved = self.trials.is_moving(order.service)
        verdict = self.trials.decide(
            order.service, self._old_versions_busy(order), time.monotonic()
        )
        if self.trials.is_moving(order.service) and not moved:
            self.record(
                Event.REQUESTS_MOVED,
                service=order.service,
                version=order.version,
                **self.trials.summary(order),
            )
        entry = self._entry(order)
        if verdict is None or entry is None or not self.may_report():
            return
        entry = attrs.evolve(entry, status=self.encode(order, verdict))
        loop = asyncio.get_running_loop()
        written = await loop.run_in_executor(None, self.store().report, entry)
        self.record(
            Event.VERSION_EVALUATED,
            service=order.service,
            version=order.version,
            verdict=verdict.value,
            written=written.is_ok(),
            at_version=entry.version,
            **self.trials.summary(order),
        )

    def _entry(self, order: Order) -> StoredObject | None:
        """Return the stored entry of an order.

        A store that was restored may have that of an earlier one instead.
        """
        for item in self.entries():
            if item.name != order.name:
                continue
            decoded = decoding.decode(self.decode, item)
            if isinstance(decoded, Err):
                # Recorded when the entry arrived.
                return None
            stored = decoded.ok_value
            return item if stored.version == order.version else None
        return None

    def _old_versions_busy(self, order: Order) -> bool:
        """Return whether a request may run at a target of another version.

        Such targets stop at once when the move is final.
        """
        return not self.knows_load() or any(
            stats.outstanding
            for stats in self.balancer.all_stats()
            if stats.target.service == order.service
            and stats.target.version != order.version
        )
