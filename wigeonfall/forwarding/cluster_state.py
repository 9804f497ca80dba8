"""What of the store's objects is in force at one instance."""

from collections.abc import Callable
import time
from typing import TypeVar

from ..events import Event
from ..model.target import Target
from ..policy.load_balancer import LoadBalancer
from ..policy import routing
from ..policy.target_view import TargetView
from ..policy.version_trial import Trials
from ..ports.platform import StoredObject
from ..recorder import Record
from .platform_adapter import PlatformAdapter
from .store_view import StoreView

_Value = TypeVar('_Value')


class ClusterState:
    """The table, the targets and the orders that this instance goes by.

    Args:
        adapter: kinds of objects and how they are read.
        balancer: load balancer, which is told of changes.
        trials: moves to new versions, which are told of orders.
        record: records events.

    Attributes:
        view: the objects as last heard.
        routing_index: the routing table in force, None before the first.
        target_names: names of the usable targets by service.
    """

    def __init__(
        self,
        adapter: PlatformAdapter,
        balancer: LoadBalancer,
        trials: Trials,
        record: Record,
    ) -> None:
        kinds = (
            adapter.table_kind,
            adapter.targets_kind,
            adapter.orders_kind,
        )
        self.view = StoreView(kinds, self._on_change)
        self.routing_index: routing.RoutingIndex | None = None
        self.target_names: dict[str, tuple[str, ...]] = {}
        self._adapter = adapter
        self._balancer = balancer
        self._trials = trials
        self._record = record
        self._targets = TargetView()
        self._listed_targets: frozenset[Target] = frozenset()
        self._reachable = {kind: True for kind in kinds}

    @property
    def store_reachable(self) -> bool:
        """Whether the store answers for all kinds."""
        return all(self._reachable.values())

    def ready(self) -> bool:
        """Whether enough is known to serve callers."""
        return self.routing_index is not None and self.view.is_loaded(
            self._adapter.targets_kind
        )

    def set_store_reachable(self, kind: str, reachable: bool) -> None:
        """Note whether the store answers for a kind."""
        self._reachable[kind] = reachable
        if kind == self._adapter.targets_kind:
            self.set_targets_reachable(reachable)

    def set_targets_reachable(self, reachable: bool) -> None:
        """Note whether targets can renew their entries in the store."""
        self._targets.set_store_reachable(reachable, time.monotonic())

    def refresh_targets(self) -> None:
        """Take the targets that are usable as of now."""
        usable = self._targets.usable(time.monotonic())
        names: dict[str, tuple[str, ...]] = {}
        for target in usable:
            names[target.service] = (
                *names.get(target.service, ()),
                target.name,
            )
        before = {
            name for group in self.target_names.values() for name in group
        }
        present = {target.name for target in usable}
        if present != before:
            self._record(
                Event.TARGETS_CHANGED,
                added=sorted(present - before),
                removed=sorted(before - present),
                targets=len(present),
                revision=self.view.revisions()[self._adapter.targets_kind],
            )
        self.target_names = names
        self._balancer.set_targets(usable)

    def _on_change(self, kind: str) -> bool:
        """Take what changed; return whether it changes anything here."""
        adapter = self._adapter
        now_s = time.monotonic()
        if kind == adapter.table_kind:
            self._update_table()
        elif kind == adapter.targets_kind:
            targets = tuple(self._decode_all(kind, adapter.decode_target))
            self._targets.update(targets, now_s)
            self.refresh_targets()
            before, self._listed_targets = (
                self._listed_targets,
                frozenset(targets),
            )
            return before != self._listed_targets
        else:
            orders = self._decode_all(kind, adapter.decode_order)
            self._trials.set_orders(orders, now_s)
        return True

    def _update_table(self) -> None:
        for item in self.view.objects(self._adapter.table_kind):
            if item.name != self._adapter.table_name:
                continue
            try:
                table = self._adapter.decode_table(item.value)
            except ValueError as error:
                self._record_unreadable(item, error)
                continue
            present = (
                self.routing_index.table.version if self.routing_index else -1
            )
            if table.version > present:
                self.routing_index = routing.make_index(table)
                self._record(
                    Event.TABLE_IN_FORCE,
                    version=table.version,
                    routes=len(table.routes),
                    customers=len(table.customers),
                )

    def _decode_all(
        self, kind: str, decode: Callable[[StoredObject], _Value]
    ) -> list[_Value]:
        """Return the readable objects of a kind; others break no reader."""
        values = []
        for item in self.view.objects(kind):
            try:
                values.append(decode(item))
            except ValueError as error:
                self._record_unreadable(item, error)
        return values

    def _record_unreadable(
        self, item: StoredObject, error: ValueError
    ) -> None:
        self._record(
            Event.OBJECT_UNREADABLE,
            kind=item.kind,
            object=item.name,
            version=item.version,
            detail=str(error),
        )
