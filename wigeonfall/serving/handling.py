"""The path of one call, from the caller to a target and back."""

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
from .attempts import Attempts
from .buffered import WholeAnswer

RunOrder = Callable[
    [Request, Callable[[Request], Result[WholeAnswer, Refusal]]],
    Result[WholeAnswer, Refusal],
]

_DROPPED_HEADERS = frozenset(
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
class Handling:
    """What the path of a call needs from the rest of the process.

    Attributes:
        configuration: returns the configuration in force.
        attempts: what tries at targets need.
        check_limits: refuses a customer above its limits.
        run_order: runs a keyed call at most once, by way of a function that
            dispatches it.
        record: records events.
        body_limit_bytes: largest body of a call.
    """

    configuration: Callable[[], Configuration]
    attempts: Attempts
    check_limits: Callable[[Customer, float], Result[None, Refusal]]
    run_order: RunOrder
    record: Record
    body_limit_bytes: int


def handle(handling: Handling, call: Call) -> Answer:
    """Answer a call.

    Args:
        handling: what the path needs.
        call: the call of the caller.

    Returns:
        The answer, which may be a refusal.
    """
    now_s = time.monotonic()
    request_id = request_parsing.request_id_of(call.headers)
    configuration = handling.configuration()
    checked = _check(handling, call, request_id, configuration, now_s)
    if isinstance(checked, Err):
        return _refuse(handling, checked.err_value, request_id)
    customer = checked.ok_value
    if call.path == request_parsing.MODELS_PATH and call.method == 'GET':
        return _models(configuration, request_id)
    made = request_parsing.check_request(
        call, request_id, customer, configuration, now_s
    )
    if isinstance(made, Err):
        return _refuse(handling, made.err_value, request_id)
    limited = handling.check_limits(customer, now_s)
    if isinstance(limited, Err):
        return _refuse(handling, limited.err_value, request_id)
    return _run(handling, made.ok_value)


def refuse_fault(handling: Handling, call: Call, error: Exception) -> Answer:
    """Return the refusal for a call that met a fault in this program.

    Args:
        handling: what the path needs.
        call: the call of the caller.
        error: the exception that nothing else caught.
    """
    request_id = request_parsing.request_id_of(call.headers)
    handling.record(
        Event.HANDLING_FAILED, request_id=request_id, detail=repr(error)
    )
    refusal = unknown(Code.INTERNAL, 'the call met a fault in the scheduler')
    return refusals.refuse(refusal, request_id)


def _check(
    handling: Handling,
    call: Call,
    request_id: str,
    configuration: Configuration,
    now_s: float,
) -> Result[Customer, Refusal]:
    if len(call.body) > handling.body_limit_bytes:
        message = f'the body exceeds {handling.body_limit_bytes} bytes'
        return Err(not_run(Code.BODY_TOO_LARGE, message))
    return request_parsing.authenticate(call, configuration)


def _run(handling: Handling, request: Request) -> Answer:
    if request.stream:
        return _stream(handling, request)
    if request.idempotent or not request.idempotency_key:
        fetched = buffered.fetch(handling.attempts, request)
    else:
        fetched = handling.run_order(
            request, lambda order: buffered.fetch(handling.attempts, order)
        )
    if isinstance(fetched, Err):
        return _refuse(handling, fetched.err_value, request.id, request)
    return _answer(handling, request, fetched.ok_value)


def _stream(handling: Handling, request: Request) -> Answer:
    opened = relay.open_stream(handling.attempts, request)
    if isinstance(opened, Err):
        return _refuse(handling, opened.err_value, request.id, request)
    headers = (
        ('Content-Type', 'text/event-stream'),
        ('Cache-Control', 'no-store'),
        ('X-Request-Id', request.id),
    )
    body = _noted(handling, request, opened.ok_value)
    return Answer(http.HTTPStatus.OK, headers, body)


def _noted(
    handling: Handling, request: Request, chunks: Iterator[bytes]
) -> Iterator[bytes]:
    yield from chunks
    _note_answered(handling, request, http.HTTPStatus.OK)


def _answer(
    handling: Handling, request: Request, answer: WholeAnswer
) -> Answer:
    headers = [
        (name, value)
        for name, value in answer.headers
        if name.lower() not in _DROPPED_HEADERS
    ]
    headers.append(('Content-Length', str(len(answer.body))))
    headers.append(('X-Request-Id', request.id))
    _note_answered(handling, request, answer.status)
    return Answer(answer.status, tuple(headers), iter((answer.body,)))


def _note_answered(handling: Handling, request: Request, status: int) -> None:
    handling.record(
        Event.REQUEST_ANSWERED,
        request_id=request.id,
        customer=request.customer.name,
        tier=request.tier.name,
        service=request.service.name,
        status=int(status),
        total_ms=round((time.monotonic() - request.arrived_s) * 1000),
    )


def _refuse(
    handling: Handling,
    refusal: Refusal,
    request_id: str,
    request: Request | None = None,
) -> Answer:
    handling.record(
        Event.REQUEST_REFUSED,
        request_id=request_id,
        customer=request.customer.name if request else '',
        tier=request.tier.name if request else '',
        service=request.service.name if request else '',
        code=refusal.code.label,
        run=refusal.run.value,
        detail=refusal.message,
    )
    return refusals.refuse(refusal, request_id)


def _models(configuration: Configuration, request_id: str) -> Answer:
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
