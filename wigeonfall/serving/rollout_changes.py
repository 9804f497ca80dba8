"""Changes stored rollouts by conditional updates.

If the answer to a write is lost, the object is read again: each move has a
unique identifier, which shows its writer whether the write took effect.
"""

from collections.abc import Callable
import uuid

import attrs
import cattrs
from result import Err
from result import Ok
from result import Result

from ..model.rollout import Move
from ..model.rollout import Rollout
from ..policy.versions import rollout as policy
from ..ports.platform import Platform
from ..ports.platform import PlatformError
from ..ports.platform import PlatformErrorKind
from ..ports.platform import StoredObject
from .rollouts import KIND

MAX_ATTEMPTS = 4

Change = Callable[[Rollout | None, Move], Result[Rollout, policy.RolloutError]]


@attrs.frozen
class FailedChange:
    """A change that was refused or failed.

    Attributes:
        message: the reason in one sentence.
        effect_unknown: whether the change may have been stored nevertheless.
        unreachable: whether all attempts at the platform failed without
            effect.
    """

    message: str
    effect_unknown: bool = False
    unreachable: bool = False


def new_move(
    what: str, who: str, why: str, at_unix_s: float, share: float = 0.0
) -> Move:
    """Return a move with a new unique identifier."""
    return Move(uuid.uuid4().hex, what, who, why, at_unix_s, share)


def write(
    platform: Platform, service: str, version: int | None, rollout: Rollout
) -> Result[StoredObject, PlatformError]:
    """Store a rollout if the stored object still has the given version.

    Args:
        platform: calls to the platform.
        service: name of the service.
        version: version that was read, None if there was no object.
        rollout: the rollout to store.
    """
    value = cattrs.unstructure(rollout)
    if version is None:
        return platform.create(KIND, service, value)
    return platform.update(StoredObject(KIND, service, version, value))


def apply_change(
    platform: Platform, service: str, move: Move, change: Change
) -> Result[Rollout, FailedChange]:
    """Apply an operator's change, with retries after conflicts and errors.

    Args:
        platform: calls to the platform.
        service: name of the service.
        move: the operator's move.
        change: computes the rollout to store from the stored one, or says
            why the move is not allowed.

    Returns:
        The stored rollout, or why the change was refused or failed.
    """
    effect_unknown = False
    message = ''
    for _ in range(MAX_ATTEMPTS):
        got = _read(platform, service)
        if isinstance(got, Err):
            message = got.err_value.message
            continue
        stored = got.ok_value
        rollout = cattrs.structure(stored.value, Rollout) if stored else None
        if rollout and any(m.id == move.id for m in rollout.moves):
            return Ok(rollout)
        changed = change(rollout, move)
        if isinstance(changed, Err):
            return Err(FailedChange(str(changed.err_value), effect_unknown))
        version = stored.version if stored else None
        wrote = write(platform, service, version, changed.ok_value)
        if isinstance(wrote, Ok):
            return Ok(changed.ok_value)
        message = wrote.err_value.message
        effect_unknown = effect_unknown or wrote.err_value.effect_unknown
    return Err(
        FailedChange(message, effect_unknown, unreachable=not effect_unknown)
    )


def _read(
    platform: Platform, service: str
) -> Result[StoredObject | None, PlatformError]:
    got = platform.get(KIND, service)
    if isinstance(got, Ok):
        return Ok(got.ok_value)
    if got.err_value.kind is PlatformErrorKind.NOT_FOUND:
        return Ok(None)
    return Err(got.err_value)


def start(requested: Rollout) -> Change:
    """Return the change that starts a rollout."""
    return lambda stored, move: policy.start_rollout(stored, requested, move)


def apply_to_existing(
    stored: Rollout | None, move: Move
) -> Result[Rollout, policy.RolloutError]:
    """Pause, resume or roll back a stored rollout."""
    if stored is None:
        return Err(policy.RolloutError('the service has no rollout'))
    return policy.apply_operator_move(stored, move)
