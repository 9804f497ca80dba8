"""HTTP/1.1 requests to targets, over a pool of persistent connections.

Answers are matched to requests by the request identifier that targets echo;
answers to other requests on the same connection are dropped. An answer without
an identifier may be a late copy of an earlier one, so on a connection that was
used before it proves nothing, not even that the request did not run. A
connection that received unexpected bytes is not reused.
"""

import asyncio
from collections.abc import Callable
import http
import time

from ..errors import WigeonfallError
from ..model import address as address_module
from ..policy.memory import MemoryAccount
from .answer_buffers import AnswerBuffers
from .answer_buffers import HeldAnswer
from .bodies import Body
from .framing import READ_BYTES
from .target_connection import Response
from .target_connection import ResponseHead
from .target_connection import TargetConnection
from .target_connection import WRITE_BUFFER_BYTES

CONNECT_TIMEOUT_S = 0.4  # a few round trips between data centres
IDLE_TIMEOUT_S = 3.0
IDLE_MARGIN_S = 1.0  # closes this long before the target would
MAX_IDLE_PER_TARGET = 8


class ExchangeError(WigeonfallError):
    """A request got no complete answer.

    Attributes:
        sent: whether any byte of the request may have reached the target.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class Exchange:
    """A request that was sent to a target, and its answer.

    Attributes:
        held: counts what is held of the answer.
    """

    def __init__(
        self,
        connection: TargetConnection,
        pool: 'ConnectionPool',
        address: str,
        id_header: bytes,
        request_id: bytes,
        held: HeldAnswer,
        sending: asyncio.Task[None] | None = None,
    ) -> None:
        self._connection = connection
        self._pool = pool
        self._address = address
        self._id_header = id_header
        self._request_id = request_id
        self._ambiguous = connection.used
        self._response: Response | None = None
        self._sending = sending
        self.held = held

    @property
    def framed(self) -> bool:
        """Whether the answer has a proven end, besides the connection's."""
        return self._response is not None and not self._response.ends_at_eof

    async def head(self) -> ResponseHead:
        """Wait for the head of the answer.

        Raises:
            ExchangeError: the connection ended before the head arrived, or
                the answer may be that of another request.
        """
        while True:
            response = self._own_response()
            if response is not None and response.head is not None:
                self._response = response
                return response.head
            self._raise_if_ended()
            await self._connection.wait_for_change()

    async def read(self) -> bytes:
        """Return the next part of the body, or b'' when it is complete.

        Raises:
            ExchangeError: the connection ended before the body was complete.
        """
        assert self._response is not None
        while True:
            if self._response.body:
                data = bytes(self._response.body)
                self._response.body.clear()
                self._connection.mark_consumed(len(data))
                return data
            if self._response.complete:
                return b''
            self._raise_if_ended()
            await self._connection.wait_for_change()

    async def read_all(
        self, max_bytes: int, on_part: Callable[[], None] = lambda: None
    ) -> bytes | None:
        """Return the complete body, or None if it exceeds a limit.

        Args:
            max_bytes: limit of this body, beside that of all together.
            on_part: called when a part of it has arrived.
        """
        body = Body()
        while part := await self.read():
            on_part()
            body.append(part)
            if body.size > max_bytes:
                return None
            if not self.held.resize(body.size):
                return None
        return b''.join(body.parts)

    def release(self) -> None:
        """Return the connection to the pool if reusable, else close it."""
        self.held.resize(0)
        connection = self._connection
        complete = self._response is not None and self._response.complete
        clean = len(connection.responses) == 1 and connection.keep_alive
        assert connection.transport is not None
        flushed = connection.transport.get_write_buffer_size() == 0
        if self._sending is not None:
            flushed = flushed and self._sending.done()
            self._sending.cancel()
        if complete and clean and flushed and not connection.ended:
            assert self._response is not None and self._response.head
            self._pool.add_idle(self._address, connection, self._response.head)
        else:
            connection.abort()

    def _own_response(self) -> Response | None:
        responses = self._connection.responses
        while responses and responses[0].head is not None:
            head = responses[0].head
            echoed = head.header(self._id_header)
            final = head.status >= http.HTTPStatus.OK
            if final and echoed == self._request_id:
                return responses[0]
            if final and not echoed:
                if self._ambiguous:
                    raise ExchangeError(
                        'answer without request id on a used connection',
                        sent=True,
                    )
                return responses[0]
            if not responses[0].complete:
                return None
            # An answer without identifier may now be another copy of this.
            self._ambiguous = self._ambiguous or final
            responses.popleft()
        return None

    def _raise_if_ended(self) -> None:
        if self._connection.error is not None:
            raise ExchangeError(self._connection.error, sent=True)
        if self._connection.ended:
            raise ExchangeError('connection ended', sent=True)


class ConnectionPool:
    """A pool of connections to targets, for one event loop.

    Args:
        id_header: header in which targets echo the request identifier.
        account: what the process holds for others.
    """

    def __init__(
        self, id_header: bytes, account: MemoryAccount | None = None
    ) -> None:
        self._account = account or MemoryAccount()
        self._open: set[TargetConnection] = set()
        self._account.target_sockets = lambda: len(self._open)
        self._id_header = id_header
        self._idle: dict[str, list[TargetConnection]] = {}
        self._read_buffer = bytearray(READ_BYTES)
        self._buffers = AnswerBuffers(self._account)

    async def send(
        self,
        address: str,
        request_id: bytes,
        data: bytes,
        new_connection: bool,
        now_s: float,
        body: Body | None = None,
    ) -> Exchange:
        """Send a request.

        Args:
            address: "host:port" of the target.
            request_id: identifier that the target echoes.
            data: the encoded request, or its head.
            new_connection: whether not to reuse an idle connection.
            now_s: current time on the monotonic clock.
            body: its body; a long one is sent as the target takes it.

        Raises:
            ExchangeError: no connection was made, so nothing was sent.
        """
        connection = (
            None if new_connection else self._take_idle(address, now_s)
        )
        if connection is None:
            connection = await self._connect(address)
        assert connection.transport is not None
        connection.idle = False
        connection.is_head_request = data.startswith(b'HEAD ')
        sending = None
        if body is not None and body.size > WRITE_BUFFER_BYTES:
            connection.transport.write(data)
            sending = asyncio.get_running_loop().create_task(
                connection.write_parts(body.parts)
            )
        else:
            if body is not None and body.size:
                data = b''.join((data, *body.parts))
            connection.transport.write(data)
        return Exchange(
            connection,
            self,
            address,
            self._id_header,
            request_id,
            self._buffers.answer(),
            sending,
        )

    def add_idle(
        self, address: str, connection: TargetConnection, head: ResponseHead
    ) -> None:
        """Keep an idle connection, within the target's keep-alive timeout."""
        idle_s = min(IDLE_TIMEOUT_S, _keep_alive_s(head) - IDLE_MARGIN_S)
        idle = self._idle.setdefault(address, [])
        if idle_s <= 0 or len(idle) >= MAX_IDLE_PER_TARGET:
            connection.abort()
            return
        connection.reuse()
        connection.idle_until_s = time.monotonic() + idle_s
        idle.append(connection)

    def close_idle_to(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def close_idle(self, now_s: float) -> None:
        """Close idle connections that expired or ended."""
        for address, idle in tuple(self._idle.items()):
            for connection in tuple(idle):
                if not _is_reusable(connection, now_s):
                    idle.remove(connection)
                    connection.abort()
            if not idle:
                del self._idle[address]

    def _take_idle(
        self, address: str, now_s: float
    ) -> TargetConnection | None:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if _is_reusable(connection, now_s):
                return connection
            connection.abort()
        return None

    async def _connect(self, address: str) -> TargetConnection:
        loop = asyncio.get_running_loop()
        try:
            host, port = address_module.parse(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: TargetConnection(self._read_buffer, self._open),
                    host,
                    port,
                )
        except (OSError, ValueError) as error:
            message = f'no connection: {error!r}'
            raise ExchangeError(message, sent=False) from error
        return connection


def _is_reusable(connection: TargetConnection, now_s: float) -> bool:
    return (
        not connection.ended
        and connection.error is None
        and not connection.responses
        and connection.keep_alive
        and now_s < connection.idle_until_s
    )


def _keep_alive_s(head: ResponseHead) -> float:
    for part in head.header(b'keep-alive').split(b','):
        name, _, value = part.strip().partition(b'=')
        if name.lower() == b'timeout' and value.isdigit():
            return float(value)
    return IDLE_TIMEOUT_S + IDLE_MARGIN_S
