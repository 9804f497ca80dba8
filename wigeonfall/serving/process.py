"""Starts, runs and stops an entry instance."""

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

LEDGER_CLOSE_TIMEOUT_S = 5.0
STOP_POLL_S = 0.5
READY_POLL_S = 0.05


def run(process: Process) -> None:
    """Run an instance until SIGTERM or SIGINT, then stop it gracefully."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_args: _request_stop(process))
    record = process.recorder.record
    record(Event.PROCESS_STARTED, name=process.settings.instance.name)
    server = process.loop.submit(_serve_peers(process)).result()
    process.live_list_reader.start()
    process.loop.submit(_run_peer_tasks(process))
    configuration_loops.start(process.control.loops)
    rollout_control.run(
        process.rollouts, process.rollout_control, process.stopping
    )
    operators_address = operators.start(process.operators_server)
    if _wait_until_ready(process):
        _serve_callers(process, operators_address)
    process.operators_server.stop()
    process.ledger.close(LEDGER_CLOSE_TIMEOUT_S)
    process.ledger_client.close()
    server.close()
    process.loop.stop()
    record(Event.STOP_FINISHED)


def wait_for_stop(stopping: threading.Event) -> None:
    """Wait until a stop is requested.

    Signal handlers run only in the main thread. A signal delivered to
    another thread does not interrupt a wait without a timeout, so the wait
    is repeated every STOP_POLL_S.
    """
    while not stopping.wait(STOP_POLL_S):
        pass


def _request_stop(process: Process) -> None:
    # Setting the event in the signal handler itself could deadlock: the
    # interrupted code may hold the lock of the event while it waits for it.
    threading.Thread(target=process.stopping.set).start()


def _wait_until_ready(process: Process) -> bool:
    """Wait until configuration, targets and rollouts are known.

    Returns:
        True once they are known, False if a stop is requested before.
    """
    control = process.control
    while not control.configuration.wait_until_confirmed(STOP_POLL_S):
        if process.stopping.is_set():
            return False
    while not (
        control.membership.targets.known() and process.rollouts.ready()
    ):
        if process.stopping.wait(READY_POLL_S):
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
    wait_for_stop(process.stopping)
    _drain(process)


async def _run_peer_tasks(process: Process) -> None:
    contexts = process.peers_contexts
    client_context = contexts[1] if contexts else None
    await asyncio.gather(
        exchange_module.run(
            process.exchange, process.control.peer_addresses, client_context
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


def _drain(process: Process) -> None:
    stop = process.settings.stop
    process.recorder.record(Event.STOP_BEGUN)
    process.ready.clear()
    process.control.membership.leave()
    time.sleep(stop.settle_s)
    process.callers_server.drain(stop.quiet_s)
