"""Assembles an entry instance from its parts."""

from collections.abc import Callable
import ssl
import threading
import time
from typing import Any

import attrs

from ..adapters import admission_peers
from ..adapters import callers
from ..adapters import event_loop
from ..adapters import ledger_peers
from ..adapters import targets as targets_adapter
from . import admission
from . import arbiter
from . import control as control_module
from . import exchange as exchange_module
from . import handler_assembly
from . import leases
from . import ledger as ledger_module
from . import live_list
from ..model.configuration import Configuration
from ..model.instance import Instance
from ..model.target import Target
from . import rate_limits
from ..recorder import Recorder
from . import rollout_control
from . import rollouts
from . import servers
from ..settings import ProcessSettings
from . import target_orders
from .shared_parts import make_shared_parts
from .shared_parts import SharedParts


@attrs.define
class Process:
    """The parts of one entry instance.

    Attributes:
        settings: settings of the process.
        recorder: keeps recent events.
        loop: event loop for serving and calling peers.
        callers_server: serves callers.
        operators_server: serves operators.
        exchange: exchanges topics with peers.
        peers_contexts: TLS contexts of the server and the clients, or None.
        live_list_reader: reads the platform's live list.
        control: membership and configuration.
        ledger: ledger with the claims of orders.
        ledger_client: forwards changes to the owners of their slices.
        links: links to the arbiters of pools.
        arbiters: arbiters of the pools that this instance arbitrates.
        rollouts: rollouts of versions and the evidence on them.
        rollout_control: advances the rollouts while it holds their lease.
        ready: set while the instance accepts new calls.
        stopping: set once a graceful stop is requested.
    """

    settings: ProcessSettings
    recorder: Recorder
    loop: event_loop.LoopThread
    callers_server: callers.CallersServer
    operators_server: Any
    exchange: exchange_module.Exchange
    peers_contexts: tuple[ssl.SSLContext, ssl.SSLContext] | None
    live_list_reader: live_list.LiveListReader
    control: control_module.Control
    ledger: ledger_module.Ledger
    ledger_client: ledger_peers.LedgerClient
    links: admission_peers.Links
    arbiters: arbiter.Arbiters
    rollouts: rollouts.Rollouts
    rollout_control: rollout_control.Control
    ready: threading.Event
    stopping: threading.Event


def make_process(
    settings: ProcessSettings, configuration: Configuration
) -> Process:
    """Assemble the parts of an instance without starting them.

    Args:
        settings: settings of the process.
        configuration: initial configuration, from the process's own files.

    Raises:
        StartError: a secret cannot be read.
        TlsError: a certificate, key or authority cannot be used.
    """
    shared = make_shared_parts(settings)
    exchange = exchange_module.Exchange(shared.own, shared.recorder)
    control = control_module.make_control(
        shared.own,
        settings,
        configuration,
        shared.platform,
        exchange,
        shared.record,
    )
    ledger_client = ledger_peers.LedgerClient(
        shared.loop.loop, shared.client_context
    )
    ledger = _make_ledger(shared, control, ledger_client)
    admission_control = _make_admission(shared, control)
    rate_limiter = rate_limits.RateLimiter(_live_instances(control))
    rollouts_state = _make_rollouts(shared, control)
    exchange.topics += (
        rate_limits.make_topic(rate_limiter),
        rollouts_state.topic(),
    )
    handler_context = handler_assembly.make_handler_context(
        shared,
        control,
        ledger,
        admission_control,
        rate_limiter,
        rollouts_state,
    )
    ready = threading.Event()
    return Process(
        settings=settings,
        recorder=shared.recorder,
        loop=shared.loop,
        callers_server=servers.make_callers_server(settings, handler_context),
        operators_server=servers.make_operators_server(shared, ready, control),
        exchange=exchange,
        peers_contexts=shared.peers_contexts,
        live_list_reader=live_list.LiveListReader(
            shared.platform,
            shared.record,
            control.apply_live_list,
            control.list_period_s,
        ),
        control=control,
        ledger=ledger,
        ledger_client=ledger_client,
        links=_make_links(shared, control, admission_control),
        arbiters=_make_arbiters(shared, control),
        rollouts=rollouts_state,
        rollout_control=_make_rollout_control(shared, control, rollouts_state),
        ready=ready,
        stopping=threading.Event(),
    )


def _live_instances(
    control: control_module.Control,
) -> Callable[[], tuple[Instance, ...]]:
    return lambda: control.membership.live_instances(time.monotonic())


def _make_ledger(
    shared: SharedParts,
    control: control_module.Control,
    client: ledger_peers.LedgerClient,
) -> ledger_module.Ledger:
    peers = ledger_peers.make_ledger_peers(client, _live_instances(control))
    return ledger_module.make_ledger(
        shared.own.name, shared.platform, peers, shared.record
    )


def _make_admission(
    shared: SharedParts, control: control_module.Control
) -> admission.Admission:
    return admission.Admission(
        shared.own,
        control.membership.targets.live,
        _live_instances(control),
        shared.record,
    )


def _make_links(
    shared: SharedParts,
    control: control_module.Control,
    admission_control: admission.Admission,
) -> admission_peers.Links:
    return admission_peers.Links(
        shared.own,
        admission_control,
        lambda: control.configuration.current.services,
        _live_instances(control),
        shared.record,
        shared.client_context,
    )


def _make_arbiters(
    shared: SharedParts, control: control_module.Control
) -> arbiter.Arbiters:
    return arbiter.Arbiters(
        lambda name: control.configuration.current.service(name),
        control.membership.targets.live,
        _live_instances(control),
        shared.record,
    )


def _live_names(control: control_module.Control) -> tuple[str, ...]:
    live = control.membership.live_instances(time.monotonic())
    return tuple(instance.name for instance in live)


def _make_rollouts(
    shared: SharedParts, control: control_module.Control
) -> rollouts.Rollouts:
    return rollouts.Rollouts(
        shared.own.name,
        shared.own.incarnation,
        lambda: _live_names(control),
        shared.record,
    )


def _make_rollout_control(
    shared: SharedParts,
    control: control_module.Control,
    rollouts_state: rollouts.Rollouts,
) -> rollout_control.Control:
    lease = leases.ControlLease(
        shared.platform,
        rollout_control.LEASE,
        admission.holder_name(shared.own),
        shared.record,
        time.monotonic,
    )
    sender = target_orders.OrderSender(
        targets_adapter.make_targets(),
        lease.held,
        shared.record,
        target_orders.run_in_thread,
        time.monotonic,
    )

    def targets_of(service: str) -> tuple[Target, ...]:
        return control.membership.targets.live(service, time.monotonic())

    return rollout_control.Control(
        shared.own.name,
        shared.platform,
        rollouts_state,
        lease,
        lambda: _live_names(control),
        targets_of,
        sender,
        shared.record,
    )
