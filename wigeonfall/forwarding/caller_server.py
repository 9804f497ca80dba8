"""HTTP/1.1 server for callers.

Each request is handled by a task of its own. When the caller disconnects, the
task is cancelled, which also cancels its waits and the request to its target.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import http
import time
from typing import Any

import attrs
import httptools

from ..model.routing import CallerLimits
from .calls import Call
from .calls import Reply
from .framing import FramingBudget
from .framing import READ_BYTES

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_MAX_WRITE_BUFFER_BYTES = 256 << 10  # above, reading from targets pauses
MAX_PENDING_CALLS = 16  # that a caller sends before earlier answers
REQUEST_LINE_BYTES = 1 << 10  # and separators, beside the limit on headers
HandleCall = Callable[[Call, Reply], Awaitable[None]]


@attrs.frozen
class ServerContext:
    """What the connections of a server share.

    Attributes:
        handle: answers a request.
        limits: returns the current limits on requests.
        closing: returns whether to close connections after an answer.
        connections: the open connections.
        read_buffer: memory that they read into.
    """

    handle: HandleCall
    limits: Callable[[], CallerLimits]
    closing: Callable[[], bool]
    connections: set['CallerConnection'] = attrs.field(factory=set)
    read_buffer: bytearray = attrs.field(
        factory=lambda: bytearray(READ_BYTES), repr=False
    )


class CallerConnection(asyncio.BufferedProtocol):
    """A connection of a caller."""

    def __init__(self, context: ServerContext) -> None:
        self._context = context
        self._read_buffer = memoryview(context.read_buffer)
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending_calls: collections.deque[tuple[Call, bool]] = (
            collections.deque()
        )
        self._reading_paused = False
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._disconnected = False
        self._rejected = False
        self._started_s: float | None = None
        self._framing = FramingBudget(context.limits().header_bytes)
        self._reset_message()

    @property
    def busy(self) -> bool:
        """Whether a request is received or answered, or bytes have to leave.

        What the transport still holds is lost when the process ends.
        """
        return (
            self._task is not None
            or self._started_s is not None
            or self._unsent_bytes() > 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_MAX_WRITE_BUFFER_BYTES)
        self._context.connections.add(self)
        self._start_timer(self._context.limits().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request of a caller that disconnected."""
        del exc
        self._disconnected = True
        self._context.connections.discard(self)
        self._writable.set()
        self._stop_timer()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed by the caller."""
        return False

    def pause_writing(self) -> None:
        """Make writers wait until the write buffer has room."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers continue."""
        self._writable.set()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory for the next read."""
        del sizehint
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read."""
        self.data_received(self._read_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse bytes of requests."""
        if self._rejected:
            return
        if self._started_s is None and self._task is None:
            self._start_timer(self._context.limits().header_timeout_s)
        self._framing.most_bytes = (
            self._context.limits().header_bytes + REQUEST_LINE_BYTES
        )
        self._framing.received(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(http.HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self._reject(http.HTTPStatus.BAD_REQUEST)
        if self._framing.exceeded:
            status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._reject(status)

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._reset_message()
        self._started_s = time.monotonic()

    def on_url(self, url: bytes) -> None:
        """Add a part of the path."""
        self._url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers.append((name.lower(), value))
        self._count_header(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Answer `Expect: 100-continue`."""
        self._framing.completed()
        self._stop_timer()
        expects = any(
            n == b'expect' and v.lower() == b'100-continue'
            for n, v in self._headers
        )
        if expects and not self._rejected:
            self.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Add a part of the body, within the limit."""
        self._framing.found_body(len(body))
        self._body_bytes += len(body)
        if self._body_bytes > self._context.limits().body_bytes:
            self._reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        self._body += body

    def on_message_complete(self) -> None:
        """Queue the request to be answered after earlier ones."""
        self._framing.completed()
        if self._rejected or self._started_s is None:
            return
        call = Call(
            self._parser.get_method(),
            self._url,
            tuple(self._headers),
            bytes(self._body),
            self._started_s,
        )
        close = not self._parser.should_keep_alive()
        self._started_s = None
        self._pending_calls.append((call, close))
        if self._task is None:
            self._start_next()
        elif len(self._pending_calls) >= MAX_PENDING_CALLS:
            assert self._transport is not None
            self._transport.pause_reading()
            self._reading_paused = True

    def write(self, data: bytes) -> None:
        """Write bytes unless the caller has disconnected."""
        if self._transport is not None and not self._disconnected:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        await self._writable.wait()

    def closing(self) -> bool:
        """Whether to close the connection after an answer."""
        return self._context.closing()

    def close_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if not self.busy and self._transport is not None:
            self._transport.close()

    def _reset_message(self) -> None:
        self._url = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._body_bytes = 0
        self._header_bytes = 0
        self._started_s = None

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._context.limits().header_bytes:
            status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._reject(status)

    def _reject(self, status: http.HTTPStatus) -> None:
        """Reject a request with an error and close the connection."""
        if self._rejected:
            return
        self._rejected = True
        self._started_s = None
        if self._task is None:
            self._close_with(status)

    def _close_with(self, status: int) -> None:
        Reply(self, True).send(status, (), b'')
        if self._transport is not None:
            self._close()

    def _start_next(self) -> None:
        call, close = self._pending_calls.popleft()
        if self._reading_paused and not self._pending_calls:
            assert self._transport is not None
            self._reading_paused = False
            self._transport.resume_reading()
        self._stop_timer()
        self._task = asyncio.get_running_loop().create_task(
            self._answer(call, close)
        )

    async def _answer(self, call: Call, close: bool) -> None:
        reply = Reply(self, close)
        try:
            await self._context.handle(call, reply)
            if reply.complete:
                await self._flush()
        finally:
            self._task = None
            if not self._disconnected:
                self._finish_request(reply)

    def _unsent_bytes(self) -> int:
        if self._transport is None or self._disconnected:
            return 0
        return self._transport.get_write_buffer_size()

    async def _flush(self) -> None:
        """Wait until the write buffer has room; abort if the caller stalls."""
        while not self._writable.is_set():
            unsent_bytes = self._unsent_bytes()
            try:
                async with asyncio.timeout(
                    self._context.limits().idle_timeout_s
                ):
                    await self.drain()
            except TimeoutError:
                if self._unsent_bytes() >= unsent_bytes:
                    self._abort()
                    return

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _close(self) -> None:
        """Close the connection once all bytes have left, in bounded time."""
        assert self._transport is not None
        self._transport.close()
        if self._unsent_bytes():
            loop = asyncio.get_running_loop()
            loop.call_later(self._context.limits().idle_timeout_s, self._abort)

    def _finish_request(self, reply: Reply) -> None:
        assert self._transport is not None
        if not reply.complete:
            self._transport.abort()
        elif not reply.keep_alive:
            self._close()
        elif self._pending_calls:
            self._start_next()
        elif self._rejected:
            self._close_with(http.HTTPStatus.BAD_REQUEST)
        elif self._started_s is None:
            self._start_timer(self._context.limits().idle_timeout_s)

    def _start_timer(self, delay_s: float) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._task is not None or self._transport is None:
            return
        if self._started_s is not None:
            self._reject(http.HTTPStatus.REQUEST_TIMEOUT)
        else:
            self._transport.close()


async def serve(
    address: str, context: ServerContext, backlog: int
) -> asyncio.Server:
    """Start a server of callers at an address.

    Args:
        address: "host:port" with an IP address.
        context: what the connections share.
        backlog: maximum number of connections that wait for accept.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()

    def make_connection() -> Any:
        return CallerConnection(context)

    return await loop.create_server(
        make_connection, host, int(port), backlog=backlog
    )
