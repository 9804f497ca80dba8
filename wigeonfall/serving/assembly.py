"""Puts the parts of one entry instance together."""

from collections.abc import Callable
import ssl
import threading
import time
from typing import Any

import attrs
import prometheus_client
from result import Result

from .. import clock
from .. import errors
from .. import metrics
from .. import recorder as recorder_module
from .. import settings as settings_module
from ..adapters import admission_peers
from ..adapters import callers
from ..adapters import event_loop
from ..adapters import ledger_peers
from ..adapters import operators
from ..adapters import platform as platform_adapter
from ..adapters import targets as targets_adapter
from ..adapters import tls
from . import admission
from . import arbiter
from . import control as control_module
from . import exchange as exchange_module
from . import handling as handling_module
from . import ledger as ledger_module
from . import limits
from . import live_list
from ..model.answer import Answer
from ..model.configuration import Configuration
from ..model.customer import Customer
from ..model.instance import Instance
from ..model.refusal import Refusal
from ..model.request import Request
from . import orders
from ..policy import retry
from ..ports.callers import Call
from ..ports.platform import Platform
from ..recorder import Record
from ..recorder import Recorder
from ..settings import ProcessSettings
from .attempts import Attempts

REQUEST_COST = 1.0


class StartError(errors.WigeonfallError):
    """A process cannot start with its settings."""


@attrs.define
class Process:
    """The parts of one entry instance.

    Attributes:
        settings: settings of the process.
        recorder: its events.
        loop: the loop that peers are served and called on.
        callers_server: serves callers.
        operators_server: serves operators.
        exchange: topics that are swapped with peers.
        peers_contexts: TLS contexts of the server and the clients, or None.
        live: reads the platform's live list.
        control: membership and configuration.
        ledger: claims of orders.
        ledger_client: channels to the owners of other slices.
        links: what the links to the arbiters need.
        arbiters: the pools that this instance arbitrates.
        ready: set while the instance takes new calls.
        stopping: set once a planned stop is asked for.
    """

    settings: ProcessSettings
    recorder: Recorder
    loop: event_loop.LoopThread
    callers_server: callers.CallersServer
    operators_server: Any
    exchange: exchange_module.Exchange
    peers_contexts: tuple[ssl.SSLContext, ssl.SSLContext] | None
    live: live_list.LiveListReader
    control: control_module.Control
    ledger: ledger_module.Ledger
    ledger_client: ledger_peers.LedgerClient
    links: admission_peers.Links
    arbiters: arbiter.Arbiters
    ready: threading.Event
    stopping: threading.Event


@attrs.frozen
class _Base:
    """What most parts are made from."""

    settings: ProcessSettings
    own: Instance
    platform: Platform
    recorder: Recorder
    record: Record
    registry: prometheus_client.CollectorRegistry
    loop: event_loop.LoopThread
    peers_contexts: tuple[ssl.SSLContext, ssl.SSLContext] | None

    @property
    def client_context(self) -> ssl.SSLContext | None:
        """TLS context for connections to peers, or None."""
        return self.peers_contexts[1] if self.peers_contexts else None


def make_process(
    settings: ProcessSettings, configuration: Configuration
) -> Process:
    """Put the parts of an instance together without starting them.

    Args:
        settings: settings of the process.
        configuration: configuration of the process's own files.

    Raises:
        StartError: a secret cannot be read.
        TlsError: a certificate, key or authority cannot be used.
    """
    base = _make_base(settings)
    exchange = exchange_module.Exchange(base.own, base.recorder)
    control = control_module.make_control(
        base.own, settings, configuration, base.platform, exchange, base.record
    )
    ledger_client = ledger_peers.LedgerClient(
        base.loop.loop, base.client_context
    )
    ledger = _make_ledger(base, control, ledger_client)
    waits = _make_admission(base, control)
    customer_limits = limits.Limits(_live_instances(control))
    exchange.topics += (limits.make_topic(customer_limits),)
    handling = _make_handling(base, control, ledger, waits, customer_limits)
    ready = threading.Event()
    return Process(
        settings=settings,
        recorder=base.recorder,
        loop=base.loop,
        callers_server=_make_callers_server(settings, handling),
        operators_server=_make_operators_server(base, ready, control),
        exchange=exchange,
        peers_contexts=base.peers_contexts,
        live=live_list.LiveListReader(
            base.platform,
            base.record,
            control.take_list,
            control.list_period_s,
        ),
        control=control,
        ledger=ledger,
        ledger_client=ledger_client,
        links=_make_links(base, control, waits),
        arbiters=_make_arbiters(base, control),
        ready=ready,
        stopping=threading.Event(),
    )


def _make_base(settings: ProcessSettings) -> _Base:
    own = Instance(
        settings.instance.name,
        settings.instance.data_center,
        settings.listen.peers_address,
        int(time.time() * 1000),
    )
    recorder = recorder_module.Recorder(own.name, clock.HybridClock())
    registry = prometheus_client.CollectorRegistry()
    record = metrics.counting(recorder.record, metrics.Metrics(registry))
    return _Base(
        settings=settings,
        own=own,
        platform=platform_adapter.make_platform(settings.platform.address),
        recorder=recorder,
        record=record,
        registry=registry,
        loop=event_loop.LoopThread(),
        peers_contexts=tls.make_peers_contexts(
            settings.tls.peers_certificate_file,
            settings.tls.peers_key_file,
            settings.tls.peers_authority_file,
        ),
    )


def _live_instances(
    control: control_module.Control,
) -> Callable[[], tuple[Instance, ...]]:
    return lambda: control.membership.live_instances(time.monotonic())


def _make_ledger(
    base: _Base,
    control: control_module.Control,
    client: ledger_peers.LedgerClient,
) -> ledger_module.Ledger:
    peers = ledger_peers.make_ledger_peers(client, _live_instances(control))
    return ledger_module.make_ledger(
        base.own.name, base.platform, peers, base.record
    )


def _make_admission(
    base: _Base, control: control_module.Control
) -> admission.Admission:
    return admission.Admission(
        base.own,
        control.membership.targets.live,
        _live_instances(control),
        base.record,
    )


def _make_links(
    base: _Base,
    control: control_module.Control,
    waits: admission.Admission,
) -> admission_peers.Links:
    return admission_peers.Links(
        base.own,
        waits,
        lambda: control.configuration.current.services,
        _live_instances(control),
        base.record,
        base.client_context,
    )


def _make_arbiters(
    base: _Base, control: control_module.Control
) -> arbiter.Arbiters:
    return arbiter.Arbiters(
        lambda name: control.configuration.current.service(name),
        control.membership.targets.live,
        _live_instances(control),
        base.record,
    )


def _make_attempts(
    base: _Base, control: control_module.Control, waits: admission.Admission
) -> Attempts:
    budgets = retry.RetryBudgets()

    def may_retry(request: Request, now_s: float) -> bool:
        return budgets.may_retry(
            request.customer.name,
            request.service.name,
            now_s,
            request.deadline_s,
        )

    def succeeded(request: Request, now_s: float) -> None:
        budgets.succeeded(request.customer.name, request.service.name, now_s)

    available = control.membership.targets
    return Attempts(
        targets=targets_adapter.make_targets(),
        acquire=waits.acquire,
        may_retry=may_retry,
        succeeded=succeeded,
        leaving=available.leaving,
        failed=available.failed,
        met=available.met,
        observe=lambda _outcome, _now_s: None,
        record=base.record,
    )


def _make_handling(
    base: _Base,
    control: control_module.Control,
    ledger: ledger_module.Ledger,
    waits: admission.Admission,
    customer_limits: limits.Limits,
) -> handling_module.Handling:
    def check_limits(
        customer: Customer, now_s: float
    ) -> Result[None, Refusal]:
        return customer_limits.check(customer, REQUEST_COST, now_s)

    return handling_module.Handling(
        configuration=lambda: control.configuration.current,
        attempts=_make_attempts(base, control, waits),
        check_limits=check_limits,
        choose_version=lambda request, _now_s: request,
        run_order=orders.make_orders(base.own.name, ledger, base.record).run,
        record=base.record,
        body_limit_bytes=base.settings.limits.body_limit_bytes,
    )


def _make_callers_server(
    settings: ProcessSettings, handling: handling_module.Handling
) -> callers.CallersServer:
    def handle(call: Call) -> Answer:
        try:
            return handling_module.handle(handling, call)
        except Exception as error:  # the caller still needs an answer
            return handling_module.refuse_fault(handling, call, error)

    files = settings.tls
    listen = callers.ListenSettings(
        settings.listen.callers_address,
        settings.limits.callers_threads,
        settings.limits.header_limit_bytes,
        settings.limits.body_limit_bytes,
        settings.limits.connections,
        tls_adapter=tls.make_http_adapter(
            files.callers_certificate_file, files.callers_key_file
        ),
    )
    return callers.CallersServer(listen, handle)


def _make_operators_server(
    base: _Base, ready: threading.Event, control: control_module.Control
) -> Any:
    def events() -> list[dict[str, Any]]:
        entries = base.recorder.entries()
        return [recorder_module.to_json(entry) for entry in entries]

    shown = operators.Operators(
        ready=ready.is_set,
        pages={'/events': events, '/control': control.page},
        key=_read_operators_key(base.settings),
        registry=base.registry,
    )
    files = base.settings.tls
    return operators.make_server(
        base.settings.listen.operators_address,
        shown,
        tls.make_http_adapter(
            files.operators_certificate_file,
            files.operators_key_file,
            files.operators_authority_file,
        ),
    )


def _read_operators_key(settings: ProcessSettings) -> str:
    try:
        return settings_module.read_secret(
            'operators_key', settings.secrets.operators_key_file
        )
    except OSError as error:
        raise StartError(f'operators key: {error}') from error
