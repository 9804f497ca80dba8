"""One attempt of a request at one target."""

import asyncio
from collections.abc import Callable
import enum
import http
import time
from typing import Protocol

import attrs

from . import exchange as exchange_module
from ..model.target import Target
from ..policy.event_stream import EventSplitter
from .caller_server import Headers
from .caller_server import Reply
from .exchange import Exchange
from .exchange import ExchangeError
from .header_names import HeaderNames
from .observations import Observations
from .routed_request import caller_headers
from .routed_request import RoutedRequest
from .routed_request import target_request
from .scheduler import Slot
from .target_connection import ResponseHead

PLAIN_BODY_BYTES = 1 << 20  # longer answers are passed on as they arrive
PLAIN_FIRST_SHARE = 0.45  # of the time left, before a repeat elsewhere
STREAM_FIRST_GOALS = 4.0  # goals after which a silent target is given up
STREAM_PAUSES = 6.0  # pause goals after which a silent target is given up
SILENCE_LEAST_S = 1.2
SERVER_ERROR = http.HTTPStatus.INTERNAL_SERVER_ERROR
MISDIRECTED = http.HTTPStatus.MISDIRECTED_REQUEST


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    ANSWERED = 'answered'
    NOT_CONNECTED = 'not-connected'
    NOT_RUN = 'not-run'
    BROKEN = 'broken'
    SILENT = 'silent'
    FAILED = 'failed'


@attrs.frozen
class FailureAnswer:
    """A failure of a target, as it goes to the caller."""

    status: int
    headers: Headers
    body: bytes


@attrs.frozen
class AttemptResult:
    """The end of an attempt.

    Attributes:
        outcome: how it ended.
        status: status of the answer, 0 if there was none.
        detail: reason for logs.
        answer: a failure that may go to the caller.
        events: events of a stream.
        first_s: time to the first byte of the body.
        longest_pause_s: longest pause between events.
    """

    outcome: AttemptOutcome
    status: int = 0
    detail: str = ''
    answer: FailureAnswer | None = None
    events: int = 0
    first_s: float = 0.0
    longest_pause_s: float = 0.0


class ExecutionState(Protocol):
    """What may have become of a request, over all attempts.

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
        seen: takes what is seen of targets.
        names: header names.
        began: takes note that a prompt was read.
        left: takes note that a target is not what the list says.
        judged: takes evidence on a target's version.
    """

    connections: exchange_module.ConnectionPool
    observations: Observations
    names: HeaderNames
    on_prompt_read: Callable[[Slot], None]
    on_misdirected: Callable[[Target], None]
    on_outcome: Callable[[RoutedRequest, Target, bool, float], None]


@attrs.define
class Relay:
    """A stream on its way to a caller, over all attempts.

    Attributes:
        reply: the answer.
        splitter: events so far.
        begun: whether the head went out.
    """

    reply: Reply
    splitter: EventSplitter = attrs.field(factory=EventSplitter)
    begun: bool = False


async def run(
    context: AttemptContext,
    request: RoutedRequest,
    slot: Slot,
    relay: Relay,
    execution: ExecutionState,
) -> AttemptResult:
    """Send a request to a target and pass its answer on.

    Args:
        attempts: what attempts need.
        work: the request.
        place: leave to send it to a target.
        relay: the answer on its way to the caller.
        fate: whether the target may have run the request, which is noted
            at once.
    """
    target = slot.target
    began_s = time.monotonic()
    before = execution.ran
    try:
        exchange = await _send(context, request, target, relay, began_s)
    except ExchangeError as error:
        context.observations.record_broken_connection(
            target.name, time.monotonic()
        )
        context.connections.close_idle_to(target.address)
        return AttemptResult(AttemptOutcome.NOT_CONNECTED, detail=str(error))
    execution.ran = True
    sent = _Sent(exchange, slot, began_s, execution.repeatable)
    try:
        result = await _receive(context, request, sent, relay)
    except ExchangeError as error:
        result = AttemptResult(AttemptOutcome.BROKEN, detail=str(error))
        context.observations.record_broken_connection(
            target.name, time.monotonic()
        )
        context.connections.close_idle_to(target.address)
    finally:
        exchange.release()
    if result.outcome is AttemptOutcome.NOT_RUN:
        execution.ran = before
    _learn(context, request, slot, result, time.monotonic() - began_s)
    return result


async def _send(
    context: AttemptContext,
    request: RoutedRequest,
    target: Target,
    relay: Relay,
    now_s: float,
) -> Exchange:
    resume_after = relay.splitter.last_id if relay.begun else ''
    data = target_request(
        request, context.names, target.name, resume_after, now_s
    )
    return await context.connections.send(
        target.address,
        request.id.encode('latin-1'),
        data,
        new_connection=not request.route.repeatable,
        now_s=now_s,
    )


@attrs.frozen
class _Sent:
    """A request that was sent.

    Attributes:
        exchange: the request and its answer.
        place: the target's place for it.
        began_s: when it was sent, on the monotonic clock.
        repeatable: whether another target may run it after this one.
    """

    exchange: Exchange
    slot: Slot
    began_s: float
    repeatable: bool


async def _receive(
    context: AttemptContext, request: RoutedRequest, sent: _Sent, relay: Relay
) -> AttemptResult:
    silence_s = _first_silence_s(request, sent)
    try:
        async with asyncio.timeout(silence_s):
            head = await sent.exchange.head()
    except TimeoutError:
        _raise_if_due(request)
        return AttemptResult(AttemptOutcome.SILENT, detail='no head')
    names = context.names
    if head.header(names.not_run.lower()) or head.status == MISDIRECTED:
        return AttemptResult(
            AttemptOutcome.NOT_RUN, head.status, 'refused by the target'
        )
    if not _sound(head, names):
        return AttemptResult(
            AttemptOutcome.BROKEN, head.status, 'answer without receipt'
        )
    if head.status >= http.HTTPStatus.MULTIPLE_CHOICES:
        return await _failure(sent, head, relay)
    if request.route.streaming:
        return await _stream(context, request, sent, head, relay)
    return await _plain(context, request, sent, head, relay)


def _raise_if_due(request: RoutedRequest) -> None:
    """Let the end of a request's whole time pass as such."""
    if time.monotonic() >= request.deadline_s:
        raise TimeoutError


def _sound(head: ResponseHead, names: HeaderNames) -> bool:
    if head.header(names.body_encoding.lower()):
        return False
    failure = head.status >= http.HTTPStatus.MULTIPLE_CHOICES
    return failure or bool(head.header(names.receipt.lower()))


def _first_silence_s(request: RoutedRequest, sent: _Sent) -> float | None:
    """Return how long a target may say nothing, None for no limit."""
    if not sent.repeatable:
        return None
    if request.route.streaming:
        goal_s = STREAM_FIRST_GOALS * request.route.answer_goal_s
        return max(SILENCE_LEAST_S, goal_s)
    return PLAIN_FIRST_SHARE * (request.deadline_s - sent.began_s)


def _pause_s(request: RoutedRequest, sent: _Sent, events: int) -> float | None:
    """Return how long a stream may pause, None for no limit."""
    if not sent.repeatable:
        return None
    if not events:
        return _first_silence_s(request, sent)
    return max(SILENCE_LEAST_S, STREAM_PAUSES * request.route.pace_goal_s)


async def _failure(
    sent: _Sent, head: ResponseHead, relay: Relay
) -> AttemptResult:
    body = await sent.exchange.read_all(PLAIN_BODY_BYTES)
    if body is None:
        return AttemptResult(
            AttemptOutcome.BROKEN, head.status, 'failure too long'
        )
    headers = caller_headers(head.headers)
    answer = FailureAnswer(head.status, headers, body)
    first_s = time.monotonic() - sent.began_s
    if head.status < SERVER_ERROR and not relay.begun:
        relay.reply.send(answer.status, answer.headers, answer.body)
        return AttemptResult(
            AttemptOutcome.ANSWERED, head.status, first_s=first_s
        )
    return AttemptResult(
        AttemptOutcome.FAILED, head.status, 'failure', answer, first_s=first_s
    )


def _note_first(context: AttemptContext, sent: _Sent, now_s: float) -> float:
    """Learn from the first byte or event; return the time that it took."""
    first_s = now_s - sent.began_s
    tokens = sent.slot.prefill_tokens
    name = sent.slot.target.name
    context.observations.record_first_event(name, tokens, first_s, now_s)
    context.on_prompt_read(sent.slot)
    return first_s


async def _plain(
    context: AttemptContext,
    request: RoutedRequest,
    sent: _Sent,
    head: ResponseHead,
    relay: Relay,
) -> AttemptResult:
    first_s = _note_first(context, sent, time.monotonic())
    reply = relay.reply
    headers = caller_headers(head.headers)
    short = head.length is not None and head.length <= PLAIN_BODY_BYTES
    if short or request.route.repeatable:
        body = await sent.exchange.read_all(PLAIN_BODY_BYTES)
        if body is None:
            return AttemptResult(
                AttemptOutcome.BROKEN, head.status, 'answer too long'
            )
        reply.send(head.status, headers, body)
        return AttemptResult(
            AttemptOutcome.ANSWERED, head.status, first_s=first_s
        )
    relay.begun = True
    reply.start(head.status, headers, head.length)
    while part := await sent.exchange.read():
        await reply.write(part)
    reply.finish()
    return AttemptResult(AttemptOutcome.ANSWERED, head.status, first_s=first_s)


async def _stream(
    context: AttemptContext,
    request: RoutedRequest,
    sent: _Sent,
    head: ResponseHead,
    relay: Relay,
) -> AttemptResult:
    splitter = relay.splitter
    splitter.discard_partial_event()
    events_before = splitter.event_count
    first_s = 0.0
    longest_s = 0.0
    last_s = sent.began_s
    while True:
        try:
            async with asyncio.timeout(
                _pause_s(request, sent, splitter.event_count - events_before)
            ):
                part = await sent.exchange.read()
        except TimeoutError:
            _raise_if_due(request)
            return AttemptResult(
                AttemptOutcome.SILENT, head.status, 'stream fell silent'
            )
        now_s = time.monotonic()
        if not part:
            break
        whole = splitter.feed(part)
        if not whole:
            continue
        if first_s:
            longest_s = max(longest_s, now_s - last_s)
        else:
            first_s = _note_first(context, sent, now_s)
        last_s = now_s
        if not relay.begun:
            relay.begun = True
            relay.reply.start(head.status, caller_headers(head.headers), None)
        await relay.reply.write(whole)
    if splitter.partial_event or not relay.begun:
        return AttemptResult(
            AttemptOutcome.BROKEN, head.status, 'stream ends in an event'
        )
    relay.reply.finish()
    return AttemptResult(
        AttemptOutcome.ANSWERED,
        head.status,
        events=splitter.event_count - events_before,
        first_s=first_s,
        longest_pause_s=longest_s,
    )


def _learn(
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
        if result.events > 1:
            goal_s = request.route.pace_goal_s
            observations.record_pause(
                target.name, result.longest_pause_s, goal_s, now_s
            )
    elif result.outcome in (AttemptOutcome.FAILED, AttemptOutcome.SILENT):
        observations.record_failure(target.name)
    if result.outcome is AttemptOutcome.SILENT:
        context.connections.close_idle_to(target.address)
    if result.status == MISDIRECTED:
        context.on_misdirected(target)
    if result.outcome is not AttemptOutcome.NOT_RUN:
        context.on_outcome(request, target, answered, result.first_s)
