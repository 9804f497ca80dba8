"""Answers that are read to their end before the caller gets any of them."""

import time

from result import Err
from result import Ok
from result import Result

from . import attempts as attempts_module
from ..model.answer import WholeAnswer
from ..model.refusal import Code
from ..model.refusal import not_run
from ..model.refusal import Refusal
from ..model.request import Request
from ..ports.targets import AttemptError
from ..ports.targets import AttemptErrorKind
from ..ports.targets import AttemptFailed
from . import retrying
from .attempts import Attempts
from .attempts import FailedTry

_SERVER_ERRORS = range(500, 600)


def fetch(
    attempts: Attempts, request: Request
) -> Result[WholeAnswer, Refusal]:
    """Return the whole answer to a request, tried as often as is allowed.

    Args:
        attempts: what tries need.
        request: the request; it is tried again only if that does no harm.

    Returns:
        The answer, or the refusal for the caller. A refusal says "not run"
        only if no attempt may have run.
    """
    failures = retrying.Failures()
    ran = False
    while True:
        acquired = retrying.acquire(attempts, request, failures)
        if isinstance(acquired, Err):
            return Err(retrying.truthful(acquired.err_value, ran))
        grant = acquired.ok_value
        if time.monotonic() >= request.deadline_s:
            # The process may have been paused while it waited.
            grant.release()
            message = 'the deadline passed before the request was sent'
            late = not_run(Code.DEADLINE_EXCEEDED, message)
            return Err(retrying.truthful(late, ran))
        tried = _try_once(attempts, request, grant)
        if isinstance(tried, Ok):
            return tried
        failed = tried.err_value
        ran = ran or failed.error.ran
        if not retrying.may_try_again(
            attempts, request, failed.error, time.monotonic()
        ):
            refusal = retrying.failure_refusal(request, failed.error)
            return Err(retrying.truthful(refusal, ran))
        failures = failures.and_at(failed.target)


def _try_once(
    attempts: Attempts, request: Request, grant: attempts_module.Grant
) -> Result[WholeAnswer, FailedTry]:
    fresh = not request.idempotent
    began = attempts_module.begin(
        attempts, request, grant, fresh_connection=fresh
    )
    if isinstance(began, Err):
        return began
    begun = began.ok_value
    try:
        body = attempts_module.read_whole(begun, request.deadline_s)
    except AttemptFailed as failure:
        attempts_module.abandon(begun)
        failed = FailedTry(grant.target, failure.error)
        attempts_module.note_failure(
            attempts, request, begun.id, failed, begun.began_s
        )
        return Err(failed)
    status = begun.answer.status
    faulty = status in _SERVER_ERRORS
    attempts_module.end(attempts, request, begun, ok=not faulty)
    if faulty and request.idempotent:
        error = AttemptError(AttemptErrorKind.REFUSED, f'status {status}')
        return Err(FailedTry(grant.target, error))
    return Ok(WholeAnswer(status, begun.answer.headers, body))
