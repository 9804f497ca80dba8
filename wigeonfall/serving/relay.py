"""Relays streams of server-sent events from targets to callers.

If a stream breaks off, it is resumed at another target from the first event
that the caller does not have yet.
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
_FINAL_EVENT = b'data: [DONE]\n\n'
_HTTP_OK = 200
_SERVER_ERROR = 500


class _EventTracker:
    """Counts the events of a stream that were delivered to the caller.

    Attributes:
        delivered_events: number of complete events delivered, not counting
            the final one.
        ran: whether any attempt may have run.
        done: whether the final event was delivered.
    """

    def __init__(self, request_id: str) -> None:
        self.delivered_events = 0
        self.ran = False
        self.done = False
        self._event_prefix = (
            b'data: {"id":"chatcmpl-' + request_id.encode() + b'"'
        )
        self._partial = b''

    def drop_partial(self) -> None:
        """Drop the incomplete event at the end of a broken attempt."""
        self._partial = b''

    def add(self, chunk: bytes) -> bytes:
        """Add a chunk of the stream and return the events that it completes.

        Raises:
            AttemptFailed: an event belongs to another request.
        """
        data = self._partial + chunk if self._partial else chunk
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._partial = data
            return b''
        end += len(_EVENT_END)
        complete = data[:end]
        self._partial = data[end:]
        self._count(complete)
        return complete

    def _count(self, complete: bytes) -> None:
        events = complete.count(_EVENT_END)
        done = complete.endswith(_FINAL_EVENT)
        if complete.count(self._event_prefix) != events - done:
            raise AttemptFailed(
                AttemptError(
                    AttemptErrorKind.WRONG_ATTEMPT, 'event of another request'
                )
            )
        self.delivered_events += events - done
        self.done = done


def open_stream(
    context: AttemptContext, request: Request
) -> Result[Iterator[bytes], Refusal]:
    """Open a stream at a target and return its chunks.

    Args:
        context: what attempts need.
        request: a request whose caller wants a stream.

    Returns:
        The chunks of the stream, or a refusal if no target began to answer.
        Closing the iterator cancels the attempt.
    """
    tracker = _EventTracker(request.id)
    started = _start_attempt(context, request, tracker, retrying.Failures())
    return started.map(
        lambda attempt: _relay(context, request, tracker, attempt)
    )


def _relay(
    context: AttemptContext,
    request: Request,
    tracker: _EventTracker,
    attempt: OpenAttempt,
) -> Iterator[bytes]:
    while True:
        error = yield from _relay_attempt(context, request, tracker, attempt)
        if error is None:
            return
        failures = retrying.Failures()
        if error.kind is not AttemptErrorKind.REVOKED:
            if not retrying.should_retry(
                context, request, error, time.monotonic()
            ):
                refusal = unknown(Code.ANSWER_BROKEN, 'the answer broke off')
                yield refusals.refusal_event(refusal, request.id)
                return
            failures = failures.including(attempt.grant.target)
        if tracker.delivered_events:
            # Another version would generate a different text.
            version = attempt.grant.target.version
            request = attrs.evolve(request, version=version)
        started = _start_attempt(context, request, tracker, failures)
        if isinstance(started, Err):
            yield refusals.refusal_event(started.err_value, request.id)
            return
        attempt = started.ok_value


def _relay_attempt(
    context: AttemptContext,
    request: Request,
    tracker: _EventTracker,
    attempt: OpenAttempt,
) -> Generator[bytes, None, AttemptError | None]:
    """Relay the events of one attempt.

    Returns:
        Why the attempt ended early, or None at the end of the stream.
    """
    tracker.drop_partial()
    first_event = tracker.delivered_events
    revoked = attempt.grant.revoked
    read = attempt.answer.read
    interval_s = request.service.relay_interval_s
    next_read_s = time.monotonic() + interval_s
    try:
        while True:
            chunk = read()
            if not chunk:
                raise AttemptFailed(
                    AttemptError(
                        AttemptErrorKind.BROKEN,
                        'stream ended without its final event',
                    )
                )
            complete = tracker.add(chunk)
            if complete:
                yield complete
            if tracker.done:
                break
            if revoked.is_set():
                attempts.cancel(attempt)
                return AttemptError(AttemptErrorKind.REVOKED, 'revoked')
            now_s = time.monotonic()
            if now_s > request.deadline_s:
                raise AttemptFailed(
                    AttemptError(AttemptErrorKind.TIMED_OUT, 'deadline passed')
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
    _read_end(attempt)
    events = tracker.delivered_events - first_event
    attempts.finish(context, request, attempt, True, events)
    return None


def _read_end(attempt: OpenAttempt) -> None:
    """Read to the end of the response, so that the connection is reusable."""
    try:
        attempt.answer.read()
    except AttemptFailed:
        return


def _start_attempt(
    context: AttemptContext,
    request: Request,
    tracker: _EventTracker,
    failures: retrying.Failures,
) -> Result[OpenAttempt, Refusal]:
    while True:
        acquired = retrying.acquire(context, request, failures)
        if isinstance(acquired, Err):
            refusal = acquired.err_value
            return Err(retrying.with_run_state(refusal, tracker.ran))
        started = attempts.start(
            context, request, acquired.ok_value, tracker.delivered_events
        )
        if isinstance(started, Ok):
            attempt = started.ok_value
            if attempt.answer.status == _HTTP_OK:
                tracker.ran = True
                return started
            error = AttemptError(
                AttemptErrorKind.REFUSED, f'status {attempt.answer.status}'
            )
            is_server_error = attempt.answer.status >= _SERVER_ERROR
            attempts.finish(context, request, attempt, ok=not is_server_error)
            if not is_server_error:
                return Err(_rejection(attempt))
        else:
            error = started.err_value.error
        tracker.ran = tracker.ran or error.may_have_run
        if not retrying.should_retry(
            context, request, error, time.monotonic()
        ):
            refusal = retrying.failure_refusal(request, error)
            return Err(retrying.with_run_state(refusal, tracker.ran))
        failures = failures.including(acquired.ok_value.target)


def _rejection(attempt: OpenAttempt) -> Refusal:
    message = f'the target rejects the request: {attempt.answer.status}'
    return unknown(Code.BAD_REQUEST, message)
