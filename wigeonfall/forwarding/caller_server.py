"""HTTP/1.1 server for callers.

Each request is handled by a task of its own. When the caller disconnects, the
task is cancelled, which also cancels its waits and the request to its target.
"""

import asyncio
import collections
import http
import time
from typing import Any

from ..policy.memory import Cause
from .caller_memory import CallerMemory
from .caller_memory import ConnectionState
from .caller_memory import PENDING_BYTES
from .calls import Call
from .calls import Headers
from .calls import Reply
from .request_reader import RequestReader
from .server_context import ServerContext

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_MAX_WRITE_BUFFER_BYTES = 64 << 10  # above, reading from targets pauses
MAX_PENDING_CALLS = 16  # that a caller sends before earlier answers
NO_ROOM_RETRY_S = 1.0  # callers without progress are closed after that time
# Of what is refused before it was read, by status.
_HEADERS: dict[int, Headers] = {
    503: ((b'Retry-After', b'%.2f' % NO_ROOM_RETRY_S),),
    413: (),
}
LINGER_S = 0.5  # to discard the rest of a refused request


class CallerConnection(asyncio.BufferedProtocol):
    """A connection of a caller; one that is half-closed counts as closed."""

    def __init__(self, context: ServerContext) -> None:
        self._context = context
        self._read_buffer = memoryview(context.read_buffer)
        self._transport: asyncio.Transport | None = None
        self._pending_calls: collections.deque[tuple[Call, bool, int]] = (
            collections.deque()
        )
        self._reading_paused = False
        self._continue_due = False  # for the body of the incomplete request
        self._last_answers = 0  # begun while the server closes connections
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._disconnected = False
        self._rejection: int | None = None  # status, once a call is rejected
        self._written_bytes = 0
        self._memory = CallerMemory(
            context.account, self._state, self.close_for
        )
        self._reader = RequestReader(context.limits, self._memory, self)

    @property
    def busy(self) -> bool:
        """Whether a request is received or answered, or bytes have to leave.

        What the transport still holds is lost when the process ends.
        """
        return (
            self._task is not None
            or self._reader.started_s is not None
            or self._unsent_bytes > 0
        )

    @property
    def _unsent_bytes(self) -> int:
        if self._transport is None or self._disconnected:
            return 0
        return self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_MAX_WRITE_BUFFER_BYTES)
        self._context.connections.add(self)
        peer = transport.get_extra_info('peername')
        self._start_timer(self._context.limits().idle_timeout_s)
        cause = self._memory.open(str(peer[0]) if peer else '')
        if cause is not None:
            self.close_for(cause)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request of a caller that disconnected."""
        del exc
        self._disconnected = True
        self._context.connections.discard(self)
        self._memory.close()
        self._writable.set()
        self._stop_timer()
        if self._task is not None:
            self._task.cancel()

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
        """Read requests."""
        if self._rejection is not None or self._disconnected:
            return
        if self._reader.started_s is None and self._task is None:
            self._start_timer(self._context.limits().header_timeout_s)
        self._reader.feed(data)
        if self._task is not None and (
            self._pending_calls or self._reader.started_s is not None
        ):
            self._pause_if_ahead()

    def head_read(self, expects: bool) -> None:
        """Answer `Expect: 100-continue`, after all earlier answers."""
        self._stop_timer()
        self._continue_due = expects
        if self._task is None:
            self._ask_for_body()

    def _ask_for_body(self) -> None:
        if self._continue_due:
            self._continue_due = False
            self.write(_CONTINUE)

    def request_read(self, call: Call, close: bool, size: int) -> None:
        """Queue the request to be answered after earlier ones."""
        self._continue_due = False
        self._pending_calls.append((call, close, size))
        if self._task is None:
            self._start_next()

    def refuse(self) -> None:
        """Refuse a request for which there is no room; it was not run."""
        self._report(Cause.NO_MEMORY)
        self.reject(http.HTTPStatus.SERVICE_UNAVAILABLE)

    def reject(self, status: int) -> None:
        """Reject a request with an error and close the connection."""
        if self._rejection is not None or self._disconnected:
            return
        self._rejection = status
        self._reader.stop()
        if self._task is None:
            self._close_with(status)

    def write(self, data: bytes) -> None:
        """Write bytes unless the caller has disconnected."""
        if self._transport is None or self._disconnected:
            return
        transport = self._transport
        transport.write(data)
        self._written_bytes += len(data)
        unsent_bytes = transport.get_write_buffer_size()
        if (unsent_bytes or self._memory.unread) and not (
            self._memory.written(unsent_bytes)
        ):
            self.close_for(Cause.NO_MEMORY)

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        await self._writable.wait()

    def closing(self) -> bool:
        """Whether to close the connection after an answer.

        Not before all requests that it had read are answered; a caller that
        goes on sending ahead is not waited for.
        """
        if not self._context.closing():
            return False
        self._last_answers += 1
        ahead = self._pending_calls or self._reader.started_s is not None
        return not ahead or self._last_answers > MAX_PENDING_CALLS

    def close_for(self, cause: Cause) -> None:
        """Close the connection, or refuse its incomplete request."""
        if self._disconnected or self._transport is None:
            return
        self._report(cause)
        refusable = (
            self._reader.started_s is not None
            and self._task is None
            and not self._unsent_bytes
            and cause is not Cause.NO_DESCRIPTORS
        )
        if not refusable:
            self._drop()
        elif cause is Cause.TIMED_OUT:
            self.reject(http.HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.reject(http.HTTPStatus.SERVICE_UNAVAILABLE)

    def close_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if not self.busy and self._transport is not None:
            self._transport.close()

    def _state(self) -> ConnectionState:
        unsent_bytes = self._unsent_bytes
        return ConnectionState(
            moved_bytes=self._reader.received_bytes
            + self._written_bytes
            - unsent_bytes,
            unsent_bytes=unsent_bytes,
            arriving=self._reader.started_s is not None,
            answering=self._task is not None,
        )

    def _report(self, cause: Cause) -> None:
        holder = self._memory.holder
        self._context.on_closed(holder.address, cause, holder.total_bytes)

    def _close_with(self, status: int) -> None:
        self._stop_timer()
        headers = _HEADERS.get(status, ())
        Reply(self, True).send(status, headers, b'')
        if self._disconnected:
            return
        if status in _HEADERS:
            # Closed with unread bytes, it could be reset before the caller
            # has read the answer.
            self._resume_reading()
            asyncio.get_running_loop().call_later(LINGER_S, self._drop)
        else:
            self._close()

    def _pause_if_ahead(self) -> None:
        """Stop reading if enough requests wait for earlier answers."""
        ahead = (
            len(self._pending_calls) >= MAX_PENDING_CALLS
            or self._memory.ahead_bytes + self._reader.arriving_bytes
            > PENDING_BYTES
        )
        if ahead and not self._reading_paused and self._rejection is None:
            assert self._transport is not None
            self._transport.pause_reading()
            self._reading_paused = True

    def _resume_reading(self) -> None:
        if self._reading_paused and not self._disconnected:
            assert self._transport is not None
            self._reading_paused = False
            self._transport.resume_reading()

    def _start_next(self) -> None:
        call, close, size = self._pending_calls.popleft()
        self._memory.start(size)
        if self._reading_paused and not self._pending_calls:
            self._resume_reading()
        self._stop_timer()
        account = self._context.account
        if not account.begin_answer(self._memory.holder, time.monotonic()):
            self._memory.finish()
            self._report(Cause.NO_DESCRIPTORS)
            self.reject(http.HTTPStatus.SERVICE_UNAVAILABLE)
            return
        self._task = asyncio.get_running_loop().create_task(
            self._answer(call, close)
        )

    async def _answer(self, call: Call, close: bool) -> None:
        reply = Reply(self, close)
        try:
            await self._context.handle(call, reply)
            del call
            self._memory.finish()
            if reply.complete:
                await self._flush()
        finally:
            self._task = None
            self._context.account.end_answer(self._memory.holder)
            self._memory.finish()
            if not self._disconnected:
                self._finish_request(reply)

    async def _flush(self) -> None:
        """Wait until the write buffer has room; abort if the caller stalls."""
        while not self._writable.is_set():
            unsent_bytes = self._unsent_bytes
            try:
                async with asyncio.timeout(
                    self._context.limits().idle_timeout_s
                ):
                    await self.drain()
            except TimeoutError:
                if self._unsent_bytes >= unsent_bytes:
                    self._drop()
                    return

    def _drop(self) -> None:
        """Close the connection at once, and hold nothing for it."""
        if self._disconnected:
            return
        self._disconnected = True
        self._reader.stop()
        self._memory.close()
        self._pending_calls.clear()
        if self._transport is not None:
            self._transport.abort()

    def _close(self) -> None:
        """Close the connection once all bytes have left, in bounded time."""
        assert self._transport is not None
        self._transport.close()
        if self._unsent_bytes:
            idle_timeout_s = self._context.limits().idle_timeout_s
            asyncio.get_running_loop().call_later(idle_timeout_s, self._drop)

    def _finish_request(self, reply: Reply) -> None:
        assert self._transport is not None
        if not reply.complete:
            self._transport.abort()
        elif not reply.keep_alive:
            self._close()
        elif self._pending_calls:
            self._start_next()
        elif self._rejection is not None:
            self._close_with(self._rejection)
        else:
            if self._reading_paused:
                self._resume_reading()
            self._ask_for_body()
            limits = self._context.limits()
            if self._reader.started_s is None:
                self._start_timer(limits.idle_timeout_s)
            elif not self._reader.head_complete:
                self._start_timer(limits.header_timeout_s)

    def _start_timer(self, delay_s: float) -> None:
        self._stop_timer()
        self._timer = asyncio.get_running_loop().call_later(
            delay_s, self._on_timeout
        )

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        if self._task is not None or self._transport is None:
            return
        if self._reader.started_s is not None:
            self.reject(http.HTTPStatus.REQUEST_TIMEOUT)
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
