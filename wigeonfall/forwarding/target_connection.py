"""HTTP/1.1 client connection to a target."""

import array
import asyncio
import collections
from collections.abc import Iterable
import fcntl
import socket
import termios

import attrs
import httptools

from .. import decoding
from ..model import http_status
from .calls import Headers
from .framing import FramingBudget
from .framing import READ_BYTES

UNACKED_TIMEOUT_MS = 1500  # detects hosts that lost power
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2
MAX_FRAMING_BYTES = 64 << 10  # several times the heads of sound targets
MAX_LENGTH_BYTES = 1 << 62  # the parser takes no larger ones
WRITE_BUFFER_BYTES = 32 << 10  # above, sending a body pauses
MAX_RESPONSES = 16  # to one request, with interim and unasked ones
# Handled in one turn of the event loop, together with what is read in it.
_MAX_BUFFER_BYTES = 16 << 10
_STATUSES_WITHOUT_BODY = (204, 304)


@attrs.frozen
class ResponseHead:
    """The status line and headers of an answer.

    Attributes:
        status: HTTP status.
        headers: headers with names in lower case.
        length: length of the body in bytes, None if it is not given.
    """

    status: int
    headers: Headers
    length: int | None

    def header(self, name: bytes) -> bytes:
        """Return the value of the first header of a name, or b''."""
        return next((v for n, v in self.headers if n == name), b'')

    def values(self, name: bytes) -> tuple[bytes, ...]:
        """Return the values of all headers of a name."""
        return tuple(v for n, v in self.headers if n == name)

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a stream of server-sent events."""
        media_type = self.header(b'content-type').partition(b';')[0]
        return media_type.strip().lower() == b'text/event-stream'


class Response:
    """An answer that is being received."""

    def __init__(self) -> None:
        self.headers: list[tuple[bytes, bytes]] = []
        self.head: ResponseHead | None = None
        self.body = bytearray()
        self.complete = False
        self.ends_at_eof = False


class _TooManyResponses(Exception):
    """A target sent more answers than a sound one does."""


class _InvalidStatus(Exception):
    """A target sent a number that is no status."""


class TargetConnection(asyncio.BufferedProtocol):
    """A connection to a target.

    Args:
        read_buffer: memory to read into, shared by the connections of a loop.
        open_connections: set that this one is in while it is open.

    Attributes:
        is_head_request: whether the answer has no body.
        used: whether an earlier request was sent on it.
        idle: whether no request was sent since the last answer.
        error: why no further bytes of an answer are valid, or None.
    """

    def __init__(
        self,
        read_buffer: bytearray | None = None,
        open_connections: 'set[TargetConnection] | None' = None,
    ) -> None:
        self._open = set() if open_connections is None else open_connections
        self._read_buffer = memoryview(read_buffer or bytearray(READ_BYTES))
        self.is_head_request = False
        self.used = False
        self.idle = False
        self.transport: asyncio.Transport | None = None
        self.responses: collections.deque[Response] = collections.deque()
        self.parser = httptools.HttpResponseParser(self)
        self.error: str | None = None
        self.ended = False
        self.keep_alive = True
        self.idle_until_s = 0.0
        self._framing = FramingBudget(MAX_FRAMING_BYTES)
        self._responses_begun = 0
        self._sending = False
        self._change: asyncio.Future[None] | None = None
        self._buffered_bytes = 0
        self._paused = False
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options that detect an unreachable peer."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._open.add(self)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        _set_options(transport.get_extra_info('socket'))

    def pause_writing(self) -> None:
        """Make the sender of a body wait until the write buffer has room."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let the sender of a body continue."""
        self._writable.set()

    async def write_parts(self, parts: Iterable[bytes | bytearray]) -> None:
        """Write parts of a body as fast as the target takes them."""
        assert self.transport is not None
        self._sending = True
        for part in parts:
            await self._writable.wait()
            if self.ended or self.transport.is_closing():
                return
            self.transport.write(part)
        self._sending = False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory for the next read."""
        del sizehint
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read."""
        self.data_received(self._read_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse bytes of answers."""
        if self.idle:
            self._fail('bytes without a request')
            return
        self._framing.received(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            self._fail(f'malformed answer: {e}')
        else:
            if self._framing.exceeded:
                self._fail(
                    f'answer with over {MAX_FRAMING_BYTES} bytes of headers'
                )
        self._wake()

    def eof_received(self) -> bool:
        """Complete an answer whose end is that of the connection."""
        self.ended = True
        last = self.responses[-1] if self.responses else None
        if last is None or not last.ends_at_eof:
            self.error = self.error or 'connection ended'
        elif self._is_early_success(last):
            self.error = self.error or 'connection ended within the request'
        else:
            last.complete = True
        self._wake()
        return False

    def _is_early_success(self, response: Response) -> bool:
        """Return whether a success came before the request was sent.

        Its target has not read the whole request, so that the end of the
        connection may be that of the target, not that of the answer.
        """
        assert self.transport is not None and response.head is not None
        if not http_status.is_success(response.head.status):
            return False
        return (
            self._sending
            or self.transport.get_write_buffer_size() > 0
            or _unacked_bytes(self.transport.get_extra_info('socket')) > 0
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end, and an error if an answer is incomplete."""
        self.ended = True
        self._open.discard(self)
        self._writable.set()
        last = self.responses[-1] if self.responses else None
        if last is None or not last.complete:
            self.error = self.error or f'connection lost: {exc}'
        self._wake()

    def on_message_begin(self) -> None:
        """Start a new answer.

        Raises:
            _TooManyResponses: the target sends answers without end.
        """
        self._responses_begun += 1
        if self._responses_begun > MAX_RESPONSES:
            raise _TooManyResponses(f'over {MAX_RESPONSES} answers')
        self.responses.append(Response())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self.responses[-1].headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Store the head and determine how the body ends.

        Raises:
            _InvalidStatus: the answer has no status.
        """
        status = self.parser.get_status_code()
        if not http_status.is_valid(status):
            raise _InvalidStatus(f'status {status}')
        self._framing.completed()
        response = self.responses[-1]
        headers = tuple(response.headers)
        length = _length(headers)
        chunked = any(n == b'transfer-encoding' for n, _ in headers)
        response.head = ResponseHead(
            status, headers, None if chunked else length
        )
        if not self.parser.should_keep_alive():
            self.keep_alive = False
        interim = http_status.is_interim(status)
        if self.is_head_request and not interim:
            # The parser does not know that an answer to HEAD has no body.
            response.complete = True
            self.keep_alive = False
            return
        has_body = not interim and status not in _STATUSES_WITHOUT_BODY
        response.ends_at_eof = has_body and not chunked and length is None

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body; pauses reading when full."""
        self._framing.found_body(len(body))
        self.responses[-1].body += body
        self._buffered_bytes += len(body)
        if self._buffered_bytes > _MAX_BUFFER_BYTES and not self._paused:
            assert self.transport is not None
            self.transport.pause_reading()
            self._paused = True

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
        self._framing.completed()
        self.responses[-1].complete = True

    def mark_consumed(self, size: int) -> None:
        """Free buffer space; resumes reading when half is free."""
        self._buffered_bytes -= size
        if self._paused and self._buffered_bytes < _MAX_BUFFER_BYTES // 2:
            assert self.transport is not None
            self._paused = False
            if not self.ended:
                self.transport.resume_reading()

    async def wait_for_change(self) -> None:
        """Wait until more data arrives or the connection ends."""
        self._change = asyncio.get_running_loop().create_future()
        await self._change

    def reuse(self) -> None:
        """Prepare the connection for a further request."""
        self.used = True
        self.responses.clear()
        self._responses_begun = 0
        self._sending = False
        self._framing.completed()
        self.idle = True

    def abort(self) -> None:
        """Close the connection at once, which cancels its request."""
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, detail: str) -> None:
        """Stop reading; an answer that is complete remains valid."""
        self.keep_alive = False
        if not any(response.complete for response in self.responses):
            self.error = self.error or detail
        self.abort()

    def _wake(self) -> None:
        if self._change is not None and not self._change.done():
            self._change.set_result(None)


def _length(headers: Headers) -> int | None:
    for name, value in headers:
        if name == b'content-length':
            return decoding.whole_number(value, MAX_LENGTH_BYTES)
    return None


def _unacked_bytes(sock: socket.socket) -> int:
    """Return how many bytes sent the peer's host has not acknowledged."""
    counted = array.array('i', [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, counted)
    except OSError:  # closed, or the system does not tell
        return 0
    return counted[0]


def _set_options(sock: socket.socket) -> None:
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
