"""Assembles the components of an instance and connects them."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import threading
import time
from typing import Any

from . import background_tasks
from . import call_handler
from . import customer_quotas
from ..events import Event
from . import internal_pages
from ..model.routing import CallerLimits
from . import peers
from . import place_page
from ..policy import memory
from ..policy.room import token_quota
from ..policy.targets.kept_parts import KeptParts
from ..policy.targets.load_balancer import LoadBalancer
from ..policy.targets.quarantine import Quarantines
from ..policy.versions.version_trial import Trials
from ..recorder import Record
from . import resend_budgets
from . import slot_client
from . import snapshot_sync
from . import store_threads
from .arbiter import Arbiter
from .arbiter_messages import ArbiterDecisions
from .arbiter_messages import ClientState
from .attempt import AttemptContext
from .calls import Call
from .calls import Reply
from .cluster_state import ClusterState
from .exchange import ConnectionPool
from .internal_pages import Page
from .internal_pages import QuestionPage
from .maintenance import Maintenance
from .observations import Observations
from .part_watch import PartWatch
from .peer_news import NewsExchange
from .peer_state import PeerState
from .peers import PeerLink
from .peers import Peers
from .platform_adapter import PlatformAdapter
from .rollouts import Rollouts
from .scheduler import Scheduler
from .settings import ForwardingSettings
from .state_exchange import StateExchange
from .stop_deadline import StopDeadline
from .topology import Topology


class Instance:
    """An instance that forwards requests.

    Args:
        settings: settings of the process.
        adapter: names and formats of the platform that it runs on.
        record: records events.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        adapter: PlatformAdapter,
        record: Record,
    ) -> None:
        self.adapter = adapter
        self.record = record
        self._settings = settings
        self._store = adapter.make_store(settings.platform.address)
        own = settings.instance
        self._balancer = LoadBalancer(own.data_center, own.name)
        trials = Trials(lambda: self._settings.rollout.bound)
        self._cluster_state = ClusterState(
            adapter,
            self._balancer,
            trials,
            record,
            evacuates=settings.evacuation.stop_ms > 0,
            cold_bound=lambda: self._settings.cold,
            others_reach_store=lambda: self._topology.peer_reaches_store(
                time.monotonic()
            ),
        )
        self._started_s = time.monotonic()
        self._quotas = token_quota.TokenQuotas(
            self._started_s,
            customer_quotas.make_terms(lambda: self._settings.quota),
        )
        self._peers = Peers(settings.listen.peers_address)
        self._peers.add_addresses(settings.seed_addresses)
        self._topology = Topology(
            lambda: self._settings, self._peers, self._started_s
        )
        self._customer_quotas = customer_quotas.CustomerQuotas(
            self._quotas, self._cluster_state, self._topology
        )
        self.account = memory.make_account(
            settings.machine.memory_mb, settings.machine.descriptors
        )
        self._connections = ConnectionPool(
            adapter.header_names.request_id.lower(), self.account
        )
        self._scheduler = Scheduler(
            self._balancer,
            lambda service: self._cluster_state.target_names.get(service, ()),
            lambda: self._peers.loads(time.monotonic()),
            lambda: self._link.send_soon(),
            KeptParts(self._cluster_state.memory_tokens),
            lambda: self._settings.shares.terms(self._customer_quotas.rate_of),
            record,
        )
        self._rollouts = Rollouts(
            trials=trials,
            balancer=self._balancer,
            store=lambda: self._store,
            entries=lambda: self._cluster_state.view.objects(
                adapter.orders_kind
            ),
            decode=adapter.decode_order,
            encode=adapter.encode_order,
            may_report=lambda: self._topology.decides(time.monotonic()),
            knows_load=lambda: self._topology.knows_load(time.monotonic()),
            record=record,
        )
        self._snapshot_sync = snapshot_sync.SnapshotSyncContext(
            peers=self._peers,
            view=self._cluster_state.view,
            connections=self._connections,
            data_center=settings.instance.data_center,
            watches_store=lambda: self._watches,
            store_reachable=lambda: self._cluster_state.store_reachable,
            fleet_size=self._peers.fleet_size,
            record=record,
            terms=lambda: self._settings.changes.terms,
            decode_ahead=self._cluster_state.decode_ahead,
        )
        self._states = StateExchange(
            peers=self._peers,
            topology=self._topology,
            balancer=self._balancer,
            scheduler=self._scheduler,
            quotas=self._quotas,
            cluster_state=self._cluster_state,
            evidence=trials.evidence,
            arbiter=lambda: self._slot_client.arbiter,
            watches_store=lambda: self._watches,
        )
        self._part_watch = PartWatch(
            Quarantines(own.name), self._peers.fleet_size, record
        )
        self._link = PeerLink(
            make_state=lambda: self._states.make_state(time.monotonic()),
            addresses=lambda: self._topology.state_recipients(
                time.monotonic()
            ),
            on_state=self._on_peer_state,
            on_arbiter_message=self._on_arbiter_message,
            message_format=self._peers.message_format,
            send_on_change=lambda: (
                not self._topology.uses_hubs(time.monotonic())
            ),
            news=NewsExchange(
                name=self._settings.instance.name,
                incarnation=self._states.incarnation,
                part_watch=self._part_watch,
                rates=self._balancer.rates,
                signals=self._balancer.signals,
                peers_count=lambda now_s: not self._topology.uses_hubs(now_s),
                is_hub=self._topology.passes_counts_on,
                record=self.record,
            ),
            record=record,
        )
        self._observations = Observations(self._balancer, record)
        self._slot_client = slot_client.SlotClient(self._slot_client_context())
        self._arbiter = Arbiter(
            name=settings.instance.name,
            balancer=self._balancer,
            scheduler=self._scheduler,
            take_tokens=self._customer_quotas.take,
            refund_tokens=self._customer_quotas.refund,
            send=self._link.send_message,
            record=record,
        )
        self._balancer.cold.share_of = lambda now_s: (
            self._topology.paced_share(
                self._arbiter.client_count(now_s), now_s
            )
        )
        self._maintenance = Maintenance(
            account=self.account,
            arbiter=self._arbiter,
            balancer=self._balancer,
            cluster_state=self._cluster_state,
            connections=self._connections,
            limits=self.limits,
            peers=self._peers,
            quotas=self._quotas,
            scheduler=self._scheduler,
            topology=self._topology,
            record=record,
        )
        self._leaving = False
        self._stop_deadline = StopDeadline()
        self._watches = True
        self._call_handler = call_handler.CallHandler(self._handler_context())

    def loops(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return the coroutines that run until the process stops."""
        tasks: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
            'scheduler': self._scheduler.run,
            'slot client': self._slot_client.run,
            'snapshot sync': lambda: snapshot_sync.run(self._snapshot_sync),
            'rollouts': self._rollouts.run,
        }
        return (
            peers.run_link(
                self._link, self._settings.listen.peers_address, self.record
            ),
            *(
                background_tasks.keep_running(name, run, self.record)
                for name, run in tasks.items()
            ),
        )

    def start(
        self, loop: asyncio.AbstractEventLoop, stopping: threading.Event
    ) -> None:
        """Start the threads that watch the store and register in it."""
        threads = store_threads.StoreThreads(
            adapter=self.adapter,
            settings=self._settings,
            get_store=lambda: self._store,
            cluster_state=self._cluster_state,
            topology=self._topology,
            peers=self._peers,
            watches_store=lambda: self._watches,
            snapshot_sync=self._snapshot_sync,
            record=self.record,
        )
        store_threads.start(threads, loop, stopping)

    async def handle(self, call: Call, reply: Reply) -> None:
        """Handle a request; an internal error aborts its answer."""
        try:
            await self._call_handler.handle(call, reply)
        except Exception as error:
            name = self.adapter.header_names.request_id.lower()
            self.record(
                Event.HANDLING_FAILED,
                request_id=call.header(name).decode('latin-1'),
                detail=repr(error),
            )

    def limits(self) -> CallerLimits:
        """Return the current limits on requests of callers."""
        index = self._cluster_state.routing_index
        return index.table.limits if index else CallerLimits()

    def ready(self) -> bool:
        """Whether the instance can serve callers."""
        return self._cluster_state.ready()

    def snapshot_pages(self) -> dict[bytes, Page]:
        """Return pages with snapshots of the store, for peers."""
        return internal_pages.snapshot_pages(
            self._cluster_state.view, self.record
        )

    def question_pages(self) -> dict[bytes, QuestionPage]:
        """Return pages that answer questions of operators."""
        context = place_page.PlaceContext(
            names=self.adapter.header_names,
            instance=self._settings.instance,
            cluster_state=self._cluster_state,
            part_watch=self._part_watch,
            quotas=self._customer_quotas,
            rollouts=self._rollouts,
            scheduler=self._scheduler,
            slot_client=self._slot_client,
            peers=self._peers,
            leaving=lambda: self._leaving,
        )
        return {place_page.PATH: lambda call: place_page.answer(context, call)}

    def set_settings(self, settings: ForwardingSettings) -> None:
        """Apply changed settings."""
        if settings.platform != self._settings.platform:
            self._store = self.adapter.make_store(settings.platform.address)
        self._settings = settings
        self._peers.add_addresses(settings.seed_addresses)

    def stop_by(self, stop_s: float) -> None:
        """End all calls by a time on the monotonic clock."""
        self._stop_deadline.set(stop_s)

    def reject_calls(self) -> None:
        """Reject calls from now on, so that callers use other instances."""
        self._leaving = True

    def step_down(self) -> None:
        """Stop being a candidate for the arbiter."""
        self._topology.leaving = True
        self._link.send()

    def mark_peers_silent(self) -> None:
        """Treat all peers as silent, after a suspension of the machine."""
        self._peers.mark_all_silent()

    def run_maintenance(self, now_s: float) -> None:
        """Drop expired connections and peers, and update what they affect."""
        self._update_watching(now_s)
        self._maintenance.run(now_s)

    def _handler_context(self) -> call_handler.HandlerContext:
        count_request, allow_resend = resend_budgets.make_resend_budgets(
            lambda: self._settings.retry,
            lambda: self._peers.fleet_size(time.monotonic()),
        )
        return call_handler.HandlerContext(
            index=lambda: self._cluster_state.routing_index,
            leaving=lambda: self._leaving,
            names=self.adapter.header_names,
            attempts=AttemptContext(
                connections=self._connections,
                observations=self._observations,
                names=self.adapter.header_names,
                on_prompt_read=self._slot_client.mark_prompt_read,
                on_misdirected=lambda target: (
                    self._balancer.record_broken_connection(
                        target.name, time.monotonic()
                    )
                ),
                on_outcome=self._rollouts.add_evidence,
                on_time=self._rollouts.add_time,
                parts=self._part_watch,
            ),
            slots=self._slot_client,
            allows=lambda request, name: (
                self._rollouts.allows(request, name)
                and self._balancer.allows(name, time.monotonic())
            ),
            may_send_to=self._cluster_state.may_send_to,
            allow_resend=allow_resend,
            count_request=count_request,
            stop=self._stop_deadline,
            record=self.record,
        )

    def _slot_client_context(self) -> slot_client.SlotClientContext:
        return slot_client.SlotClientContext(
            name=self._settings.instance.name,
            incarnation=self._states.incarnation,
            address=self._settings.listen.peers_address,
            scheduler=self._scheduler,
            observations=self._observations,
            ineligible=lambda service, pending: {
                name
                for name in self._cluster_state.target_names.get(service, ())
                if not pending.is_eligible(name)
            },
            hubs=self._topology.hubs,
            fleet_size=self._peers.fleet_size,
            take_tokens=self._customer_quotas.take,
            refund_tokens=self._customer_quotas.refund,
            send=self._link.send_message,
            record=self.record,
        )

    def _update_watching(self, now_s: float) -> None:
        """Update whether this instance or a peer watches the store."""
        self._watches = self._topology.watches_store(now_s)
        if not self._watches:
            reachable = self._topology.peer_reaches_store(now_s)
            self._cluster_state.set_targets_reachable(reachable)

    def _on_arbiter_message(
        self, message: ClientState | ArbiterDecisions
    ) -> None:
        if isinstance(message, ArbiterDecisions):
            self._slot_client.receive(message)
        else:
            self._arbiter.receive(message, time.monotonic())

    def _on_peer_state(self, state: PeerState) -> None:
        if state.name == self._settings.instance.name:
            return
        now_s = time.monotonic()
        if not self._peers.heard_before(state):
            self._link.send_state_to(state.address)
        if self._states.apply(state, now_s) and not (
            self._topology.uses_hubs(now_s)
        ):
            self._balancer.set_peer_loads(self._peers.loads(now_s))
            self._scheduler.dispatch_all()
