"""Answers refused requests, and records the outcomes of all requests."""

import http
import time

import attrs

from ..events import Event
from ..recorder import Record
from .calls import Call
from .calls import Reply
from .header_names import HeaderNames
from .relaying import AttemptResult
from .routed_request import Rejection
from .routed_request import RoutedRequest
from .scheduler import Slot


MAX_LOGGED_PARTS = 16  # of a prompt; some have hundreds


@attrs.define
class Progress:
    """The progress of a request over all its attempts.

    Attributes:
        is_retry: whether its caller was refused before.
        admitted: whether its customer's quota was charged.
        ran: whether a target may have run it.
        runs: number of targets that may have run it.
        repeatable: whether another target may run it after this one.
        refusals: number of targets that refused it or were not reached.
        attempts: number of attempts.
        excluded: names of targets that get no further attempt.
        waited_s: time spent in the queue.
        target: name of the last target.
    """

    is_retry: bool = False
    admitted: bool = False
    ran: bool = False
    runs: int = 0
    repeatable: bool = False
    refusals: int = 0
    attempts: int = 0
    excluded: set[str] = attrs.field(factory=set)
    waited_s: float = 0.0
    target: str = ''


@attrs.frozen
class Outcomes:
    """Sends refusals and records the outcomes of requests.

    Attributes:
        record: records events.
        names: header names.
    """

    record: Record
    names: HeaderNames

    def record_slot(
        self, request: RoutedRequest, slot: Slot, table_version: int
    ) -> None:
        """Record the slot of a request and the load of its target."""
        self.record(
            Event.REQUEST_ASSIGNED,
            request_id=request.id,
            service=request.service,
            target=slot.target.name,
            waited_ms=round(slot.waited_s * 1000),
            outstanding=slot.outstanding,
            reading_tokens=round(slot.prefill_tokens),
            prompt_tokens=round(request.size.prompt_tokens),
            kept_tokens=round(slot.kept_tokens),
            peers=slot.peers,
            arbiter=slot.arbiter,
            table_version=table_version,
        )

    def record_caller_left(
        self, request: RoutedRequest, progress: Progress
    ) -> None:
        """Record that a caller disconnected before the end of its answer."""
        self.record(
            Event.CALLER_LEFT,
            request_id=request.id,
            target=progress.target,
            ran=progress.ran,
            total_ms=_elapsed_ms(request),
        )

    def record_answer(
        self, request: RoutedRequest, progress: Progress, result: AttemptResult
    ) -> None:
        """Record an answer that was passed on to the caller."""
        self.record(
            Event.ANSWER_FORWARDED,
            request_id=request.id,
            route=request.route.name,
            customer=request.customer.name if request.customer else '',
            rank=request.rank,
            target=progress.target,
            status=result.status,
            attempts=progress.attempts,
            events=result.events,
            waited_ms=round(progress.waited_s * 1000),
            first_ms=round(result.first_s * 1000),
            longest_pause_ms=round(result.longest_pause_s * 1000),
            total_ms=_elapsed_ms(request),
        )

    def record_failed_attempt(
        self, request: RoutedRequest, progress: Progress, result: AttemptResult
    ) -> None:
        """Record a failed attempt."""
        self.record(
            Event.ATTEMPT_FAILED,
            request_id=request.id,
            attempt_id=str(progress.attempts),
            target=progress.target,
            kind=result.outcome.value,
            detail=result.detail,
            ran=progress.ran,
            parts=','.join(request.prompt_parts[:MAX_LOGGED_PARTS]),
            lasted_ms=round(result.lasted_s * 1000),
        )

    def record_resend_refused(
        self, request: RoutedRequest, progress: Progress
    ) -> None:
        """Record that the resend budget did not allow another attempt."""
        self.record(
            Event.RESEND_REFUSED,
            request_id=request.id,
            service=request.service,
            target=progress.target,
            attempts=progress.attempts,
        )

    def refuse_unrouted(
        self, call: Call, reply: Reply, reason: str, delay_s: float
    ) -> None:
        """Refuse a call before it is routed; no target has run it."""
        status = int(http.HTTPStatus.SERVICE_UNAVAILABLE)
        reply.send(status, (_retry_after(delay_s),), b'')
        self._record_rejection(call, Rejection(status, reason))

    def reject(self, call: Call, reply: Reply, rejected: Rejection) -> None:
        """Reject a call that matches no route or customer."""
        reply.send(rejected.status, (), b'')
        self._record_rejection(call, rejected)

    def _record_rejection(self, call: Call, rejected: Rejection) -> None:
        name = self.names.request_id.lower()
        self.record(
            Event.CALL_REJECTED,
            request_id=call.header(name).decode('latin-1'),
            status=rejected.status,
            reason=rejected.reason,
        )

    def refuse(
        self,
        request: RoutedRequest,
        reply: Reply,
        progress: Progress,
        status: http.HTTPStatus,
        reason: str,
        delay_s: float | None,
    ) -> None:
        """Send a refusal as the final answer, and record it."""
        headers = () if delay_s is None else (_retry_after(delay_s),)
        reply.send(status, headers, b'')
        self.record_refusal(
            request, progress, int(status), reason, delay_s or 0.0
        )

    def record_refusal(
        self,
        request: RoutedRequest,
        progress: Progress,
        status: int,
        reason: str,
        delay_s: float = 0.0,
    ) -> None:
        """Record that a request got no answer, or an incomplete one."""
        self.record(
            Event.REQUEST_NOT_SERVED,
            request_id=request.id,
            route=request.route.name,
            customer=request.customer.name if request.customer else '',
            rank=request.rank,
            status=status,
            reason=reason,
            ran=progress.ran,
            attempts=progress.attempts,
            target=progress.target,
            waited_ms=round(progress.waited_s * 1000),
            retry_after_ms=round(delay_s * 1000),
            total_ms=_elapsed_ms(request),
        )


def _retry_after(delay_s: float) -> tuple[bytes, bytes]:
    return b'Retry-After', b'%.2f' % delay_s


def _elapsed_ms(request: RoutedRequest) -> int:
    return round((time.monotonic() - request.call.arrived_s) * 1000)
