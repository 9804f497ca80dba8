"""Matches calls to routes and customers, and builds requests to targets."""

import http
from typing import TypeAlias

import attrs
from result import Err
from result import Ok
from result import Result

from .. import decoding
from ..model.prompt import PromptPart
from ..model.routing import KeyHolder
from ..model.routing import Route
from ..policy import routing
from ..policy.targets.target_stats import RequestSize
from .calls import Call
from .calls import Headers
from .header_names import HeaderNames

MAX_NUMBER = 2**53  # in headers of callers; larger ones count as this
MAX_PARTS = 16  # of a prompt, by which it is placed
MAX_PART_ID_CHARS = 64
ROUTE_RANKS = 16  # ranks of routes within one rank of customers
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'http2-settings',
        b'content-length',
        b'expect',
    }
)


@attrs.frozen
class RoutedRequest:
    """A call that was matched to its route and customer.

    Attributes:
        id: identifier that the caller gave it.
        call: the HTTP request of the caller.
        route: its route.
        customer: its customer, None on an anonymous route.
        service: service that is to answer it.
        rank: priority, by the customer's rank and then the route's; 0 is
            served first.
        tokens: tokens that it counts against the customer's quota.
        size: prompt and answer tokens, by which its load is estimated.
        parts: first parts of its prompt, in order, by which it is placed.
            Other requests may share them, those of its session also the last
            one. Kept few, as callers may name thousands.
        prompt_header: all parts, as the caller named them.
        deadline_s: end of the caller's or the route's time limit, whichever
            is first, on the monotonic clock.
        caller_timeout_s: time that the caller waits from its arrival.
    """

    id: str
    call: Call
    route: Route
    customer: KeyHolder | None
    service: str
    rank: int
    tokens: float
    size: RequestSize
    parts: tuple[PromptPart, ...]
    prompt_header: bytes
    deadline_s: float
    caller_timeout_s: float

    @property
    def prompt_parts(self) -> tuple[str, ...]:
        """Identifiers of all parts of its prompt, in order.

        They are not kept: thousands of them take many times their header.
        """
        names = (
            entry.partition(':')[0].strip()
            for entry in self.prompt_header.decode('latin-1').split(',')
        )
        return tuple(dict.fromkeys(filter(None, names)))


@attrs.frozen
class Rejection:
    """The reason why a call matches no route or customer.

    Attributes:
        status: HTTP status of the answer.
        reason: detail for logs.
    """

    status: int
    reason: str


RoutingResult: TypeAlias = Result[RoutedRequest, Rejection]


def route_call(
    index: routing.RoutingIndex, call: Call, names: HeaderNames
) -> RoutingResult:
    """Match a call to its route and customer.

    Args:
        index: the routing table in force.
        call: the call.
        names: header names.
    """
    host = call.header(b'host').decode('latin-1')
    path = call.path.decode('latin-1')
    route = routing.find_route(index, host, path)
    if route is None:
        return _reject(http.HTTPStatus.NOT_FOUND, 'no route')
    key = call.header(names.key.lower()).decode('latin-1')
    customer = index.by_key.get(key)
    if customer is None and index.table.customers and not route.anonymous:
        return _reject(http.HTTPStatus.UNAUTHORIZED, 'unknown key')
    ids = [v for n, v in call.headers if n == names.request_id.lower()]
    if len(ids) != 1 or not ids[0]:
        return _reject(http.HTTPStatus.BAD_REQUEST, 'not one request id')
    request_id = ids[0].decode('latin-1')
    caller_timeout_s = _time_left_s(call, names, route)
    prompt, answer = _token_counts(call, names)
    prompt_header = call.header(names.prompt_parts.lower())
    return Ok(
        RoutedRequest(
            id=request_id,
            call=call,
            route=route,
            customer=customer,
            service=routing.choose_service(route, request_id),
            rank=_rank(route, customer),
            tokens=_tokens(customer, prompt, answer),
            size=RequestSize(prompt, answer),
            parts=_first_parts(prompt_header),
            prompt_header=prompt_header,
            deadline_s=call.arrived_s + min(caller_timeout_s, route.timeout_s),
            caller_timeout_s=caller_timeout_s,
        )
    )


def target_request(
    request: RoutedRequest,
    names: HeaderNames,
    target: str,
    resume_after: str,
    now_s: float,
) -> bytes:
    """Return the head of the HTTP request to send to a target.

    Args:
        request: the request.
        names: header names.
        target: identifier of the target.
        resume_after: identifier of the last event that the caller got, to
            resume a stream after it, or ''.
        now_s: present time on the monotonic clock.
    """
    call = request.call
    left_ms = max(1, int((request.deadline_s - now_s) * 1000))
    lines = [b'%s %s HTTP/1.1\r\n' % (call.method, call.path)]
    connection_only = _connection_only(call.headers, names)
    overridden = {
        names.time_left_ms.lower(),
        names.key.lower(),
        names.customer.lower(),
        names.expected_target.lower(),
    }
    if resume_after:
        overridden.add(names.last_event_id.lower())
    for name, value in call.headers:
        if (
            name in connection_only
            or name in overridden
            or name in names.reserved
        ):
            continue
        lines.append(b'%s: %s\r\n' % (name, value))
    lines.append(b'%s: %d\r\n' % (names.time_left_ms, left_ms))
    lines.append(b'%s: %s\r\n' % (names.expected_target, target.encode()))
    if request.customer is not None:
        customer = _encoded(request.customer.name)
        lines.append(b'%s: %s\r\n' % (names.customer, customer))
    if resume_after:
        value = resume_after.encode('latin-1')
        lines.append(b'%s: %s\r\n' % (names.last_event_id, value))
    size = call.body.size
    if size or call.header(b'content-length') or call.method == b'POST':
        lines.append(b'Content-Length: %d\r\n' % size)
    lines.append(b'\r\n')
    return b''.join(lines)


def _encoded(value: str) -> bytes:
    """Return the bytes of a header value."""
    try:
        return value.encode('latin-1')
    except UnicodeEncodeError:
        return value.encode()


def caller_headers(headers: Headers, names: HeaderNames) -> Headers:
    """Return the headers of an answer without those of the connection."""
    connection_only = _connection_only(headers, names)
    return tuple(
        (name, value) for name, value in headers if name not in connection_only
    )


def _reject(status: int, reason: str) -> RoutingResult:
    return Err(Rejection(int(status), reason))


def _connection_only(headers: Headers, names: HeaderNames) -> frozenset[bytes]:
    """Return the names of headers that concern one connection only.

    A sender may name more of them, but none that both ends need.
    """
    named = {
        part.strip().lower()
        for name, value in headers
        if name == b'connection'
        for part in value.split(b',')
    }
    needed = {
        names.request_id.lower(),
        names.receipt.lower(),
        names.token_counts.lower(),
        names.prompt_parts.lower(),
        b'host',
        b'content-type',
    }
    return _HOP_BY_HOP_HEADERS | (named - needed)


def _time_left_s(call: Call, names: HeaderNames, route: Route) -> float:
    value = call.header(names.time_left_ms.lower())
    left_ms = decoding.whole_number(value, MAX_NUMBER)
    return route.timeout_s if left_ms is None else left_ms / 1000


def _token_counts(call: Call, names: HeaderNames) -> tuple[int, int]:
    value = call.header(names.token_counts.lower())
    first, _, second = value.partition(b',')
    first, second = first.strip(), second.strip()
    prompt = decoding.whole_number(first, MAX_NUMBER)
    answer = decoding.whole_number(second, MAX_NUMBER)
    if prompt is None or answer is None:
        return 0, 0
    return prompt, answer


def _first_parts(header: bytes) -> tuple[PromptPart, ...]:
    """Return the first parts of a prompt; one without a length is empty.

    A kept part needs all before it, so that none follows a long name.
    """
    parts: dict[str, PromptPart] = {}
    for entry in header.split(b',', MAX_PARTS)[:MAX_PARTS]:
        name, _, length = entry.partition(b':')
        part_id = name.strip().decode('latin-1')
        if len(part_id) > MAX_PART_ID_CHARS:
            break
        tokens = decoding.whole_number(length.strip(), MAX_NUMBER)
        if part_id:
            parts.setdefault(part_id, PromptPart(part_id, tokens or 0))
    return tuple(parts.values())


def _rank(route: Route, customer: KeyHolder | None) -> int:
    customer_rank = route.rank
    if customer is not None and customer.rank is not None:
        customer_rank = customer.rank
    return customer_rank * ROUTE_RANKS + min(route.rank, ROUTE_RANKS - 1)


def _tokens(customer: KeyHolder | None, prompt: int, answer: int) -> float:
    if customer is None:
        return 0.0
    if not customer.counts_tokens:
        return 1.0
    return float(prompt + answer) or customer.plain_tokens
