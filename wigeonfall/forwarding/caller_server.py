"""Connections of callers: HTTP/1.1 requests in, answers out.

There is one task for each request. It is cancelled when its caller leaves,
which ends what it waits for and what it sent.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import http
import time
from typing import Any

import attrs
import httptools

from ..model.routing import CallerLimits

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_WRITE_HIGH_BYTES = 256 << 10  # a caller that does not read stops the relay
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class Call:
    """A request as its caller sent it.

    Attributes:
        method: HTTP method.
        path: path and query, unchanged.
        headers: headers with names in lower case.
        body: the whole body.
        arrived_s: time of its first byte, on the monotonic clock.
    """

    method: bytes
    path: bytes
    headers: Headers
    body: bytes
    arrived_s: float

    def header(self, name: bytes) -> bytes:
        """Return the value of the first header of a name, or b''."""
        return next((v for n, v in self.headers if n == name), b'')


HandleCall = Callable[[Call, 'Reply'], Awaitable[None]]


@attrs.frozen
class ServerContext:
    """What connections of callers need.

    Attributes:
        handle: answers a call.
        limits: returns what callers may send at present.
        closing: whether connections are to end after an answer.
        opened: takes note of a connection, and of its end.
    """

    handle: HandleCall
    limits: Callable[[], CallerLimits]
    closing: Callable[[], bool]
    connections: set['CallerConnection'] = attrs.field(factory=set)


class Reply:
    """The answer to one call, written to its connection."""

    def __init__(self, connection: 'CallerConnection', close: bool) -> None:
        self._connection = connection
        self._close = close
        self._chunked = False
        self.started = False
        self.complete = False

    @property
    def keep_alive(self) -> bool:
        """Whether the connection serves another request afterwards."""
        return self.complete and not self._close

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Write the head of an answer.

        Args:
            status: HTTP status.
            headers: headers that do not concern the connection.
            length: bytes of the body, or None if they are not known yet.
        """
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
        self._connection.write(b''.join(lines))

    async def write(self, data: bytes) -> None:
        """Write a part of the body; waits while the caller does not read."""
        if self._chunked:
            data = b'%x\r\n%s\r\n' % (len(data), data)
        self._connection.write(data)
        await self._connection.drained()

    def finish(self) -> None:
        """Write the proven end of the answer."""
        if self._chunked:
            self._connection.write(b'0\r\n\r\n')
        self.complete = True

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer at once."""
        self.start(status, headers, len(body))
        self._connection.write(body)
        self.complete = True


class CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, port: ServerContext) -> None:
        self._port = port
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._calls: list[tuple[Call, bool]] = []
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._ended = False
        self._refused = False
        self._begun_s: float | None = None
        self._new_message()

    @property
    def busy(self) -> bool:
        """Whether a request is being answered or read."""
        return self._task is not None or self._begun_s is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_HIGH_BYTES)
        self._port.connections.add(self)
        self._arm(self._port.limits().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request whose caller left."""
        del exc
        self._ended = True
        self._port.connections.discard(self)
        self._writable.set()
        self._disarm()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Treat the end of what a caller sends as its leaving."""
        return False

    def pause_writing(self) -> None:
        """Stop the relay until the caller reads."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Go on with the relay."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Take bytes of requests."""
        if self._refused:
            return
        if self._begun_s is None and self._task is None:
            self._arm(self._port.limits().header_timeout_s)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(http.HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self._refuse(http.HTTPStatus.BAD_REQUEST)

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._new_message()
        self._begun_s = time.monotonic()

    def on_url(self, url: bytes) -> None:
        """Keep a part of the path."""
        self._url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._headers.append((name.lower(), value))
        self._count_header(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Let a caller go on that waits before it sends a body."""
        self._disarm()
        expects = any(
            n == b'expect' and v.lower() == b'100-continue'
            for n, v in self._headers
        )
        if expects and not self._refused:
            self.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._port.limits().body_bytes:
            self._refuse(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Answer a request, after those before it."""
        if self._refused or self._begun_s is None:
            return
        call = Call(
            self._parser.get_method(),
            self._url,
            tuple(self._headers),
            b''.join(self._body),
            self._begun_s,
        )
        close = not self._parser.should_keep_alive()
        self._begun_s = None
        self._calls.append((call, close))
        if self._task is None:
            self._next()

    def write(self, data: bytes) -> None:
        """Write bytes unless the caller has left."""
        if self._transport is not None and not self._ended:
            self._transport.write(data)

    async def drained(self) -> None:
        """Wait until the caller has read enough."""
        await self._writable.wait()

    def closing(self) -> bool:
        """Whether connections are to end after an answer."""
        return self._port.closing()

    def close_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if not self.busy and self._transport is not None:
            self._transport.close()

    def _new_message(self) -> None:
        self._url = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._header_bytes = 0
        self._begun_s = None

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._port.limits().header_bytes:
            status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._refuse(status)

    def _refuse(self, status: http.HTTPStatus) -> None:
        """Answer a request that cannot be read, and close."""
        if self._refused:
            return
        self._refused = True
        self._begun_s = None
        if self._task is None:
            self._close_with(status)

    def _close_with(self, status: int) -> None:
        Reply(self, True).send(status, (), b'')
        if self._transport is not None:
            self._transport.close()

    def _next(self) -> None:
        call, close = self._calls.pop(0)
        self._disarm()
        self._task = asyncio.get_running_loop().create_task(
            self._answer(call, close)
        )

    async def _answer(self, call: Call, close: bool) -> None:
        reply = Reply(self, close)
        try:
            await self._port.handle(call, reply)
        finally:
            self._task = None
            if not self._ended:
                self._after(reply)

    def _after(self, reply: Reply) -> None:
        assert self._transport is not None
        if not reply.complete:
            self._transport.abort()
        elif not reply.keep_alive:
            self._transport.close()
        elif self._calls:
            self._next()
        elif self._refused:
            self._close_with(http.HTTPStatus.BAD_REQUEST)
        elif self._begun_s is None:
            self._arm(self._port.limits().idle_timeout_s)

    def _arm(self, delay_s: float) -> None:
        self._disarm()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._timed_out)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _timed_out(self) -> None:
        if self._task is not None or self._transport is None:
            return
        if self._begun_s is not None:
            self._refuse(http.HTTPStatus.REQUEST_TIMEOUT)
        else:
            self._transport.close()


def _status_line(status: int) -> bytes:
    reason = _REASONS.get(status, 'Status')
    return b'HTTP/1.1 %d %s\r\n' % (status, reason.encode())


async def serve(
    address: str, port: ServerContext, backlog: int
) -> asyncio.Server:
    """Begin to serve callers at an address.

    Args:
        address: "host:port" by IP number.
        port: what the connections need.
        backlog: connections that may wait to be accepted.
    """
    host, _, number = address.rpartition(':')
    loop = asyncio.get_running_loop()

    def make() -> Any:
        return CallerConnection(port)

    return await loop.create_server(make, host, int(number), backlog=backlog)
