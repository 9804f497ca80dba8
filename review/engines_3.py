"""Starts the stand-ins of model engines and registers them in the store."""

import asyncio
from collections.abc import Callable
import contextlib
import itertools
import json
import pathlib
import signal
import sys
import time
from typing import Any

from store_3 import Store

HERE = pathlib.Path(__file__).resolve().parent
# Three liveness reports of 1,200 ms; an entry is removed after them.
SILENCE_S = 3.6
BACK_S = 2.0  # from a crash until the engine is back, as a new boot
OPTIONS = {
    'slots': 14,
    'events': 10,
    'step_s': 0.05,
    'first_s': 0.03,
    'chunked': False,
    'deadly': '',
    'head_first': False,
    'preempted': 1,
    'preempted_s': 1.5,
}


class Engines:
    """The engines of one service.

    Args:
        store: where they register.
        service: name of the service.
        options: their ways; see OPTIONS.
        on_line: called with the id of an engine and each line it prints.
    """

    def __init__(
        self,
        store: Store,
        service: str,
        options: dict[str, Any],
        on_line: Callable[[str, dict[str, Any]], None],
    ) -> None:
        self._store = store
        self._service = service
        self._options = {**OPTIONS, **options}
        self._on_line = on_line
        self._numbers = itertools.count(1)
        self._tasks: list[asyncio.Task[None]] = []
        self._listed: set[str] = set()
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, count: int) -> None:
        """Start engines; one that crashes comes back with a new id."""
        self._tasks = [
            asyncio.create_task(self._keep_running()) for _ in range(count)
        ]
        async with asyncio.timeout(20):
            while len(self._listed) < count:
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """End all engines."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def preempt(self) -> None:
        """Let memory run out at all engines."""
        for process in self.processes.values():
            process.send_signal(signal.SIGUSR1)

    async def _keep_running(self) -> None:
        while True:
            await self._run_once(f'i-{next(self._numbers):08x}')
            await asyncio.sleep(BACK_S)

    async def _run_once(self, name: str) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-S',
            str(HERE / 'engine_3.py'),
            json.dumps({**self._options, 'id': name}),
            stdout=asyncio.subprocess.PIPE,
        )
        self.processes[name] = process
        try:
            assert process.stdout is not None
            while line := await process.stdout.readline():
                value = json.loads(line)
                if 'address' in value:
                    self._store.put('servers', name, self._entry(value))
                    self._listed.add(name)
                else:
                    self._on_line(name, value)
            await process.wait()
        finally:
            del self.processes[name]
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        # A crashed engine says nothing; its entry is removed in time.
        loop = asyncio.get_running_loop()
        loop.call_later(SILENCE_S, self._store.delete, 'servers', name)

    def _entry(self, value: dict[str, Any]) -> dict[str, Any]:
        return {
            'Service': self._service,
            'Address': value['address'],
            'Zone': 'zac-a',
            'Version': 'v1',
            'Slots': self._options['slots'],
            'State': 'ready',
            'ColdRemainingMs': 0,
            'Stage': 'both',
            'Models': [{'Name': 'm', 'Version': 1, 'Adapters': []}],
            'born': int(time.time() * 1000),
            'Sequence': 1,
        }
