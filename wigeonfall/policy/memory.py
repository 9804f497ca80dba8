"""One account of the memory that a process holds for others.

Load pattern: clients that nobody controls send many large bodies at once, stop
short of their end, send heads of very many lines, or do not read what they
asked for. Each connection is within its limits; all together are not.

The account knows what each connection holds, by kind. Where there is no room,
connections without progress are closed first, the slowest first. Then the
largest holder of another address that holds more, if its request is not yet
complete, or of unread answers the largest holder. Else what asks is refused.
A part of the memory is kept for small requests.
"""

from collections.abc import Callable
import enum

import attrs

SMALL_BYTES = 32 << 10  # of one connection: several ordinary requests
STALLED_S = 1.0  # without progress, for which a connection is closed first
PROGRESS_BYTES = 1 << 10  # that count as progress
ACCOUNT_SHARE = 0.3  # of the machine; the rest is the process and its heap
LARGE_SHARE = 0.75  # of the account, for what is not small
CONNECTION_BYTES = 8 << 10  # of objects and buffers of an open connection
FILES = 200  # descriptors that are no sockets
CALLER_SOCKETS_SHARE = 0.9  # of all sockets; the rest reaches targets
CLOSED_AT_ONCE = 8  # connections that make room for further sockets
# After a search of all connections that found none to close.
SEARCH_PAUSE_S = 0.1


class Kind(enum.IntEnum):
    """What memory is held for."""

    HEADS = 0  # of requests that arrive
    BODIES = 1  # of requests that arrive
    REQUESTS = 2  # complete ones, which wait or are sent to a target
    ANSWERS = 3  # that are held until they are whole
    UNREAD = 4  # written to callers that have not read it
    CONNECTIONS = 5


# Maximum of each kind, in shares of the account. Complete requests were
# admitted with their bodies, so that both have one share.
SHARES = {
    Kind.HEADS: 0.25,
    Kind.BODIES: 0.5,
    Kind.ANSWERS: 0.3,
    Kind.UNREAD: 0.3,
    Kind.CONNECTIONS: 0.5,
}


class Cause(enum.Enum):
    """Why a connection is closed or a request refused."""

    NO_PROGRESS = 'no progress'
    TIMED_OUT = 'no progress in time'
    LARGEST = 'largest holder'
    NO_MEMORY = 'no memory'
    NO_DESCRIPTORS = 'no descriptors'


@attrs.define(eq=False)
class Holder:
    """What is held for one connection.

    Attributes:
        address: address of the peer, without its port.
        refresh: updates the progress, the states and what is unread, at a
            time.
        close: closes the connection for a cause.
        progress_s: when it last made progress, on the monotonic clock.
        arriving: whether its request is incomplete.
        answering: whether one of its requests is answered.
        idle: whether no request is received or answered.
        needs_target: whether one of its requests is counted as answered.
        held_bytes: bytes of each kind.
        total_bytes: bytes of all kinds.
    """

    address: str
    refresh: Callable[[float], None]
    close: Callable[[Cause], None]
    progress_s: float
    arriving: bool = False
    answering: bool = False
    idle: bool = True
    needs_target: bool = False
    held_bytes: list[int] = attrs.field(factory=lambda: [0] * len(Kind))
    total_bytes: int = 0


@attrs.define
class MemoryAccount:
    """Bytes held for all connections, and open sockets.

    Attributes:
        limit_bytes: maximum of all kinds together.
        max_sockets: maximum number of sockets.
        used_bytes: bytes of each kind.
        total_bytes: bytes of all kinds.
        answering: requests that are answered.
        target_sockets: returns the number of sockets to targets.
    """

    limit_bytes: float = float('inf')
    max_sockets: float = float('inf')
    used_bytes: list[int] = attrs.field(factory=lambda: [0] * len(Kind))
    total_bytes: int = 0
    answering: int = 0
    target_sockets: Callable[[], int] = lambda: 0
    _swept_s: float = 0.0
    _search_from_s: float = 0.0
    _holders: dict[Holder, None] = attrs.field(factory=dict)
    _counted: dict[Holder, None] = attrs.field(factory=dict)

    def open(self, holder: Holder, now_s: float) -> Cause | None:
        """Count a new connection; return why there is no room for it."""
        self._holders[holder] = None
        self._set(holder, Kind.CONNECTIONS, CONNECTION_BYTES)
        most = SHARES[Kind.CONNECTIONS] * self.limit_bytes
        if self._sockets() > CALLER_SOCKETS_SHARE * self.max_sockets:
            self._close_idle(holder, now_s)
            if self._sockets() > CALLER_SOCKETS_SHARE * self.max_sockets:
                return Cause.NO_DESCRIPTORS
        if self.used_bytes[Kind.CONNECTIONS] > most:
            self._close_idle(holder, now_s)
            if self.used_bytes[Kind.CONNECTIONS] > most:
                return Cause.NO_MEMORY
        return None

    def forget(self, holder: Holder) -> None:
        """Release all that was held for a connection that has ended."""
        if holder not in self._holders:
            return
        self.end_answer(holder)
        for kind in Kind:
            self._set(holder, kind, 0)
        del self._holders[holder]

    def begin_answer(self, holder: Holder, now_s: float) -> bool:
        """Count a request that needs a socket to a target.

        Args:
            holder: the connection of its caller.
            now_s: present time on the monotonic clock.

        Returns:
            Whether there is one left and the caller is still connected.
            It is counted only then.
        """
        if holder not in self._holders:
            return False
        busy = 2 * (len(self._holders) + self.answering) > self.max_sockets
        if busy and self._sockets() >= self.max_sockets:
            self._close_idle(holder, now_s)
            if self._sockets() >= self.max_sockets:
                return False
        self.answering += 1
        holder.needs_target = True
        return True

    def end_answer(self, holder: Holder) -> None:
        """Count the request of a connection no longer."""
        if holder.needs_target:
            holder.needs_target = False
            self.answering -= 1

    def put(self, holder: Holder, kind: Kind, size: int) -> None:
        """Set how much is held, of memory that is in use already."""
        if holder in self._holders:
            self._set(holder, kind, size)

    def resize(
        self, holder: Holder, kind: Kind, size: int, now_s: float
    ) -> bool:
        """Set how much is held; return False if there is no room for it.

        Args:
            holder: the connection.
            kind: what it holds.
            size: all that it is to hold of this kind, in bytes.
            now_s: present time on the monotonic clock.
        """
        if holder not in self._holders:
            return False
        grown = size - holder.held_bytes[kind]
        if grown > 0 and not self._has_room(holder, kind, grown):
            self._make_room(holder, kind, grown, now_s)
            if holder not in self._holders:
                return False
            grown = size - holder.held_bytes[kind]
            if not self._has_room(holder, kind, grown):
                return False
        self._set(holder, kind, size)
        return True

    def add(self, kind: Kind, grown: int) -> bool:
        """Count what no connection of a caller holds.

        Args:
            kind: what is held.
            grown: bytes more than before; negative if fewer.

        Returns:
            Whether there is room for it. It is counted in any case.
        """
        self.used_bytes[kind] += grown
        self.total_bytes += grown
        return grown <= 0 or (
            self.total_bytes <= LARGE_SHARE * self.limit_bytes
            and self.used_bytes[kind] <= SHARES[kind] * self.limit_bytes
        )

    def sweep(self, now_s: float, timeout_s: float) -> None:
        """Close connections that made no progress for a time.

        Args:
            now_s: present time on the monotonic clock.
            timeout_s: time that any caller may take.
        """
        swept = self._counted
        if now_s - self._swept_s >= timeout_s / 2:
            self._swept_s = now_s
            swept = self._holders
        for holder in tuple(swept):
            holder.refresh(now_s)
            waits = holder.held_bytes[Kind.UNREAD] or (
                holder.arriving and not holder.answering
            )
            if waits and now_s - holder.progress_s > timeout_s:
                holder.close(Cause.TIMED_OUT)

    def _sockets(self) -> int:
        """Return open sockets, with those that running requests need."""
        targets = max(self.target_sockets(), self.answering)
        return len(self._holders) + targets

    def _set(self, holder: Holder, kind: Kind, size: int) -> None:
        grown = size - holder.held_bytes[kind]
        holder.held_bytes[kind] = size
        holder.total_bytes += grown
        self.used_bytes[kind] += grown
        self.total_bytes += grown
        if holder.total_bytes > CONNECTION_BYTES:
            self._counted[holder] = None
        else:
            self._counted.pop(holder, None)

    def _has_room(self, holder: Holder, kind: Kind, grown: int) -> bool:
        total_bytes = self.total_bytes + grown
        if holder.total_bytes + grown <= SMALL_BYTES:
            return total_bytes <= self.limit_bytes
        of_kind, own = self.used_bytes[kind], holder.held_bytes[kind]
        if kind is Kind.BODIES:
            of_kind += self.used_bytes[Kind.REQUESTS]
            own += holder.held_bytes[Kind.REQUESTS]
        # One request within its limits is served whatever its size.
        if of_kind == own and kind in (Kind.HEADS, Kind.BODIES):
            return True
        return (
            total_bytes <= LARGE_SHARE * self.limit_bytes
            and of_kind + grown <= SHARES[kind] * self.limit_bytes
        )

    def _make_room(
        self, holder: Holder, kind: Kind, grown: int, now_s: float
    ) -> None:
        for other in tuple(self._counted):
            other.refresh(now_s)
        stalled = [
            other
            for other in self._counted
            if other is not holder
            and now_s - other.progress_s >= STALLED_S
            and _may_close(other)
        ]
        stalled.sort(key=lambda other: other.progress_s)
        for other in stalled:
            if self._has_room(holder, kind, grown):
                return
            other.close(Cause.NO_PROGRESS)
        while not self._has_room(holder, kind, grown):
            largest = self._largest(holder, kind, grown)
            if largest is None:
                return
            largest.close(Cause.LARGEST)
            if holder not in self._holders:
                return

    def _largest(
        self, holder: Holder, kind: Kind, grown: int
    ) -> Holder | None:
        """Return the next connection to close for another one, or None."""
        if kind is Kind.UNREAD:
            # It was written already, so that it cannot be refused.
            most = SHARES[kind] * self.limit_bytes
            full = self.used_bytes[kind] + grown > most
            closable = [
                other
                for other in self._counted
                if (other.held_bytes[kind] if full else _may_close(other))
            ]
            return max(closable, key=lambda o: o.total_bytes, default=None)
        by_address: dict[str, int] = {}
        for other in self._counted:
            by_address.setdefault(other.address, 0)
            by_address[other.address] += other.total_bytes
        own_bytes = by_address.get(holder.address, 0)
        address = max(by_address, key=lambda a: by_address[a], default='')
        if by_address.get(address, 0) <= 2 * own_bytes + SMALL_BYTES:
            return None
        candidates = [
            other
            for other in self._counted
            if other.address == address and other.arriving
        ]
        return max(candidates, key=lambda o: o.total_bytes, default=None)

    def _close_idle(self, holder: Holder, now_s: float) -> None:
        if now_s < self._search_from_s:
            return
        for other in tuple(self._holders):
            other.refresh(now_s)
        idle = [
            other
            for other in self._holders
            if other is not holder
            and (
                other.idle
                or (_may_close(other) and now_s - other.progress_s > STALLED_S)
            )
        ]
        idle.sort(key=lambda other: (not other.idle, other.progress_s))
        if not idle:
            self._search_from_s = now_s + SEARCH_PAUSE_S
        for other in idle[:CLOSED_AT_ONCE]:
            other.close(Cause.NO_DESCRIPTORS)


def make_account(
    memory_mb: float, descriptors: float = float('inf')
) -> MemoryAccount:
    """Return the account of a process.

    Args:
        memory_mb: memory of its machine, in 2**20 bytes.
        descriptors: file descriptors that it may have open.
    """
    return MemoryAccount(
        ACCOUNT_SHARE * memory_mb * (1 << 20), descriptors - FILES
    )


def _may_close(holder: Holder) -> bool:
    """Whether it holds what its peer has neither sent nor read whole."""
    return holder.arriving or holder.held_bytes[Kind.UNREAD] > 0
