"""Calls of callers, and the answers to them."""

from typing import Protocol

import attrs

from ..model import http_status
from .bodies import Body
from .bodies import make_body

_JOINED_BYTES = 16 << 10  # of a body that is sent with its head

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class Call:
    """A request of a caller.

    Attributes:
        method: HTTP method.
        path: path and query, as received.
        headers: headers with names in lower case.
        body: the complete body.
        arrived_s: when its first byte arrived, on the monotonic clock.
    """

    method: bytes
    path: bytes
    headers: Headers
    body: Body = attrs.field(converter=make_body)
    arrived_s: float

    def header(self, name: bytes) -> bytes:
        """Return the value of the first header of a name, or b''."""
        return next((v for n, v in self.headers if n == name), b'')


class CallConnection(Protocol):
    """The connection that a call came on."""

    def write(self, data: bytes) -> None:
        """Write bytes unless the caller has disconnected."""

    async def drain(self) -> None:
        """Wait until the write buffer has room."""

    def closing(self) -> bool:
        """Whether to close the connection after an answer."""


class Reply:
    """The answer to one request, written to the caller's connection."""

    def __init__(self, connection: CallConnection, close: bool) -> None:
        self._connection = connection
        self._close = close
        self._chunked = False
        self.started = False
        self.complete = False

    @property
    def keep_alive(self) -> bool:
        """Whether the connection stays open for another request."""
        return self.complete and not self._close

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Write the status line and headers of the answer.

        Args:
            status: HTTP status.
            headers: headers except those of framing and connection.
            length: length of the body in bytes, or None for a chunked body.
        """
        self._connection.write(self._start(status, headers, length))

    def _start(
        self, status: int, headers: Headers, length: int | None
    ) -> bytes:
        self._close = self._close or self._connection.closing()
        self._chunked = length is None
        lines = [_status_line(status)]
        lines.extend(b'%s: %s\r\n' % header for header in headers)
        if length is None:
            lines.append(b'Transfer-Encoding: chunked\r\n')
        else:
            lines.append(b'Content-Length: %d\r\n' % length)
        if self._close:
            lines.append(b'Connection: close\r\n')
        lines.append(b'\r\n')
        self.started = True
        return b''.join(lines)

    async def write(self, data: bytes) -> None:
        """Write a part of the body; waits while the write buffer is full."""
        if self._chunked:
            data = b'%x\r\n%s\r\n' % (len(data), data)
        self._connection.write(data)
        await self._connection.drain()

    def finish(self) -> None:
        """Finish the answer, with the last chunk of a chunked body."""
        if self._chunked:
            self._connection.write(b'0\r\n\r\n')
        self.complete = True

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer."""
        head = self._start(status, headers, len(body))
        if len(body) <= _JOINED_BYTES:
            self._connection.write(head + body)
        else:
            self._connection.write(head)
            self._connection.write(body)
        self.complete = True


def _status_line(status: int) -> bytes:
    return b'HTTP/1.1 %d %s\r\n' % (
        status,
        http_status.phrase(status).encode(),
    )
