"""Retry budgets, which keep retries from overloading failing targets.

Each customer and service has a budget. Each success adds a fraction of a
retry, and elapsed time adds a small minimum, so that a service with few
requests can retry at all.
"""

import threading

import attrs

RETRIES_PER_SUCCESS = 0.1
MIN_RETRIES_PER_S = 0.1
MAX_RETRIES = 10.0
IDLE_S = 600.0


@attrs.frozen
class Budget:
    """The retries that are left.

    Attributes:
        retries: whole and partial retries left.
        updated_s: time of the last change, on the monotonic clock.
    """

    retries: float
    updated_s: float


def refill(budget: Budget, now_s: float) -> Budget:
    """Return the budget with the retries added by elapsed time."""
    elapsed_s = max(0.0, now_s - budget.updated_s)
    return add(budget, elapsed_s * MIN_RETRIES_PER_S, now_s)


def add(budget: Budget, retries: float, now_s: float) -> Budget:
    """Return the budget with retries added, up to MAX_RETRIES."""
    left = min(MAX_RETRIES, budget.retries + retries)
    return Budget(left, max(now_s, budget.updated_s))


class RetryBudgets:
    """The retry budgets of one instance, by customer and service."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._budgets: dict[tuple[str, str], Budget] = {}
        self._swept_s = 0.0

    def record_success(
        self, customer: str, service: str, now_s: float
    ) -> None:
        """Add to the budget for a request that succeeded.

        Args:
            customer: name of the customer.
            service: name of the service.
            now_s: present time on the monotonic clock.
        """
        with self._lock:
            budget = self._refilled(customer, service, now_s)
            self._budgets[customer, service] = add(
                budget, RETRIES_PER_SUCCESS, now_s
            )

    def may_retry(
        self, customer: str, service: str, now_s: float, deadline_s: float
    ) -> bool:
        """Take one retry from the budget, if it has one.

        Args:
            customer: name of the customer.
            service: name of the service.
            now_s: present time on the monotonic clock.
            deadline_s: deadline of the request, on the same clock.

        Returns:
            Whether the request may be retried; never after its deadline.
        """
        if now_s >= deadline_s:
            return False
        with self._lock:
            budget = self._refilled(customer, service, now_s)
            allowed = budget.retries >= 1.0
            taken = 1.0 if allowed else 0.0
            self._budgets[customer, service] = add(budget, -taken, now_s)
            return allowed

    def _refilled(self, customer: str, service: str, now_s: float) -> Budget:
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
