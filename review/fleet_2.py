"""Starts the project's program with the commands of the deploy file."""

import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
BOUNDS = {
    'GraceS': 8,
    'RetryBudgetRatio': 0.2,
    'BudgetSlack': 58,
    'BudgetWindowS': 10,
    'QuotaWindowS': 8,
    'QuotaOverage': 0.1,
    'QuotaSlack': 140000,
}
LIMITS = {'CpuShare': 0.537, 'CpuCores': 2, 'MemoryMb': 300, 'MaxFds': 4100}


def fill_in(text, fields):
    """Fill in the template of the deploy file's role."""

    def look_up(path, inner=None):
        if path == '.':
            return inner
        value = fields
        for part in path.split('.'):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                value = None
        return value

    def show(value):
        if value is None:
            return ''
        if isinstance(value, list):
            return ','.join(map(str, value))
        return str(value)

    def section(match):
        value = look_up(match[1])
        if value is None or value is False:
            return ''
        return match[2].replace('{{.}}', show(value))

    text = re.sub(
        r'{{#([\w.]+)}}\n?(.*?){{/\1}}\n?', section, text, flags=re.S
    )
    return re.sub(r'{{([\w.]+)}}', lambda m: show(look_up(m[1])), text)


def free_port():
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


class Machine:
    """One machine that runs the role which carries the traffic."""

    def __init__(self, name, zone, store_address, directory, host='127.0.0.1'):
        self.name = name
        self.directory = pathlib.Path(directory)
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['entry']
        self.command = role['run'].split()
        self.host = host
        self.front = f'{host}:{free_port()}'
        self.ready = f'{host}:{free_port()}'
        self.internal = [free_port(), free_port()]
        self.fields = {
            'NodeName': name,
            'Zone': zone,
            'Ip': host,
            'Listen': {'Front': self.front, 'Ready': self.ready},
            'InternalPortRange': self.internal,
            'Seeds': [],
            'Bounds': BOUNDS,
            'Limits': LIMITS,
            'Platform': {'Address': store_address},
        }
        self.template = (ROOT / role['template']).read_text()
        self.settings = self.directory / f'{name}.settings'
        self.log = self.directory / f'{name}.log'
        self.process = None
        self.write_settings()

    def write_settings(self):
        self.settings.write_text(fill_in(self.template, self.fields))

    async def start(self):
        env = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'WIGEONFALL_CONFIG': str(self.settings),
        }
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def wait_ready(self, timeout_s=30):
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if await self.ready_status() == 200:
                return
            await asyncio.sleep(0.05)
        raise NotRunnable(f'{self.name} is not ready')

    async def ready_status(self):
        host, port = self.ready.split(':')
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(b'GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                line = await reader.readline()
                writer.close()
                return int(line.split()[1])
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0

    async def connect(self, limit=1 << 20):
        host, port = self.front.split(':')
        return await asyncio.open_connection(host, port, limit=limit)

    def send_signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    def events(self):
        events = []
        for line in self.log.read_text('utf-8', 'replace').splitlines():
            try:
                events.append(json.loads(line))
            except ValueError:
                continue
        return [event for event in events if isinstance(event, dict)]


class NotRunnable(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, in the folder of the case."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / 'record.txt'
        self.started_s = time.monotonic()
        self.lines = []

    def write(self, text):
        line = f'{time.monotonic() - self.started_s:8.3f}  {text}'
        self.lines.append(line)

    def save(self):
        self.path.write_text('\n'.join(self.lines) + '\n')


def with_trouble():
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(folder, scenario, timeout_s=110):
    """Run a scenario; exit with 1 if it returns what is broken, else 0."""
    record = Record(folder)

    async def limited():
        machines = []
        with tempfile.TemporaryDirectory() as directory:
            try:
                async with asyncio.timeout(timeout_s):
                    return await scenario(record, directory, machines)
            finally:
                for machine in machines:
                    await machine.kill()

    try:
        broken = asyncio.run(limited())
    except (NotRunnable, OSError, TimeoutError) as error:
        record.write(f'could not run: {error!r}')
        record.save()
        end(f'could not run: {error!r}', 2)
    record.write(f'broken: {broken}' if broken else 'held')
    record.save()
    end(f'broken: {broken}' if broken else 'held', 1 if broken else 0)


def end(text, status):
    """Print the result and exit; open channels need no clean end."""
    print(text, flush=True)
    os._exit(status)


class Deployment:
    """A store, engines and machines, started together."""

    def __init__(self, store, engines, machines):
        self.store = store
        self.engines = engines
        self.machines = machines

    def of(self, service):
        return [e for e in self.engines if e.service == service]

    def runs(self, service):
        """Return (engine, seconds, request id, request) of all runs."""
        return [
            (engine, *run) for engine in self.of(service) for run in engine.ran
        ]


async def start_deployment(
    directory, machines, store, engines, table, zones=('zac-a', 'sal-b')
):
    """Start stand-ins and one machine a zone; return when all are ready."""
    await store.start()
    for engine in engines:
        await engine.start()
    store.put('config', 'main', table)
    for engine in engines:
        store.put('servers', engine.name, engine.entry())
    for number, zone in enumerate(zones):
        name = f'edge-{zone}-{number}'
        machines.append(Machine(name, zone, store.address, directory))
    link(machines)
    for machine in machines:
        await machine.start()
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(1)
    return Deployment(store, engines, machines)


def link(machines):
    """Give all machines the same internal ports on addresses of their own."""
    hosts = [f'127.0.0.{number}' for number in range(2, 2 + len(machines))]
    while True:
        first, second = free_port(), free_port()
        if all(_is_free(h, p) for h in hosts for p in (first, second)):
            break
    for machine, host in zip(machines, hosts, strict=True):
        machine.fields['Ip'] = host
        machine.fields['InternalPortRange'] = [first, second]
        machine.fields['Seeds'] = [f'{h}:{first}' for h in hosts[:3]]
        machine.write_settings()


def _is_free(host, port):
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True
