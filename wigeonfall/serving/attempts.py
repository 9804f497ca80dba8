"""Sends attempts of a request to targets and records their outcome."""

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
class AttemptOutcome:
    """Result and timing of an attempt, for judging its target and version.

    Attributes:
        target: the target that got the attempt.
        version: version that answered, else the version in the list.
        route: route of the request.
        ok: whether the answer was complete and not a server error.
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
class AttemptContext:
    """What attempts need from the rest of the process.

    Attributes:
        targets: client of the targets.
        acquire: waits for a grant.
        choose_version: returns a request with its version chosen, given the
            versions on which it failed before.
        may_retry: takes a retry from the retry budget if there is one.
        on_success: called after a success; refills the retry budget.
        on_leaving: called with a target that refuses new work.
        on_outcome: called with the outcome of an attempt.
        record: records events.
        on_connection_failure: called with a target that refused or reset a
            connection.
        on_new_incarnation: called with a target whose answer names another
            incarnation than the list.
    """

    targets: targets_port.Targets
    acquire: Acquire
    choose_version: ChooseVersion
    may_retry: Callable[[Request, float], bool]
    on_success: Callable[[Request, float], None]
    on_leaving: Callable[[Target, float], None]
    on_outcome: Callable[[AttemptOutcome, float], None]
    record: Record
    on_connection_failure: Callable[[Target, float], None] = (
        lambda _target, _now_s: None
    )
    on_new_incarnation: Callable[[Target, float], None] = (
        lambda _target, _now_s: None
    )


@attrs.define
class OpenAttempt:
    """An attempt whose response head was read.

    Attributes:
        id: identifier of the attempt.
        grant: the grant that it runs under.
        answer: the answer of the target.
        started_s: when it was sent, on the monotonic clock.
        first_byte_s: time from sending to the response head.
    """

    id: str
    grant: Grant
    answer: TargetAnswer
    started_s: float
    first_byte_s: float


@attrs.frozen
class FailedAttempt:
    """An attempt that failed or was answered with a server error.

    Attributes:
        target: the target that got the attempt.
        error: how it failed.
    """

    target: Target
    error: AttemptError


def start(
    context: AttemptContext,
    request: Request,
    grant: Grant,
    resume_offset: int = 0,
    fresh_connection: bool = False,
) -> Result[OpenAttempt, FailedAttempt]:
    """Send a request to the granted target and wait for the response head.

    The grant is released if the attempt fails.

    Args:
        context: what attempts need.
        request: the request.
        grant: grant for the target.
        resume_offset: number of events that the caller already has.
        fresh_connection: whether to open a new connection instead of
            reusing a pooled one.

    Returns:
        The open attempt, or how it failed.
    """
    started_s = time.monotonic()
    attempt = _make_attempt(
        request, grant.target, resume_offset, fresh_connection, started_s
    )
    context.record(
        Event.ATTEMPT_STARTED,
        request_id=request.id,
        attempt_id=attempt.id,
        target=grant.target.name,
    )
    opened = context.targets.open(attempt)
    if isinstance(opened, Err):
        grant.release()
        failed = FailedAttempt(grant.target, opened.err_value)
        record_failure(context, request, attempt.id, failed, started_s)
        return Err(failed)
    first_byte_s = time.monotonic() - started_s
    _report_new_incarnation(context, grant.target, opened.ok_value)
    # The head of any other answer comes only after its last token, so it
    # does not tell when the target began to answer.
    if request.stream and opened.ok_value.status < 300:
        grant.report_cached_tokens(_cached_tokens(opened.ok_value))
    return Ok(
        OpenAttempt(
            attempt.id, grant, opened.ok_value, started_s, first_byte_s
        )
    )


def _report_new_incarnation(
    context: AttemptContext, target: Target, answer: TargetAnswer
) -> None:
    headers = {name.lower(): value for name, value in answer.headers}
    incarnation = headers.get('x-incarnation', '')
    if not incarnation.isdecimal() or int(incarnation) == target.incarnation:
        return
    current = attrs.evolve(
        target,
        incarnation=int(incarnation),
        version=headers.get('x-version', ''),
    )
    context.on_new_incarnation(current, time.monotonic())


def _cached_tokens(answer: TargetAnswer) -> int | None:
    headers = {name.lower(): value for name, value in answer.headers}
    cached = headers.get('x-cached-tokens', '')
    return int(cached) if cached.isdecimal() and len(cached) < 9 else None


def _make_attempt(
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


def finish(
    context: AttemptContext,
    request: Request,
    attempt: OpenAttempt,
    ok: bool,
    events: int = 0,
) -> None:
    """Close an attempt, release its grant and report its outcome.

    Args:
        context: what attempts need.
        request: the request.
        attempt: the attempt.
        ok: whether the answer was complete and not a server error.
        events: number of events of a stream that this attempt delivered.
    """
    attempt.answer.close()
    now_s = time.monotonic()
    total_s = now_s - attempt.started_s
    pace_s = None
    if events > 1:
        pace_s = (total_s - attempt.first_byte_s) / (events - 1)
    if pace_s is not None and ok:
        attempt.grant.report_pace(pace_s)
    attempt.grant.release()
    outcome = AttemptOutcome(
        attempt.grant.target,
        _version_of(attempt),
        request.route,
        ok,
        attempt.first_byte_s,
        total_s,
        pace_s,
    )
    context.on_outcome(outcome, now_s)
    if ok:
        context.on_success(request, now_s)


def _version_of(attempt: OpenAttempt) -> str:
    """Return the version that the answer names, else the listed one.

    The list of targets may still show the version before an update.
    """
    for name, value in attempt.answer.headers:
        if name.lower() == 'x-version':
            return value
    return attempt.grant.target.version


def cancel(attempt: OpenAttempt) -> None:
    """Cancel an attempt without reporting an outcome."""
    attempt.answer.close()
    attempt.grant.release()


def record_failure(
    context: AttemptContext,
    request: Request,
    attempt_id: str,
    failed: FailedAttempt,
    started_s: float,
) -> None:
    """Record a failed attempt and report what it shows about the target.

    A target that failed before it ran the request gets an outcome only if
    it could not be reached; a refusal is not counted against it.
    """
    now_s = time.monotonic()
    target = failed.target
    error = failed.error
    context.record(
        Event.ATTEMPT_FAILED,
        request_id=request.id,
        attempt_id=attempt_id,
        target=target.name,
        kind=error.kind.value,
        detail=error.message,
        ran=error.may_have_run,
    )
    if error.kind is AttemptErrorKind.LEAVING:
        context.on_leaving(target, now_s)
        return
    if error.kind in (AttemptErrorKind.NOT_SENT, AttemptErrorKind.BROKEN):
        context.on_connection_failure(target, now_s)
    if error.kind in (AttemptErrorKind.TIMED_OUT, AttemptErrorKind.BROKEN):
        context.targets.close_idle_to(target.address)
    if error.may_have_run or error.kind is AttemptErrorKind.NOT_SENT:
        outcome = AttemptOutcome(
            target,
            target.version,
            request.route,
            False,
            None,
            now_s - started_s,
        )
        context.on_outcome(outcome, now_s)


def read_body(attempt: OpenAttempt, deadline_s: float) -> bytes:
    """Read the body of an answer to its end.

    Raises:
        AttemptFailed: the answer broke off or the deadline passed.
    """
    parts = []
    while chunk := attempt.answer.read():
        parts.append(chunk)
        if time.monotonic() > deadline_s:
            raise AttemptFailed(
                AttemptError(AttemptErrorKind.TIMED_OUT, 'deadline passed')
            )
    return b''.join(parts)
