"""Admission control: each request waits in a queue for a grant of a target.

While there is a link to the arbiter of a pool, the arbiter decides on grants.
Without a link this instance decides by the same rules, within its own share
of the limits of each target.
"""

from collections.abc import Callable
import threading
import time
from typing import assert_never
import uuid

import attrs
from result import Err
from result import Ok
from result import Result

from ..events import Event
from ..model.instance import Instance
from ..model.refusal import Code
from ..model.refusal import not_run
from ..model.refusal import Refusal
from ..model.request import Request
from ..model.service import Service
from ..model.target import Target
from ..policy.room import admission
from ..policy.room.grants import AnswerReport
from ..policy.room.grants import Decision
from ..policy.room.grants import Granted
from ..policy.room.grants import HeldGrant
from ..policy.room.grants import PendingRequest
from ..policy.room.grants import Revoked
from ..policy.room.grants import Shed
from ..policy.room.grants import ShedReason
from ..policy.room import shares
from ..policy.targets import prefixes
from ..ports.arbiters import ArbiterLink
from ..recorder import Record
from .grant import Grant
from .grant import LiveTargets

LOCAL_DECISION_PERIOD_S = 0.05
WAIT_POLL_S = 0.25
RECONNECT_GRACE_S = 1.0
RETRY_AFTER_S = 1.0

LiveInstances = Callable[[], tuple[Instance, ...]]

_REFUSALS = {
    ShedReason.OVERLOADED: not_run(
        Code.OVERLOADED, 'the queue is full', RETRY_AFTER_S
    ),
    ShedReason.DEADLINE: not_run(
        Code.DEADLINE_EXCEEDED, 'no target had room before the deadline'
    ),
    ShedReason.NO_TARGET: not_run(
        Code.NO_TARGET, 'no target is ready', RETRY_AFTER_S
    ),
}


def holder_name(instance: Instance) -> str:
    """Return the name under which one incarnation of an instance holds grants.

    It differs after a restart, so that grants of the process before the
    restart are not taken for those of the new one.
    """
    return f'{instance.name}/{instance.incarnation}'


def instance_name(holder: str) -> str:
    """Return the name of the instance in the name of a holder."""
    return holder.rpartition('/')[0]


def make_pending(
    request: Request, holder: str, excluded: frozenset[str], now_s: float
) -> PendingRequest:
    """Return the queue entry of a request, with a new unique identifier."""
    return PendingRequest(
        id=uuid.uuid4().hex,
        holder=holder,
        customer=request.customer.name,
        weight=request.customer.weight,
        rank=request.tier.rank,
        cost_tokens=request.cost_tokens,
        arrived_s=now_s,
        deadline_s=request.deadline_s,
        revocable=request.idempotent and request.stream,
        prefix_hash=request.prefix_hashes[0] if request.prefix_hashes else 0,
        excluded_targets=excluded,
        version=request.version,
        prefix_hashes=prefixes.sample_hashes(request.prefix_hashes),
        prompt_tokens=request.prompt_tokens,
        answer_tokens=request.answer_tokens,
    )


@attrs.define
class QueuedRequest:
    """A request in the queue of its service.

    Attributes:
        pending: the queue entry that the arbiter gets.
        completed: set once there is an outcome.
        outcome: the grant or the refusal.
    """

    pending: PendingRequest
    completed: threading.Event = attrs.field(factory=threading.Event)
    outcome: Result[Grant, Refusal] | None = None

    def complete(self, outcome: Result[Grant, Refusal]) -> None:
        """Set the outcome and wake the thread that waits for it."""
        self.outcome = outcome
        self.completed.set()


class ServiceAdmission:
    """Queued requests and held grants of one instance for one service.

    Args:
        service: the service, as configured.
        own: this instance.
        live_targets: returns the ready targets of a service.
        live_instances: returns the instances that may be serving.
        record: records events.
        monotonic: reads the monotonic clock at releases and reports.
    """

    def __init__(
        self,
        service: Service,
        own: Instance,
        live_targets: LiveTargets,
        live_instances: LiveInstances,
        record: Record,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._monotonic = monotonic
        self._service = service
        self._holder = holder_name(own)
        self._live_targets = live_targets
        self._live_instances = live_instances
        self._record = record
        self._lock = threading.RLock()
        self._link: ArbiterLink | None = None
        self._queued: dict[str, QueuedRequest] = {}
        self._revocations: dict[str, threading.Event] = {}
        # Counts held grants with and without a link to the arbiter, but
        # queues requests only without one.
        self._local_pool = admission.Pool(self._local_limits())
        self._last_local_decision_s = 0.0
        self._local_start_s = 0.0

    def set_service(self, service: Service) -> None:
        """Replace the configuration of the service."""
        self._service = service

    def held(self) -> tuple[HeldGrant, ...]:
        """Return the grants that are not released."""
        with self._lock:
            return self._local_pool.held()

    def submit(
        self, request: Request, excluded: frozenset[str], now_s: float
    ) -> QueuedRequest:
        """Queue a request, without blocking."""
        queued = QueuedRequest(
            make_pending(request, self._holder, excluded, now_s)
        )
        with self._lock:
            self._enqueue(queued, now_s)
        return queued

    def finish(
        self, queued: QueuedRequest, now_s: float
    ) -> Result[Grant, Refusal]:
        """Return the outcome of a request, removing it from the queue.

        A request that is still waiting is refused, since its deadline has
        passed.
        """
        with self._lock:
            if queued.outcome is not None:
                return queued.outcome
            del self._queued[queued.pending.id]
            self._end_wait(queued.pending.id)
            return Err(_REFUSALS[ShedReason.DEADLINE])

    def tick(self, now_s: float) -> None:
        """Decide locally if there is no link and a period has passed.

        Args:
            now_s: present time on the monotonic clock.
        """
        with self._lock:
            if now_s - self._last_local_decision_s >= LOCAL_DECISION_PERIOD_S:
                self._run_local_pool(now_s)

    def attach(self, link: ArbiterLink, now_s: float) -> None:
        """Use a link to an arbiter; send it all queued requests and grants."""
        with self._lock:
            self._link = link
            self._local_pool.drop_pending(self._holder)
            waiting = tuple(item.pending for item in self._queued.values())
            link.send_state(self._local_pool.held(), waiting)

    def detach(self, link: ArbiterLink, now_s: float) -> None:
        """Fall back to local decisions, unless another link is in use."""
        with self._lock:
            if self._link is not link:
                return
            self._link = None
            # Another arbiter usually answers within this time. Until then
            # the targets may still be full with grants of the old one.
            self._local_start_s = now_s + RECONNECT_GRACE_S
            for queued in self._queued.values():
                self._local_pool.enqueue(queued.pending)
            self._run_local_pool(now_s)

    def apply_decisions(
        self, link: ArbiterLink, decisions: tuple[Decision, ...], now_s: float
    ) -> None:
        """Apply decisions of an arbiter; those of an old link are ignored."""
        with self._lock:
            if self._link is link:
                for decision in decisions:
                    self._apply(decision, now_s)

    def _enqueue(self, queued: QueuedRequest, now_s: float) -> None:
        self._queued[queued.pending.id] = queued
        if self._link is not None:
            self._link.enqueue(queued.pending)
            return
        self._local_pool.enqueue(queued.pending)
        self._run_local_pool(now_s)

    def _end_wait(self, wait_id: str) -> None:
        self._local_pool.cancel(wait_id)
        if self._link is not None:
            self._link.release(wait_id)

    def _release(self, wait_id: str) -> None:
        with self._lock:
            if self._revocations.pop(wait_id, None) is not None:
                self._end_wait(wait_id)
                self._run_local_pool(self._monotonic())

    def _report(self, report: AnswerReport) -> None:
        with self._lock:
            self._local_pool.report(report, self._monotonic())
            if self._link is not None:
                self._link.report(report)

    def _local_limits(self) -> admission.PoolLimits:
        limits = shares.pool_limits(self._service, 1)
        return shares.local_share(limits, len(self._live_instances()))

    def _run_local_pool(self, now_s: float) -> None:
        if self._link is not None:
            return
        self._last_local_decision_s = now_s
        self._local_pool.set_paused(now_s < self._local_start_s)
        targets = self._live_targets(self._service.name, now_s)
        self._local_pool.configure(self._local_limits(), targets)
        for decision in self._local_pool.decide(now_s):
            self._apply(decision, now_s)

    def _apply(self, decision: Decision, now_s: float) -> None:
        match decision:
            case Granted():
                self._grant(decision, now_s)
            case Revoked():
                self._revoke(decision)
            case Shed():
                self._shed(decision)
            case _:
                assert_never(decision)

    def _grant(self, decision: Granted, now_s: float) -> None:
        queued = self._queued.pop(decision.id, None)
        if queued is None:
            return
        target = self._find_target(decision.target, now_s)
        if target is None:
            self._end_wait(decision.id)
            self._requeue_without(queued, decision.target, now_s)
            return
        self._local_pool.record_grant(queued.pending, decision.target, now_s)
        revoked = threading.Event()
        self._revocations[decision.id] = revoked
        wait_id = decision.id
        grant = Grant(
            target,
            revoked,
            lambda: self._release(wait_id),
            lambda cached_tokens: self._report(
                AnswerReport(wait_id, cached_tokens)
            ),
            lambda pace_s: self._report(AnswerReport(wait_id, pace_s=pace_s)),
        )
        queued.complete(Ok(grant))

    def _find_target(self, name: str, now_s: float) -> Target | None:
        targets = self._live_targets(self._service.name, now_s)
        return next((t for t in targets if t.name == name), None)

    def _requeue_without(
        self, queued: QueuedRequest, target: str, now_s: float
    ) -> None:
        """Queue a request again, excluding a target that is not usable here.

        It gets a new identifier, since the arbiter has ended the old entry.
        """
        queued.pending = attrs.evolve(
            queued.pending,
            id=uuid.uuid4().hex,
            excluded_targets=queued.pending.excluded_targets | {target},
        )
        self._enqueue(queued, now_s)

    def _revoke(self, decision: Revoked) -> None:
        revoked = self._revocations.get(decision.id)
        if revoked is not None and not revoked.is_set():
            revoked.set()
            self._record(Event.GRANT_REVOKED, wait_id=decision.id)

    def _shed(self, decision: Shed) -> None:
        queued = self._queued.pop(decision.id, None)
        if queued is not None:
            queued.complete(Err(_REFUSALS[decision.reason]))


class Admission:
    """Admission control of one instance for all services."""

    def __init__(
        self,
        own: Instance,
        live_targets: LiveTargets,
        live_instances: LiveInstances,
        record: Record,
    ) -> None:
        self._own = own
        self._live_targets = live_targets
        self._live_instances = live_instances
        self._record = record
        self._services: dict[str, ServiceAdmission] = {}
        self._lock = threading.Lock()

    def for_service(self, service: Service) -> ServiceAdmission:
        """Return the admission to a service, after updating its settings."""
        with self._lock:
            found = self._services.get(service.name)
            if found is None:
                found = ServiceAdmission(
                    service,
                    self._own,
                    self._live_targets,
                    self._live_instances,
                    self._record,
                )
                self._services[service.name] = found
        found.set_service(service)
        return found

    def acquire(
        self, request: Request, excluded: frozenset[str], now_s: float
    ) -> Result[Grant, Refusal]:
        """Wait for a grant; blocks up to the request's deadline.

        Args:
            request: the request to send.
            excluded: names of targets that must not get it.
            now_s: present time on the monotonic clock.

        Returns:
            A grant, whose release must be called once the attempt is over,
            or a refusal. Its "not run" covers only this wait, not attempts
            that the request made before.
        """
        service = self.for_service(request.service)
        queued = service.submit(request, excluded, now_s)
        while now_s < request.deadline_s:
            left_s = request.deadline_s - now_s
            if queued.completed.wait(min(WAIT_POLL_S, left_s)):
                break
            now_s = time.monotonic()
            service.tick(now_s)
        return service.finish(queued, now_s)
