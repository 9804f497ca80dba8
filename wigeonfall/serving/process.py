"""One entry instance: its parts, put together, started and stopped."""

import signal
import ssl
import threading
import time
from typing import Any

import attrs
import grpclib.server
import prometheus_client
from result import Ok

from .. import clock
from .. import errors
from .. import metrics
from .. import recorder as recorder_module
from .. import settings as settings_module
from ..adapters import callers
from ..adapters import event_loop
from ..adapters import ledger_peers
from ..adapters import operators
from ..adapters import peers
from ..adapters import platform as platform_adapter
from ..adapters import targets as targets_adapter
from ..adapters import tls
from . import configuration_loops
from . import control as control_module
from ..events import Event
from . import exchange as exchange_module
from . import handling as handling_module
from . import ledger as ledger_module
from . import live_list
from . import local_admission
from ..model.answer import Answer
from ..model.configuration import Configuration
from ..model.instance import Instance
from . import orders
from ..policy import retry
from ..ports.callers import Call
from .attempts import Attempts

LEDGER_STOP_S = 5.0
POLL_S = 0.5


class StartError(errors.WigeonfallError):
    """A process cannot start with its settings."""


@attrs.define
class Process:
    """The running parts of one entry instance."""

    settings: settings_module.ProcessSettings
    recorder: recorder_module.Recorder
    callers_server: callers.CallersServer
    operators_server: Any
    exchange: exchange_module.Exchange
    peers_contexts: tuple[ssl.SSLContext, ssl.SSLContext] | None
    live: live_list.LiveListReader
    control: control_module.Control
    ledger: ledger_module.Ledger
    ledger_client: ledger_peers.LedgerClient
    loop: event_loop.LoopThread
    ready: threading.Event
    stopping: threading.Event


def make_process(
    settings: settings_module.ProcessSettings,
    configuration: Configuration,
) -> Process:
    """Put the parts of an instance together without starting them.

    Args:
        settings: settings of the process.
        configuration: configuration that it starts with.
    """
    own = Instance(
        settings.instance.name,
        settings.instance.data_center,
        settings.listen.peers_address,
        int(time.time() * 1000),
    )
    recorder = recorder_module.Recorder(own.name, clock.HybridClock())
    platform = platform_adapter.make_platform(settings.platform.address)
    registry = prometheus_client.CollectorRegistry()
    record = metrics.counting(recorder.record, metrics.Metrics(registry))
    exchange = exchange_module.Exchange(own, recorder)
    control = control_module.make_control(
        own, settings, configuration, platform, exchange, record
    )
    live = live_list.LiveListReader(
        platform, record, control.take_list, control.list_period_s
    )
    loop = event_loop.LoopThread()
    peers_contexts = tls.make_peers_contexts(
        settings.tls.peers_certificate_file,
        settings.tls.peers_key_file,
        settings.tls.peers_authority_file,
    )
    ledger_client = ledger_peers.LedgerClient(
        loop.loop, peers_contexts[1] if peers_contexts else None
    )
    ledger = ledger_module.make_ledger(
        own.name,
        platform,
        ledger_peers.make_ledger_peers(ledger_client, control.others),
        record,
    )
    handling = _make_handling(settings, record, control, ledger)
    ready = threading.Event()
    return Process(
        settings=settings,
        recorder=recorder,
        callers_server=_make_callers_server(settings, handling),
        operators_server=_make_operators_server(
            settings, recorder, ready, registry, control
        ),
        exchange=exchange,
        peers_contexts=peers_contexts,
        live=live,
        control=control,
        ledger=ledger,
        ledger_client=ledger_client,
        loop=loop,
        ready=ready,
        stopping=threading.Event(),
    )


def _make_handling(
    settings: settings_module.ProcessSettings,
    record: recorder_module.Record,
    control: control_module.Control,
    ledger: ledger_module.Ledger,
) -> handling_module.Handling:
    budgets = retry.RetryBudgets()
    available = control.membership.targets
    admission = local_admission.LocalAdmission(available.live)
    attempts = Attempts(
        targets=targets_adapter.make_targets(),
        acquire=admission.acquire,
        may_retry=lambda request, now_s: budgets.may_retry(
            request.customer.name,
            request.service.name,
            now_s,
            request.deadline_s,
        ),
        succeeded=lambda request, now_s: budgets.succeeded(
            request.customer.name, request.service.name, now_s
        ),
        leaving=available.leaving,
        failed=available.failed,
        met=available.met,
        observe=lambda _outcome, _now_s: None,
        record=record,
    )
    return handling_module.Handling(
        configuration=lambda: control.configuration.current,
        attempts=attempts,
        check_limits=lambda _customer, _now_s: Ok(None),
        choose_version=lambda request, _now_s: request,
        run_order=orders.make_orders(
            settings.instance.name, ledger, record
        ).run,
        record=record,
        body_limit_bytes=settings.limits.body_limit_bytes,
    )


def _make_callers_server(
    settings: settings_module.ProcessSettings,
    handling: handling_module.Handling,
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
    settings: settings_module.ProcessSettings,
    recorder: recorder_module.Recorder,
    ready: threading.Event,
    registry: prometheus_client.CollectorRegistry,
    control: control_module.Control,
) -> Any:
    def events() -> list[dict[str, Any]]:
        return [recorder_module.to_json(entry) for entry in recorder.entries()]

    try:
        key = settings_module.read_secret(
            'operators_key', settings.secrets.operators_key_file
        )
    except OSError as error:
        raise StartError(f'operators key: {error}') from error
    shown = operators.Operators(
        ready=ready.is_set,
        pages={'/events': events, '/control': control.page},
        key=key,
        registry=registry,
    )
    files = settings.tls
    return operators.make_server(
        settings.listen.operators_address,
        shown,
        tls.make_http_adapter(
            files.operators_certificate_file,
            files.operators_key_file,
            files.operators_authority_file,
        ),
    )


def run(process: Process) -> None:
    """Run an instance until SIGTERM or SIGINT, then stop it gracefully."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_args: process.stopping.set())
    record = process.recorder.record
    record(Event.PROCESS_STARTED, name=process.settings.instance.name)
    loop = process.loop
    server = loop.submit(_serve_peers(process)).result()
    process.live.start()
    loop.submit(_swap_with_peers(process))
    configuration_loops.start(process.control.loops)
    operators_address = operators.start(process.operators_server)
    if _wait_until_confirmed(process):
        _serve_callers(process, operators_address)
    process.operators_server.stop()
    process.ledger.close(LEDGER_STOP_S)
    process.ledger_client.close()
    server.close()
    loop.stop()
    record(Event.STOP_FINISHED)


def _wait_until_confirmed(process: Process) -> bool:
    """Wait until no accepted configuration can be missing here.

    Returns:
        False if the process is to stop before that.
    """
    while not process.control.configuration.wait_until_confirmed(POLL_S):
        if process.stopping.is_set():
            return False
    return True


def _serve_callers(process: Process, operators_address: str) -> None:
    callers_address = process.callers_server.begin()
    process.ready.set()
    process.recorder.record(
        Event.PROCESS_READY,
        callers_address=callers_address,
        operators_address=operators_address,
    )
    process.stopping.wait()
    _stop(process)


async def _swap_with_peers(process: Process) -> None:
    contexts = process.peers_contexts
    client_context = contexts[1] if contexts else None
    addresses = process.control.partner_addresses
    await exchange_module.run(process.exchange, addresses, client_context)


async def _serve_peers(process: Process) -> grpclib.server.Server:
    handlers: list[Any] = [
        peers.ExchangeServer(process.exchange.swap),
        ledger_peers.LedgerService(process.ledger.accept),
    ]
    server = grpclib.server.Server(handlers)
    address = process.settings.listen.peers_address
    host, _, port = address.rpartition(':')
    contexts = process.peers_contexts
    server_context = contexts[0] if contexts else None
    await server.start(host, int(port), ssl=server_context)
    return server


def _stop(process: Process) -> None:
    stop = process.settings.stop
    process.recorder.record(Event.STOP_BEGUN)
    process.ready.clear()
    process.control.membership.leave()
    time.sleep(stop.settle_s)
    process.callers_server.drain(stop.quiet_s)
