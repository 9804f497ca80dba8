"""Streams of server-sent events, passed on as they arrive.

A stream that breaks off goes on at another target from the first event that
the caller does not have yet.
"""

from collections.abc import Generator
from collections.abc import Iterator
import time

import attrs
from result import Err
from result import Ok
from result import Result

from . import attempts
from ..model.refusal import Code
from ..model.refusal import Refusal
from ..model.refusal import unknown
from ..model.request import Request
from ..ports.targets import AttemptError
from ..ports.targets import AttemptErrorKind
from ..ports.targets import AttemptFailed
from . import refusals
from . import retrying
from .attempts import AttemptContext
from .attempts import FailedAttempt
from .attempts import OpenAttempt

_EVENT_END = b'\n\n'
_DONE = b'data: [DONE]\n\n'
_HTTP_OK = 200
_SERVER_ERROR = 500


class _Splice:
    """The events of one answer that the caller already has."""

    def __init__(self, request_id: str) -> None:
        self.delivered_events = 0
        self.ran = False
        self.done = False
        self._marker = b'data: {"id":"chatcmpl-' + request_id.encode() + b'"'
        self._rest = b''

    def restart(self) -> None:
        """Drop the part of an event that a broken attempt left behind."""
        self._rest = b''

    def take(self, chunk: bytes) -> bytes:
        """Return the whole events that a chunk completes.

        Raises:
            AttemptFailed: an event belongs to another request.
        """
        data = self._rest + chunk if self._rest else chunk
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._rest = data
            return b''
        end += len(_EVENT_END)
        whole = data[:end]
        self._rest = data[end:]
        self._count(whole)
        return whole

    def _count(self, whole: bytes) -> None:
        events = whole.count(_EVENT_END)
        done = whole.endswith(_DONE)
        if whole.count(self._marker) != events - done:
            raise AttemptFailed(
                AttemptError(
                    AttemptErrorKind.CROSSED, 'event of another request'
                )
            )
        self.delivered_events += events - done
        self.done = done


def open_stream(
    context: AttemptContext, request: Request
) -> Result[Iterator[bytes], Refusal]:
    """Begin a stream and return the rest of it.

    Args:
        context: what attempts need.
        request: a request whose caller wants a stream.

    Returns:
        The chunks of the stream, or a refusal if no target began it. Closing
        the iterator cancels the attempt.
    """
    splice = _Splice(request.id)
    started = _begin_somewhere(context, request, splice, retrying.Failures())
    return started.map(
        lambda attempt: _relay(context, request, splice, attempt)
    )


def _relay(
    context: AttemptContext,
    request: Request,
    splice: _Splice,
    attempt: OpenAttempt,
) -> Iterator[bytes]:
    while True:
        error = yield from _relay_one(context, request, splice, attempt)
        if error is None:
            return
        failures = retrying.Failures()
        if error.kind is not AttemptErrorKind.REVOKED:
            if not retrying.may_try_again(
                context, request, error, time.monotonic()
            ):
                refusal = unknown(Code.ANSWER_BROKEN, 'the answer broke off')
                yield refusals.refusal_event(refusal, request.id)
                return
            failures = failures.including(attempt.grant.target)
        if splice.delivered_events:
            # Another version would go on with another text.
            version = attempt.grant.target.version
            request = attrs.evolve(request, version=version)
        started = _begin_somewhere(context, request, splice, failures)
        if isinstance(started, Err):
            yield refusals.refusal_event(started.err_value, request.id)
            return
        attempt = started.ok_value


def _relay_one(
    context: AttemptContext,
    request: Request,
    splice: _Splice,
    attempt: OpenAttempt,
) -> Generator[bytes, None, AttemptError | None]:
    """Pass on what one attempt gives; return why it ended, or None."""
    splice.restart()
    first_event = splice.delivered_events
    revoked = attempt.grant.revoked
    read = attempt.answer.read
    interval_s = request.service.relay_interval_s
    next_read_s = time.monotonic() + interval_s
    try:
        while True:
            chunk = read()
            if not chunk:
                raise AttemptFailed(
                    AttemptError(AttemptErrorKind.BROKEN, 'no final marker')
                )
            whole = splice.take(chunk)
            if whole:
                yield whole
            if splice.done:
                break
            if revoked.is_set():
                attempts.cancel(attempt)
                return AttemptError(AttemptErrorKind.REVOKED, 'revoked')
            now_s = time.monotonic()
            if now_s > request.deadline_s:
                raise AttemptFailed(
                    AttemptError(AttemptErrorKind.SILENT, 'deadline passed')
                )
            if now_s < next_read_s:
                time.sleep(next_read_s - now_s)
            next_read_s = max(now_s, next_read_s) + interval_s
    except AttemptFailed as failure:
        attempts.cancel(attempt)
        failed = FailedAttempt(attempt.grant.target, failure.error)
        attempts.record_failure(
            context, request, attempt.id, failed, attempt.started_s
        )
        return failure.error
    except GeneratorExit:
        attempts.cancel(attempt)
        raise
    read_to_end(attempt)
    events = splice.delivered_events - first_event
    attempts.finish(context, request, attempt, True, events)
    return None


def read_to_end(attempt: OpenAttempt) -> None:
    """Read the end of the transfer, so that the connection can be kept."""
    try:
        attempt.answer.read()
    except AttemptFailed:
        return


def _begin_somewhere(
    context: AttemptContext,
    request: Request,
    splice: _Splice,
    failures: retrying.Failures,
) -> Result[OpenAttempt, Refusal]:
    while True:
        acquired = retrying.acquire(context, request, failures)
        if isinstance(acquired, Err):
            refusal = acquired.err_value
            return Err(retrying.correct_run(refusal, splice.ran))
        started = attempts.start(
            context, request, acquired.ok_value, splice.delivered_events
        )
        if isinstance(started, Ok):
            attempt = started.ok_value
            if attempt.answer.status == _HTTP_OK:
                splice.ran = True
                return started
            error = AttemptError(
                AttemptErrorKind.REFUSED, f'status {attempt.answer.status}'
            )
            faulty = attempt.answer.status >= _SERVER_ERROR
            attempts.finish(context, request, attempt, ok=not faulty)
            if not faulty:
                return Err(_rejected(attempt))
        else:
            error = started.err_value.error
        splice.ran = splice.ran or error.ran
        if not retrying.may_try_again(
            context, request, error, time.monotonic()
        ):
            refusal = retrying.failure_refusal(request, error)
            return Err(retrying.correct_run(refusal, splice.ran))
        failures = failures.including(acquired.ok_value.target)


def _rejected(attempt: OpenAttempt) -> Refusal:
    message = f'the target rejects the request: {attempt.answer.status}'
    return unknown(Code.BAD_REQUEST, message)
