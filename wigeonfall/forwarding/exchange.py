"""Exchanges with targets over HTTP/1.1, on connections that are kept.

An answer belongs to a request by the identifier that targets echo; answers to
others on the same connection are dropped. A connection with bytes that belong
to nothing is not used again.
"""

import asyncio
import http
import time

from ..errors import WigeonfallError
from .connection import Connection
from .connection import Head
from .connection import Message

CONNECT_TIMEOUT_S = 0.4  # a few round trips between data centres
KEPT_S = 3.0  # idle connections are closed after this time
KEPT_MARGIN_S = 1.0  # before the target's own idle timeout
KEPT_CONNECTIONS = 8  # for each target


class ExchangeError(WigeonfallError):
    """A request got no whole answer.

    Attributes:
        sent: whether any byte of the request may have reached the target.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class Exchange:
    """One request on its way to a target, and its answer."""

    def __init__(
        self,
        connection: Connection,
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
        self._message: Message | None = None

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

    def _own_message(self) -> Message | None:
        messages = self._connection.messages
        while messages and messages[0].head is not None:
            head = messages[0].head
            echoed = head.header(self._id_header)
            other = bool(echoed) and echoed != self._request_id
            if head.status >= http.HTTPStatus.OK and not other:
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
        self._kept: dict[str, list[Connection]] = {}

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

    def keep(self, address: str, connection: Connection, head: Head) -> None:
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

    def _take(self, address: str, now_s: float) -> Connection | None:
        kept = self._kept.get(address, [])
        while kept:
            connection = kept.pop()
            if _usable(connection, now_s):
                return connection
            connection.abort()
        return None

    async def _connect(self, address: str) -> Connection:
        host, _, number = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    Connection, host, int(number)
                )
        except (OSError, ValueError) as error:
            message = f'no connection: {error!r}'
            raise ExchangeError(message, sent=False) from error
        return connection


def _usable(connection: Connection, now_s: float) -> bool:
    return (
        not connection.ended
        and connection.error is None
        and not connection.messages
        and connection.keep_alive
        and now_s < connection.kept_until_s
    )


def _keep_alive_s(head: Head) -> float:
    for part in head.header(b'keep-alive').split(b','):
        name, _, value = part.strip().partition(b'=')
        if name.lower() == b'timeout' and value.isdigit():
            return float(value)
    return KEPT_S + KEPT_MARGIN_S
