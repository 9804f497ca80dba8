"""Decisions on rollouts: share of the new version, schedule and end."""

import enum
import math

import attrs
from result import Err
from result import Ok
from result import Result
import xxhash

from ... import errors
from ...model.rollout import MAX_MOVES
from ...model.rollout import Move
from ...model.rollout import Phase
from ...model.rollout import Rollout

FULL_SHARE = 1.0
GROWTH_FACTORS = (2.0, 3.0, 4.0, 6.0, 10.0)
MAX_FIRST_SHARE = 0.1
REQUESTS_PER_STEP = 150
MAX_UNPROVEN_SHARE = 0.5
MIN_REPORTING_SHARE = 0.9
HASH_RANGE = 2**64


class RolloutError(errors.WigeonfallError):
    """A change of a rollout is not allowed in its present state."""


@attrs.frozen
class DecisionInputs:
    """What the lease holder knows when it decides on a rollout.

    Attributes:
        has_baseline: whether there are enough samples of the old version.
        step_has_evidence: whether the evidence of this step allows growth.
        routes_lacking_evidence: routes in steady use with too little evidence.
        rate_per_s: requests per second of the service, to both versions.
        reporting_share: share of instances that reported recently.
        suspected: whether a suspected regression is being verified.
        bad: the regression that was found, or ''.
    """

    has_baseline: bool
    step_has_evidence: bool
    routes_lacking_evidence: tuple[str, ...]
    rate_per_s: float
    reporting_share: float
    suspected: bool = False
    bad: str = ''


class Action(enum.Enum):
    """What the lease holder does next."""

    HOLD = 'hold'
    GROW = 'grow'
    COMPLETE = 'complete'
    ROLL_BACK = 'take-back'


@attrs.frozen
class Decision:
    """An action with its reason.

    Attributes:
        action: what to do.
        share: share of the new version after the action.
        why: reason in one sentence.
    """

    action: Action
    share: float
    why: str


def split_position(rollout_id: str, request_id: str) -> float:
    """Return the position of a request in the traffic split, from 0 up to 1.

    A request keeps its position in all steps of a rollout, so that a growing
    share only adds requests to the new version.
    """
    text = f'{rollout_id}\0{request_id}'
    return xxhash.xxh64_intdigest(text.encode()) / HASH_RANGE


def effective_share(rollout: Rollout, bad: bool, now_unix_s: float) -> float:
    """Return the share of requests that an instance sends to the new version.

    The stored share is the upper bound. A known regression or a passed
    deadline sets it to 0 without access to the platform.
    """
    if rollout.phase is Phase.COMPLETED:
        return FULL_SHARE
    if bad or rollout.phase is Phase.ROLLED_BACK:
        return 0.0
    if now_unix_s >= rollout.deadline_unix_s:
        return 0.0
    return rollout.share


def instance_quota(total: int, rank: int, instances: int) -> int:
    """Return one instance's part of a total number of requests.

    Args:
        total: requests of all instances together.
        rank: index of this instance among them, from 0.
        instances: number of instances.
    """
    whole, rest = divmod(total, max(1, instances))
    return whole + (rank < rest)


def step_time_s(rollout: Rollout, share: float, rate_per_s: float) -> float:
    """Return the time that one step needs to collect its evidence."""
    min_s = rollout.criteria.least_step_s
    if rate_per_s <= 0:
        return math.inf
    return max(min_s, REQUESTS_PER_STEP / (rate_per_s * share))


def time_to_full_share_s(
    rollout: Rollout, share: float, factor: float, rate_per_s: float
) -> float:
    """Return the time of all steps from a share to the full one."""
    total_s = 0.0
    while share < FULL_SHARE:
        total_s += step_time_s(rollout, share, rate_per_s)
        share *= factor
    return total_s


def time_left_s(rollout: Rollout, now_unix_s: float) -> float:
    """Return the time until the new version must serve all requests."""
    return rollout.deadline_unix_s - rollout.bake_s - now_unix_s


def next_share(
    rollout: Rollout, rate_per_s: float, now_unix_s: float
) -> float:
    """Return the share of the next step, scheduled to meet the deadline.

    This is the smallest first share and growth factor whose steps fit into
    half of the time left, so that a step may need twice its usual evidence.
    """
    left_s = time_left_s(rollout, now_unix_s) / 2
    if rollout.share > 0:
        for factor in GROWTH_FACTORS:
            share = min(FULL_SHARE, rollout.share * factor)
            if (
                time_to_full_share_s(rollout, share, factor, rate_per_s)
                <= left_s
            ):
                return share
        return min(FULL_SHARE, rollout.share * GROWTH_FACTORS[-1])
    first = rollout.criteria.first_share
    while first < MAX_FIRST_SHARE:
        for factor in GROWTH_FACTORS:
            if (
                time_to_full_share_s(rollout, first, factor, rate_per_s)
                <= left_s
            ):
                return first
        first *= 2
    return MAX_FIRST_SHARE


def decide(
    rollout: Rollout, inputs: DecisionInputs, now_unix_s: float
) -> Decision:
    """Return the action that the lease holder takes on a rollout now."""
    if rollout.phase.final:
        return Decision(Action.HOLD, rollout.share, rollout.phase.value)
    end = _end_decision(rollout, inputs, now_unix_s)
    if end is not None:
        return end
    if rollout.phase is Phase.PAUSED:
        return Decision(Action.HOLD, rollout.share, 'paused')
    wait = _reason_to_wait(rollout, inputs, now_unix_s)
    if wait:
        return Decision(Action.HOLD, rollout.share, wait)
    if rollout.share >= FULL_SHARE:
        why = 'held the full load for its bake time'
        return Decision(Action.COMPLETE, FULL_SHARE, why)
    share = next_share(rollout, inputs.rate_per_s, now_unix_s)
    if inputs.routes_lacking_evidence and share > MAX_UNPROVEN_SHARE:
        if rollout.share >= MAX_UNPROVEN_SHARE:
            why = f'thin evidence on {inputs.routes_lacking_evidence[0]}'
            return Decision(Action.HOLD, rollout.share, why)
        share = MAX_UNPROVEN_SHARE
    why = 'first share' if rollout.share == 0 else 'evidence suffices'
    return Decision(Action.GROW, share, why)


def _end_decision(
    rollout: Rollout, inputs: DecisionInputs, now_unix_s: float
) -> Decision | None:
    if inputs.bad:
        return Decision(Action.ROLL_BACK, 0.0, inputs.bad)
    if now_unix_s >= rollout.deadline_unix_s:
        why = 'deadline passed without enough evidence'
        return Decision(Action.ROLL_BACK, 0.0, why)
    if rollout.share < FULL_SHARE and time_left_s(rollout, now_unix_s) <= 0:
        why = 'no time left to hold the full load before the deadline'
        return Decision(Action.ROLL_BACK, 0.0, why)
    return None


def _reason_to_wait(
    rollout: Rollout, inputs: DecisionInputs, now_unix_s: float
) -> str:
    """Return why the share must not grow yet, or '' if it may."""
    if inputs.reporting_share < MIN_REPORTING_SHARE:
        return 'evidence of some instances is missing'
    if inputs.suspected:
        return 'a suspicion is being looked into'
    if rollout.share == 0:
        return '' if inputs.has_baseline else 'too little traffic so far'
    held_s = now_unix_s - rollout.step_unix_s
    full = rollout.share >= FULL_SHARE
    if held_s < (rollout.bake_s if full else rollout.criteria.least_step_s):
        return 'time at this share is not over'
    if not inputs.step_has_evidence:
        return 'evidence is thin'
    if full and inputs.routes_lacking_evidence:
        return f'thin evidence on {inputs.routes_lacking_evidence[0]}'
    return ''


def apply_move(rollout: Rollout, move: Move, fencing: int) -> Rollout:
    """Return a rollout after a move.

    Raises:
        RolloutError: the rollout has ended.
    """
    if rollout.phase.final:
        raise RolloutError(f'rollout {rollout.id} is {rollout.phase.value}')
    phases = {
        Action.COMPLETE.value: Phase.COMPLETED,
        Action.ROLL_BACK.value: Phase.ROLLED_BACK,
        'pause': Phase.PAUSED,
        'resume': Phase.RUNNING,
    }
    phase = phases.get(move.what, rollout.phase)
    bad_versions = rollout.bad_versions
    if phase is Phase.ROLLED_BACK:
        bad_versions += (rollout.new_version,)
    return attrs.evolve(
        rollout,
        phase=phase,
        share=move.share,
        steps=rollout.steps + (move.what == Action.GROW.value),
        step_unix_s=(
            rollout.step_unix_s
            if move.share == rollout.share
            else move.at_unix_s
        ),
        fencing=max(fencing, rollout.fencing),
        bad_versions=bad_versions,
        moves=(*rollout.moves, move)[-MAX_MOVES:],
    )


def start_rollout(
    earlier: Rollout | None, requested: Rollout, move: Move
) -> Result[Rollout, RolloutError]:
    """Return a new rollout of a service.

    Args:
        earlier: stored rollout of the service, None if there is none.
        requested: rollout that the operator requests.
        move: the operator's move.

    Returns:
        The rollout to store, or why it may not start.
    """
    if requested.old_version == requested.new_version:
        return Err(RolloutError('both versions are the same'))
    if time_left_s(requested, move.at_unix_s) <= 0:
        return Err(RolloutError('the deadline leaves no time before bake'))
    if earlier is None:
        return Ok(attrs.evolve(requested, number=1, moves=(move,)))
    if not earlier.phase.final:
        return Err(RolloutError(f'rollout {earlier.id} has not ended'))
    if requested.new_version in earlier.bad_versions:
        text = f'version {requested.new_version} was taken back'
        return Err(RolloutError(text))
    return Ok(
        attrs.evolve(
            requested,
            number=earlier.number + 1,
            fencing=earlier.fencing,
            bad_versions=earlier.bad_versions,
            moves=(move,),
        )
    )


def apply_operator_move(
    rollout: Rollout, move: Move
) -> Result[Rollout, RolloutError]:
    """Return a rollout after an operator pauses, resumes or rolls it back."""
    if rollout.phase.final:
        text = f'rollout {rollout.id} is {rollout.phase.value}'
        return Err(RolloutError(text))
    if move.what == 'take-back':
        move = attrs.evolve(move, share=0.0)
    else:
        move = attrs.evolve(move, share=rollout.share)
    return Ok(apply_move(rollout, move, rollout.fencing))


def supersedes(rollout: Rollout, known: Rollout) -> bool | None:
    """Return whether a stored rollout is newer than a known one.

    Versions of objects do not tell that, as a platform that was restored
    gives them out again.

    Returns:
        None if both have the same newest change.
    """
    if rollout.number != known.number:
        return rollout.number > known.number
    if not rollout.moves or not known.moves:
        return None
    newest, known_newest = rollout.moves[-1], known.moves[-1]
    if newest.id == known_newest.id:
        return None
    if known_newest.id in {move.id for move in rollout.moves}:
        return True
    if newest.id in {move.id for move in known.moves}:
        return False
    return newest.at_unix_s > known_newest.at_unix_s
