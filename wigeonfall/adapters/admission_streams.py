"""Streams between instances and arbiters: sending, silence and failure.

Both ends send something at least every HEARTBEAT_S and give up a stream that
is silent for longer than SILENCE_S.
"""

import asyncio
from collections.abc import Coroutine
import threading
from typing import Any
from typing import Generic
from typing import TypeVar

import grpclib.exceptions

from .. import errors

HEARTBEAT_S = 0.5
SILENCE_S = 2.0

T = TypeVar('T')


class LinkError(errors.WigeonfallError):
    """A link to an arbiter could not be opened, broke or went silent."""


BROKEN = (
    LinkError,
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
)


class Outbox(Generic[T]):
    """Items that wait to be sent by a task of one loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._filled = asyncio.Event()
        self._lock = threading.Lock()
        self._items: list[T] = []

    def put(self, item: T) -> None:
        """Add an item; any thread may call this."""
        with self._lock:
            self._items.append(item)
            first = len(self._items) == 1
        if first and not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._filled.set)

    async def take(self, timeout_s: float) -> list[T]:
        """Return the items so far; none after a time without any."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._filled.wait()
        except TimeoutError:
            return []
        self._filled.clear()
        with self._lock:
            items = self._items
            self._items = []
        return items


async def both(
    first: Coroutine[Any, Any, None], second: Coroutine[Any, Any, None]
) -> None:
    """Run two coroutines until one of them fails."""
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(first)
            group.create_task(second)
    except* BROKEN:
        pass
