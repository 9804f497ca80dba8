"""Makes one attempt of a request at one target and relays the answer."""

import asyncio
from collections.abc import Callable
import http
import time
from typing import Protocol

import attrs

from . import exchange as exchange_module
from ..model.target import Target
from ..policy.targets import target_rates
from ..policy.targets import target_signals
from .exchange import Exchange
from .exchange import ExchangeError
from .header_names import HeaderNames
from .observations import Observations
from .part_watch import PartWatch
from .relaying import AttemptOutcome
from .relaying import AttemptResult
from .relaying import first_timeout_s
from .relaying import raise_after_deadline
from .relaying import record_pace
from .relaying import Relay
from .relaying import relay_failure
from .relaying import relay_plain
from .relaying import relay_stream
from .relaying import Sent
from .routed_request import RoutedRequest
from .routed_request import target_request
from .scheduler import Slot
from .target_connection import ResponseHead

MISDIRECTED = http.HTTPStatus.MISDIRECTED_REQUEST


class ExecutionState(Protocol):
    """Whether a request may have run, over all attempts.

    Attributes:
        ran: whether a target may have run it.
        repeatable: whether another target may run it after this one.
    """

    ran: bool
    repeatable: bool


@attrs.frozen
class AttemptContext:
    """What attempts need.

    Attributes:
        connections: connections to targets.
        observations: records observations of targets.
        names: header names.
        on_prompt_read: called when a target has processed a prompt.
        on_misdirected: called when another target answered at the address
            of a target.
        on_outcome: called with each outcome, as evidence on the version of
            the target: whether it is good, the time to the first byte, and
            to the end.
        on_time: called with the time between events of an answer, or of a
            whole answer without events.
        parts: learns which prompt parts crash targets.
    """

    connections: exchange_module.ConnectionPool
    observations: Observations
    names: HeaderNames
    on_prompt_read: Callable[[Slot], None]
    on_misdirected: Callable[[Target], object]
    on_outcome: Callable[[RoutedRequest, Target, bool, float, float], None]
    on_time: Callable[[RoutedRequest, Target, float], None]
    parts: PartWatch


async def run(
    context: AttemptContext,
    request: RoutedRequest,
    slot: Slot,
    relay: Relay,
    execution: ExecutionState,
) -> AttemptResult:
    """Send a request to a target and relay its answer.

    Args:
        context: what attempts need.
        request: the request.
        slot: the slot of the request at the target.
        relay: relays the answer to the caller.
        execution: whether a target may have run the request; updated as soon
            as the request is sent.
    """
    target = slot.target
    started_s = time.monotonic()
    ran_before = execution.ran
    try:
        exchange = await _send(context, request, target, relay, started_s)
    except ExchangeError as error:
        context.observations.record_broken_connection(
            target.name, time.monotonic()
        )
        context.connections.close_idle_to(target.address)
        return AttemptResult(AttemptOutcome.NOT_CONNECTED, detail=str(error))
    execution.ran = True
    context.parts.record_sent(request)
    sent = Sent(exchange, slot, started_s, execution.repeatable)
    try:
        result = await _receive(context, request, sent, relay)
        if result.outcome is AttemptOutcome.BROKEN:
            context.observations.record_failure(target.name)
    except ExchangeError as error:
        result = AttemptResult(
            AttemptOutcome.BROKEN,
            detail=str(error),
            lasted_s=sent.lasted_s(time.monotonic()),
        )
        context.observations.record_broken_connection(
            target.name, time.monotonic()
        )
        context.parts.record_lost(request, target, result.lasted_s)
        context.connections.close_idle_to(target.address)
    finally:
        if request.route.streaming:
            record_pace(context, request, sent, time.monotonic())
        exchange.release()
    if result.outcome is AttemptOutcome.NOT_RUN:
        execution.ran = ran_before
    if (
        result.outcome is AttemptOutcome.ANSWERED
        and result.status < http.HTTPStatus.MULTIPLE_CHOICES
        and exchange.framed
    ):
        context.parts.record_answered(request)
    _record_result(
        context, request, slot, result, time.monotonic() - started_s
    )
    return result


async def _send(
    context: AttemptContext,
    request: RoutedRequest,
    target: Target,
    relay: Relay,
    now_s: float,
) -> Exchange:
    resume_after = relay.splitter.last_id if relay.started else ''
    data = target_request(
        request, context.names, target.name, resume_after, now_s
    )
    return await context.connections.send(
        target.address,
        request.id.encode('latin-1'),
        data,
        body=request.call.body,
        new_connection=not request.route.repeatable,
        now_s=now_s,
    )


async def _receive(
    context: AttemptContext, request: RoutedRequest, sent: Sent, relay: Relay
) -> AttemptResult:
    timeout_s = first_timeout_s(request, sent)
    try:
        async with asyncio.timeout(timeout_s):
            head = await sent.exchange.head()
    except TimeoutError:
        raise_after_deadline(request)
        return AttemptResult(
            AttemptOutcome.TIMED_OUT, detail='no response head in time'
        )
    names = context.names
    _record_rate_limit(context, sent.slot.target, head)
    _record_signals(context, sent.slot.target, head)
    if head.header(names.not_run.lower()) or head.status == MISDIRECTED:
        return AttemptResult(
            AttemptOutcome.NOT_RUN, head.status, 'refused by the target'
        )
    if not _is_valid(head, names):
        return AttemptResult(
            AttemptOutcome.BROKEN, head.status, 'answer without receipt'
        )
    if head.status >= http.HTTPStatus.MULTIPLE_CHOICES:
        return await relay_failure(context, sent, head, relay)
    if request.route.streaming:
        return await relay_stream(context, request, sent, head, relay)
    return await relay_plain(context, request, sent, head, relay)


def _record_rate_limit(
    context: AttemptContext, target: Target, head: ResponseHead
) -> None:
    if head.status == MISDIRECTED:
        return
    value = head.header(context.names.rate_limit.lower())
    per_s = target_rates.parse(value)
    # An answer without a limit ends the one before; an invalid one does not.
    if per_s is not None or not value:
        context.observations.record_rate_limit(
            target.name, per_s, time.monotonic()
        )


def _record_signals(
    context: AttemptContext, target: Target, head: ResponseHead
) -> None:
    """Record what an answer says of its target's leaving or of a pause."""
    names = context.names
    if target_signals.says_leaving(head.values(names.leaving.lower())):
        context.observations.record_leaving(target.name, time.monotonic())
    if head.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        pause_s = target_signals.parse_pause_s(
            head.values(names.pause.lower())
        )
        if pause_s:
            context.observations.record_requested_pause(
                target.name, pause_s, time.monotonic()
            )


def _is_valid(head: ResponseHead, names: HeaderNames) -> bool:
    if head.header(names.body_encoding.lower()):
        return False
    failure = head.status >= http.HTTPStatus.MULTIPLE_CHOICES
    return failure or bool(head.header(names.receipt.lower()))


def _record_result(
    context: AttemptContext,
    request: RoutedRequest,
    slot: Slot,
    result: AttemptResult,
    total_s: float,
) -> None:
    now_s = time.monotonic()
    observations = context.observations
    target = slot.target
    answered = result.outcome is AttemptOutcome.ANSWERED
    if answered:
        answer_s = max(0.0, total_s - result.first_s)
        observations.record_answer(target.name, slot.size, answer_s, now_s)
        if not request.route.streaming:
            context.on_time(request, target, result.first_s)
        if result.events > 1:
            goal_s = request.route.pace_goal_s
            observations.record_pause(
                target.name, result.longest_pause_s, goal_s, now_s
            )
    elif result.outcome in (AttemptOutcome.FAILED, AttemptOutcome.TIMED_OUT):
        observations.record_failure(target.name)
    if result.outcome is AttemptOutcome.TIMED_OUT:
        context.connections.close_idle_to(target.address)
    if result.status == MISDIRECTED:
        context.on_misdirected(target)
    if result.outcome is not AttemptOutcome.NOT_RUN:
        # Errors of callers are as frequent with any version.
        ok = answered and result.status < http.HTTPStatus.BAD_REQUEST
        context.on_outcome(request, target, ok, result.first_s, total_s)
