"""Tests of buffered answers and of when a refusal may say "not run"."""

from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from tests.fakes import memory_targets
from wigeonfall.model import service
from wigeonfall.ports.targets import AttemptError
from wigeonfall.ports.targets import AttemptErrorKind
from wigeonfall.serving import buffered

PLAIN = service.Service('app', service.ServiceKind.PLAIN)

NOT_RUN_KINDS = [
    AttemptErrorKind.NOT_SENT,
    AttemptErrorKind.REFUSED,
    AttemptErrorKind.LEAVING,
]
RAN_KINDS = [
    AttemptErrorKind.TIMED_OUT,
    AttemptErrorKind.BROKEN,
    AttemptErrorKind.WRONG_ATTEMPT,
]
errors = st.one_of(
    st.sampled_from(NOT_RUN_KINDS).map(
        lambda kind: AttemptError(kind, 'planned', may_have_run=False)
    ),
    st.sampled_from(RAN_KINDS).map(
        lambda kind: AttemptError(kind, 'planned', may_have_run=True)
    ),
)
scripts = st.one_of(
    st.builds(memory_targets.Script, open_error=errors),
    st.builds(
        memory_targets.Script,
        chunks=st.just((b'part',)),
        read_error=errors.filter(lambda error: error.may_have_run),
    ),
    st.builds(
        memory_targets.Script,
        status=st.sampled_from([200, 404, 500, 503]),
        chunks=st.just((b'whole', b' answer')),
    ),
)


def _ran(script: memory_targets.Script) -> bool:
    return script.open_error is None or script.open_error.may_have_run


def _fetch(planned, retries, **changes):
    remaining = list(planned)
    targets = memory_targets.MemoryTargets(lambda a: remaining.pop(0))
    context = memory_targets.make_attempt_context(targets, retries)
    request = memory_targets.make_request(
        service=PLAIN, model='', stream=False, **changes
    )
    return buffered.fetch(context, request), targets


@given(st.lists(scripts, min_size=8, max_size=8), st.integers(0, 7))
def test_a_request_that_is_not_idempotent_runs_at_most_once(
    plans, retries
) -> None:
    fetched, targets = _fetch(plans, retries, method='POST')
    used = plans[: len(targets.attempts)]
    assert sum(_ran(script) for script in used) <= 1
    assert all(attempt.fresh_connection for attempt in targets.attempts)
    assert targets.released == len(targets.attempts)
    if not isinstance(fetched, Ok):
        ran = any(_ran(script) for script in used)
        assert fetched.err_value.run.value == ('unknown' if ran else 'not-run')


@given(st.lists(scripts, min_size=8, max_size=8), st.integers(0, 7))
def test_a_refusal_says_not_run_only_if_no_attempt_ran(plans, retries) -> None:
    fetched, targets = _fetch(plans, retries, method='GET')
    used = plans[: len(targets.attempts)]
    if isinstance(fetched, Ok):
        assert fetched.ok_value.body == b'whole answer'
        assert fetched.ok_value.status < 500
    elif any(_ran(script) for script in used):
        assert fetched.err_value.run.value == 'unknown'
    else:
        assert fetched.err_value.run.value == 'not-run'
