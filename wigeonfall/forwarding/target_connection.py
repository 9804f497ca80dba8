"""One connection to a target: answers as they arrive."""

import asyncio
import collections
import http
import socket

import attrs
import httptools

from .caller_server import Headers

UNACKED_TIMEOUT_MS = 1500  # a peer without power acknowledges nothing
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBES = 2
_BUFFER_HIGH_BYTES = 512 << 10
_NO_BODY = (204, 304)


@attrs.frozen
class ResponseHead:
    """The head of an answer.

    Attributes:
        status: HTTP status.
        headers: headers with names in lower case.
        length: bytes of the body, None if they are not known.
    """

    status: int
    headers: Headers
    length: int | None

    def header(self, name: bytes) -> bytes:
        """Return the value of the first header of a name, or b''."""
        return next((v for n, v in self.headers if n == name), b'')


class Response:
    """One answer while it arrives."""

    def __init__(self) -> None:
        self.headers: list[tuple[bytes, bytes]] = []
        self.head: ResponseHead | None = None
        self.body: collections.deque[bytes] = collections.deque()
        self.complete = False
        self.ends_at_eof = False


class TargetConnection(asyncio.Protocol):
    """One connection to a target."""

    def __init__(self) -> None:
        self.is_head_request = False
        self.transport: asyncio.Transport | None = None
        self.responses: collections.deque[Response] = collections.deque()
        self.parser = httptools.HttpResponseParser(self)
        self.error: str | None = None
        self.ended = False
        self.keep_alive = True
        self.idle_until_s = 0.0
        self._changed: asyncio.Future[None] | None = None
        self._buffered_bytes = 0
        self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options that show a silent peer."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        _set_options(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Take bytes of answers."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            self.keep_alive = False
            if not (self.responses and self.responses[-1].complete):
                self.error = f'malformed answer: {e}'
        self._wake()

    def eof_received(self) -> bool:
        """Take the end of an answer that has no length."""
        self.ended = True
        if self.responses and self.responses[-1].ends_at_eof:
            self.responses[-1].complete = True
        else:
            self.error = self.error or 'connection ended'
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that nothing more arrives."""
        self.ended = True
        last = self.responses[-1] if self.responses else None
        if last is None or not last.complete:
            self.error = self.error or f'connection lost: {exc}'
        self._wake()

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self.responses.append(Response())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self.responses[-1].headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note how the answer ends."""
        response = self.responses[-1]
        headers = tuple(response.headers)
        length = _length(headers)
        chunked = any(n == b'transfer-encoding' for n, _ in headers)
        status = self.parser.get_status_code()
        response.head = ResponseHead(
            status, headers, None if chunked else length
        )
        if not self.parser.should_keep_alive():
            self.keep_alive = False
        if self.is_head_request and status >= http.HTTPStatus.OK:
            # The parser does not know that no body follows.
            response.complete = True
            self.keep_alive = False
            return
        has_body = status >= http.HTTPStatus.OK and status not in _NO_BODY
        response.ends_at_eof = has_body and not chunked and length is None

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self.responses[-1].body.append(body)
        self._buffered_bytes += len(body)
        if self._buffered_bytes > _BUFFER_HIGH_BYTES and not self._paused:
            assert self.transport is not None
            self.transport.pause_reading()
            self._paused = True

    def on_message_complete(self) -> None:
        """Note the proven end of the answer."""
        self.responses[-1].complete = True

    def mark_consumed(self, size: int) -> None:
        """Note that buffered bytes were passed on."""
        self._buffered_bytes -= size
        if self._paused and self._buffered_bytes < _BUFFER_HIGH_BYTES // 2:
            assert self.transport is not None
            self._paused = False
            if not self.ended:
                self.transport.resume_reading()

    async def wait_for_change(self) -> None:
        """Wait until more has arrived or the connection has ended."""
        self._changed = asyncio.get_running_loop().create_future()
        await self._changed

    def abort(self) -> None:
        """Close the connection at once, which cancels its request."""
        if self.transport is not None:
            self.transport.abort()

    def _wake(self) -> None:
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)


def _length(headers: Headers) -> int | None:
    for name, value in headers:
        if name == b'content-length' and value.isdigit():
            return int(value)
    return None


def _set_options(sock: socket.socket) -> None:
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)
