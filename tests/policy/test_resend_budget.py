"""Tests of the budget for resends."""

from wigeonfall.policy.room.resend_budget import ResendBudget
from wigeonfall.policy.room.resend_budget import ResendLimits
from wigeonfall.policy.room.resend_budget import WINDOW_S

LIMITS = ResendLimits(ratio=0.2, slack=58.0)


def test_all_instances_together_stay_within_the_limits():
    budgets = [ResendBudget() for _ in range(9)]
    resends = 0
    for budget in budgets:
        for _ in range(50):
            budget.requested(0.0)
        while budget.take(LIMITS, 9, 0.0):
            resends += 1
    assert 0 < resends <= LIMITS.ratio * 450 + LIMITS.slack


def test_budget_is_full_again_after_a_window():
    budget = ResendBudget()
    while budget.take(LIMITS, 1, 0.0):
        pass
    assert budget.take(LIMITS, 1, WINDOW_S + 0.1)
