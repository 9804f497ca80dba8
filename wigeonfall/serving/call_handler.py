"""Handles calls: checks them, sends them to a target, returns the answer."""

from collections.abc import Callable
from collections.abc import Iterator
import http
import json
import time

import attrs
from result import Err
from result import Result

from . import buffered
from ..events import Event
from ..model.answer import Answer
from ..model.configuration import Configuration
from ..model.customer import Customer
from ..model.refusal import Code
from ..model.refusal import not_run
from ..model.refusal import Refusal
from ..model.refusal import unknown
from ..model.request import Request
from ..ports.callers import Call
from ..recorder import Record
from . import refusals
from . import relay
from . import request_parsing
from .attempts import AttemptContext
from .buffered import WholeAnswer

RunOrder = Callable[
    [Request, Callable[[Request], Result[WholeAnswer, Refusal]]],
    Result[WholeAnswer, Refusal],
]

_HEADERS_NOT_FORWARDED = frozenset(
    {
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'server',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-attempt-id',
        'x-request-id',
        'x-run',
    }
)


@attrs.frozen
class HandlerContext:
    """What the handler needs from the rest of the process.

    Attributes:
        configuration: returns the configuration in force.
        attempts: what attempts at targets need.
        check_limits: refuses a customer above its rate limit.
        run_order: runs a request with an idempotency key at most once; the
            function that it gets sends the request.
        record: records events.
        body_limit_bytes: largest accepted body of a call.
    """

    configuration: Callable[[], Configuration]
    attempts: AttemptContext
    check_limits: Callable[[Customer, float], Result[None, Refusal]]
    run_order: RunOrder
    record: Record
    body_limit_bytes: int


def handle(context: HandlerContext, call: Call) -> Answer:
    """Answer a call.

    Args:
        context: what the handler needs.
        call: the call.

    Returns:
        The answer, which may be a refusal.
    """
    now_s = time.monotonic()
    request_id = request_parsing.choose_request_id(call.headers)
    configuration = context.configuration()
    checked = _check_call(context, call, request_id, configuration, now_s)
    if isinstance(checked, Err):
        return _refuse(context, checked.err_value, request_id)
    customer = checked.ok_value
    if call.path == request_parsing.MODELS_PATH and call.method == 'GET':
        return _list_models(configuration, request_id)
    made = request_parsing.check_request(
        call, request_id, customer, configuration, now_s
    )
    if isinstance(made, Err):
        return _refuse(context, made.err_value, request_id)
    limited = context.check_limits(customer, now_s)
    if isinstance(limited, Err):
        return _refuse(context, limited.err_value, request_id)
    return _run(context, made.ok_value)


def refuse_unexpected_error(
    context: HandlerContext, call: Call, error: Exception
) -> Answer:
    """Record an unexpected exception and return the refusal for its call.

    Args:
        context: what the handler needs.
        call: the call that was handled.
        error: the exception.
    """
    request_id = request_parsing.choose_request_id(call.headers)
    context.record(
        Event.HANDLING_FAILED, request_id=request_id, detail=repr(error)
    )
    refusal = unknown(Code.INTERNAL, 'the call met a fault in the scheduler')
    return refusals.refusal_answer(refusal, request_id)


def _check_call(
    context: HandlerContext,
    call: Call,
    request_id: str,
    configuration: Configuration,
    now_s: float,
) -> Result[Customer, Refusal]:
    if len(call.body) > context.body_limit_bytes:
        message = f'the body exceeds {context.body_limit_bytes} bytes'
        return Err(not_run(Code.BODY_TOO_LARGE, message))
    return request_parsing.authenticate(call, configuration)


def _run(context: HandlerContext, request: Request) -> Answer:
    if request.stream:
        return _stream_answer(context, request)
    if request.idempotent or not request.idempotency_key:
        fetched = buffered.fetch(context.attempts, request)
    else:
        fetched = context.run_order(
            request, lambda order: buffered.fetch(context.attempts, order)
        )
    if isinstance(fetched, Err):
        return _refuse(context, fetched.err_value, request.id, request)
    return _make_answer(context, request, fetched.ok_value)


def _stream_answer(context: HandlerContext, request: Request) -> Answer:
    opened = relay.open_stream(context.attempts, request)
    if isinstance(opened, Err):
        return _refuse(context, opened.err_value, request.id, request)
    headers = (
        ('Content-Type', 'text/event-stream'),
        ('Cache-Control', 'no-store'),
        ('X-Request-Id', request.id),
    )
    body = _record_at_end(context, request, opened.ok_value)
    return Answer(http.HTTPStatus.OK, headers, body)


def _record_at_end(
    context: HandlerContext, request: Request, chunks: Iterator[bytes]
) -> Iterator[bytes]:
    yield from chunks
    _record_answered(context, request, http.HTTPStatus.OK)


def _make_answer(
    context: HandlerContext, request: Request, answer: WholeAnswer
) -> Answer:
    headers = [
        (name, value)
        for name, value in answer.headers
        if name.lower() not in _HEADERS_NOT_FORWARDED
    ]
    headers.append(('Content-Length', str(len(answer.body))))
    headers.append(('X-Request-Id', request.id))
    _record_answered(context, request, answer.status)
    return Answer(answer.status, tuple(headers), iter((answer.body,)))


def _record_answered(
    context: HandlerContext, request: Request, status: int
) -> None:
    context.record(
        Event.REQUEST_ANSWERED,
        request_id=request.id,
        customer=request.customer.name,
        tier=request.tier.name,
        service=request.service.name,
        status=int(status),
        total_ms=round((time.monotonic() - request.arrived_s) * 1000),
    )


def _refuse(
    context: HandlerContext,
    refusal: Refusal,
    request_id: str,
    request: Request | None = None,
) -> Answer:
    context.record(
        Event.REQUEST_REFUSED,
        request_id=request_id,
        customer=request.customer.name if request else '',
        tier=request.tier.name if request else '',
        service=request.service.name if request else '',
        code=refusal.code.label,
        run=refusal.run.value,
        detail=refusal.message,
    )
    return refusals.refusal_answer(refusal, request_id)


def _list_models(configuration: Configuration, request_id: str) -> Answer:
    data = [
        {'id': model, 'object': 'model', 'owned_by': service.name}
        for service in configuration.services
        for model in service.models
    ]
    body = json.dumps({'object': 'list', 'data': data}).encode()
    headers = (
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
        ('X-Request-Id', request_id),
    )
    return Answer(http.HTTPStatus.OK, headers, iter((body,)))
