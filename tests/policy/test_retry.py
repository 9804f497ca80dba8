"""Tests of retry budgets."""

import hypothesis
from hypothesis import strategies as st

from wigeonfall.policy.room import retry

LATE_DEADLINE_S = 1e9


@hypothesis.given(
    st.lists(st.tuples(st.booleans(), st.floats(0, 5)), max_size=200)
)
def test_retries_stay_within_the_budget(
    requests: list[tuple[bool, float]],
) -> None:
    budgets = retry.RetryBudgets()
    now_s = 0.0
    retries = 0
    successes = 0
    for succeeds, passed_s in requests:
        now_s += passed_s
        if succeeds:
            budgets.record_success('norte', 'app', now_s)
            successes += 1
        while budgets.may_retry('norte', 'app', now_s, LATE_DEADLINE_S):
            retries += 1
    minimum = 1 + now_s * retry.MIN_RETRIES_PER_S
    share = successes * retry.RETRIES_PER_SUCCESS
    assert retries <= minimum + share + 1e-6


def test_idle_time_fills_a_budget_only_to_its_maximum() -> None:
    budgets = retry.RetryBudgets()
    budgets.record_success('norte', 'app', 0.0)
    allowed = [
        budgets.may_retry('norte', 'app', 500.0, LATE_DEADLINE_S)
        for _ in range(50)
    ]
    assert sum(allowed) == retry.MAX_RETRIES


def test_nothing_is_retried_past_the_deadline() -> None:
    budgets = retry.RetryBudgets()
    assert not budgets.may_retry('norte', 'app', 5.0, 5.0)
    assert budgets.may_retry('norte', 'app', 4.9, 5.0)


def test_each_customer_and_service_has_its_own_budget() -> None:
    budgets = retry.RetryBudgets()
    assert budgets.may_retry('norte', 'app', 0.0, LATE_DEADLINE_S)
    assert not budgets.may_retry('norte', 'app', 0.0, LATE_DEADLINE_S)
    assert budgets.may_retry('recetas', 'app', 0.0, LATE_DEADLINE_S)
    assert budgets.may_retry('norte', 'pool', 0.0, LATE_DEADLINE_S)
