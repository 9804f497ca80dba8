"""Which rollout orders are in force after the store was restored.

A store that was restored from an older copy lacks the newest orders, or has
those before them. Orders carry no count of their own, so the known ones stay
in force until their operator has written again, or for a limited time.
"""

from collections.abc import Iterable

from .version_trial import Order

REWRITE_S = 10.0  # operators write again what they miss within this time


class RestoredOrders:
    """The orders in force of all services, over the eras of the store."""

    def __init__(self) -> None:
        self._era = 0
        self._stored: dict[str, Order] = {}
        self._in_force: dict[str, Order] = {}
        self._outdated: dict[str, Order | None] = {}
        self._outdated_until_s = float('-inf')

    def update(
        self, orders: Iterable[Order], now_s: float, era: int = 0
    ) -> tuple[Order, ...]:
        """Set the stored orders and return those in force.

        Args:
            orders: the orders in the store.
            now_s: present time on the monotonic clock.
            era: era of the store, 0 if unknown.
        """
        self._stored = {order.service: order for order in orders}
        if 0 < self._era < era:
            self._outdated = {
                service: self._stored.get(service)
                for service, known in self._in_force.items()
                if not _is_same(self._stored.get(service), known)
            }
            self._outdated_until_s = now_s + REWRITE_S
        self._era = max(self._era, era)
        return self.in_force(now_s)

    def has_expired(self, now_s: float) -> bool:
        """Return whether orders have just ceased to be kept."""
        return bool(self._outdated) and now_s >= self._outdated_until_s

    def in_force(self, now_s: float) -> tuple[Order, ...]:
        """Return the orders in force.

        Args:
            now_s: present time on the monotonic clock.
        """
        if self.has_expired(now_s):
            self._outdated.clear()
        in_force = dict(self._stored)
        for service, outdated in tuple(self._outdated.items()):
            stored = self._stored.get(service)
            if stored is not None and not _is_same(stored, outdated):
                del self._outdated[service]
            else:
                in_force[service] = self._in_force[service]
        self._in_force = in_force
        return tuple(in_force.values())


def _is_same(order: Order | None, other: Order | None) -> bool:
    """Return whether two orders are the same, whatever became of them."""
    if order is None or other is None:
        return order is other
    return (order.name, order.version, order.duration_s) == (
        other.name,
        other.version,
        other.duration_s,
    )
