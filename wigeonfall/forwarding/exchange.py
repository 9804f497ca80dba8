"""Exchanges with targets over HTTP/1.1, on connections that are kept.

An answer belongs to a request by the identifier that targets echo; answers to
others on the same connection are dropped. A connection with bytes that belong
to nothing is not used again.
"""

import asyncio
import collections
import socket
import time

import attrs
import httptools

from ..errors import WigeonfallError
from .callers import Headers

CONNECT_TIMEOUT_S = 0.4  # a few round trips between data centres
KEPT_S = 3.0  # idle connections are closed after this time
KEPT_MARGIN_S = 1.0  # before the target's own idle timeout
KEPT_CONNECTIONS = 8  # for each target
UNACKED_TIMEOUT_MS = 1500  # a peer without power acknowledges nothing
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBES = 2
_BUFFER_HIGH_BYTES = 512 << 10
_CONTINUE_BELOW = 200
_NO_BODY = (204, 304)


class ExchangeError(WigeonfallError):
    """A request got no whole answer.

    Attributes:
        sent: whether any byte of the request may have reached the target.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


@attrs.frozen
class Head:
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


class _Message:
    """One answer while it arrives."""

    def __init__(self) -> None:
        self.headers: list[tuple[bytes, bytes]] = []
        self.head: Head | None = None
        self.body: collections.deque[bytes] = collections.deque()
        self.whole = False
        self.until_end = False


class _Connection(asyncio.Protocol):
    """One connection to a target."""

    def __init__(self) -> None:
        self.bodiless = False
        self.transport: asyncio.Transport | None = None
        self.messages: collections.deque[_Message] = collections.deque()
        self.parser = httptools.HttpResponseParser(self)
        self.error: str | None = None
        self.ended = False
        self.keep_alive = True
        self.kept_until_s = 0.0
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
            if not (self.messages and self.messages[-1].whole):
                self.error = f'malformed answer: {e}'
        self._wake()

    def eof_received(self) -> bool:
        """Take the end of an answer that has no length."""
        self.ended = True
        if self.messages and self.messages[-1].until_end:
            self.messages[-1].whole = True
        else:
            self.error = self.error or 'connection ended'
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that nothing more arrives."""
        self.ended = True
        last = self.messages[-1] if self.messages else None
        if last is None or not last.whole:
            self.error = self.error or f'connection lost: {exc}'
        self._wake()

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self.messages.append(_Message())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self.messages[-1].headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note how the answer ends."""
        message = self.messages[-1]
        headers = tuple(message.headers)
        length = _length(headers)
        chunked = any(n == b'transfer-encoding' for n, _ in headers)
        status = self.parser.get_status_code()
        message.head = Head(status, headers, None if chunked else length)
        if not self.parser.should_keep_alive():
            self.keep_alive = False
        if self.bodiless and status >= _CONTINUE_BELOW:
            # The parser does not know that no body follows.
            message.whole = True
            self.keep_alive = False
            return
        has_body = status >= _CONTINUE_BELOW and status not in _NO_BODY
        message.until_end = has_body and not chunked and length is None

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self.messages[-1].body.append(body)
        self._buffered_bytes += len(body)
        if self._buffered_bytes > _BUFFER_HIGH_BYTES and not self._paused:
            assert self.transport is not None
            self.transport.pause_reading()
            self._paused = True

    def on_message_complete(self) -> None:
        """Note the proven end of the answer."""
        self.messages[-1].whole = True

    def taken(self, size: int) -> None:
        """Note that buffered bytes were passed on."""
        self._buffered_bytes -= size
        if self._paused and self._buffered_bytes < _BUFFER_HIGH_BYTES // 2:
            assert self.transport is not None
            self._paused = False
            if not self.ended:
                self.transport.resume_reading()

    async def changed(self) -> None:
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


class Exchange:
    """One request on its way to a target, and its answer."""

    def __init__(
        self,
        connection: _Connection,
        pool: 'TargetConnections',
        address: str,
        id_header: bytes,
        request_id: bytes,
    ) -> None:
        self._connection = connection
        self._pool = pool
        self._address = address
        self._id_header = id_header
        self._request_id = request_id
        self._message: _Message | None = None

    async def head(self) -> Head:
        """Wait for the head of the answer.

        Raises:
            ExchangeError: the connection ended before.
        """
        while True:
            message = self._own_message()
            if message is not None and message.head is not None:
                self._message = message
                return message.head
            self._check()
            await self._connection.changed()

    async def read(self) -> bytes:
        """Return what has arrived of the body, b'' at its proven end.

        Raises:
            ExchangeError: the answer broke off.
        """
        assert self._message is not None
        while True:
            if self._message.body:
                parts = tuple(self._message.body)
                self._message.body.clear()
                data = b''.join(parts)
                self._connection.taken(len(data))
                return data
            if self._message.whole:
                return b''
            self._check()
            await self._connection.changed()

    async def read_whole(self, most_bytes: int) -> bytes | None:
        """Return the whole body, or None if it is longer than a limit."""
        parts = []
        size = 0
        while part := await self.read():
            parts.append(part)
            size += len(part)
            if size > most_bytes:
                return None
        return b''.join(parts)

    def close(self) -> None:
        """Keep the connection if the answer is whole, else close it."""
        connection = self._connection
        whole = self._message is not None and self._message.whole
        clean = len(connection.messages) == 1 and connection.keep_alive
        assert connection.transport is not None
        written = connection.transport.get_write_buffer_size() == 0
        if whole and clean and written and not connection.ended:
            assert self._message is not None and self._message.head
            self._pool.keep(self._address, connection, self._message.head)
        else:
            connection.abort()

    def _own_message(self) -> _Message | None:
        messages = self._connection.messages
        while messages and messages[0].head is not None:
            head = messages[0].head
            echoed = head.header(self._id_header)
            other = bool(echoed) and echoed != self._request_id
            if head.status >= _CONTINUE_BELOW and not other:
                return messages[0]
            if not messages[0].whole:
                return None
            messages.popleft()
        return None

    def _check(self) -> None:
        if self._connection.error is not None:
            raise ExchangeError(self._connection.error, sent=True)
        if self._connection.ended:
            raise ExchangeError('connection ended', sent=True)


class TargetConnections:
    """Connections to targets, used by one event loop.

    Args:
        id_header: header in which targets echo a request's identifier.
    """

    def __init__(self, id_header: bytes) -> None:
        self._id_header = id_header
        self._kept: dict[str, list[_Connection]] = {}
        self.opened = 0

    async def send(
        self,
        address: str,
        request_id: bytes,
        data: bytes,
        fresh: bool,
        now_s: float,
    ) -> Exchange:
        """Send a request.

        Args:
            address: "host:port" of the target.
            request_id: identifier that the target echoes.
            data: the whole request.
            fresh: whether kept connections are ruled out.
            now_s: present time on the monotonic clock.

        Raises:
            ExchangeError: no connection; nothing was sent.
        """
        connection = None if fresh else self._take(address, now_s)
        if connection is None:
            connection = await self._connect(address)
        assert connection.transport is not None
        connection.bodiless = data.startswith(b'HEAD ')
        connection.transport.write(data)
        return Exchange(connection, self, address, self._id_header, request_id)

    def keep(self, address: str, connection: _Connection, head: Head) -> None:
        """Keep a connection for another request."""
        kept_s = min(KEPT_S, _keep_alive_s(head) - KEPT_MARGIN_S)
        kept = self._kept.setdefault(address, [])
        if kept_s <= 0 or len(kept) >= KEPT_CONNECTIONS:
            connection.abort()
            return
        connection.messages.clear()
        connection.kept_until_s = time.monotonic() + kept_s
        kept.append(connection)

    def forget(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._kept.pop(address, ()):
            connection.abort()

    def close_idle(self, now_s: float) -> None:
        """Close the connections that were idle for too long."""
        for address, kept in tuple(self._kept.items()):
            for connection in tuple(kept):
                if not _usable(connection, now_s):
                    kept.remove(connection)
                    connection.abort()
            if not kept:
                del self._kept[address]

    def _take(self, address: str, now_s: float) -> _Connection | None:
        kept = self._kept.get(address, [])
        while kept:
            connection = kept.pop()
            if _usable(connection, now_s):
                return connection
            connection.abort()
        return None

    async def _connect(self, address: str) -> _Connection:
        host, _, number = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    _Connection, host, int(number)
                )
        except (OSError, ValueError) as error:
            message = f'no connection: {error!r}'
            raise ExchangeError(message, sent=False) from error
        self.opened += 1
        return connection


def _usable(connection: _Connection, now_s: float) -> bool:
    return (
        not connection.ended
        and connection.error is None
        and not connection.messages
        and connection.keep_alive
        and now_s < connection.kept_until_s
    )


def _length(headers: Headers) -> int | None:
    for name, value in headers:
        if name == b'content-length' and value.isdigit():
            return int(value)
    return None


def _keep_alive_s(head: Head) -> float:
    for part in head.header(b'keep-alive').split(b','):
        name, _, value = part.strip().partition(b'=')
        if name.lower() == b'timeout' and value.isdigit():
            return float(value)
    return KEPT_S + KEPT_MARGIN_S


def _set_options(sock: socket.socket) -> None:
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)
