"""Budgets that keep retries from multiplying the load of failing targets.

Each customer and service has a budget. Successes pay a share of a retry into
it, and time pays in a small minimum, so that a service with few requests may
retry at all.
"""

import threading

import attrs

RETRIES_PER_SUCCESS = 0.1
MIN_RETRIES_PER_S = 0.1
MAX_RETRIES = 10.0
IDLE_S = 600.0


@attrs.frozen
class Budget:
    """Retries that may be made at present.

    Attributes:
        retries: whole and partial retries left.
        updated_s: time of the last change, on the monotonic clock.
    """

    retries: float
    updated_s: float


def refill(budget: Budget, now_s: float) -> Budget:
    """Return the budget with what time has paid in since its last change."""
    elapsed_s = max(0.0, now_s - budget.updated_s)
    return add(budget, elapsed_s * MIN_RETRIES_PER_S, now_s)


def add(budget: Budget, retries: float, now_s: float) -> Budget:
    """Return the budget with retries added, up to the most that it keeps."""
    left = min(MAX_RETRIES, budget.retries + retries)
    return Budget(left, max(now_s, budget.updated_s))


class RetryBudgets:
    """The budgets of one instance, by customer and service."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._budgets: dict[tuple[str, str], Budget] = {}
        self._swept_s = 0.0

    def record_success(
        self, customer: str, service: str, now_s: float
    ) -> None:
        """Pay in for a request that was answered.

        Args:
            customer: name of the customer.
            service: name of the service.
            now_s: present time on the monotonic clock.
        """
        with self._lock:
            budget = self._present(customer, service, now_s)
            self._budgets[customer, service] = add(
                budget, RETRIES_PER_SUCCESS, now_s
            )

    def may_retry(
        self, customer: str, service: str, now_s: float, deadline_s: float
    ) -> bool:
        """Take one retry out of a budget, if it holds one.

        Args:
            customer: name of the customer.
            service: name of the service.
            now_s: present time on the monotonic clock.
            deadline_s: deadline of the request, on the same clock.

        Returns:
            Whether the request may be tried again.
        """
        if now_s >= deadline_s:
            return False
        with self._lock:
            budget = self._present(customer, service, now_s)
            allowed = budget.retries >= 1.0
            taken = 1.0 if allowed else 0.0
            self._budgets[customer, service] = add(budget, -taken, now_s)
            return allowed

    def _present(self, customer: str, service: str, now_s: float) -> Budget:
        if now_s - self._swept_s > IDLE_S:
            self._drop_idle(now_s)
        first = Budget(1.0, now_s)
        budget = self._budgets.get((customer, service), first)
        return refill(budget, now_s)

    def _drop_idle(self, now_s: float) -> None:
        self._swept_s = now_s
        self._budgets = {
            name: budget
            for name, budget in self._budgets.items()
            if now_s - budget.updated_s <= IDLE_S
        }
