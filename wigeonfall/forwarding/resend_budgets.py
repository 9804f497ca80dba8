"""Resend budgets of the services that an instance sends requests to."""

from collections.abc import Callable

from ..policy.room import resend_budget
from .settings import RetrySettings


def make_resend_budgets(
    settings: Callable[[], RetrySettings],
    fleet_size: Callable[[], int],
) -> tuple[Callable[[str, float], None], Callable[[str, float], bool]]:
    """Make a resend budget for each service.

    Args:
        settings: returns the settings in force.
        fleet_size: returns the number of instances, which share the budget.

    Returns:
        A function that counts a request of a service, and one that returns
        whether the budget of a service allows a resend, and spends it.
    """
    budgets: dict[str, resend_budget.ResendBudget] = {}

    def count_request(service: str, now_s: float) -> None:
        budget = budgets.setdefault(service, resend_budget.ResendBudget())
        budget.requested(now_s)

    def allow_resend(service: str, now_s: float) -> bool:
        budget = budgets.setdefault(service, resend_budget.ResendBudget())
        retry = settings()
        limits = resend_budget.ResendLimits(
            retry.ratio, retry.slack_requests, retry.window_s
        )
        return budget.take(limits, fleet_size(), now_s)

    return count_request, allow_resend
