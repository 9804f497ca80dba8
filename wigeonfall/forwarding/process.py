"""The life of an instance that passes calls on: it starts, serves, stops."""

import asyncio
from collections.abc import Callable
import pathlib
import signal
import sys
import threading
import time

import prometheus_client
from result import Err

from .. import clock
from .. import recorder as recorder_module
from . import caller_server
from ..events import Event
from ..ini import Faults
from . import internal_pages
from ..merged_events import MergedEvents
from ..metrics import counting
from ..metrics import Metrics
from . import settings as settings_module
from .caller_server import ServerContext
from .instance import Instance
from .platform_adapter import PlatformAdapter
from .settings import ForwardingSettings

READY_POLL_S = 0.05
SETTINGS_POLL_S = 1.0
STOP_POLL_S = 0.1
STOP_RESERVE_S = 0.4  # before the process is killed
QUIET_S = 0.5  # without a request before a stop ends
SWEEP_S = 0.5
PAUSE_S = 0.5  # a difference between the clocks that is no drift


def run(path: pathlib.Path, adapter: PlatformAdapter) -> int:
    """Run an instance until it is told to stop.

    Args:
        path: its settings file.
        adapter: names and formats of the platform that it runs on.

    Returns:
        The exit status of the process.
    """
    read = settings_module.read(path)
    if isinstance(read, Err):
        _print_faults(read.err_value)
        return 1
    settings = read.ok_value
    lines = recorder_module.queue_to_stdout(settings.log.level)
    recorder = recorder_module.Recorder(
        settings.instance.name, clock.HybridClock()
    )
    registry = prometheus_client.CollectorRegistry()
    merged = MergedEvents(recorder.record)
    record = counting(merged.record, Metrics(registry))
    instance = Instance(settings, adapter, record)
    life = _Life(path, settings, instance, registry, merged.flush)
    try:
        asyncio.run(life.run())
    finally:
        merged.flush(float('inf'))
        lines.stop()
    return lines.end_process(0)


def _print_faults(faults: Faults) -> None:
    for fault in faults:
        print(fault, file=sys.stderr)


class _Life:
    """One start of an instance."""

    def __init__(
        self,
        path: pathlib.Path,
        settings: ForwardingSettings,
        instance: Instance,
        registry: prometheus_client.CollectorRegistry,
        flush_events: Callable[[float], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._instance = instance
        self._record = instance.record
        self._registry = registry
        self._flush_events = flush_events
        self._stopping = asyncio.Event()
        self._reload = asyncio.Event()
        self._threads_stop = threading.Event()

    async def run(self) -> None:
        """Serve until told to stop, then stop gracefully."""
        name = self._settings.instance.name
        self._record(Event.PROCESS_STARTED, name=name)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload.set)
        port = self._port()
        servers = await self._listen(port)
        self._instance.start(loop, self._threads_stop)
        tasks = [
            asyncio.create_task(work)
            for work in (
                *self._instance.loops(),
                self._announce_ready(),
                self._watch_settings(),
                self._sweep(),
            )
        ]
        await self._stopping.wait()
        await self._drain(port, servers)
        self._threads_stop.set()
        for task in tasks:
            task.cancel()
        self._record(Event.STOP_FINISHED)

    def _port(self) -> ServerContext:
        return ServerContext(
            handle=self._instance.handle,
            limits=self._instance.limits,
            closing=self._stopping.is_set,
        )

    async def _listen(self, port: ServerContext) -> list[asyncio.Server]:
        listen = self._settings.listen
        served = [(listen.callers_address, port)]
        served.append(
            (listen.ready_address, self._internal(self._ready_pages()))
        )
        pages = self._internal(
            {
                b'/metrics': lambda: (
                    200,
                    prometheus_client.generate_latest(self._registry),
                ),
                **self._instance.snapshot_pages(),
            }
        )
        served.append((listen.peers_address, pages))
        if listen.metrics_address != listen.peers_address:
            served.append((listen.metrics_address, pages))
        servers = []
        for address, served_port in served:
            try:
                servers.append(
                    await caller_server.serve(
                        address, served_port, listen.callers_backlog
                    )
                )
            except OSError as error:
                self._record(
                    Event.LISTEN_FAILED, address=address, detail=str(error)
                )
                if address == listen.callers_address:
                    raise
        return servers

    def _ready_pages(self) -> dict[bytes, internal_pages.Page]:
        return {
            self._instance.adapter.ready_path: lambda: (
                200 if self._ready() else 503,
                b'',
            )
        }

    def _internal(
        self, pages: dict[bytes, internal_pages.Page]
    ) -> ServerContext:
        return ServerContext(
            handle=internal_pages.make_page_handler(pages),
            limits=self._instance.limits,
            closing=lambda: False,
        )

    def _ready(self) -> bool:
        return self._instance.ready() and not self._stopping.is_set()

    async def _announce_ready(self) -> None:
        while not self._instance.ready():
            await asyncio.sleep(READY_POLL_S)
        listen = self._settings.listen
        self._record(
            Event.PROCESS_READY,
            callers_address=listen.callers_address,
            operators_address=listen.metrics_address,
        )

    async def _watch_settings(self) -> None:
        """Read the settings again when the file has changed."""
        text = _read_text(self._path)
        while True:
            try:
                async with asyncio.timeout(SETTINGS_POLL_S):
                    await self._reload.wait()
            except TimeoutError:
                pass
            asked = self._reload.is_set()
            self._reload.clear()
            present = _read_text(self._path)
            if present == text and not asked:
                continue
            text = present
            read = settings_module.read(self._path)
            if isinstance(read, Err):
                self._record(
                    Event.SETTINGS_REFUSED,
                    faults=[str(fault) for fault in read.err_value],
                )
                continue
            self._instance.set_settings(read.ok_value)
            self._record(Event.SETTINGS_RELOADED, asked=asked)

    async def _sweep(self) -> None:
        """Drop what is old, and notice when the process stood still."""
        offset_s = _sleep_offset_s()
        while True:
            await asyncio.sleep(SWEEP_S)
            present_s = _sleep_offset_s()
            if present_s - offset_s > PAUSE_S:
                self._record(
                    Event.CLOCK_PAUSED, pause_s=round(present_s - offset_s, 1)
                )
                self._instance.mark_peers_silent()
            offset_s = present_s
            self._instance.run_maintenance(time.monotonic())
            self._flush_events(time.monotonic())

    async def _drain(
        self, port: ServerContext, servers: list[asyncio.Server]
    ) -> None:
        self._record(Event.STOP_BEGUN)
        self._instance.step_down()
        stop = self._settings.stop
        now_s = time.monotonic()
        settled_s = now_s + stop.settle_s
        end_s = now_s + max(0.0, stop.grace_s - STOP_RESERVE_S)
        busy_s = now_s
        while now_s < end_s:
            if any(connection.busy for connection in port.connections):
                busy_s = now_s
            if now_s >= settled_s:
                self._instance.reject_calls()
                _close_idle(port)
            if now_s >= max(settled_s, busy_s + QUIET_S):
                break
            await asyncio.sleep(STOP_POLL_S)
            now_s = time.monotonic()
        for server in servers:
            server.close()
        _close_idle(port)


def _close_idle(port: ServerContext) -> None:
    for connection in tuple(port.connections):
        connection.close_idle()


def _read_text(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError:
        # The reader of the settings reports why the file cannot be read.
        return b''


def _sleep_offset_s() -> float:
    """Return the time that the machine stood still since it was started."""
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot_s - time.monotonic()
