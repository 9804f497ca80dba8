"""Admission of requests: each waits until it is granted a target.

The arbiter of a pool grants while there is a link to it. Without one the
instance grants from its own share of each target's limits, by the same rules.
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
from ..policy import admission
from ..policy.grants import AnswerReport
from ..policy.grants import Decision
from ..policy.grants import Granted
from ..policy.grants import HeldGrant
from ..policy.grants import PendingRequest
from ..policy.grants import Revoked
from ..policy.grants import Shed
from ..policy.grants import ShedReason
from ..policy import prefixes
from ..policy import shares
from ..ports.arbiters import Link
from ..recorder import Record
from .grant import Grant
from .grant import LiveTargets

LOCAL_PERIOD_S = 0.05
WAIT_PERIOD_S = 0.25
LINK_GRACE_S = 1.0
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
    """Return the name under which one start of an instance holds grants."""
    return f'{instance.name}/{instance.incarnation}'


def instance_name(holder: str) -> str:
    """Return the name of the instance that is a holder."""
    return holder.rpartition('/')[0]


def make_pending(
    request: Request, holder: str, excluded: frozenset[str], now_s: float
) -> PendingRequest:
    """Return the wait of a request, under an identifier of its own."""
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
        prefix_hashes=prefixes.sample(request.prefix_hashes),
        prompt_tokens=request.prompt_tokens,
        answer_tokens=request.answer_tokens,
    )


@attrs.define
class Wait:
    """A request that waits.

    Attributes:
        pending: what the arbiter knows of it.
        ended: set once there is an outcome.
        outcome: the grant or the refusal.
    """

    pending: PendingRequest
    ended: threading.Event = attrs.field(factory=threading.Event)
    outcome: Result[Grant, Refusal] | None = None

    def end(self, outcome: Result[Grant, Refusal]) -> None:
        """End the wait."""
        self.outcome = outcome
        self.ended.set()


class ServiceAdmission:
    """What one instance waits for and holds at the targets of a service.

    Args:
        service: the service, as configured.
        own: this instance.
        live_targets: returns the ready targets of a service.
        live_instances: returns the instances that may be serving.
        record: records events.
        monotonic: returns the present time at a release.
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
        self._link: Link | None = None
        self._waits: dict[str, Wait] = {}
        self._revoked: dict[str, threading.Event] = {}
        # Counts what is held in either mode; queues only without a link.
        self._local = admission.Pool(self._local_limits())
        self._local_decided_s = 0.0
        self._local_from_s = 0.0

    def set_service(self, service: Service) -> None:
        """Take a changed configuration of the service."""
        self._service = service

    def held(self) -> tuple[HeldGrant, ...]:
        """Return the grants that are not released."""
        with self._lock:
            return self._local.held()

    def submit(
        self, request: Request, excluded: frozenset[str], now_s: float
    ) -> Wait:
        """Begin to wait for a target, without blocking."""
        wait = Wait(make_pending(request, self._holder, excluded, now_s))
        with self._lock:
            self._enqueue(wait, now_s)
        return wait

    def finish(self, wait: Wait, now_s: float) -> Result[Grant, Refusal]:
        """Return the outcome of a wait; one that has none is given up."""
        with self._lock:
            if wait.outcome is not None:
                return wait.outcome
            del self._waits[wait.pending.id]
            self._done(wait.pending.id)
            return Err(_REFUSALS[ShedReason.DEADLINE])

    def tick(self, now_s: float) -> None:
        """Decide locally if there is no link and a period has passed."""
        with self._lock:
            if now_s - self._local_decided_s >= LOCAL_PERIOD_S:
                self._decide_locally(now_s)

    def attach(self, link: Link, now_s: float) -> None:
        """Hand all waits to an arbiter and tell it what is held."""
        with self._lock:
            self._link = link
            self._local.drop_pending(self._holder)
            waiting = tuple(wait.pending for wait in self._waits.values())
            link.begin(self._local.held(), waiting)

    def detach(self, link: Link, now_s: float) -> None:
        """Go on without the arbiter, unless another link has come."""
        with self._lock:
            if self._link is not link:
                return
            self._link = None
            # Another arbiter mostly answers before this time.
            self._local_from_s = now_s + LINK_GRACE_S
            for wait in self._waits.values():
                self._local.enqueue(wait.pending)
            self._decide_locally(now_s)

    def apply_decisions(
        self, link: Link, decisions: tuple[Decision, ...], now_s: float
    ) -> None:
        """Carry out what an arbiter decided; old links do not count."""
        with self._lock:
            if self._link is link:
                for decision in decisions:
                    self._carry_out(decision, now_s)

    def _enqueue(self, wait: Wait, now_s: float) -> None:
        self._waits[wait.pending.id] = wait
        if self._link is not None:
            self._link.enqueue(wait.pending)
            return
        self._local.enqueue(wait.pending)
        self._decide_locally(now_s)

    def _done(self, wait_id: str) -> None:
        self._local.cancel(wait_id)
        if self._link is not None:
            self._link.done(wait_id)

    def _release(self, wait_id: str) -> None:
        with self._lock:
            if self._revoked.pop(wait_id, None) is not None:
                self._done(wait_id)
                self._decide_locally(self._monotonic())

    def _report(self, report: AnswerReport) -> None:
        with self._lock:
            self._local.report(report, self._monotonic())
            if self._link is not None:
                self._link.report(report)

    def _local_limits(self) -> admission.PoolLimits:
        limits = shares.pool_limits(self._service, 1)
        return shares.local_share(limits, len(self._live_instances()))

    def _decide_locally(self, now_s: float) -> None:
        if self._link is not None:
            return
        self._local_decided_s = now_s
        self._local.set_paused(now_s < self._local_from_s)
        targets = self._live_targets(self._service.name, now_s)
        self._local.configure(self._local_limits(), targets)
        for decision in self._local.decide(now_s):
            self._carry_out(decision, now_s)

    def _carry_out(self, decision: Decision, now_s: float) -> None:
        match decision:
            case Granted():
                self._granted(decision, now_s)
            case Revoked():
                self._revoke(decision)
            case Shed():
                self._shed(decision)
            case _:
                assert_never(decision)

    def _granted(self, decision: Granted, now_s: float) -> None:
        wait = self._waits.pop(decision.id, None)
        if wait is None:
            return
        target = self._target(decision.target, now_s)
        if target is None:
            self._done(decision.id)
            self._wait_elsewhere(wait, decision.target, now_s)
            return
        self._local.record_grant(wait.pending, decision.target, now_s)
        revoked = threading.Event()
        self._revoked[decision.id] = revoked
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
        wait.end(Ok(grant))

    def _target(self, name: str, now_s: float) -> Target | None:
        targets = self._live_targets(self._service.name, now_s)
        return next((t for t in targets if t.name == name), None)

    def _wait_elsewhere(self, wait: Wait, target: str, now_s: float) -> None:
        """Wait again, without a target that this instance may not use."""
        wait.pending = attrs.evolve(
            wait.pending,
            id=uuid.uuid4().hex,
            excluded_targets=wait.pending.excluded_targets | {target},
        )
        self._enqueue(wait, now_s)

    def _revoke(self, decision: Revoked) -> None:
        revoked = self._revoked.get(decision.id)
        if revoked is not None and not revoked.is_set():
            revoked.set()
            self._record(Event.GRANT_REVOKED, wait_id=decision.id)

    def _shed(self, decision: Shed) -> None:
        wait = self._waits.pop(decision.id, None)
        if wait is not None:
            wait.end(Err(_REFUSALS[decision.reason]))


class Admission:
    """Admission to all services, as one instance sees it."""

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
        """Return the admission to a service, with its configuration."""
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
        """Wait for room at a target; blocks up to the request's deadline.

        Args:
            request: the request to send.
            excluded: names of targets that must not get it.
            now_s: present time on the monotonic clock.

        Returns:
            A grant, whose release must be called once the attempt is over,
            or a refusal that says "not run" of this wait alone.
        """
        service = self.for_service(request.service)
        wait = service.submit(request, excluded, now_s)
        while now_s < request.deadline_s:
            left_s = request.deadline_s - now_s
            if wait.ended.wait(min(WAIT_PERIOD_S, left_s)):
                break
            now_s = time.monotonic()
            service.tick(now_s)
        return service.finish(wait, now_s)
