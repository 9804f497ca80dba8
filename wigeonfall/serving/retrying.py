"""Retries of failed attempts, and the refusal after the last one."""

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
    """Targets at which attempts of one request failed.

    Attributes:
        targets: names of the targets.
        versions: versions of the targets.
    """

    targets: frozenset[str] = frozenset()
    versions: frozenset[str] = frozenset()

    def including(self, target: Target) -> 'Failures':
        """Return the failures with one at a target added."""
        return Failures(
            self.targets | {target.name}, self.versions | {target.version}
        )


def acquire(
    context: AttemptContext, request: Request, failures: Failures
) -> Result[Grant, Refusal]:
    """Wait for a grant; a target that failed before is used as a last resort.

    Args:
        context: what attempts need.
        request: the request.
        failures: targets at which it failed before.

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


def with_run_state(refusal: Refusal, ran: bool) -> Refusal:
    """Return a refusal that says "not run" only if no attempt may have run.

    Args:
        refusal: the refusal after the last attempt.
        ran: whether any attempt of the request may have run.
    """
    if ran and refusal.run is Run.NOT_RUN:
        return attrs.evolve(refusal, run=Run.UNKNOWN)
    return refusal


def should_retry(
    context: AttemptContext,
    request: Request,
    error: AttemptError,
    now_s: float,
) -> bool:
    """Return whether to retry after a failed attempt; takes from the budget.

    Args:
        context: what attempts need.
        request: the request.
        error: how the attempt failed.
        now_s: present time on the monotonic clock.

    Returns:
        False when the deadline has passed, the retry budget is used up, or
        the request may have run and is not idempotent.
    """
    if now_s >= request.deadline_s:
        return False
    if error.may_have_run and not request.idempotent:
        return False
    return context.may_retry(request, now_s)


def failure_refusal(request: Request, error: AttemptError) -> Refusal:
    """Return the refusal for a request whose last attempt failed."""
    message = f'the last attempt failed: {error.kind.value}'
    if not error.may_have_run:
        return not_run(Code.ATTEMPT_FAILED, message, 1.0)
    if request.idempotent:
        return unknown(Code.ATTEMPT_FAILED, message)
    return unknown(Code.OUTCOME_UNKNOWN, message)
