"""Counts what a connection of a caller holds in the account of its process.

What an ordinary request holds is part of the connection's own share, so that
it costs no call of the account.
"""

from collections.abc import Callable
import time

import attrs

from ..policy.memory import Cause
from ..policy.memory import Holder
from ..policy.memory import Kind
from ..policy.memory import MemoryAccount
from ..policy.memory import PROGRESS_BYTES

# Two bytes objects, the pair of them and its places in lists.
HEADER_LINE_BYTES = 240
UNCOUNTED_BYTES = 8 << 10  # of a connection, beside its own objects
STEP_BYTES = 16 << 10  # by which what arrives is counted ahead
# Of complete requests; further ones are read after the answers to these.
PENDING_BYTES = 32 << 10


@attrs.frozen
class ConnectionState:
    """The state of a connection.

    Attributes:
        moved_bytes: bytes received, and written and taken by the kernel.
        unsent_bytes: bytes written that the kernel has not taken.
        arriving: whether a request is incomplete.
        answering: whether a request is answered.
    """

    moved_bytes: int
    unsent_bytes: int
    arriving: bool
    answering: bool


class CallerMemory:
    """What one connection holds.

    Args:
        account: the account of the process.
        state: returns the state of the connection.
        close: closes it for a cause.

    Attributes:
        holder: the connection in the account.
        unread: whether bytes are counted that the caller has not read.
    """

    def __init__(
        self,
        account: MemoryAccount,
        state: Callable[[], ConnectionState],
        close: Callable[[Cause], None],
    ) -> None:
        self._account = account
        self._state = state
        self.unread = False
        self._moved_bytes = 0
        self._arriving_counted = False
        self._requests_counted = False
        self._requests_bytes = 0
        self._running_bytes = 0
        self.holder = Holder('', self._refresh, close, time.monotonic())

    @property
    def ahead_bytes(self) -> int:
        """Bytes of complete requests beside the one that is answered."""
        return self._requests_bytes - self._running_bytes

    def open(self, address: str) -> Cause | None:
        """Count the connection; return why there is no room for it."""
        self.holder.address = address
        return self._account.open(self.holder, self.holder.progress_s)

    def close(self) -> None:
        """Count the connection no longer."""
        self._account.forget(self.holder)

    def set_head(self, head_bytes: int) -> bool:
        """Count what is held of a head; return whether there is room."""
        return self._arrives(Kind.HEADS, head_bytes)

    def reserve_body(self, size: int) -> bool:
        """Count an announced body; return whether there is room for it."""
        # One that is sent ahead of an answer is read after it.
        if size <= UNCOUNTED_BYTES or self._running_bytes:
            return True
        self._arriving_counted = True
        return self._account.resize(
            self.holder, Kind.BODIES, size, time.monotonic()
        )

    def add_body(self, body_bytes: int) -> bool:
        """Count what has arrived of a body; return whether there is room."""
        return self._arrives(Kind.BODIES, body_bytes)

    def complete(self, size: int) -> None:
        """Count a request as complete, which holds so many bytes."""
        self._requests_bytes += size
        if self._arriving_counted or self._requests_bytes > UNCOUNTED_BYTES:
            self._count_requests()
            self.drop_arriving()

    def drop_arriving(self) -> None:
        """Count an incomplete request no longer."""
        if self._arriving_counted:
            self._arriving_counted = False
            self.holder.arriving = False
            for kind in (Kind.HEADS, Kind.BODIES):
                self._account.put(self.holder, kind, 0)

    def start(self, size: int) -> None:
        """Count a complete request as the one that is answered."""
        self._running_bytes = size

    def finish(self) -> None:
        """Count the request no longer that was answered, if there is one."""
        self._requests_bytes -= self._running_bytes
        self._running_bytes = 0
        if self._requests_counted:
            self._count_requests()

    def written(self, unsent_bytes: int) -> bool:
        """Count what the caller has not read; return whether it may stay."""
        counted_bytes = self.holder.held_bytes[Kind.UNREAD]
        self.unread = unsent_bytes > 0
        now_s = time.monotonic()
        if not counted_bytes:
            self.holder.progress_s = now_s
        return self._account.resize(
            self.holder, Kind.UNREAD, unsent_bytes, now_s
        )

    def _count_requests(self) -> None:
        size = self._requests_bytes
        self._requests_counted = size > UNCOUNTED_BYTES
        counted_bytes = size if self._requests_counted else 0
        self._account.put(self.holder, Kind.REQUESTS, counted_bytes)

    def _arrives(self, kind: Kind, size: int) -> bool:
        if size <= self.holder.held_bytes[kind]:
            return True
        self._arriving_counted = True
        return self._account.resize(
            self.holder, kind, size + STEP_BYTES, time.monotonic()
        )

    def _refresh(self, now_s: float) -> None:
        state = self._state()
        holder = self.holder
        if state.moved_bytes - self._moved_bytes >= PROGRESS_BYTES:
            self._moved_bytes = state.moved_bytes
            holder.progress_s = now_s
        holder.arriving = state.arriving
        holder.answering = state.answering
        holder.idle = not (
            state.arriving or state.answering or state.unsent_bytes
        )
        if self.unread:
            self.unread = state.unsent_bytes > 0
            self._account.put(holder, Kind.UNREAD, state.unsent_bytes)
