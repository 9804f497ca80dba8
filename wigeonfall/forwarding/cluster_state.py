"""Decodes the store's objects into the state that an instance acts on."""

from collections.abc import Callable
from collections.abc import Iterable
import time
from typing import Any, TypeVar

import attrs
from result import Err
from result import Ok
from result import Result

from .. import decoding
from ..events import Event
from ..model.routing import ColdService
from ..model.target import Target
from ..policy import routing
from ..policy.targets import cold_targets
from ..policy.targets.evacuations import Evacuations
from ..policy.targets.load_balancer import LoadBalancer
from ..policy.targets.target_view import TargetView
from ..policy.versions.restored_orders import RestoredOrders
from ..policy.versions.version_trial import Trials
from ..ports.platform import StoredObject
from ..recorder import Record
from .evacuation_log import EvacuationLog
from .platform_adapter import PlatformAdapter
from .settings import ColdSettings
from .store_view import StoreView

EVACUATIONS_WAIT_S = 2.0  # longer than for the other kinds

_Value = TypeVar('_Value')


@attrs.frozen
class _Decoded:
    """A stored object, and what it was decoded to or why it was not."""

    item: StoredObject
    result: Result[Any, str]


class ClusterState:
    """The routing table, targets and rollout orders that are in force.

    Args:
        adapter: kinds of objects and their decoders.
        balancer: load balancer, gets the usable targets.
        trials: trials of new versions, get the orders.
        record: records events.
        evacuates: whether operators evacuate data centres.
        cold_bound: returns the bound on requests to cold targets.
        others_reach_store: returns whether a peer reaches the store.

    Attributes:
        view: the encoded objects of the store.
        routing_index: the routing table in force, None before the first.
        target_names: names of the usable targets by service.
    """

    def __init__(
        self,
        adapter: PlatformAdapter,
        balancer: LoadBalancer,
        trials: Trials,
        record: Record,
        evacuates: bool = False,
        cold_bound: Callable[[], ColdSettings] = ColdSettings,
        others_reach_store: Callable[[], bool] = lambda: False,
    ) -> None:
        kinds: tuple[str, ...] = (
            adapter.table_kind,
            adapter.targets_kind,
            adapter.orders_kind,
        )
        if evacuates and adapter.evacuations_kind:
            kinds += (adapter.evacuations_kind,)
        self.view = StoreView(
            kinds, self._on_change, adapter.writer_version, record
        )
        self.routing_index: routing.RoutingIndex | None = None
        self.target_names: dict[str, tuple[str, ...]] = {}
        self._adapter = adapter
        self._cold_bound = cold_bound
        self._others_reach_store = others_reach_store
        self._balancer = balancer
        self._trials = trials
        self._record = record
        self._targets = TargetView()
        self._orders = RestoredOrders()
        self._evacuations = Evacuations()
        self._evacuation_log = EvacuationLog(record)
        self._ready_by_s: float | None = None
        self._listed_targets: frozenset[Target] = frozenset()
        self._decoded: dict[str, dict[str, _Decoded]] = {}
        self._decoded_table: _Decoded | None = None
        self._reachable = {kind: True for kind in kinds}

    @property
    def store_reachable(self) -> bool:
        """Whether the store answers the watches of all kinds."""
        return all(self._reachable.values())

    def memory_tokens(self, service: str) -> float | None:
        """Return how many tokens a target of a service holds, if known."""
        index = self.routing_index
        return index.table.memory_tokens.get(service) if index else None

    def ready(self) -> bool:
        """Whether the table, targets and evacuations are loaded.

        Peers of earlier releases have no evacuations to tell when the store
        is away, so these are waited for a while only.
        """
        if self.routing_index is None or not self.view.is_loaded(
            self._adapter.targets_kind
        ):
            return False
        now_s = time.monotonic()
        if self._ready_by_s is None:
            self._ready_by_s = now_s + EVACUATIONS_WAIT_S
        kind = self._adapter.evacuations_kind
        return (
            kind not in self.view.kinds()
            or self.view.is_loaded(kind)
            or now_s >= self._ready_by_s
        )

    def may_send_to(self, target: Target) -> bool:
        """Return whether new requests may be sent to a target's data centre.

        The decision on a place may be older than an evacuation.
        """
        return target.data_center not in self._evacuation_log.evacuated

    def set_store_reachable(self, kind: str, reachable: bool) -> None:
        """Set whether the store answers the watch of a kind.

        It may turn this instance away and serve targets and peers, whose
        lists then say truly which targets are gone.
        """
        self._reachable[kind] = reachable
        if kind == self._adapter.targets_kind:
            self.set_targets_reachable(reachable or self._others_reach_store())

    def set_targets_reachable(self, reachable: bool) -> None:
        """Set whether targets can renew their entries in the store."""
        self._targets.set_store_reachable(reachable, time.monotonic())

    def _refresh_targets(self, now_s: float) -> None:
        """Update the load balancer with the targets that are usable now."""
        known = self._targets.usable(now_s)
        usable = [target for target in known if self.may_send_to(target)]
        names: dict[str, list[str]] = {}
        for target in usable:
            names.setdefault(target.service, []).append(target.name)
        previous = {
            name for group in self.target_names.values() for name in group
        }
        current = {target.name for target in usable}
        if current != previous:
            self._record(
                Event.TARGETS_CHANGED,
                added=sorted(current - previous),
                removed=sorted(previous - current),
                targets=len(current),
                revision=self._targets_revision(),
            )
        self.target_names = {
            service: tuple(group) for service, group in names.items()
        }
        self._balancer.cold.update(known, now_s)
        # What was learned of the targets of an evacuated data centre is kept.
        self._balancer.set_targets(known)

    def refresh(self, now_s: float) -> None:
        """Apply what has changed by the passage of time.

        Args:
            now_s: present time on the monotonic clock.
        """
        self._refresh_evacuations(now_s)
        self._evacuation_log.record_drained(self._balancer.all_stats(), now_s)
        self._record_cold_changes()
        if self._orders.has_expired(now_s):
            self._trials.set_orders(self._orders.in_force(now_s), now_s)

    def _refresh_evacuations(self, now_s: float) -> None:
        """Apply the evacuations that are in force now."""
        lifted = self._evacuation_log.update(
            self._evacuations.in_force(now_s), now_s
        )
        self._refresh_targets(now_s)
        for target in self._targets.usable(now_s):
            if target.data_center in lifted:
                self._balancer.cold.suspect(target.name, 'evacuation', now_s)

    def _record_cold_changes(self) -> None:
        cold = self._balancer.cold
        for change in cold.take_changes():
            if change.reason:
                self._record(
                    Event.TARGET_COLD,
                    target=change.target,
                    reason=change.reason,
                    for_s=round(change.for_s, 1),
                    cold=cold.cold_count,
                )
            else:
                self._record(
                    Event.TARGET_WARM,
                    target=change.target,
                    cold=cold.cold_count,
                )

    def _set_cold_terms(self, services: Iterable[ColdService]) -> None:
        bound = self._cold_bound()
        self._balancer.cold.set_terms(
            {
                service.name: cold_targets.make_terms(
                    service.per_s,
                    bound.overage,
                    bound.slack_requests,
                    service.longest_s,
                )
                for service in services
                if bound.overage > 0
            }
        )
        self._refresh_targets(time.monotonic())

    def _targets_revision(self) -> int:
        return self.view.positions()[self._adapter.targets_kind].revision

    def decode_ahead(self, objects: Iterable[StoredObject]) -> None:
        """Decode a routing table before it is applied.

        May be called in any thread: decoding a table of thousands of routes
        in the event loop would hold up callers.

        Args:
            objects: objects of any kind that are applied next.
        """
        for item in objects:
            if self._is_table(item):
                self._decode_table(item)

    def _on_change(self, kind: str) -> bool:
        """Decode a changed kind; return whether peers need the change."""
        adapter = self._adapter
        now_s = time.monotonic()
        if kind == adapter.table_kind:
            self._update_table()
        elif kind == adapter.targets_kind:
            targets = tuple(self._decode_all(kind, adapter.decode_target))
            self._targets.update(targets, now_s, self.view.era(kind))
            self._refresh_targets(now_s)
            previous, self._listed_targets = (
                self._listed_targets,
                frozenset(targets),
            )
            return previous != self._listed_targets
        elif kind == adapter.evacuations_kind:
            names = self._decode_all(kind, adapter.decode_evacuation)
            self._evacuations.update(names, now_s, self.view.era(kind))
            self._refresh_evacuations(now_s)
        else:
            orders = self._decode_all(kind, adapter.decode_order)
            era = self.view.era(kind)
            self._trials.set_orders(
                self._orders.update(orders, now_s, era), now_s
            )
        return True

    def _is_table(self, item: StoredObject) -> bool:
        return (
            item.kind == self._adapter.table_kind
            and item.name == self._adapter.table_name
        )

    def _update_table(self) -> None:
        for item in filter(
            self._is_table, self.view.objects(self._adapter.table_kind)
        ):
            decoded = self._decode_table(item)
            if isinstance(decoded, Err):
                self._record_unreadable(item, decoded.err_value)
                continue
            index = decoded.ok_value
            table = index.table
            current = self.routing_index
            if current is None or table.version > current.table.version:
                self.routing_index = index
                self._set_cold_terms(table.cold_services)
                self._record(
                    Event.TABLE_IN_FORCE,
                    version=table.version,
                    routes=len(table.routes),
                    customers=len(table.customers),
                )

    def _decode_table(
        self, item: StoredObject
    ) -> Result[routing.RoutingIndex, str]:
        """Return the index of a stored table, decoded once."""
        known = self._decoded_table
        if known is not None and known.item is item:
            return known.result
        # The index is a part of reading it: keys may be of any type.
        result = decoding.decode(
            lambda stored: routing.make_index(
                self._adapter.decode_table(stored.value)
            ),
            item,
        )
        self._decoded_table = _Decoded(item, result)
        return result

    def _decode_all(
        self, kind: str, decode: Callable[[StoredObject], _Value]
    ) -> list[_Value]:
        """Return the decoded objects of a kind, without unreadable ones.

        Each is decoded once, as most of thousands stay as they are when one
        changes.
        """
        known = self._decoded.get(kind, {})
        decoded: dict[str, _Decoded] = {}
        for item in self.view.objects(kind):
            before = known.get(item.name)
            if before is not None and before.item is item:
                decoded[item.name] = before
                continue
            result = decoding.decode(decode, item)
            decoded[item.name] = _Decoded(item, result)
            if isinstance(result, Err):
                self._record_unreadable(item, result.err_value)
        self._decoded[kind] = decoded
        return [
            entry.result.ok_value
            for entry in decoded.values()
            if isinstance(entry.result, Ok)
        ]

    def _record_unreadable(self, item: StoredObject, detail: str) -> None:
        self._record(
            Event.OBJECT_UNREADABLE,
            kind=item.kind,
            object=item.name,
            version=item.version,
            detail=detail,
        )
