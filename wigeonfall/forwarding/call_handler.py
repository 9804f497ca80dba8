"""Handles calls: routes, admits and schedules them, and makes attempts."""

import asyncio
from collections.abc import Callable
import time

import attrs
from result import Err

from . import attempt as attempt_module
from ..policy.room import patience
from ..policy.room.pending import PendingRequest
from ..policy.room.token_quota import Charge
from ..policy.room.token_quota import OverLimit
from ..policy import routing
from ..recorder import Record
from .attempt import AttemptContext
from .calls import Call
from .calls import Reply
from .final_answers import FinalAnswers
from .final_answers import SHUTDOWN_RETRY_S
from .header_names import HeaderNames
from .outcomes import Outcomes
from .outcomes import Progress
from .relaying import AttemptOutcome
from .relaying import AttemptResult
from .relaying import raise_after_deadline
from .relaying import Relay
from .routed_request import route_call
from .routed_request import RoutedRequest
from .scheduler import Decision
from .scheduler import NoRoom
from .slot_client import SlotClient
from .stop_deadline import AnswerTimes
from .stop_deadline import StopDeadline

NO_TABLE_RETRY_S = 0.5  # about the time that a start takes
MAX_RESENDS = 2  # of one request, after refusals of targets
# A caller that retries has less time left: its time-out is below this share of
# the longest one of its route.
RETRY_TIMEOUT_SHARE = 0.95


@attrs.frozen
class HandlerContext:
    """What the call handler needs.

    Attributes:
        index: returns the routing table in force, or None.
        leaving: returns whether this instance is shutting down.
        names: header names.
        attempts: what attempts need.
        slots: acquires slots and charges customers' quotas.
        allows: returns whether a target may get a request, by its name.
        allow_resend: returns whether the resend budget of a service allows
            another attempt.
        count_request: counts a request of a service for its resend budget.
        stop: the time by which all calls have to end.
        record: records events.
    """

    index: Callable[[], routing.RoutingIndex | None]
    leaving: Callable[[], bool]
    names: HeaderNames
    attempts: AttemptContext
    slots: SlotClient
    allows: Callable[[RoutedRequest, str], bool]
    allow_resend: Callable[[str, float], bool]
    count_request: Callable[[str, float], None]
    stop: StopDeadline
    record: Record


class CallHandler:
    """Answers calls.

    Args:
        context: what the handler needs.
    """

    def __init__(self, context: HandlerContext) -> None:
        self._context = context
        self._outcomes = Outcomes(context.record, context.names)
        self._final = FinalAnswers(self._outcomes)
        self._longest_timeout_s: dict[str, float] = {}
        self._answer_times = AnswerTimes()
        self._sequence = 0

    async def handle(self, call: Call, reply: Reply) -> None:
        """Answer a call, or refuse it with the status for the reason."""
        index = self._context.index()
        if index is None:
            reason = 'no configuration yet'
            self._outcomes.refuse_unrouted(
                call, reply, reason, NO_TABLE_RETRY_S
            )
            return
        if self._context.leaving():
            reason = 'instance stops'
            self._outcomes.refuse_unrouted(
                call, reply, reason, SHUTDOWN_RETRY_S
            )
            return
        routed = route_call(index, call, self._context.names)
        if isinstance(routed, Err):
            self._outcomes.reject(call, reply, routed.err_value)
            return
        request = routed.ok_value
        progress = Progress()
        try:
            await self._answer(request, reply, progress)
        except asyncio.CancelledError:
            self._outcomes.record_caller_left(request, progress)
            raise
        finally:
            charge = _charge(request, progress.is_retry)
            if progress.admitted and not progress.ran and charge:
                self._context.slots.refund_tokens(charge)

    async def _answer(
        self, request: RoutedRequest, reply: Reply, progress: Progress
    ) -> None:
        try:
            async with self._context.stop.limit(request.deadline_s):
                await self._run_attempts(request, reply, progress)
        except TimeoutError:
            self._final.out_of_time(request, reply, progress)

    async def _run_attempts(
        self, request: RoutedRequest, reply: Reply, progress: Progress
    ) -> None:
        relay = Relay(reply)
        parts = self._context.attempts.parts
        while True:
            hold = parts.hold(request)
            if hold is not None:
                self._final.held(request, reply, progress, relay, hold)
                return
            slot = await self._acquire_before_stop(request, progress)
            if slot is None:
                self._final.stops(request, reply, progress, relay)
                return
            if isinstance(slot, OverLimit):
                self._final.over_limit(request, reply, progress, slot)
                return
            if isinstance(slot, NoRoom):
                self._final.no_slot(request, reply, progress, relay, slot)
                return
            if not progress.admitted:
                progress.admitted = True
                self._context.count_request(request.service, time.monotonic())
            # The part may have been quarantined while the request waited.
            hold = parts.hold(request)
            if hold is not None:
                self._context.slots.release(request.service, slot)
                self._final.held(request, reply, progress, relay, hold)
                return
            progress.target = slot.target.name
            progress.attempts += 1
            self._outcomes.record_slot(request, slot, self._table_version())
            progress.repeatable = (
                request.route.repeatable
                and progress.runs + 1 < request.route.attempts_limit
            )
            sent_s = time.monotonic()
            try:
                result = await attempt_module.run(
                    self._context.attempts, request, slot, relay, progress
                )
            finally:
                self._context.slots.release(request.service, slot)
            if result.outcome is AttemptOutcome.ANSWERED:
                self._answer_times.record(
                    request.route.name, time.monotonic() - sent_s
                )
                self._outcomes.record_answer(request, progress, result)
                return
            self._outcomes.record_failed_attempt(request, progress, result)
            if not self._may_retry(request, progress, result):
                self._final.fail(request, reply, progress, relay, result)
                return
            progress.excluded.add(slot.target.name)

    def _table_version(self) -> int:
        index = self._context.index()
        return index.table.version if index else 0

    async def _acquire_before_stop(
        self, request: RoutedRequest, progress: Progress
    ) -> Decision | OverLimit | None:
        """Acquire a slot, None if the instance stops too soon to use it."""
        stop = self._context.stop
        now_s = time.monotonic()
        route = request.route
        needed_s = min(
            request.deadline_s - now_s,
            self._answer_times.expected_s(
                route.name, route.repeatable, route.answer_goal_s
            ),
        )
        if not stop.allows(needed_s, now_s):
            return None
        try:
            async with stop.limit(float('inf'), needed_s):
                return await self._acquire(request, progress)
        except TimeoutError:
            raise_after_deadline(request)
            return None

    async def _acquire(
        self, request: RoutedRequest, progress: Progress
    ) -> Decision | OverLimit:
        now_s = time.monotonic()
        left_s = request.deadline_s - now_s
        route = request.route
        if not progress.attempts:
            progress.is_retry = self._is_retry(request)
        is_retry = progress.is_retry or progress.attempts > 0
        wait_s = patience.wait_limit_s(
            route.streaming,
            route.answer_goal_s,
            route.pace_goal_s,
            left_s,
            is_retry,
        )
        self._sequence += 1
        pending = PendingRequest(
            id=f'{request.id}/{self._sequence}',
            rank=request.rank,
            is_retry=is_retry,
            arrived_s=request.call.arrived_s,
            goal_s=request.call.arrived_s + route.answer_goal_s,
            patience_s=self._patience_end_s(request),
            deadline_s=request.deadline_s,
            queue_deadline_s=now_s + wait_s,
            size=request.size,
            is_eligible=lambda name: (
                name not in progress.excluded
                and self._context.allows(request, name)
            ),
            kind=route.name,
            customer=request.customer.name if request.customer else '',
            parts=request.parts,
        )
        charge = None
        if not progress.admitted:
            charge = _charge(request, progress.is_retry)
        slot = await self._context.slots.acquire(
            request.service, pending, charge
        )
        progress.waited_s += time.monotonic() - now_s
        return slot

    def _patience_end_s(self, request: RoutedRequest) -> float:
        route = request.route
        if not route.streaming:
            return request.deadline_s
        patience_s = patience.patience_s(
            route.answer_goal_s, route.pace_goal_s
        )
        return min(request.deadline_s, request.call.arrived_s + patience_s)

    def _is_retry(self, request: RoutedRequest) -> bool:
        longest_timeout_s = max(
            self._longest_timeout_s.get(request.route.name, 0.0),
            request.caller_timeout_s,
        )
        self._longest_timeout_s[request.route.name] = longest_timeout_s
        return (
            request.caller_timeout_s < RETRY_TIMEOUT_SHARE * longest_timeout_s
        )

    def _may_retry(
        self, request: RoutedRequest, progress: Progress, result: AttemptResult
    ) -> bool:
        now_s = time.monotonic()
        if now_s >= request.deadline_s:
            return False
        if result.outcome in (
            AttemptOutcome.NOT_RUN,
            AttemptOutcome.NOT_CONNECTED,
        ):
            progress.refusals += 1
            if progress.refusals > MAX_RESENDS:
                return False
        else:
            progress.runs += 1
            if not request.route.repeatable:
                return False
            if progress.runs >= request.route.attempts_limit:
                return False
        if result.outcome is AttemptOutcome.NOT_CONNECTED:
            return True
        allowed = self._context.allow_resend(request.service, now_s)
        if not allowed:
            self._outcomes.record_resend_refused(request, progress)
        return allowed


def _charge(request: RoutedRequest, is_retry: bool) -> Charge | None:
    if request.customer is None:
        return None
    return Charge(
        request.customer.name,
        request.tokens,
        is_retry,
        patience.RETRY_SHARE * request.caller_timeout_s,
    )
