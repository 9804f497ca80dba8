"""Starts, runs and gracefully stops the process of an instance."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import pathlib
import signal
import sys
import threading
import time
from typing import Any

import prometheus_client
from result import Err

from .. import clock
from .. import recorder as recorder_module
from . import background_tasks
from . import caller_server
from ..events import Event
from ..ini import Faults
from . import internal_pages
from ..merged_events import MergedEvents
from ..metrics import counting
from ..metrics import Metrics
from ..metrics import show_account
from ..policy.memory import Cause
from . import settings as settings_module
from .instance import Instance
from .platform_adapter import PlatformAdapter
from .server_context import ServerContext
from .settings import ForwardingSettings

READY_POLL_INTERVAL_S = 0.05
SETTINGS_POLL_INTERVAL_S = 1.0
STOP_POLL_INTERVAL_S = 0.1
STOP_MARGIN_S = 0.4  # to exit before the process is killed
LAST_ANSWERS_S = 0.3  # for the last answers to leave
STOP_IDLE_S = 0.5  # time without requests that ends a stop
MAINTENANCE_INTERVAL_S = 0.5
MIN_SUSPENSION_S = 0.5  # smaller clock differences can be drift


def run(path: pathlib.Path, adapter: PlatformAdapter) -> int:
    """Run an instance until it is signalled to stop.

    Args:
        path: its settings file.
        adapter: names and formats of the platform that it runs on.

    Returns:
        The exit status of the process.
    """
    read = settings_module.read(path)
    if isinstance(read, Err):
        _print_errors(read.err_value)
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
    show_account(instance.account, registry)
    process = _Process(path, settings, instance, registry, merged.flush)
    try:
        asyncio.run(process.run())
    finally:
        merged.flush(float('inf'))
        lines.stop()
    return lines.end_process(0)


def _print_errors(errors: Faults) -> None:
    for error in errors:
        print(error, file=sys.stderr)


class _Process:
    """Runs the servers, threads and tasks of an instance."""

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
        self._reload_requested = asyncio.Event()
        self._stop_threads = threading.Event()

    async def run(self) -> None:
        """Serve until signalled to stop, then shut down gracefully."""
        name = self._settings.instance.name
        self._record(Event.PROCESS_STARTED, name=name)
        loop = asyncio.get_running_loop()
        background_tasks.record_loop_errors(loop, self._record)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)
        context = self._make_context()
        servers = await self._listen(context)
        self._instance.start(loop, self._stop_threads)
        tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (
                *self._instance.loops(),
                self._announce_ready(),
                self._keep_running('settings', self._watch_settings),
                self._keep_running('maintenance', self._maintain),
            )
        ]
        await self._stopping.wait()
        await self._drain(context, servers)
        self._stop_threads.set()
        for task in tasks:
            task.cancel()
        self._record(Event.STOP_FINISHED)

    def _keep_running(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> Coroutine[Any, Any, None]:
        return background_tasks.keep_running(name, run, self._record)

    def _make_context(self) -> ServerContext:
        return ServerContext(
            handle=self._instance.handle,
            limits=self._instance.limits,
            closing=self._stopping.is_set,
            account=self._instance.account,
            on_closed=self._record_closed,
        )

    def _record_closed(
        self, caller: str, cause: Cause, held_bytes: int
    ) -> None:
        """Record that a caller was closed or refused for its memory."""
        self._record(
            Event.CALLER_CLOSED,
            caller=caller,
            cause=cause.value,
            held_bytes=held_bytes,
        )

    async def _listen(self, context: ServerContext) -> list[asyncio.Server]:
        listen = self._settings.listen
        served = [(listen.callers_address, context)]
        served.append(
            (listen.ready_address, self._make_page_server(self._ready_pages()))
        )
        pages = self._make_page_server(
            {
                b'/metrics': lambda: (
                    200,
                    prometheus_client.generate_latest(self._registry),
                ),
                **self._instance.snapshot_pages(),
            },
            self._instance.question_pages(),
        )
        served.append((listen.peers_address, pages))
        if listen.metrics_address != listen.peers_address:
            served.append((listen.metrics_address, pages))
        servers = []
        for address, served_context in served:
            try:
                servers.append(
                    await caller_server.serve(
                        address, served_context, listen.callers_backlog
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

    def _make_page_server(
        self,
        pages: dict[bytes, internal_pages.Page],
        questions: dict[bytes, internal_pages.QuestionPage] | None = None,
    ) -> ServerContext:
        return ServerContext(
            handle=internal_pages.make_page_handler(
                self._record, pages, questions
            ),
            limits=self._instance.limits,
            closing=lambda: False,
        )

    def _ready(self) -> bool:
        return self._instance.ready() and not self._stopping.is_set()

    async def _announce_ready(self) -> None:
        while not self._instance.ready():
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        listen = self._settings.listen
        self._record(
            Event.PROCESS_READY,
            callers_address=listen.callers_address,
            operators_address=listen.metrics_address,
        )

    async def _watch_settings(self) -> None:
        """Reload the settings when the file changes or on SIGHUP."""
        text = _read_text(self._path)
        while True:
            try:
                async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                    await self._reload_requested.wait()
            except TimeoutError:
                pass
            requested = self._reload_requested.is_set()
            self._reload_requested.clear()
            current = _read_text(self._path)
            if current == text and not requested:
                continue
            text = current
            read = settings_module.read(self._path)
            if isinstance(read, Err):
                self._record(
                    Event.SETTINGS_REFUSED,
                    faults=[str(fault) for fault in read.err_value],
                )
                continue
            self._instance.set_settings(read.ok_value)
            self._record(Event.SETTINGS_RELOADED, asked=requested)

    async def _maintain(self) -> None:
        """Run periodic maintenance and detect suspensions of the machine."""
        suspended_s = _suspended_s()
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            current_s = _suspended_s()
            if current_s - suspended_s > MIN_SUSPENSION_S:
                self._record(
                    Event.MACHINE_SUSPENDED,
                    pause_s=round(current_s - suspended_s, 1),
                )
                self._instance.mark_peers_silent()
            suspended_s = current_s
            self._instance.run_maintenance(time.monotonic())
            self._flush_events(time.monotonic())

    async def _drain(
        self, context: ServerContext, servers: list[asyncio.Server]
    ) -> None:
        self._record(Event.STOP_BEGUN)
        self._instance.step_down()
        stop = self._settings.stop
        now_s = time.monotonic()
        reject_after_s = now_s + min(stop.settle_s, stop.grace_s / 2)
        end_s = now_s + max(0.0, stop.grace_s - STOP_MARGIN_S)
        self._instance.stop_by(end_s - LAST_ANSWERS_S)
        last_busy_s = now_s
        while now_s < end_s:
            if any(connection.busy for connection in context.connections):
                last_busy_s = now_s
            if now_s >= reject_after_s:
                self._instance.reject_calls()
                _close_idle(context)
            if now_s >= max(reject_after_s, last_busy_s + STOP_IDLE_S):
                break
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
            now_s = time.monotonic()
        for server in servers:
            server.close()
        _close_idle(context)


def _close_idle(context: ServerContext) -> None:
    for connection in tuple(context.connections):
        connection.close_idle()


def _read_text(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError:
        # Reading the settings reports why the file cannot be read.
        return b''


def _suspended_s() -> float:
    """Return how long the machine has been suspended since its start."""
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot_s - time.monotonic()
