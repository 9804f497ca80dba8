"""What the connections of a server of callers share."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol, TypeAlias

import attrs

from ..model.routing import CallerLimits
from ..policy.memory import Cause
from ..policy.memory import MemoryAccount
from .calls import Call
from .calls import Reply
from .framing import READ_BYTES

HandleCall: TypeAlias = Callable[[Call, Reply], Awaitable[None]]


class OpenConnection(Protocol):
    """A connection of a caller, as a stop sees it."""

    @property
    def busy(self) -> bool:
        """Whether closing it would cut something off."""

    def close_idle(self) -> None:
        """Close it if it is not busy."""


@attrs.frozen
class ServerContext:
    """What the connections of a server share.

    Attributes:
        handle: answers a request.
        limits: returns the current limits on requests.
        closing: returns whether to close connections after an answer.
        connections: the open connections.
        read_buffer: memory that they read into.
        account: the memory that the process holds for others.
        on_closed: called when a connection is closed or a request refused
            for its memory: address of the caller, cause, bytes held.
    """

    handle: HandleCall
    limits: Callable[[], CallerLimits]
    closing: Callable[[], bool]
    connections: set[OpenConnection] = attrs.field(factory=set)
    read_buffer: bytearray = attrs.field(
        factory=lambda: bytearray(READ_BYTES), repr=False
    )
    account: MemoryAccount = attrs.field(factory=MemoryAccount, repr=False)
    on_closed: Callable[[str, Cause, int], None] = lambda *_: None
