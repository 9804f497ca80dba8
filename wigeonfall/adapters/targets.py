"""Attempts at targets over HTTP.

Connecting and sending are separate steps here, since only a failure to
connect proves that the target did not run the request.
"""

import collections
from collections.abc import Callable
import http.client
import socket
import threading

from result import Err
from result import Ok
from result import Result
import urllib3.connection
import urllib3.exceptions

from . import http_response
from ..ports.targets import Attempt
from ..ports.targets import AttemptError
from ..ports.targets import AttemptErrorKind
from ..ports.targets import AttemptFailed
from ..ports.targets import TargetAnswer
from ..ports.targets import Targets

ATTEMPT_HEADER = 'X-Attempt-Id'
REQUEST_HEADER = 'X-Request-Id'
RESUME_HEADER = 'X-Resume-Offset'

_IDLE_CONNECTIONS = 64

_Connection = urllib3.connection.HTTPConnection
_TRANSPORT_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
    http_response.ResponseError,
)


class _Idle:
    """Idle connections by address."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_address: dict[str, collections.deque[_Connection]] = {}

    def take(self, address: str) -> _Connection | None:
        """Return a connection that looks alive, or None."""
        while True:
            with self._lock:
                queue = self._by_address.get(address)
                if not queue:
                    return None
                connection = queue.pop()
            if connection.is_connected:
                return connection
            connection.close()

    def give(self, address: str, connection: _Connection) -> None:
        """Keep a connection whose answer was read to its end."""
        with self._lock:
            queue = self._by_address.setdefault(address, collections.deque())
            if len(queue) < _IDLE_CONNECTIONS:
                queue.append(connection)
                return
        connection.close()

    def close_idle_to(self, address: str) -> None:
        """Close all idle connections to an address."""
        with self._lock:
            queue = self._by_address.pop(address, collections.deque())
        for connection in queue:
            connection.close()


def make_targets() -> Targets:
    """Return the calls to targets, with a pool of idle connections."""
    idle = _Idle()
    return Targets(
        open=lambda attempt: _open(idle, attempt),
        close_idle_to=idle.close_idle_to,
    )


def _open(idle: _Idle, attempt: Attempt) -> Result[TargetAnswer, AttemptError]:
    address = attempt.target.address
    connection = None
    if not attempt.fresh_connection:
        connection = idle.take(address)
    if connection is None:
        connected = _connect(attempt)
        if isinstance(connected, Err):
            return connected
        connection = connected.ok_value
    return _send(idle, connection, attempt)


def _connect(attempt: Attempt) -> Result[_Connection, AttemptError]:
    host, _, port = attempt.target.address.rpartition(':')
    connection = _Connection(
        host, int(port), timeout=attempt.connect_timeout_s
    )
    try:
        connection.connect()
    except _TRANSPORT_ERRORS as error:
        connection.close()
        message = f'no connection: {error}'
        return Err(
            AttemptError(
                AttemptErrorKind.NOT_SENT, message, may_have_run=False
            )
        )
    return Ok(connection)


def _send(
    idle: _Idle, connection: _Connection, attempt: Attempt
) -> Result[TargetAnswer, AttemptError]:
    sock = connection.sock
    try:
        connection.timeout = attempt.first_byte_timeout_s
        connection.request(
            attempt.method,
            attempt.path,
            body=attempt.body or None,
            headers=_headers(attempt),
        )
        response = http_response.read_head(sock, attempt.method)
    except _TRANSPORT_ERRORS as error:
        connection.close()
        return Err(_transport_error(error))
    refusal = _refusal(response, attempt)
    if refusal is not None:
        connection.close()
        return Err(refusal)
    return Ok(_answer(idle, connection, response, attempt))


def _headers(attempt: Attempt) -> dict[str, str]:
    headers = dict(attempt.headers)
    headers[ATTEMPT_HEADER] = attempt.id
    headers[REQUEST_HEADER] = attempt.request_id
    if attempt.resume_offset:
        headers[RESUME_HEADER] = str(attempt.resume_offset)
    if attempt.body or attempt.method in {'POST', 'PUT', 'PATCH'}:
        headers['Content-Length'] = str(len(attempt.body))
    if attempt.fresh_connection:
        headers['Connection'] = 'close'
    return headers


def _refusal(
    response: http_response.Response, attempt: Attempt
) -> AttemptError | None:
    echoed = response.header(ATTEMPT_HEADER)
    if echoed != attempt.id:
        message = f'answer of attempt {echoed!r}'
        return AttemptError(AttemptErrorKind.WRONG_ATTEMPT, message)
    if response.header('X-Run') != 'not-run':
        return None
    if response.header('X-Leaving') == '1':
        kind = AttemptErrorKind.LEAVING
    else:
        kind = AttemptErrorKind.REFUSED
    return AttemptError(kind, f'status {response.status}', may_have_run=False)


def _transport_error(error: Exception) -> AttemptError:
    if isinstance(error, (TimeoutError, urllib3.exceptions.ReadTimeoutError)):
        return AttemptError(AttemptErrorKind.TIMED_OUT, 'no bytes in time')
    return AttemptError(AttemptErrorKind.BROKEN, repr(error))


def _answer(
    idle: _Idle,
    connection: _Connection,
    response: http_response.Response,
    attempt: Attempt,
) -> TargetAnswer:
    return TargetAnswer(
        status=response.status,
        headers=response.headers,
        read=_reader(connection.sock, response, attempt),
        close=_closer(idle, connection, response, attempt),
    )


def _reader(
    sock: socket.socket, response: http_response.Response, attempt: Attempt
) -> Callable[[], bytes]:
    begun = False

    def read() -> bytes:
        nonlocal begun
        try:
            part = response.read()
            if not begun:
                # The head may come long before the first part of the body.
                sock.settimeout(attempt.between_bytes_timeout_s)
                begun = True
        except _TRANSPORT_ERRORS as error:
            raise AttemptFailed(_transport_error(error)) from error
        return part

    return read


def _closer(
    idle: _Idle,
    connection: _Connection,
    response: http_response.Response,
    attempt: Attempt,
) -> Callable[[], None]:
    def close() -> None:
        reusable = response.whole and response.keep_alive
        if reusable and not attempt.fresh_connection:
            idle.give(attempt.target.address, _renewed(connection))
        else:
            connection.close()

    return close


def _renewed(connection: _Connection) -> _Connection:
    """Return a connection for the next request on the same socket.

    The library's object waits for an answer that was read without it.
    """
    renewed = _Connection(connection.host, connection.port)
    renewed.sock = connection.sock
    return renewed
