"""Fetches answers that are buffered in full before the caller gets them."""

import time

from result import Err
from result import Ok
from result import Result

from . import attempts
from ..model.answer import WholeAnswer
from ..model.refusal import Code
from ..model.refusal import not_run
from ..model.refusal import Refusal
from ..model.request import Request
from ..ports.targets import AttemptError
from ..ports.targets import AttemptErrorKind
from ..ports.targets import AttemptFailed
from . import retrying
from .attempts import AttemptContext
from .attempts import FailedAttempt

_SERVER_ERRORS = range(500, 600)


def fetch(
    context: AttemptContext, request: Request
) -> Result[WholeAnswer, Refusal]:
    """Return the complete answer to a request, with retries.

    Args:
        context: what attempts need.
        request: the request; if it is not idempotent, it is sent again only
            while no attempt can have run.

    Returns:
        The answer, or the refusal for the caller. A refusal says "not run"
        only if no attempt may have run.
    """
    failures = retrying.Failures()
    ran = False
    while True:
        acquired = retrying.acquire(context, request, failures)
        if isinstance(acquired, Err):
            return Err(retrying.with_run_state(acquired.err_value, ran))
        grant = acquired.ok_value
        if time.monotonic() >= request.deadline_s:
            # The process may have been suspended while it waited.
            grant.release()
            message = 'the deadline passed before the request was sent'
            late = not_run(Code.DEADLINE_EXCEEDED, message)
            return Err(retrying.with_run_state(late, ran))
        result = _attempt(context, request, grant)
        if isinstance(result, Ok):
            return result
        failed = result.err_value
        ran = ran or failed.error.may_have_run
        if not retrying.should_retry(
            context, request, failed.error, time.monotonic()
        ):
            refusal = retrying.failure_refusal(request, failed.error)
            return Err(retrying.with_run_state(refusal, ran))
        failures = failures.including(failed.target)


def _attempt(
    context: AttemptContext, request: Request, grant: attempts.Grant
) -> Result[WholeAnswer, FailedAttempt]:
    fresh_connection = not request.idempotent
    started = attempts.start(
        context, request, grant, fresh_connection=fresh_connection
    )
    if isinstance(started, Err):
        return started
    attempt = started.ok_value
    try:
        body = attempts.read_body(attempt, request.deadline_s)
    except AttemptFailed as failure:
        attempts.cancel(attempt)
        failed = FailedAttempt(grant.target, failure.error)
        attempts.record_failure(
            context, request, attempt.id, failed, attempt.started_s
        )
        return Err(failed)
    status = attempt.answer.status
    is_server_error = status in _SERVER_ERRORS
    attempts.finish(context, request, attempt, ok=not is_server_error)
    if is_server_error and request.idempotent:
        error = AttemptError(AttemptErrorKind.REFUSED, f'status {status}')
        return Err(FailedAttempt(grant.target, error))
    return Ok(WholeAnswer(status, attempt.answer.headers, body))
