"""The parts of an instance, and how they are put together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import json
import random
import threading
import time
from typing import Any, TYPE_CHECKING

import attrs
from result import Err

from ..events import Event
from . import internal
from ..model.routing import CallerLimits
from ..model.target import Target
from . import path as path_module
from . import peers as peers_module
from ..policy import resend_budget
from ..policy.room import Rooms
from ..policy.room import Size
from ..policy import routing
from ..policy.target_view import TargetView
from ..policy import token_quota
from ..policy.version_trial import Order
from ..policy.version_trial import Trials
from ..ports.platform import PlatformErrorKind
from ..ports.platform import StoredObject
from ..recorder import Record
from . import watching
from .attempt import Attempts
from .callers import Call
from .callers import Reply
from .exchange import ExchangeError
from .exchange import TargetConnections
from .placing import Placing
from .settings import ForwardingSettings
from .store_view import StoreView
from .work import Work

if TYPE_CHECKING:
    from .process import Outside

FETCH_AFTER_S = 0.4  # a watch brings a change before this time
START_FETCH_S = 0.3  # before peers are asked for what the store should tell
PEERS_PERIOD_S = 15.0
REGISTER_RETRY_S = 1.0
TRIALS_PERIOD_S = 0.5  # a verdict is written soon after the evidence


class Instance:
    """One instance and what it knows.

    Args:
        settings: settings of the process.
        outside: what it needs to know of its platform.
        record: records events.
    """

    def __init__(
        self, settings: ForwardingSettings, outside: Outside, record: Record
    ) -> None:
        self.outside = outside
        self.record = record
        self._settings = settings
        self._store = outside.make_store(settings.platform.address)
        self._index: routing.RoutingIndex | None = None
        self._targets = TargetView()
        self._names: dict[str, tuple[str, ...]] = {}
        self._rooms = Rooms(settings.instance.data_center)
        self._started_s = time.monotonic()
        self._quotas = token_quota.TokenQuotas(self._started_s)
        self._peers = peers_module.Peers(settings.listen.peers_address)
        self._peers.learn(_seed_addresses(settings))
        self._connections = TargetConnections(outside.names.request_id.lower())
        self._placing = Placing(
            self._rooms,
            lambda service: self._names.get(service, ()),
            lambda: self._peers.loads(time.monotonic()),
            self._load_changed,
        )
        self._trials = Trials()
        kinds = (
            outside.table_kind,
            outside.targets_kind,
            outside.orders_kind,
        )
        self._view = StoreView(kinds, self._view_changed)
        self._link = peers_module.PeerLink(
            self._message, self._peers.addresses, self._hear, record
        )
        self._incarnation = random.getrandbits(53)
        self._sequence = 0
        self._leaving = False
        self._behind_since: dict[str, float] = {}
        self._store_reachable = {kind: True for kind in kinds}
        self._path = path_module.Path(self._path_parts())

    def loops(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return what runs until the process stops."""
        return (
            self._placing.tick(),
            self._serve_peers(),
            self._catch_up(),
            self._decide_trials(),
        )

    def start(
        self, loop: asyncio.AbstractEventLoop, stopping: threading.Event
    ) -> None:
        """Start the threads that speak to the store."""

        def later(function: Callable[..., None]) -> Callable[..., None]:
            def call(*values: Any) -> None:
                if not stopping.is_set():
                    loop.call_soon_threadsafe(function, *values)

            return call

        for kind in self._view.revisions():
            watching.start(
                watching.Watcher(
                    kind=kind,
                    store=lambda: self._store,
                    listed=later(self._view.take_listing),
                    changed=later(self._view.take_changes),
                    reachable=self._reachable_of(kind, later),
                    record=self.record,
                    stopping=stopping,
                )
            )
        threading.Thread(
            target=self._register,
            args=(later(self._peers.learn), stopping),
            daemon=True,
        ).start()

    async def handle(self, call: Call, reply: Reply) -> None:
        """Answer a call."""
        await self._path.handle(call, reply)

    def limits(self) -> CallerLimits:
        """Return what callers may send at present."""
        return self._index.table.limits if self._index else CallerLimits()

    def ready(self) -> bool:
        """Whether the instance can serve callers."""
        return self._index is not None and self._view.known(
            self.outside.targets_kind
        )

    def snapshot(self) -> tuple[int, bytes]:
        """Return what is known of the store, for peers."""
        return 200, json.dumps(self._view.snapshot()).encode()

    def set_settings(self, settings: ForwardingSettings) -> None:
        """Take changed settings."""
        if settings.platform != self._settings.platform:
            self._store = self.outside.make_store(settings.platform.address)
        self._settings = settings
        self._peers.learn(_seed_addresses(settings))

    def turn_away(self) -> None:
        """Send callers to other instances from now on."""
        self._leaving = True

    def stood_still(self) -> None:
        """Take all that was heard as old."""
        self._peers.forget_all()

    def sweep(self, now_s: float) -> None:
        """Drop what is old."""
        self._connections.close_idle(now_s)
        self._peers.drop_old(now_s)
        self._quotas.forget(self._peers.known_names(now_s))
        self._refresh_targets()

    def _path_parts(self) -> path_module.PathParts:
        requested, resend = path_module.make_resends(
            lambda: resend_budget.ResendLimits(
                self._settings.retry.ratio,
                self._settings.retry.slack_requests,
            ),
            lambda: self._peers.instances(time.monotonic()),
        )
        return path_module.PathParts(
            index=lambda: self._index,
            leaving=lambda: self._leaving,
            names=self.outside.names,
            placing=self._placing,
            attempts=Attempts(
                connections=self._connections,
                rooms=self._rooms,
                names=self.outside.names,
                began=self._placing.began,
                left=self._target_left,
                judged=self._judged,
            ),
            take_tokens=self._take_tokens,
            give_tokens_back=self._give_tokens_back,
            suits=self._suits,
            resend=resend,
            requested=requested,
            record=self.record,
        )

    def _suits(self, work: Work, name: str) -> bool:
        rooms = self._rooms.of((name,))
        version = rooms[0].target.version if rooms else ''
        return self._trials.suits(work.service, version, work.id)

    def _judged(
        self, work: Work, target: Target, ok: bool, first_s: float
    ) -> None:
        now_s = time.monotonic()
        slowest_old = max(
            (
                room.first_s(Size(), now_s)
                for room in self._rooms.all()
                if room.target.service == work.service
                and room.target.version != target.version
            ),
            default=0.0,
        )
        self._trials.judged(
            work.service, target.version, ok, first_s, slowest_old
        )

    async def _decide_trials(self) -> None:
        """Judge the moves to new versions, and write how they end."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TRIALS_PERIOD_S)
            now_s = time.monotonic()
            for order in self._trials.running():
                verdict = self._trials.decide(
                    order.service, self._old_busy(order), now_s
                )
                if verdict is None:
                    continue
                entry = self._order_entry(order)
                if entry is None:
                    continue
                status = self.outside.encode_order(order, verdict)
                entry = attrs.evolve(entry, status=status)
                written = await loop.run_in_executor(
                    None, self._store.report, entry
                )
                self.record(
                    Event.VERSION_JUDGED,
                    service=order.service,
                    version=order.version,
                    verdict=verdict.value,
                    written=written.is_ok(),
                    at_version=entry.version,
                )

    def _old_busy(self, order: Order) -> bool:
        return any(
            room.outstanding
            for room in self._rooms.all()
            if room.target.service == order.service
            and room.target.version != order.version
        )

    def _order_entry(self, order: Order) -> StoredObject | None:
        for item in self._view.objects(self.outside.orders_kind):
            if item.name == order.name:
                return item
        return None

    def _take_tokens(
        self, work: Work, returned: bool, now_s: float
    ) -> token_quota.OverLimit | None:
        if work.customer is None:
            return None
        return self._quotas.take(
            work.customer,
            work.tokens,
            returned,
            self._hearing(now_s),
            now_s,
        )

    def _hearing(self, now_s: float) -> token_quota.Hearing:
        own_age_s = now_s - self._started_s
        return token_quota.Hearing(
            self._peers.heard_names(now_s),
            self._peers.young_share(token_quota.WINDOW_S, own_age_s, now_s),
        )

    def _give_tokens_back(self, work: Work) -> None:
        if work.customer is not None:
            self._quotas.give_back(
                work.customer.name, work.tokens, time.monotonic()
            )

    def _target_left(self, target: Target) -> None:
        """Take note that another target has the address of one."""
        self._rooms.broken(target.name, time.monotonic())

    def _view_changed(self, kind: str) -> None:
        if kind == self.outside.table_kind:
            self._take_table()
        elif kind == self.outside.targets_kind:
            self._take_targets()
        else:
            self._take_orders()

    def _take_table(self) -> None:
        for item in self._view.objects(self.outside.table_kind):
            if item.name != self.outside.table_name:
                continue
            try:
                table = self.outside.decode_table(item.value)
            except ValueError as error:
                self._unreadable(item, error)
                continue
            present = self._index.table.version if self._index else -1
            if table.version > present:
                self._index = routing.make_index(table)
                self.record(
                    Event.TABLE_IN_FORCE,
                    version=table.version,
                    routes=len(table.routes),
                    customers=len(table.customers),
                )

    def _take_targets(self) -> None:
        targets = []
        for item in self._view.objects(self.outside.targets_kind):
            try:
                targets.append(self.outside.decode_target(item))
            except ValueError as error:
                self._unreadable(item, error)
        self._targets.take(tuple(targets), time.monotonic())
        self._refresh_targets()

    def _take_orders(self) -> None:
        orders = []
        for item in self._view.objects(self.outside.orders_kind):
            try:
                orders.append(self.outside.decode_order(item))
            except ValueError as error:
                self._unreadable(item, error)
        self._trials.set_orders(orders, time.monotonic())

    def _unreadable(self, item: StoredObject, error: ValueError) -> None:
        self.record(
            Event.OBJECT_UNREADABLE,
            kind=item.kind,
            object=item.name,
            version=item.version,
            detail=str(error),
        )

    def _refresh_targets(self) -> None:
        usable = self._targets.usable(time.monotonic())
        names: dict[str, tuple[str, ...]] = {}
        for target in usable:
            names[target.service] = (
                *names.get(target.service, ()),
                target.name,
            )
        if names != self._names:
            self.record(
                Event.TARGETS_CHANGED,
                targets={name: len(items) for name, items in names.items()},
                revision=self._view.revisions()[self.outside.targets_kind],
            )
        self._names = names
        self._rooms.set_targets(usable)
        self._rooms.set_peers(self._peers.loads(time.monotonic()))

    def _reachable_of(
        self, kind: str, later: Callable[..., Callable[..., None]]
    ) -> Callable[[bool], None]:
        def note(reachable: bool) -> None:
            self._store_reachable[kind] = reachable
            self._targets.set_reachable(
                self._store_reachable[self.outside.targets_kind],
                time.monotonic(),
            )

        result: Callable[[bool], None] = later(note)
        return result

    def _load_changed(self) -> None:
        self._link.changed()

    def _message(self) -> peers_module.Message:
        self._sequence += 1
        now_s = time.monotonic()
        heard = self._peers.heard(now_s)
        return peers_module.Message(
            name=self._settings.instance.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            address=self._settings.listen.peers_address,
            age_s=round(now_s - self._started_s, 1),
            targets=self._rooms.load(now_s),
            waiting=self._placing.waiting(),
            taken=self._quotas.taken(),
            used=self._quotas.used(now_s),
            revisions=self._view.revisions(),
            peers=tuple(peer.message.address for peer in heard),
            evidence=self._trials.evidence.own(),
        )

    def _hear(self, message: peers_module.Message) -> None:
        if message.name == self._settings.instance.name:
            return
        now_s = time.monotonic()
        if not self._peers.hear(message, now_s):
            return
        said = token_quota.Said(
            message.incarnation, message.taken, message.used
        )
        self._quotas.hear(message.name, said, now_s)
        self._trials.evidence.hear(
            message.name, message.incarnation, message.evidence
        )
        self._rooms.set_peers(self._peers.loads(now_s))
        self._placing.pump_all()
        for kind, revision in self._view.revisions().items():
            if message.revisions.get(kind, 0) > revision:
                self._behind_since.setdefault(kind, now_s)

    async def _serve_peers(self) -> None:
        host, _, port = self._settings.listen.peers_address.rpartition(':')
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self._link, local_addr=(host, int(port))
        )
        await self._link.run()

    async def _catch_up(self) -> None:
        """Ask peers for changes that the store's watch does not bring."""
        while True:
            await asyncio.sleep(FETCH_AFTER_S / 4)
            now_s = time.monotonic()
            revisions = self._view.revisions()
            ahead = [
                peer.message
                for peer in self._peers.heard(now_s)
                if any(
                    peer.message.revisions.get(kind, 0) > revision
                    for kind, revision in revisions.items()
                )
            ]
            if not ahead:
                self._behind_since.clear()
                continue
            since_s = min(self._behind_since.values(), default=now_s)
            if now_s - since_s < FETCH_AFTER_S:
                continue
            await self._fetch_from(random.choice(ahead))
            self._behind_since.clear()

    async def _fetch_from(self, message: peers_module.Message) -> None:
        try:
            value = await internal.fetch_snapshot(
                self._connections, message.address
            )
            kinds = self._view.take_snapshot(value)
        except (ExchangeError, KeyError, TypeError) as error:
            self.record(
                Event.MESSAGE_UNREADABLE,
                peer=message.name,
                detail=repr(error),
            )
            return
        if kinds:
            self.record(
                Event.SNAPSHOT_TAKEN,
                peer=message.name,
                kinds=kinds,
                revisions=self._view.revisions(),
            )

    def _register(
        self,
        learn: Callable[[tuple[str, ...]], None],
        stopping: threading.Event,
    ) -> None:
        """Write this instance's entry, and read those of others."""
        name = self._settings.instance.name
        kind = self.outside.instances_kind
        value = {
            'address': self._settings.listen.peers_address,
            'data_center': self._settings.instance.data_center,
        }
        registered = False
        while not stopping.is_set():
            listed = self._store.list(kind, registered)
            if isinstance(listed, Err):
                self.record(
                    Event.REGISTRATION_FAILED,
                    detail=listed.err_value.message,
                )
                stopping.wait(REGISTER_RETRY_S)
                continue
            entries = {item.name: item for item in listed.ok_value.objects}
            learn(
                tuple(
                    item.value['address']
                    for item in entries.values()
                    if isinstance(item.value.get('address'), str)
                )
            )
            own = entries.get(name)
            if own is None or own.value != value:
                version = own.version if own else 0
                registered = self._write_entry(name, value, version)
                if not registered:
                    stopping.wait(REGISTER_RETRY_S)
                    continue
            registered = True
            stopping.wait(PEERS_PERIOD_S)

    def _write_entry(
        self, name: str, value: dict[str, Any], version: int
    ) -> bool:
        kind = self.outside.instances_kind
        if version:
            entry = StoredObject(kind, name, version, value)
            written = self._store.replace(entry)
        else:
            written = self._store.create(kind, name, value)
        if isinstance(written, Err):
            error = written.err_value
            if error.kind is not PlatformErrorKind.CONFLICT:
                self.record(Event.REGISTRATION_FAILED, detail=error.message)
            return False
        return True


def _seed_addresses(settings: ForwardingSettings) -> tuple[str, ...]:
    """Return where seeds take datagrams: ports are the same everywhere."""
    port = settings.listen.peers_address.rpartition(':')[2]
    hosts = (seed.rpartition(':')[0] for seed in settings.peers.seeds)
    return tuple(f'{host}:{port}' for host in hosts)
