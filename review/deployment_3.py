"""A small deployment: instances as processes, with the deploy file's command.

Each instance has a loopback address of its own, as all instances use the same
ports. The settings are the template of the deploy file, filled in with the
bounds of the site that the cases name.
"""

import asyncio
import contextlib
import os
import pathlib
import re
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from typing import Any

from store_3 import Store
from wire_3 import Caller

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
BOUNDS = {
    'StabilityMs': 3000,
    'DrainMs': 2000,
    'GraceS': 8,
    'LossSlackMs': 200,
    'ConfigApplyMs': 2000,
    'RetryBudgetRatio': 0.2,
    'BudgetWindowS': 10,
    'BudgetSlack': 58,
    'QuotaWindowS': 8,
    'QuotaOverage': 0.1,
    'QuotaSlack': 140000,
    'ExposeShare': 0.1,
    'ExposeSlack': 50,
}
PLATFORM = {'WritesPerS': 400, 'ReadsPerS': 2000}
LIMITS: dict[str, Any] = {
    'CpuShare': 0.537,
    'CpuCores': 2,
    'MemoryMb': 300,
    'MaxFds': 4100,
}


class Record:
    """What was sent, answered and run, as lines with times."""

    def __init__(self, path: pathlib.Path) -> None:
        self._started_s = time.monotonic()
        self._file = path.open('w', encoding='utf-8')

    def now_s(self) -> float:
        """Return the time since the start of the case."""
        return time.monotonic() - self._started_s

    def line(self, text: str) -> None:
        """Write a line."""
        self._file.write(f'{self.now_s():9.3f} s  {text}\n')
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line and print it."""
        self.line(text)
        print(text, flush=True)


class Instance:
    """One instance of the system, as a process.

    Attributes:
        name: its name.
        front: where it takes requests.
    """

    def __init__(self, name: str, ip: str, ports: list[int]) -> None:
        self.name = name
        self.ip = ip
        self.front = (ip, ports[0])
        self.ready = (ip, ports[1])
        self.control = f'{ip}:{ports[2]}'
        self.internal = ports[3:5]
        self.process: asyncio.subprocess.Process | None = None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def fields(
        self, seeds: list[str], store_address: str, memory_mb: int
    ) -> dict[str, Any]:
        """Return the fields that the platform fills a template with."""
        return {
            'NodeName': self.name,
            'Ip': self.ip,
            'Zone': 'zac-a',
            'Listen': {
                'Front': f'{self.ip}:{self.front[1]}',
                'Ready': f'{self.ip}:{self.ready[1]}',
                'Control': self.control,
            },
            'InternalPortRange': self.internal,
            'Seeds': seeds,
            'Platform': {'Address': store_address, **PLATFORM},
            'Bounds': BOUNDS,
            'Limits': {**LIMITS, 'MemoryMb': memory_mb},
        }


class Deployment:
    """Instances, and a folder for their settings and logs.

    Args:
        count: number of instances.
        store: the store.
        store_address: where instances reach it, if not at its own address.
        memory_mb: memory of each machine.
    """

    def __init__(
        self,
        count: int,
        store: Store,
        store_address: str = '',
        memory_mb: int = LIMITS['MemoryMb'],
    ) -> None:
        self._memory_mb = memory_mb
        self._store_address = store_address or store.address
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='wigeonfall-'))
        ports = _free_ports(5)
        self.instances = [
            Instance(f'edge-zac-a-{n}', f'127.0.0.{10 + n}', ports)
            for n in range(1, count + 1)
        ]

    async def __aenter__(self) -> 'Deployment':
        try:
            for instance in self.instances:
                await self.start(instance)
            for instance in self.instances:
                await wait_until_ready(instance)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_exc: object) -> None:
        for instance in self.instances:
            process = instance.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def start(self, instance: Instance) -> None:
        """Start an instance with the command of the deploy file."""
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text('utf-8')
        )
        role = deploy['roles']['entry']
        template = (ROOT / role['template']).read_text('utf-8')
        seeds = [other.control for other in self.instances[:3]]
        path = self.folder / f'{instance.name}.ini'
        path.write_text(
            render(
                template,
                instance.fields(seeds, self._store_address, self._memory_mb),
            ),
            'utf-8',
        )
        names = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in names if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['WIGEONFALL_CONFIG'] = str(path)
        with (self.folder / f'{instance.name}.log').open('ab') as log:
            instance.process = await asyncio.create_subprocess_exec(
                *role['run'].split(),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )


async def wait_until_ready(instance: Instance) -> None:
    """Wait until an instance reports itself ready."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while not await is_ready(instance):
            assert instance.process is not None
            if instance.process.returncode is not None:
                raise RuntimeError(f'{instance.name} ended at its start')
            await asyncio.sleep(0.1)


async def is_ready(instance: Instance) -> bool:
    """Return whether the ready page of an instance answers 200."""
    caller = Caller(instance.ready)
    try:
        async with asyncio.timeout(1.0):
            await caller.open()
            caller.send('GET', '/api/ready', {'Host': 'x'}, b'')
            return (await caller.answer()).status == 200
    except (OSError, TimeoutError):
        return False
    finally:
        caller.close()


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template, as far as the one of this project needs it."""

    def section(match: re.Match[str]) -> str:
        value = _value(fields, match[1])
        if value in (None, False):
            return ''
        return match[2].replace('{{.}}', str(value))

    text = re.sub(
        r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, template, flags=re.S
    )
    return re.sub(
        r'\{\{([\w.]+)\}\}', lambda m: _text(_value(fields, m[1])), text
    )


def _value(fields: Any, path: str) -> Any:
    for part in path.split('.'):
        if isinstance(fields, list):
            fields = fields[int(part)]
        else:
            fields = (fields or {}).get(part)
    return fields


def _text(value: Any) -> str:
    if isinstance(value, list):
        return ','.join(map(str, value))
    return '' if value is None else str(value)


def _free_ports(count: int) -> list[int]:
    """Return ports that are free on the loopback addresses of instances."""
    socks = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind(('127.0.0.1', 0))
        socks.append(sock)
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports
