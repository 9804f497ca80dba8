"""Relays the answer of a target to the caller, as far as it is whole."""

import asyncio
from collections.abc import Callable
import enum
import http
import time
from typing import Protocol

import attrs

from ..model.target import Target
from ..policy.event_stream import EventSplitter
from ..policy.targets.quarantine import PROOF_S
from .answer_buffers import HeldAnswer
from .calls import Headers
from .calls import Reply
from .exchange import Exchange
from .header_names import HeaderNames
from .observations import Observations
from .part_watch import PartWatch
from .routed_request import caller_headers
from .routed_request import RoutedRequest
from .scheduler import Slot
from .target_connection import ResponseHead

BUFFERED_BODY_BYTES = 1 << 20  # longer answers are relayed as they arrive
MAX_EVENT_BYTES = 1 << 20  # a longer event of a stream has no end
MAX_IDLE_STREAM_BYTES = 16 << 10  # of blanks and comments between two events
# Time-outs of attempts that may be repeated at another target.
PLAIN_HEAD_TIMEOUT_SHARE = 0.45  # of the time until the deadline
STREAM_FIRST_EVENT_TIMEOUT_GOALS = 4.0  # in goals for the first event
STREAM_PAUSE_TIMEOUT_GOALS = 6.0  # in goals for pauses between events
MIN_STREAM_TIMEOUT_S = 1.2
SERVER_ERROR = http.HTTPStatus.INTERNAL_SERVER_ERROR


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    ANSWERED = 'answered'
    NOT_CONNECTED = 'not-connected'
    NOT_RUN = 'not-run'
    BROKEN = 'broken'
    TIMED_OUT = 'silent'
    FAILED = 'failed'


@attrs.frozen
class FailureAnswer:
    """An error answer of a target, to pass on to the caller."""

    status: int
    headers: Headers
    body: bytes


@attrs.frozen
class AttemptResult:
    """The result of an attempt.

    Attributes:
        outcome: how it ended.
        status: HTTP status of the answer, 0 if there was none.
        detail: reason for logs.
        answer: error answer that may be passed on to the caller.
        events: number of events of a stream.
        first_s: time to the first byte or event of the body.
        longest_pause_s: longest pause between events.
        lasted_s: time since the answer began, of one that broke off.
    """

    outcome: AttemptOutcome
    status: int = 0
    detail: str = ''
    answer: FailureAnswer | None = None
    events: int = 0
    first_s: float = 0.0
    longest_pause_s: float = 0.0
    lasted_s: float = 0.0


@attrs.define
class Relay:
    """An answer that is relayed to the caller, over all attempts.

    Attributes:
        reply: the answer to the caller.
        splitter: splits the stream into events.
        started: whether the head of the answer was sent.
    """

    reply: Reply
    splitter: EventSplitter = attrs.field(factory=EventSplitter)
    started: bool = False


@attrs.define
class Sent:
    """A request that was sent.

    Attributes:
        exchange: the request and its answer.
        slot: its slot at the target.
        started_s: when it was sent, on the monotonic clock.
        repeatable: whether another target may run it after this one.
        began_s: when the body of its answer began, None before that.
        events: events of its answer so far.
        timed: whether the time between its events was recorded.
    """

    exchange: Exchange
    slot: Slot
    started_s: float
    repeatable: bool
    began_s: float | None = None
    events: int = 0
    timed: bool = False

    def lasted_s(self, now_s: float) -> float:
        """Return the time since the answer began, 0 if it has not."""
        return 0.0 if self.began_s is None else now_s - self.began_s


class RelayContext(Protocol):
    """What relaying needs."""

    @property
    def names(self) -> HeaderNames:
        """Names of headers."""

    @property
    def observations(self) -> Observations:
        """Records observations of targets."""

    @property
    def on_prompt_read(self) -> Callable[[Slot], None]:
        """Called when a target has processed a prompt."""

    @property
    def on_time(self) -> Callable[[RoutedRequest, Target, float], None]:
        """Called with the time between events, or of an answer without."""

    @property
    def parts(self) -> PartWatch:
        """Learns which prompt parts crash targets."""


def raise_after_deadline(request: RoutedRequest) -> None:
    """Raise TimeoutError if the deadline of the whole request has passed."""
    if time.monotonic() >= request.deadline_s:
        raise TimeoutError


def first_timeout_s(request: RoutedRequest, sent: Sent) -> float | None:
    """Return the time-out for the head or first event, None for none."""
    if not sent.repeatable:
        return None
    if request.route.streaming:
        goal_s = STREAM_FIRST_EVENT_TIMEOUT_GOALS * request.route.answer_goal_s
        return max(MIN_STREAM_TIMEOUT_S, goal_s)
    return PLAIN_HEAD_TIMEOUT_SHARE * (request.deadline_s - sent.started_s)


def _next_event_by_s(
    request: RoutedRequest, sent: Sent, events: int, last_s: float
) -> float | None:
    """Return the time by which the next event is due, None for none.

    Args:
        request: the request.
        sent: the request as it was sent.
        events: events that the target has sent.
        last_s: when the last one arrived, on the monotonic clock.
    """
    if not sent.repeatable:
        return None
    if not events:
        first_s = first_timeout_s(request, sent)
        return None if first_s is None else last_s + first_s
    pause_s = STREAM_PAUSE_TIMEOUT_GOALS * request.route.pace_goal_s
    return last_s + max(MIN_STREAM_TIMEOUT_S, pause_s)


async def relay_failure(
    context: RelayContext, sent: Sent, head: ResponseHead, relay: Relay
) -> AttemptResult:
    body = await sent.exchange.read_all(BUFFERED_BODY_BYTES)
    if body is None:
        return AttemptResult(
            AttemptOutcome.BROKEN,
            head.status,
            'error answer too long to buffer',
        )
    headers = caller_headers(head.headers, context.names)
    answer = FailureAnswer(head.status, headers, body)
    first_s = time.monotonic() - sent.started_s
    if head.status < SERVER_ERROR and not relay.started:
        relay.reply.send(answer.status, answer.headers, answer.body)
        return AttemptResult(
            AttemptOutcome.ANSWERED, head.status, first_s=first_s
        )
    return AttemptResult(
        AttemptOutcome.FAILED,
        head.status,
        'error status',
        answer,
        first_s=first_s,
    )


def _record_first(context: RelayContext, sent: Sent, now_s: float) -> float:
    """Record the first byte or event; return the time that it took."""
    sent.began_s = now_s
    first_s = now_s - sent.started_s
    tokens = sent.slot.prefill_tokens
    name = sent.slot.target.name
    context.observations.record_first_event(name, tokens, first_s, now_s)
    context.on_prompt_read(sent.slot)
    return first_s


def record_pace(
    context: RelayContext, request: RoutedRequest, sent: Sent, now_s: float
) -> None:
    """Record the time between the events of a stream, once.

    A slow stream is recorded while it runs, as its end comes late.
    """
    lasted_s = sent.lasted_s(now_s)
    if sent.timed or (sent.events < 2 and lasted_s < PROOF_S):
        return
    sent.timed = True
    target = sent.slot.target
    context.on_time(request, target, lasted_s / max(1, sent.events - 1))


async def relay_plain(
    context: RelayContext,
    request: RoutedRequest,
    sent: Sent,
    head: ResponseHead,
    relay: Relay,
) -> AttemptResult:
    first_s = _record_first(context, sent, time.monotonic())
    reply = relay.reply
    headers = caller_headers(head.headers, context.names)
    short = head.length is not None and head.length <= BUFFERED_BODY_BYTES
    if short or request.route.repeatable:
        body = await sent.exchange.read_all(BUFFERED_BODY_BYTES)
        if body is None:
            return AttemptResult(
                AttemptOutcome.BROKEN, head.status, 'answer too long to buffer'
            )
        reply.send(head.status, headers, body)
        return AttemptResult(
            AttemptOutcome.ANSWERED, head.status, first_s=first_s
        )
    relay.started = True
    reply.start(head.status, headers, head.length)
    while part := await sent.exchange.read():
        await reply.write(part)
    reply.finish()
    return AttemptResult(AttemptOutcome.ANSWERED, head.status, first_s=first_s)


def _endless(splitter: EventSplitter, held: HeldAnswer) -> str:
    """Return why a stream is taken to have no end, '' if it is not."""
    if splitter.partial_bytes > MAX_EVENT_BYTES:
        return f'event of over {MAX_EVENT_BYTES} bytes'
    if splitter.idle_bytes > MAX_IDLE_STREAM_BYTES:
        return f'over {MAX_IDLE_STREAM_BYTES} bytes without a new event'
    if not held.resize(splitter.partial_bytes):
        return 'no memory for the event'
    return ''


async def relay_stream(
    context: RelayContext,
    request: RoutedRequest,
    sent: Sent,
    head: ResponseHead,
    relay: Relay,
) -> AttemptResult:
    splitter = relay.splitter
    splitter.discard_partial_event()
    if relay.started and not head.is_event_stream:
        return AttemptResult(
            AttemptOutcome.BROKEN, head.status, 'answer is no event stream'
        )
    events_before = splitter.event_count
    unsent = b''  # what came before the first event
    first_s = 0.0
    longest_pause_s = 0.0
    proven = False
    last_s = sent.started_s
    while True:
        try:
            # From the last event on: a target may send a byte now and then.
            async with asyncio.timeout_at(
                _next_event_by_s(
                    request, sent, splitter.event_count - events_before, last_s
                )
            ):
                part = await sent.exchange.read()
        except TimeoutError:
            raise_after_deadline(request)
            return AttemptResult(
                AttemptOutcome.TIMED_OUT,
                head.status,
                'no further event in time',
            )
        now_s = time.monotonic()
        if not part:
            break
        whole = unsent + splitter.feed(part)
        problem = _endless(splitter, sent.exchange.held)
        if problem:
            return AttemptResult(AttemptOutcome.BROKEN, head.status, problem)
        if splitter.event_count == events_before + sent.events:
            # Blank lines and comments prove nothing of the target.
            if relay.started and whole:
                await relay.reply.write(whole)
            unsent = b'' if relay.started else whole
            continue
        unsent = b''
        if first_s:
            longest_pause_s = max(longest_pause_s, now_s - last_s)
        else:
            first_s = _record_first(context, sent, now_s)
        last_s = now_s
        sent.events = splitter.event_count - events_before
        if not proven and sent.lasted_s(now_s) >= PROOF_S:
            proven = True
            context.parts.record_answered(request)
            record_pace(context, request, sent, now_s)
        if not relay.started:
            relay.started = True
            relay.reply.start(
                head.status, caller_headers(head.headers, context.names), None
            )
        await relay.reply.write(whole)
    # Without events or a proven end, the target may have crashed at once.
    empty = splitter.event_count == events_before
    unproven = empty and not sent.exchange.framed
    if splitter.in_event or not relay.started or unproven:
        return AttemptResult(
            AttemptOutcome.BROKEN,
            head.status,
            'stream ended within an event or without any',
        )
    rest = splitter.flush()
    if rest:
        await relay.reply.write(rest)
    relay.reply.finish()
    return AttemptResult(
        AttemptOutcome.ANSWERED,
        head.status,
        events=splitter.event_count - events_before,
        first_s=first_s,
        longest_pause_s=longest_pause_s,
    )
