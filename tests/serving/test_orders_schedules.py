"""Property test of orders under interleavings, crashes and store faults.

Several instances run calls with the same few keys. Between any two steps of
an instance, the others may take steps, time may pass, a delayed write may
reach the store, or the instance may crash.
"""

from concurrent import futures
from unittest import mock

import attrs
import hypothesis
from hypothesis import strategies as st
import pytest
from result import Err
from result import Ok

from tests.fakes import memory_store
from tests.fakes.memory_store import Fate
from tests.fakes import order_requests
from tests.fakes import schedule
from wigeonfall.model import answer
from wigeonfall.model import order
from wigeonfall.model import refusal
from wigeonfall.model.refusal import Code
from wigeonfall.policy.orders import retention
from wigeonfall.serving import ledger
from wigeonfall.serving import orders
from wigeonfall.serving import slices

DEADLINE_S = 20.0
START_UNIX_S = 1_700_000_000.0
TIMED_KEY = '018bcfe5-6800-7000-8000-000000000000'
KEYS = ('k1', TIMED_KEY)
MAX_STEPS = 150
SEND_RESULTS = ('answered', 'not-sent', 'silent', 'crash-after')
SERVED_FATES = (Fate.SERVED,) * 4


@attrs.frozen
class Job:
    """One call that a caller makes at an instance."""

    id: str
    key: str
    body: bytes


@attrs.define
class World:
    """The state that the instances share, and a record of what they did."""

    now_s: float = 0.0
    store: memory_store.MemoryStore = attrs.field(
        factory=memory_store.MemoryStore
    )
    runs: dict[str, list[str]] = attrs.field(factory=dict)
    outcomes: dict[str, orders.Outcome] = attrs.field(factory=dict)
    recorded_s: dict[str, float] = attrs.field(factory=dict)

    def answer(self, job: Job) -> answer.WholeAnswer:
        """Run a job at the target and return its answer."""
        self.runs.setdefault(job.key, []).append(job.id)
        return answer.WholeAnswer(201, (), f'{job.key} {job.id}'.encode())


class StepwiseLedger:
    """A ledger that commits in the thread of its caller."""

    def __init__(self, world: World) -> None:
        self._writer = slices.SliceWriter(
            'slice-0000',
            world.store.port(),
            lambda event, **fields: None,
            lambda: START_UNIX_S + world.now_s,
        )
        self._world = world
        self._unrecorded: list[order.Change] = []

    def submit(self, change):
        """Commit this change together with outcomes not yet recorded."""
        changes = [*self._unrecorded, change]
        started_s = self._world.now_s
        decided = self._writer.commit(changes)
        if isinstance(decided, Ok):
            self._unrecorded = []
            self._set_recorded_times(changes, started_s)
            decided = Ok(decided.ok_value[-1])
        elif isinstance(change, order.Settle):
            self._unrecorded = changes
        future = futures.Future()
        future.set_result(decided)
        return future

    def _set_recorded_times(self, changes, recorded_s):
        for change in changes:
            if isinstance(change, order.Settle) and change.answer:
                key = change.answer.body.split()[0].decode()
                self._world.recorded_s[key] = recorded_s

    def copy(self, settle):
        """Ignore a copy of an outcome."""

    def known_decision(self, claim):
        """Return the decision on a claim if its order is known as done."""
        return self._writer.known_decision(claim)


def run_jobs(world: World, jobs: list[Job], actor: schedule.Actor) -> None:
    """Run the calls of one instance one after the other."""

    def sleep(duration_s: float) -> None:
        world.now_s += duration_s
        actor.step('sleep')

    clocks = ledger.Clocks(
        lambda: world.now_s, lambda: START_UNIX_S + world.now_s
    )
    instance = orders.make_orders(
        actor.name,
        StepwiseLedger(world),
        lambda event, **fields: None,
        clocks,
        sleep,
    )
    for job in jobs:
        request = order_requests.make_request(
            job.id, job.key, world.now_s + DEADLINE_S, job.body
        )
        world.outcomes[job.id] = instance.run(
            request, lambda _request, job=job: dispatch(world, job, actor)
        )


def dispatch(world: World, job: Job, actor: schedule.Actor):
    """Make one attempt with the result that the schedule chooses."""
    result = actor.step('send')
    if result == 'not-sent':
        return Err(refusal.not_run(Code.NO_TARGET, 'no target'))
    job_answer = world.answer(job)
    if result == 'crash-after':
        raise schedule.Crashed
    if result == 'silent':
        return Err(refusal.unknown(Code.OUTCOME_UNKNOWN, 'no answer'))
    return Ok(job_answer)


def run_schedule(data, world: World, actors: list[schedule.Actor]) -> None:
    """Run the actors in an order of steps that hypothesis draws."""
    current: list[schedule.Actor] = []

    def fate(call: str) -> Fate:
        return current[0].step(call)

    world.store.fate = fate
    for actor in actors:
        actor.wait()
    for _ in range(MAX_STEPS):
        alive = [actor for actor in actors if not actor.ended]
        if not alive:
            break
        actor = data.draw(st.sampled_from(alive))
        current[:] = [actor]
        event = data.draw(
            st.sampled_from(('step',) * 8 + ('pause', 'late', 'crash'))
        )
        if event == 'pause':
            world.now_s += data.draw(st.sampled_from((1, 30, 4000, 200_000)))
        elif event == 'late':
            world.store.deliver_late_call()
        elif event == 'crash':
            actor.proceed(schedule.Crashed)
        elif actor.pending == 'send':
            actor.proceed(data.draw(st.sampled_from(SEND_RESULTS)))
        else:
            fates = SERVED_FATES + tuple(Fate)
            actor.proceed(data.draw(st.sampled_from(fates)))
    for actor in actors:
        if not actor.ended:
            actor.proceed(schedule.Crashed)
    world.store.fate = lambda call: Fate.SERVED


def check_outcomes(world: World, jobs: list[Job]) -> None:
    """Check that orders ran at most once and that outcomes match runs."""
    for ran in world.runs.values():
        assert len(ran) <= 1
    bodies = {job.id: job.body for job in jobs}
    for job in jobs:
        outcome = world.outcomes.get(job.id)
        ran = world.runs.get(job.key, [])
        if isinstance(outcome, Ok):
            expected = f'{job.key} {ran[0]}'.encode()
            assert outcome.ok_value.body == expected
            assert bodies[ran[0]] == job.body
        elif outcome and outcome.err_value.run is refusal.Run.NOT_RUN:
            assert job.id not in ran


def check_repeats(world: World, jobs: list[Job]) -> None:
    """Repeat each key at a new instance, without faults, and check it."""
    before = {key: list(ran) for key, ran in world.runs.items()}
    answered = {
        job.key: outcome.ok_value
        for job in jobs
        if isinstance(outcome := world.outcomes.get(job.id), Ok)
    }
    bodies = {job.key: job.body for job in jobs if job.id in _jobs_run(world)}
    repeats = [
        Job(f'repeat-{key}', key, bodies.get(key, b'a')) for key in KEYS
    ]
    actor = schedule.Actor('last', lambda a: run_jobs(world, repeats, a))
    actor.wait()
    while not actor.ended:
        actor.proceed('answered')
    for job in repeats:
        if job.key not in before:
            continue
        assert world.runs[job.key] == before[job.key]
        outcome = world.outcomes[job.id]
        if isinstance(outcome, Ok):
            assert outcome.ok_value == answered.get(job.key, outcome.ok_value)
        else:
            assert outcome.err_value.run is refusal.Run.UNKNOWN
            assert not must_be_stored(world, job.key)
    check_outcomes(world, [*jobs, *repeats])


def must_be_stored(world: World, key: str) -> bool:
    """Return whether the answer of an order must still be stored."""
    if key not in world.recorded_s:
        return False
    age_s = world.now_s - world.recorded_s[key]
    return age_s <= retention.ANSWER_WINDOW_S


def _jobs_run(world: World) -> set[str]:
    return {job_id for ran in world.runs.values() for job_id in ran}


JOBS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(KEYS),
        st.sampled_from((b'a', b'a', b'a', b'b')),
    ),
    min_size=2,
    max_size=7,
)


@pytest.mark.parametrize('compact_bytes', [retention.COMPACT_BYTES, 0])
def test_an_order_runs_at_most_once_and_refusals_are_correct(
    compact_bytes: int,
) -> None:
    @hypothesis.settings(max_examples=400)
    @hypothesis.given(data=st.data(), drawn_jobs=JOBS)
    def run(data, drawn_jobs) -> None:
        world = World()
        jobs = [
            Job(f'job{number}', key, body)
            for number, (_, key, body) in enumerate(drawn_jobs)
        ]
        by_instance: dict[int, list[Job]] = {}
        for job, (instance, _, _) in zip(jobs, drawn_jobs, strict=True):
            by_instance.setdefault(instance, []).append(job)
        actors = [
            schedule.Actor(
                f'i{number}', lambda a, own=own: run_jobs(world, own, a)
            )
            for number, own in by_instance.items()
        ]
        run_schedule(data, world, actors)
        check_outcomes(world, jobs)
        check_repeats(world, jobs)

    with mock.patch.multiple(
        retention, COMPACT_BYTES=compact_bytes, FOLD_PAGES=1, MERGE_PAGES=2
    ):
        run()
