"""Tests of streams that break off, get foreign events or are revoked."""

from hypothesis import given
from hypothesis import strategies as st
import pytest
from result import Err
from result import Ok

from tests.fakes import memory_targets
from wigeonfall.ports.targets import AttemptError
from wigeonfall.ports.targets import AttemptErrorKind
from wigeonfall.serving import relay

EVENTS = [memory_targets.make_event('r1', f'w{i}') for i in range(12)]
DONE = b'data: [DONE]\n\n'
COMPLETE = b''.join(EVENTS) + DONE

faults = st.sampled_from(
    [
        AttemptErrorKind.TIMED_OUT,
        AttemptErrorKind.BROKEN,
        AttemptErrorKind.WRONG_ATTEMPT,
        None,
    ]
)
attempt_plans = st.tuples(
    st.integers(0, len(COMPLETE)),
    st.lists(st.integers(1, len(COMPLETE)), max_size=6),
    faults,
    st.booleans(),
)


def _stream(targets, retries=1000):
    context = memory_targets.make_attempt_context(targets, retries)
    opened = relay.open_stream(context, memory_targets.make_request())
    assert isinstance(opened, Ok)
    return opened.ok_value


def _targets(plans):
    remaining = list(plans)

    def script_for(attempt):
        rest = b''.join(EVENTS[attempt.resume_offset :]) + DONE
        if not remaining:
            return memory_targets.Script(chunks=(rest,))
        length, cuts, fault, revoked = remaining.pop(0)
        chunks = memory_targets.split(rest[:length], cuts)
        return memory_targets.Script(
            chunks=chunks,
            read_error=AttemptError(fault, 'planned') if fault else None,
            revoke_after=0 if revoked else None,
        )

    return memory_targets.MemoryTargets(script_for)


@given(st.lists(attempt_plans, max_size=5))
def test_every_event_arrives_once_despite_failed_attempts(plans) -> None:
    targets = _targets(plans)
    assert b''.join(_stream(targets)) == COMPLETE
    assert targets.released == targets.closed == len(targets.attempts)


@given(st.lists(attempt_plans, max_size=5), st.integers(0, 3))
def test_a_stream_is_complete_or_ends_with_an_error(plans, retries) -> None:
    received = b''.join(_stream(_targets(plans), retries))
    if received == COMPLETE:
        return
    answer, marker, refusal = received.partition(b'event: error\n')
    assert marker and DONE not in received
    assert COMPLETE.startswith(answer)
    assert b'"run": "unknown"' in refusal


def test_events_of_another_request_never_reach_the_caller() -> None:
    crossed = EVENTS[0] + memory_targets.make_event('r2', 'secret')
    scripts = [
        memory_targets.Script(chunks=(EVENTS[0], crossed)),
        memory_targets.Script(chunks=(b''.join(EVENTS[1:]) + DONE,)),
    ]
    targets = memory_targets.MemoryTargets(lambda a: scripts.pop(0))
    received = b''.join(_stream(targets))
    assert received == COMPLETE
    assert targets.attempts[1].resume_offset == 1


def test_a_caller_that_disconnects_cancels_the_attempt() -> None:
    targets = memory_targets.MemoryTargets(
        lambda a: memory_targets.Script(chunks=tuple(EVENTS))
    )
    chunks = _stream(targets)
    next(chunks)
    chunks.close()
    assert targets.closed == targets.released == 1


def test_a_stream_that_no_target_begins_is_refused() -> None:
    error = AttemptError(
        AttemptErrorKind.NOT_SENT, 'planned', may_have_run=False
    )
    targets = memory_targets.MemoryTargets(
        lambda a: memory_targets.Script(open_error=error)
    )
    context = memory_targets.make_attempt_context(targets, retries=2)
    opened = relay.open_stream(context, memory_targets.make_request())
    assert isinstance(opened, Err)
    assert opened.err_value.run.value == 'not-run'
    assert len(targets.attempts) == 3


def test_a_stream_that_may_have_run_is_never_refused_as_not_run() -> None:
    silent = AttemptError(AttemptErrorKind.TIMED_OUT, 'planned')
    not_sent = AttemptError(
        AttemptErrorKind.NOT_SENT, 'planned', may_have_run=False
    )
    scripts = [silent, not_sent, not_sent, not_sent]
    targets = memory_targets.MemoryTargets(
        lambda a: memory_targets.Script(open_error=scripts.pop(0)),
        only_target_twice=False,
    )
    context = memory_targets.make_attempt_context(targets, retries=1)
    opened = relay.open_stream(context, memory_targets.make_request())
    assert opened.err_value.run.value == 'unknown'


def test_a_stream_is_resumed_at_the_same_target_if_there_is_no_other() -> None:
    broken = AttemptError(AttemptErrorKind.BROKEN, 'planned')
    targets = memory_targets.MemoryTargets(
        lambda a: memory_targets.Script(
            chunks=(b''.join(EVENTS[a.resume_offset :]) + DONE,)
            if a.resume_offset
            else tuple(EVENTS[:3]),
            read_error=broken,
        ),
        only_target_twice=False,
    )
    assert b''.join(_stream(targets)) == COMPLETE


def test_cached_tokens_and_pace_are_reported_to_the_grant():
    """A value that is no number counts as none; errors report nothing."""
    reported = []
    for status, header in ((200, '512'), (200, 'many'), (500, '512')):
        script = memory_targets.Script(
            status=status,
            chunks=(COMPLETE,),
            headers=(('X-Cached-Tokens', header),),
        )
        targets = memory_targets.MemoryTargets(lambda _, s=script: s)
        opened = relay.open_stream(
            memory_targets.make_attempt_context(targets, 0),
            memory_targets.make_request(),
        )
        if isinstance(opened, Ok):
            for _ in opened.ok_value:
                pass
        reported.append(targets.reported)
    assert reported == [[512, 'paced'], [None, 'paced'], []]


@pytest.mark.parametrize('status', [204, 206, 400, 404, 429, 500, 503])
def test_error_of_the_next_target_does_not_get_into_a_begun_stream(status):
    """Its text came in the middle, or the stream ended as if complete."""
    text = b'<html>\n\noverloaded\n\n</html>\n\n' + DONE
    broken = AttemptError(AttemptErrorKind.BROKEN, 'planned')
    scripts = [memory_targets.Script(chunks=(EVENTS[0],), read_error=broken)]
    targets = memory_targets.MemoryTargets(
        lambda _: (
            scripts.pop()
            if scripts
            else memory_targets.Script(chunks=(text,), status=status)
        )
    )
    received = b''.join(_stream(targets, retries=2))
    answer, marker, refusal = received.partition(b'event: error\n')
    assert answer == EVENTS[0]
    assert marker and DONE not in refusal and b'html' not in refusal
    assert b'"run": "unknown"' in refusal
