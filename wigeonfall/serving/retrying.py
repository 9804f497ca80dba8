"""What follows a failed attempt: another one, or a truthful refusal."""

import time

import attrs
from result import Ok
from result import Result

from ..model.refusal import Code
from ..model.refusal import not_run
from ..model.refusal import Refusal
from ..model.refusal import Run
from ..model.refusal import unknown
from ..model.request import Request
from ..model.target import Target
from ..ports.targets import AttemptError
from .attempts import AttemptContext
from .grant import Grant

SAME_TARGET_DELAY_S = 0.05


@attrs.frozen
class Failures:
    """Where the attempts of one request failed.

    Attributes:
        targets: names of targets.
        versions: versions of these targets.
    """

    targets: frozenset[str] = frozenset()
    versions: frozenset[str] = frozenset()

    def including(self, target: Target) -> 'Failures':
        """Return these failures and one at a target."""
        return Failures(
            self.targets | {target.name}, self.versions | {target.version}
        )


def acquire(
    context: AttemptContext, request: Request, failures: Failures
) -> Result[Grant, Refusal]:
    """Wait for a grant, at a target that failed before if there is no other.

    Args:
        context: what attempts need.
        request: the request.
        failures: where it failed before.

    Returns:
        The grant, or a refusal.
    """
    now_s = time.monotonic()
    chosen = context.choose_version(request, failures.versions, now_s)
    acquired = context.acquire(chosen, failures.targets, now_s)
    if isinstance(acquired, Ok) or not failures.targets:
        return acquired
    if acquired.err_value.code is not Code.NO_TARGET:
        return acquired
    time.sleep(SAME_TARGET_DELAY_S)
    return context.acquire(chosen, frozenset(), time.monotonic())


def correct_run(refusal: Refusal, ran: bool) -> Refusal:
    """Return a refusal that says "not run" only if no attempt may have run.

    Args:
        refusal: the refusal at the end of some attempts.
        ran: whether any of the attempts may have run.
    """
    if ran and refusal.run is Run.NOT_RUN:
        return attrs.evolve(refusal, run=Run.UNKNOWN)
    return refusal


def may_try_again(
    context: AttemptContext,
    request: Request,
    error: AttemptError,
    now_s: float,
) -> bool:
    """Return whether a failed attempt may be followed by another.

    Args:
        context: what attempts need.
        request: the request.
        error: how the attempt failed.
        now_s: present time on the monotonic clock.

    Returns:
        False when the deadline or the retry budget is spent, or when the
        request may have run and must not run twice.
    """
    if now_s >= request.deadline_s:
        return False
    if error.ran and not request.idempotent:
        return False
    return context.may_retry(request, now_s)


def failure_refusal(request: Request, error: AttemptError) -> Refusal:
    """Return the refusal that tells a caller of a last failed attempt."""
    message = f'the last attempt failed: {error.kind.value}'
    if not error.ran:
        return not_run(Code.ATTEMPT_FAILED, message, 1.0)
    if request.idempotent:
        return unknown(Code.ATTEMPT_FAILED, message)
    return unknown(Code.OUTCOME_UNKNOWN, message)
