"""Targets, as serving sees them."""

from collections.abc import Callable
import enum

import attrs
from result import Result

from .. import errors
from ..model.target import Target


class AttemptErrorKind(enum.Enum):
    """How far an attempt came before it failed."""

    NOT_SENT = 'not-sent'
    REFUSED = 'refused'
    LEAVING = 'leaving'
    TIMED_OUT = 'silent'
    BROKEN = 'broken'
    WRONG_ATTEMPT = 'crossed'
    REVOKED = 'revoked'


@attrs.frozen
class AttemptError:
    """A failed attempt.

    Attributes:
        kind: how far it came.
        message: detail for logs.
        ran: False when the target provably did not run the request.
    """

    kind: AttemptErrorKind
    message: str
    may_have_run: bool = True


class AttemptFailed(errors.WigeonfallError):
    """An answer broke off while it was read."""

    def __init__(self, error: AttemptError) -> None:
        super().__init__(error.message)
        self.error = error


@attrs.frozen
class Attempt:
    """One try of a request at one target.

    Attributes:
        id: identifier that the target must echo.
        request_id: identifier of the request that is tried.
        target: the target to send to.
        method: HTTP method.
        path: path and query.
        headers: headers to pass on.
        body: the whole body.
        resume_offset: events of the answer that the caller already has.
        fresh_connection: whether pooled connections are ruled out.
        connect_timeout_s: time for a new connection.
        first_byte_timeout_s: time for the head of the answer.
        between_bytes_timeout_s: time between two reads of the body.
    """

    id: str
    request_id: str
    target: Target
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    resume_offset: int = 0
    fresh_connection: bool = False
    connect_timeout_s: float = 1.0
    first_byte_timeout_s: float = 10.0
    between_bytes_timeout_s: float = 3.0


@attrs.frozen
class TargetAnswer:
    """The head of a target's answer and the means to read the rest.

    Attributes:
        status: HTTP status.
        headers: headers of the answer.
        read: returns what has arrived, b'' at the proven end; raises
            AttemptFailed when the answer is silent, cut or crossed.
        close: gives the connection back, or closes it if the answer was not
            read to its end, which cancels the attempt.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    read: Callable[[], bytes]
    close: Callable[[], None]


@attrs.frozen
class Targets:
    """Calls to targets; each blocks.

    Attributes:
        open: send an attempt and wait for the head of its answer.
        forget: close the idle connections to an address.
    """

    open: Callable[[Attempt], Result[TargetAnswer, AttemptError]]
    close_idle_to: Callable[[str], None]
