"""The life of one entry instance: it starts, serves and stops."""

import asyncio
import signal
import threading
import time
from typing import Any

import grpclib.server

from ..adapters import admission_peers
from ..adapters import admission_server
from ..adapters import ledger_peers
from ..adapters import operators
from ..adapters import peers
from . import configuration_loops
from ..events import Event
from . import exchange as exchange_module
from . import rollout_control
from .assembly import Process

LEDGER_STOP_S = 5.0
POLL_S = 0.5
KNOWN_POLL_S = 0.05


def run(process: Process) -> None:
    """Run an instance until SIGTERM or SIGINT, then stop it gracefully."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_args: _ask_to_stop(process))
    record = process.recorder.record
    record(Event.PROCESS_STARTED, name=process.settings.instance.name)
    server = process.loop.submit(_serve_peers(process)).result()
    process.live.start()
    process.loop.submit(_speak_to_peers(process))
    configuration_loops.start(process.control.loops)
    rollout_control.run(
        process.rollouts, process.rollout_control, process.stopping
    )
    operators_address = operators.start(process.operators_server)
    if _wait_until_usable(process):
        _serve_callers(process, operators_address)
    process.operators_server.stop()
    process.ledger.close(LEDGER_STOP_S)
    process.ledger_client.close()
    server.close()
    process.loop.stop()
    record(Event.STOP_FINISHED)


def wait_until_asked(stopping: threading.Event) -> None:
    """Wait until a stop is asked for.

    Handlers of signals run in the main thread alone. A signal that reaches
    another thread does not end a wait without a timeout.
    """
    while not stopping.wait(POLL_S):
        pass


def _ask_to_stop(process: Process) -> None:
    # A handler that sets the event itself can meet its lock held by the code
    # that it interrupts, which waits for that event.
    threading.Thread(target=process.stopping.set).start()


def _wait_until_usable(process: Process) -> bool:
    """Wait until configuration, targets and rollouts are known.

    Returns:
        Whether they are, or False when a stop was asked for.
    """
    control = process.control
    while not control.configuration.wait_until_confirmed(POLL_S):
        if process.stopping.is_set():
            return False
    while not (
        control.membership.targets.known() and process.rollouts.ready()
    ):
        if process.stopping.wait(KNOWN_POLL_S):
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
    wait_until_asked(process.stopping)
    _stop(process)


async def _speak_to_peers(process: Process) -> None:
    contexts = process.peers_contexts
    client_context = contexts[1] if contexts else None
    await asyncio.gather(
        exchange_module.run(
            process.exchange, process.control.partner_addresses, client_context
        ),
        admission_peers.run_links(process.links),
        admission_server.run_ticks(process.arbiters),
    )


async def _serve_peers(process: Process) -> grpclib.server.Server:
    handlers: list[Any] = [
        peers.ExchangeServer(process.exchange.swap),
        ledger_peers.LedgerService(process.ledger.accept),
        admission_server.AdmissionServer(process.arbiters),
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
