"""Calls to an object store over HTTP, with JSON bodies."""

from collections.abc import Mapping
import http
import socket
from typing import Any

import attrs
from result import Err
from result import Ok
from result import Result
import urllib3

from .. import decoding
from ..model import http_status
from ..ports.platform import PlatformError
from ..ports.platform import PlatformErrorKind

READ_TIMEOUT_S = 2.0  # the store answers in milliseconds
_CONNECT_TIMEOUT_S = 0.5  # a few round trips between data centres
_POOL_CONNECTIONS = 16

_UNACKED_TIMEOUT_MS = 2000  # a cut link acknowledges nothing
# Probes show a link that lost track of an idle connection.
_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKED_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
]

_KIND_OF_STATUS: Mapping[int, PlatformErrorKind] = {
    http.HTTPStatus.NOT_FOUND: PlatformErrorKind.NOT_FOUND,
    http.HTTPStatus.CONFLICT: PlatformErrorKind.CONFLICT,
    http.HTTPStatus.GONE: PlatformErrorKind.GONE,
    http.HTTPStatus.TOO_MANY_REQUESTS: PlatformErrorKind.RATE_LIMITED,
    http.HTTPStatus.SERVICE_UNAVAILABLE: PlatformErrorKind.UNAVAILABLE,
}


@attrs.frozen
class Client:
    """A connection pool to a store at one address.

    Attributes:
        pool: connections that are kept.
        address: "host:port" by IP number.
    """

    pool: urllib3.PoolManager
    address: str


@attrs.frozen
class Answer:
    """An answer of the store.

    Attributes:
        value: its JSON values.
        headers: its headers; names are compared without case.
    """

    value: dict[str, Any]
    headers: Mapping[str, str]


def make_client(address: str) -> Client:
    """Return a client of the store at an address."""
    return Client(
        urllib3.PoolManager(
            maxsize=_POOL_CONNECTIONS,
            retries=False,
            socket_options=_SOCKET_OPTIONS,
        ),
        address,
    )


def send(
    client: Client,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
    read_s: float = READ_TIMEOUT_S,
) -> Result[dict[str, Any], PlatformError]:
    """Send a call and return the JSON values of its answer, as call does."""
    return call(client, method, path, body, read_s).map(lambda a: a.value)


def call(
    client: Client,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
    read_s: float = READ_TIMEOUT_S,
) -> Result[Answer, PlatformError]:
    """Send a call and return its answer.

    Args:
        client: connections to the store.
        method: HTTP method.
        path: path and query.
        body: JSON values to send, or None.
        read_s: time for the whole answer.

    Returns:
        The answer, or why there is none.
    """
    writes = method != 'GET'
    try:
        response = client.pool.request(
            method,
            f'http://{client.address}{path}',
            json=body,
            timeout=urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=read_s),
            retries=False,
        )
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        return Err(_unavailable(str(error), effect_unknown=False))
    except urllib3.exceptions.HTTPError as error:
        return Err(_unavailable(str(error), effect_unknown=writes))
    return _read_response(response, writes)


def _read_response(
    response: urllib3.BaseHTTPResponse, writes: bool
) -> Result[Answer, PlatformError]:
    if not http_status.is_success(response.status):
        kind = _KIND_OF_STATUS.get(response.status, PlatformErrorKind.INVALID)
        unknown = writes and response.status < http.HTTPStatus.BAD_REQUEST
        return Err(PlatformError(kind, f'status {response.status}', unknown))
    try:
        value = decoding.loads(response.data or b'{}')
        return Ok(Answer(value, response.headers))
    except ValueError as error:
        return Err(_unavailable(str(error), effect_unknown=writes))


def _unavailable(message: str, effect_unknown: bool) -> PlatformError:
    return PlatformError(
        PlatformErrorKind.UNAVAILABLE, message, effect_unknown
    )


def invalid(detail: str) -> PlatformError:
    """Return the error for an answer that cannot be read."""
    return PlatformError(
        PlatformErrorKind.INVALID, f'unreadable answer: {detail}'
    )
