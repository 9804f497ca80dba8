"""Tries of a request at targets, with their retries."""

from collections.abc import Callable
import time
import uuid

import attrs
from result import Err
from result import Ok
from result import Result

from ..events import Event
from ..model.refusal import Refusal
from ..model.request import Request
from ..model.target import Target
from ..ports import targets as targets_port
from ..ports.targets import AttemptError
from ..ports.targets import AttemptErrorKind
from ..ports.targets import AttemptFailed
from ..ports.targets import TargetAnswer
from ..recorder import Record
from .grant import Grant

ChooseVersion = Callable[[Request, frozenset[str], float], Request]


Acquire = Callable[[Request, frozenset[str], float], Result[Grant, Refusal]]


@attrs.frozen
class Outcome:
    """How an attempt ended, as evidence on the target and its version.

    Attributes:
        target: the target that was tried.
        version: version that answered, as far as it is known.
        route: route of the request.
        ok: whether the answer was whole and not a server error.
        first_byte_s: time to the first byte, or None if none came.
        total_s: time to the end.
        pace_s: mean time between the events of a stream, or None.
    """

    target: Target
    version: str
    route: str
    ok: bool
    first_byte_s: float | None
    total_s: float
    pace_s: float | None = None


@attrs.frozen
class Attempts:
    """What tries need from the rest of the process.

    Attributes:
        targets: calls to targets.
        acquire: waits for a grant.
        choose_version: returns a request with the version that it is for,
            given the versions on which it failed before.
        may_retry: whether the budget allows a retry of a request now.
        succeeded: feeds the budget after a success.
        leaving: takes note that a target takes no new work.
        observe: takes evidence on a target.
        record: records events.
        failed: takes note that a target refused or broke a connection.
        met: takes note of the incarnation and version in an answer.
    """

    targets: targets_port.Targets
    acquire: Acquire
    choose_version: ChooseVersion
    may_retry: Callable[[Request, float], bool]
    succeeded: Callable[[Request, float], None]
    leaving: Callable[[Target, float], None]
    observe: Callable[[Outcome, float], None]
    record: Record
    failed: Callable[[Target, float], None] = lambda _target, _now_s: None
    met: Callable[[Target, float], None] = lambda _target, _now_s: None


@attrs.define
class Try:
    """An attempt whose answer has begun.

    Attributes:
        id: identifier of the attempt.
        grant: the grant that it runs under.
        answer: the answer of the target.
        began_s: when it was sent, on the monotonic clock.
        first_byte_s: time to the head of the answer.
    """

    id: str
    grant: Grant
    answer: TargetAnswer
    began_s: float
    first_byte_s: float


@attrs.frozen
class FailedTry:
    """An attempt that gave no answer.

    Attributes:
        target: the target that was tried.
        error: how far it came.
    """

    target: Target
    error: AttemptError


def begin(
    attempts: Attempts,
    request: Request,
    grant: Grant,
    resume_offset: int = 0,
    fresh_connection: bool = False,
) -> Result[Try, FailedTry]:
    """Send a request to the target of a grant and wait for the head.

    The grant is released if the attempt fails.

    Args:
        attempts: what tries need.
        request: the request.
        grant: leave to send it.
        resume_offset: events that the caller already has.
        fresh_connection: whether pooled connections are ruled out.

    Returns:
        The begun try, or how it failed.
    """
    began_s = time.monotonic()
    attempt = _attempt(
        request, grant.target, resume_offset, fresh_connection, began_s
    )
    attempts.record(
        Event.ATTEMPT_STARTED,
        request_id=request.id,
        attempt_id=attempt.id,
        target=grant.target.name,
    )
    opened = attempts.targets.open(attempt)
    if isinstance(opened, Err):
        grant.release()
        failed = FailedTry(grant.target, opened.err_value)
        note_failure(attempts, request, attempt.id, failed, began_s)
        return Err(failed)
    first_byte_s = time.monotonic() - began_s
    _note_met(attempts, grant.target, opened.ok_value)
    # The head of any other answer comes only after its last token.
    if request.stream and opened.ok_value.status < 300:
        grant.began(_cached_tokens(opened.ok_value))
    return Ok(Try(attempt.id, grant, opened.ok_value, began_s, first_byte_s))


def _note_met(
    attempts: Attempts, target: Target, answer: TargetAnswer
) -> None:
    headers = {name.lower(): value for name, value in answer.headers}
    incarnation = headers.get('x-incarnation', '')
    if not incarnation.isdecimal() or int(incarnation) == target.incarnation:
        return
    met = attrs.evolve(
        target,
        incarnation=int(incarnation),
        version=headers.get('x-version', ''),
    )
    attempts.met(met, time.monotonic())


def _cached_tokens(answer: TargetAnswer) -> int | None:
    headers = {name.lower(): value for name, value in answer.headers}
    cached = headers.get('x-cached-tokens', '')
    return int(cached) if cached.isdecimal() and len(cached) < 9 else None


def _attempt(
    request: Request,
    target: Target,
    resume_offset: int,
    fresh_connection: bool,
    now_s: float,
) -> targets_port.Attempt:
    service = request.service
    left_s = max(0.001, request.deadline_s - now_s)
    return targets_port.Attempt(
        id=uuid.uuid4().hex,
        request_id=request.id,
        target=target,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        resume_offset=resume_offset,
        fresh_connection=fresh_connection,
        connect_timeout_s=min(service.connect_timeout_s, left_s),
        first_byte_timeout_s=min(service.first_byte_timeout_s, left_s),
        between_bytes_timeout_s=min(service.between_bytes_timeout_s, left_s),
    )


def end(
    attempts: Attempts,
    request: Request,
    begun: Try,
    ok: bool,
    events: int = 0,
) -> None:
    """Close a try, give its room back and keep the evidence.

    Args:
        attempts: what tries need.
        request: the request.
        begun: the try.
        ok: whether the answer was whole and not a server error.
        events: events of a stream that this try gave.
    """
    begun.answer.close()
    now_s = time.monotonic()
    total_s = now_s - begun.began_s
    pace_s = None
    if events > 1:
        pace_s = (total_s - begun.first_byte_s) / (events - 1)
    if pace_s is not None and ok:
        begun.grant.paced(pace_s)
    begun.grant.release()
    outcome = Outcome(
        begun.grant.target,
        _version_of(begun),
        request.route,
        ok,
        begun.first_byte_s,
        total_s,
        pace_s,
    )
    attempts.observe(outcome, now_s)
    if ok:
        attempts.succeeded(request, now_s)


def _version_of(begun: Try) -> str:
    """Return the version that an answer names, since lists lag behind it."""
    for name, value in begun.answer.headers:
        if name.lower() == 'x-version':
            return value
    return begun.grant.target.version


def abandon(begun: Try) -> None:
    """Cancel a try without judging its target."""
    begun.answer.close()
    begun.grant.release()


def note_failure(
    attempts: Attempts,
    request: Request,
    attempt_id: str,
    failed: FailedTry,
    began_s: float,
) -> None:
    """Record a failed attempt and draw what it says of the target."""
    now_s = time.monotonic()
    target = failed.target
    error = failed.error
    attempts.record(
        Event.ATTEMPT_FAILED,
        request_id=request.id,
        attempt_id=attempt_id,
        target=target.name,
        kind=error.kind.value,
        detail=error.message,
        ran=error.ran,
    )
    if error.kind is AttemptErrorKind.LEAVING:
        attempts.leaving(target, now_s)
        return
    if error.kind in (AttemptErrorKind.NOT_SENT, AttemptErrorKind.BROKEN):
        attempts.failed(target, now_s)
    if error.kind in (AttemptErrorKind.SILENT, AttemptErrorKind.BROKEN):
        attempts.targets.forget(target.address)
    if error.ran or error.kind is AttemptErrorKind.NOT_SENT:
        outcome = Outcome(
            target,
            target.version,
            request.route,
            False,
            None,
            now_s - began_s,
        )
        attempts.observe(outcome, now_s)


def read_whole(begun: Try, deadline_s: float) -> bytes:
    """Return the whole body of an answer.

    Raises:
        AttemptFailed: the answer broke off or the deadline passed.
    """
    parts = []
    while chunk := begun.answer.read():
        parts.append(chunk)
        if time.monotonic() > deadline_s:
            raise AttemptFailed(
                AttemptError(AttemptErrorKind.SILENT, 'deadline passed')
            )
    return b''.join(parts)
