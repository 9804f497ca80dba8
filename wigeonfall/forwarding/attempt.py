"""One attempt of a request at one target."""

import asyncio
from collections.abc import Callable
import enum
import time
from typing import Protocol

import attrs

from . import exchange as exchange_module
from ..model.target import Target
from ..policy.event_stream import EventSplitter
from ..policy.room import Rooms
from .callers import Headers
from .callers import Reply
from .dialect import Dialect
from .exchange import Exchange
from .exchange import ExchangeError
from .exchange import Head
from .work import caller_headers
from .work import target_request
from .work import Work

PLAIN_BODY_BYTES = 1 << 20  # longer answers are passed on as they arrive
PLAIN_FIRST_SHARE = 0.45  # of the time left, before a repeat elsewhere
STREAM_FIRST_GOALS = 4.0  # goals after which a silent target is given up
STREAM_PAUSES = 6.0  # pause goals after which a silent target is given up
SILENCE_LEAST_S = 1.2
PROMPT_TOKENS_A_UNIT = 500  # prompt tokens that cost as much as an event
UNITS_A_REQUEST = 2.0
SERVER_ERROR = 500


class Outcome(enum.Enum):
    """How an attempt ended."""

    ANSWERED = 'answered'
    NOT_CONNECTED = 'not-connected'
    NOT_RUN = 'not-run'
    BROKEN = 'broken'
    SILENT = 'silent'
    FAILED = 'failed'


@attrs.frozen
class WholeAnswer:
    """A failure of a target, as it goes to the caller."""

    status: int
    headers: Headers
    body: bytes


@attrs.frozen
class Result:
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

    outcome: Outcome
    status: int = 0
    detail: str = ''
    answer: WholeAnswer | None = None
    events: int = 0
    first_s: float = 0.0
    longest_pause_s: float = 0.0


class Ran(Protocol):
    """Where it is noted that a target may have run a request."""

    ran: bool


@attrs.frozen
class Attempts:
    """What attempts need.

    Attributes:
        connections: connections to targets.
        rooms: what is learned of targets.
        names: header names.
        left: takes note that a target is not what the list says.
        judged: takes evidence on a target's version.
    """

    connections: exchange_module.TargetConnections
    rooms: Rooms
    names: Dialect
    left: Callable[[Target], None]
    judged: Callable[[Work, Target, bool, float], None]


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
    attempts: Attempts, work: Work, target: Target, relay: Relay, ran: Ran
) -> Result:
    """Send a request to a target and pass its answer on.

    Args:
        attempts: what attempts need.
        work: the request.
        target: where to send it.
        relay: the answer on its way to the caller.
        ran: noted as soon as the target may have run the request.
    """
    began_s = time.monotonic()
    before = ran.ran
    try:
        exchange = await _send(attempts, work, target, relay, began_s)
    except ExchangeError as error:
        attempts.rooms.broken(target.name, time.monotonic())
        attempts.connections.forget(target.address)
        return Result(Outcome.NOT_CONNECTED, detail=str(error))
    ran.ran = True
    try:
        result = await _receive(attempts, work, exchange, relay, began_s)
    except ExchangeError as error:
        result = Result(Outcome.BROKEN, detail=str(error))
        attempts.rooms.broken(target.name, time.monotonic())
        attempts.connections.forget(target.address)
    finally:
        exchange.close()
    if result.outcome is Outcome.NOT_RUN:
        ran.ran = before
    _learn(attempts, work, target, result, time.monotonic() - began_s)
    return result


async def _send(
    attempts: Attempts,
    work: Work,
    target: Target,
    relay: Relay,
    now_s: float,
) -> Exchange:
    resume_after = relay.splitter.last_id if relay.begun else ''
    data = target_request(
        work, attempts.names, target.name, resume_after, now_s
    )
    return await attempts.connections.send(
        target.address,
        work.id.encode('latin-1'),
        data,
        fresh=not work.route.repeatable,
        now_s=now_s,
    )


async def _receive(
    attempts: Attempts,
    work: Work,
    exchange: Exchange,
    relay: Relay,
    began_s: float,
) -> Result:
    silence_s = _first_silence_s(work, began_s)
    try:
        async with asyncio.timeout(silence_s):
            head = await exchange.head()
    except TimeoutError:
        _raise_if_due(work)
        return Result(Outcome.SILENT, detail='no head')
    names = attempts.names
    if head.header(names.not_run.lower()) or head.status == 421:
        return Result(Outcome.NOT_RUN, head.status, 'refused by the target')
    if not _sound(head, names):
        return Result(Outcome.BROKEN, head.status, 'answer without receipt')
    if head.status >= 300:
        return await _failure(exchange, head, relay, began_s)
    if work.route.streaming:
        return await _stream(work, exchange, head, relay, began_s)
    return await _plain(work, exchange, head, relay, began_s)


def _raise_if_due(work: Work) -> None:
    """Let the end of a request's whole time pass as such."""
    if time.monotonic() >= work.deadline_s:
        raise TimeoutError


def _sound(head: Head, names: Dialect) -> bool:
    if head.header(names.body_encoding.lower()):
        return False
    return head.status >= 300 or bool(head.header(names.receipt.lower()))


def _first_silence_s(work: Work, now_s: float) -> float | None:
    """Return how long a target may say nothing, None for no limit."""
    if not work.route.repeatable:
        return None
    if work.route.streaming:
        goal_s = STREAM_FIRST_GOALS * work.route.answer_goal_s
        return max(SILENCE_LEAST_S, goal_s)
    return PLAIN_FIRST_SHARE * (work.deadline_s - now_s)


async def _failure(
    exchange: Exchange, head: Head, relay: Relay, began_s: float
) -> Result:
    body = await exchange.read_whole(PLAIN_BODY_BYTES)
    if body is None:
        return Result(Outcome.BROKEN, head.status, 'failure too long')
    headers = caller_headers(head.headers)
    answer = WholeAnswer(head.status, headers, body)
    first_s = time.monotonic() - began_s
    if head.status < SERVER_ERROR and not relay.begun:
        relay.reply.send(answer.status, answer.headers, answer.body)
        return Result(Outcome.ANSWERED, head.status, first_s=first_s)
    outcome = Outcome.FAILED
    return Result(outcome, head.status, 'failure', answer, first_s=first_s)


async def _plain(
    work: Work, exchange: Exchange, head: Head, relay: Relay, began_s: float
) -> Result:
    first_s = time.monotonic() - began_s
    reply = relay.reply
    headers = caller_headers(head.headers)
    if head.length is not None and head.length <= PLAIN_BODY_BYTES:
        body = await exchange.read_whole(PLAIN_BODY_BYTES)
        reply.send(head.status, headers, body or b'')
        return Result(Outcome.ANSWERED, head.status, first_s=first_s)
    if work.route.repeatable:
        body = await exchange.read_whole(PLAIN_BODY_BYTES)
        if body is not None:
            reply.send(head.status, headers, body)
            return Result(Outcome.ANSWERED, head.status, first_s=first_s)
        return Result(Outcome.BROKEN, head.status, 'answer too long')
    relay.begun = True
    reply.begin(head.status, headers, head.length)
    while part := await exchange.read():
        await reply.write(part)
    reply.finish()
    return Result(Outcome.ANSWERED, head.status, first_s=first_s)


async def _stream(
    work: Work, exchange: Exchange, head: Head, relay: Relay, began_s: float
) -> Result:
    splitter = relay.splitter
    splitter.restart()
    events_before = splitter.events
    first_s = 0.0
    longest_s = 0.0
    last_s = began_s
    while True:
        try:
            async with asyncio.timeout(_pause_s(work, splitter.events)):
                part = await exchange.read()
        except TimeoutError:
            _raise_if_due(work)
            return Result(Outcome.SILENT, head.status, 'stream fell silent')
        now_s = time.monotonic()
        if not part:
            break
        whole = splitter.take(part)
        if not whole:
            continue
        if first_s:
            longest_s = max(longest_s, now_s - last_s)
        else:
            first_s = now_s - began_s
        last_s = now_s
        if not relay.begun:
            relay.begun = True
            relay.reply.begin(head.status, caller_headers(head.headers), None)
        await relay.reply.write(whole)
    if splitter.rest or not relay.begun:
        return Result(Outcome.BROKEN, head.status, 'stream ends in an event')
    relay.reply.finish()
    return Result(
        Outcome.ANSWERED,
        head.status,
        events=splitter.events - events_before,
        first_s=first_s,
        longest_pause_s=longest_s,
    )


def _pause_s(work: Work, events: int) -> float | None:
    if not work.route.repeatable:
        return None
    if not events:
        goal_s = STREAM_FIRST_GOALS * work.route.answer_goal_s
        return max(SILENCE_LEAST_S, goal_s)
    return max(SILENCE_LEAST_S, STREAM_PAUSES * work.route.pace_goal_s)


def _learn(
    attempts: Attempts,
    work: Work,
    target: Target,
    result: Result,
    total_s: float,
) -> None:
    now_s = time.monotonic()
    rooms = attempts.rooms
    answered = result.outcome is Outcome.ANSWERED
    units = (
        UNITS_A_REQUEST
        + result.events
        + work.prompt_tokens / PROMPT_TOKENS_A_UNIT
    )
    if answered:
        rooms.observed(target.name, total_s / units, result.status < 300)
        if result.events > 1:
            goal_s = work.route.pace_goal_s
            rooms.paused(target.name, result.longest_pause_s, goal_s, now_s)
    elif result.outcome in (Outcome.FAILED, Outcome.SILENT):
        rooms.failed(target.name)
    if result.outcome is Outcome.SILENT:
        attempts.connections.forget(target.address)
    if result.status == 421:
        attempts.left(target)
    if result.outcome is not Outcome.NOT_RUN:
        attempts.judged(work, target, answered, total_s / units)
