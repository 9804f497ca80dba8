"""Tests of the decisions on rollouts."""

import attrs
import hypothesis
from hypothesis import strategies
import pytest
from result import Err
from result import Ok

from wigeonfall.model.rollout import Move
from wigeonfall.model.rollout import Phase
from wigeonfall.model.rollout import Rollout
from wigeonfall.policy.versions import rollout as policy

ROLLOUT = Rollout('lm', 1, 'v1', 'v2', 0.0, 600.0, 100.0)
ENOUGH = policy.DecisionInputs(
    has_baseline=True,
    step_has_evidence=True,
    routes_lacking_evidence=(),
    rate_per_s=40.0,
    reporting_share=1.0,
)


def _move(what, share=0.0, at_s=0.0):
    return Move('id', what, 'me', 'why', at_s, share)


def test_first_share_is_small():
    """With enough time a rollout starts at the smallest share."""
    ample = attrs.evolve(ROLLOUT, deadline_unix_s=36_000.0)
    decision = policy.decide(ample, ENOUGH, 1.0)
    assert decision.action is policy.Action.GROW
    assert decision.share == ample.criteria.first_share


@pytest.mark.parametrize(
    'inputs',
    (
        {'has_baseline': False},
        {'reporting_share': 0.8},
        {'suspected': True},
    ),
)
def test_rollout_waits_without_baseline_or_reports_or_under_suspicion(inputs):
    """The share stays at 0 until there is enough information."""
    decision = policy.decide(ROLLOUT, attrs.evolve(ENOUGH, **inputs), 1.0)
    assert decision.action is policy.Action.HOLD


@hypothesis.given(
    strategies.floats(0, 1),
    strategies.floats(0, 700),
    strategies.sampled_from(list(Phase)),
    strategies.booleans(),
    strategies.booleans(),
    strategies.sampled_from((0.5, 0.89, 1.0)),
)
@hypothesis.settings(max_examples=500)
def test_growth_requires_evidence(
    share, now_s, phase, step_has_evidence, bad, reporting_share
):
    """The share grows only on evidence and before the deadline."""
    rollout = attrs.evolve(ROLLOUT, share=share, phase=phase)
    inputs = attrs.evolve(
        ENOUGH,
        step_has_evidence=step_has_evidence,
        bad='errors' if bad else '',
        reporting_share=reporting_share,
    )
    decision = policy.decide(rollout, inputs, now_s)
    if phase.final:
        assert decision.action is policy.Action.HOLD
    elif bad or now_s >= 600:
        assert decision.action is policy.Action.ROLL_BACK
    if decision.action in (policy.Action.GROW, policy.Action.COMPLETE):
        assert (
            phase is Phase.RUNNING
            and reporting_share >= policy.MIN_REPORTING_SHARE
        )
        assert step_has_evidence or share == 0
        assert now_s < rollout.deadline_unix_s
    if decision.action is policy.Action.COMPLETE:
        assert share >= 1.0 and now_s >= rollout.bake_s


@hypothesis.given(
    strategies.floats(0.001, 10_000), strategies.floats(100, 20_000)
)
def test_schedule_fits_if_any_schedule_fits(rate_per_s, length_s):
    """The first share leaves time for all steps, if that is possible."""
    rollout = attrs.evolve(ROLLOUT, deadline_unix_s=length_s + 100)
    share = policy.next_share(rollout, rate_per_s, 0.0)
    assert 0 < share <= policy.MAX_FIRST_SHARE
    fastest = policy.GROWTH_FACTORS[-1]
    best_s = policy.time_to_full_share_s(
        rollout, policy.MAX_FIRST_SHARE, fastest, rate_per_s
    )
    if best_s <= length_s / 2:
        needed_s = policy.time_to_full_share_s(
            rollout, share, fastest, rate_per_s
        )
        assert needed_s <= length_s / 2


@hypothesis.given(strategies.text(), strategies.floats(0, 1))
def test_growing_share_only_adds_requests(request_id, share):
    """A request keeps its position, which depends on the rollout."""
    position = policy.split_position('lm/1', request_id)
    assert 0 <= position < 1
    assert position == policy.split_position('lm/1', request_id)
    assert position != policy.split_position('lm/2', request_id)


@hypothesis.given(strategies.integers(0, 1000), strategies.integers(1, 600))
def test_instance_quotas_add_up_to_the_total(total, instances):
    """All instances together get exactly the total."""
    parts = [
        policy.instance_quota(total, rank, instances)
        for rank in range(instances)
    ]
    assert sum(parts) == total


def test_passed_deadline_and_regression_end_the_share_locally():
    """Neither needs the platform; a completed rollout is not affected."""
    half = attrs.evolve(ROLLOUT, share=0.5)
    assert policy.effective_share(half, False, 1.0) == 0.5
    assert policy.effective_share(half, True, 1.0) == 0.0
    assert policy.effective_share(half, False, 600.0) == 0.0
    done = attrs.evolve(half, phase=Phase.COMPLETED)
    assert policy.effective_share(done, True, 700.0) == 1.0


def test_rolled_back_version_cannot_be_started_again():
    """A version that was rolled back is refused in later rollouts."""
    back = policy.apply_operator_move(ROLLOUT, _move('take-back')).ok_value
    assert back.phase is Phase.ROLLED_BACK and back.share == 0.0
    assert isinstance(policy.apply_operator_move(back, _move('resume')), Err)
    with pytest.raises(policy.RolloutError):
        policy.apply_move(back, _move('grow', 0.5), 9)
    again = policy.start_rollout(back, ROLLOUT, _move('start'))
    assert 'taken back' in str(again.err_value)
    other = attrs.evolve(ROLLOUT, new_version='v3')
    started = policy.start_rollout(back, other, _move('start'))
    assert isinstance(started, Ok)
    assert started.ok_value.number == 2
    assert started.ok_value.bad_versions == ('v2',)


def test_pause_keeps_the_share_and_the_deadline():
    """A paused rollout can resume, and still ends at its deadline."""
    half = attrs.evolve(ROLLOUT, share=0.5, step_unix_s=5.0)
    paused = policy.apply_operator_move(
        half, _move('pause', at_s=50.0)
    ).ok_value
    assert (paused.share, paused.step_unix_s) == (0.5, 5.0)
    assert policy.decide(paused, ENOUGH, 60.0).action is policy.Action.HOLD
    late = policy.decide(paused, ENOUGH, 600.0)
    assert late.action is policy.Action.ROLL_BACK
    resumed = policy.apply_operator_move(paused, _move('resume')).ok_value
    assert policy.decide(resumed, ENOUGH, 60.0).action is policy.Action.GROW
