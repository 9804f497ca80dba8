"""Assembles what the handler of calls needs."""

import attrs
from result import Result

from ..adapters import targets as targets_adapter
from . import admission
from . import call_handler
from . import control as control_module
from . import ledger as ledger_module
from ..model.customer import Customer
from ..model.refusal import Refusal
from ..model.request import Request
from ..model import rollout
from . import orders
from ..policy.room import retry
from . import rate_limits
from . import rollouts
from .attempts import AttemptContext
from .attempts import AttemptOutcome
from .shared_parts import SharedParts

REQUEST_COST = 1.0


def _make_attempt_context(
    shared: SharedParts,
    control: control_module.Control,
    admission_control: admission.Admission,
    rollouts_state: rollouts.Rollouts,
) -> AttemptContext:
    budgets = retry.RetryBudgets()

    def may_retry(request: Request, now_s: float) -> bool:
        return budgets.may_retry(
            request.customer.name,
            request.service.name,
            now_s,
            request.deadline_s,
        )

    def on_success(request: Request, now_s: float) -> None:
        budgets.record_success(
            request.customer.name, request.service.name, now_s
        )

    def choose_version(
        request: Request, failed_versions: frozenset[str], now_s: float
    ) -> Request:
        if request.version:
            return request
        version = rollouts_state.choose_version(
            request.service.name,
            request.route,
            request.id,
            now_s,
            failed_versions,
        )
        return attrs.evolve(request, version=version or '')

    def on_outcome(outcome: AttemptOutcome, now_s: float) -> None:
        target = outcome.target
        result = rollout.Outcome(
            outcome.ok, outcome.first_byte_s, outcome.pace_s
        )
        rollouts_state.observe(
            target.service, outcome.version, outcome.route, result, now_s
        )

    available = control.membership.targets
    targets = targets_adapter.make_targets()
    return AttemptContext(
        targets=targets,
        acquire=admission_control.acquire,
        choose_version=choose_version,
        may_retry=may_retry,
        on_success=on_success,
        on_leaving=available.mark_leaving,
        on_connection_failure=available.back_off,
        on_new_incarnation=available.update_incarnation,
        on_outcome=on_outcome,
        record=shared.record,
    )


def make_handler_context(
    shared: SharedParts,
    control: control_module.Control,
    ledger: ledger_module.Ledger,
    admission_control: admission.Admission,
    rate_limiter: rate_limits.RateLimiter,
    rollouts_state: rollouts.Rollouts,
) -> call_handler.HandlerContext:
    """Return the context of the handler of calls.

    Args:
        shared: parts that the whole process uses.
        control: membership and configuration.
        ledger: ledger with the claims of orders.
        admission_control: queues requests until they are granted a target.
        rate_limiter: rate limits of customers.
        rollouts_state: rollouts of versions and the evidence on them.
    """

    def check_limits(
        customer: Customer, now_s: float
    ) -> Result[None, Refusal]:
        return rate_limiter.check(customer, REQUEST_COST, now_s)

    return call_handler.HandlerContext(
        configuration=lambda: control.configuration.current,
        attempts=_make_attempt_context(
            shared, control, admission_control, rollouts_state
        ),
        check_limits=check_limits,
        run_order=orders.make_orders(
            shared.own.name, ledger, shared.record
        ).run,
        record=shared.record,
        body_limit_bytes=shared.settings.limits.body_limit_bytes,
    )
