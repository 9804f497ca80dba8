"""Reads the bodies of calls within the memory of the process.

Calls are read by threads, so that the account is used under a lock.
"""

from collections.abc import Callable
import threading
import time
from typing import Any

from ..policy.memory import Cause
from ..policy.memory import Holder
from ..policy.memory import Kind
from ..policy.memory import MemoryAccount

PIECE_BYTES = 64 << 10


class BodyRoom:
    """The memory that the bodies of all calls hold.

    Args:
        account: the account of the process.
    """

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._lock = threading.Lock()

    def admit(
        self, address: str, size: int, cut: Callable[[], None]
    ) -> Holder | None:
        """Make room for a body before it is read; None if there is none.

        Args:
            address: address of the caller.
            size: announced length in bytes, 0 if none is.
            cut: ends the connection, from any thread.
        """

        def close(_cause: Cause) -> None:
            # Called under the lock.
            self._account.forget(holder)
            cut()

        now_s = time.monotonic()
        holder = Holder(
            address, lambda _now_s: None, close, now_s, arriving=True
        )
        with self._lock:
            if self._account.open(holder, now_s) is None:
                if self._account.resize(holder, Kind.BODIES, size, now_s):
                    return holder
            self._account.forget(holder)
        return None

    def read(self, holder: Holder, source: Any, limit: int) -> bytes | None:
        """Read a body; None if there is no room for the rest of it.

        Args:
            holder: what was admitted.
            source: the body, with a method `read`.
            limit: bytes after which reading ends.
        """
        pieces = []
        size = 0
        while size < limit:
            piece = source.read(min(PIECE_BYTES, limit - size))
            if not piece:
                break
            pieces.append(piece)
            size += len(piece)
            if not self._grow(holder, size):
                return None
        with self._lock:
            holder.arriving = False
            held_bytes = holder.held_bytes[Kind.BODIES]
            self._account.put(holder, Kind.BODIES, 0)
            self._account.put(holder, Kind.REQUESTS, held_bytes)
        return b''.join(pieces)

    def release(self, holder: Holder) -> None:
        """Hold a body no longer."""
        with self._lock:
            self._account.forget(holder)

    def _grow(self, holder: Holder, size: int) -> bool:
        now_s = time.monotonic()
        with self._lock:
            holder.progress_s = now_s
            wanted = max(size, holder.held_bytes[Kind.BODIES])
            return self._account.resize(holder, Kind.BODIES, wanted, now_s)
