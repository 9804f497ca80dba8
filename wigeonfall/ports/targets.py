"""Interface to targets: attempts, their answers and their errors."""

from collections.abc import Callable
import enum

import attrs
from result import Result

from .. import errors
from ..model.target import Target


class AttemptErrorKind(enum.Enum):
    """Why an attempt failed.

    WRONG_ATTEMPT means that the answer belongs to another attempt.
    """

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
        kind: why it failed.
        message: detail for logs.
        may_have_run: False only if it is certain that the target did not
            run the request.
    """

    kind: AttemptErrorKind
    message: str
    may_have_run: bool = True


class AttemptFailed(errors.WigeonfallError):
    """Raised when reading the body of an answer fails."""

    def __init__(self, error: AttemptError) -> None:
        super().__init__(error.message)
        self.error = error


@attrs.frozen
class Attempt:
    """One sending of a request to one target.

    Attributes:
        id: identifier that the target must echo.
        request_id: identifier of the request.
        target: the target to send to.
        method: HTTP method.
        path: path with the query string.
        headers: headers to forward.
        body: the complete body.
        resume_offset: number of events of the answer that the caller has
            received already.
        fresh_connection: whether to open a new connection rather than use
            a pooled one.
        connect_timeout_s: time limit for opening a connection.
        first_byte_timeout_s: time limit for the head of the answer.
        between_bytes_timeout_s: time limit for each read of the body.
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
    """The head of a target's answer, with functions to read the body.

    Attributes:
        status: HTTP status.
        headers: headers of the answer.
        read: returns the bytes that have arrived, b'' once the body is
            known to be complete; raises AttemptFailed on a timeout, a broken
            connection or the answer to another attempt.
        close: returns the connection to the pool if the body was read to
            its end; otherwise closes it, which cancels the attempt.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    read: Callable[[], bytes]
    close: Callable[[], None]


@attrs.frozen
class Targets:
    """Calls to targets; each blocks.

    Attributes:
        open: sends an attempt and waits for the head of its answer.
        close_idle_to: closes the idle connections to an address.
    """

    open: Callable[[Attempt], Result[TargetAnswer, AttemptError]]
    close_idle_to: Callable[[str], None]
