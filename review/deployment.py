"""A small deployment: the store, machines of the system, and engines."""

import asyncio
import os
import pathlib
import sys
import tempfile

import machines
from engines import Engine
from machines import Machine
from record import Record
from requesters import HOST
from store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
RUN_LIMIT_S = 110.0
STABILITY_S = 3.0
CLOSE_S = 0.2  # until all channels have closed


class Deployment:
    """The processes and stand-ins of one run.

    Attributes:
        trouble: whether the run has its disruption.
        record: what was sent, answered and run.
        store: the platform's store.
        machines: machines of the system.
        engines: the engines.
    """

    def __init__(self, case_directory):
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record = Record(case_directory / 'record.txt')
        self.store = Store()
        self.machines = []
        self.engines = []
        self._tasks = []
        self._directory = tempfile.TemporaryDirectory()

    async def start_machines(self, count):
        """Start machines; the manifest and the engines come first."""
        ips = machines.machine_ips(count)
        ports = machines.free_ports(ips)
        directory = pathlib.Path(self._directory.name)
        for number, ip in enumerate(ips):
            link = await self.store.link()
            machine = Machine(
                f'edge-{number + 1}', ip, ports, ips[:3], link, directory
            )
            self.machines.append(machine)
        await asyncio.gather(*(m.start() for m in self.machines))
        for machine in self.machines:
            self.keep(machine.watch_ready())
        self.record.say(f'{count} machines are ready')

    async def start_engine(self, name, service, work_s, **options):
        """Start an engine and return it."""
        engine = Engine(self.store, name, service, work_s, **options)
        await engine.start()
        self.engines.append(engine)
        return engine

    def keep(self, coroutine):
        """Run a coroutine until the end of the run."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.append(task)
        return task

    def add_all(self, attempts):
        """Add all that was sent, answered and run to the record."""
        for engine in self.engines:
            self.record.add_runs(engine)
        for attempt in attempts:
            self.record.add_attempt(attempt)

    async def stop(self):
        """End all that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for machine in self.machines:
            await machine.kill()
        logs = os.environ.get('KEEP_LOGS')
        if logs:
            for machine in self.machines:
                path = pathlib.Path(logs) / f'{machine.name}.log'
                path.write_text(machine.log_text(), 'utf-8')
        for engine in self.engines:
            engine.stop()
        await asyncio.sleep(CLOSE_S)
        self._directory.cleanup()


def route(name, kind, service, timeout_ms=3000, aim_ms=300, **fields):
    """Return a route of a manifest."""
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': f'/{name}/',
        'Kind': kind,
        'TimeoutMs': timeout_ms,
        'TargetLatencyMs': aim_ms,
        'Priority': 0,
        'Service': service,
        'MaxAttempts': 1,
        'AllowAnonymous': True,
        **fields,
    }


def manifest(routes, version=1):
    """Return a manifest with these routes and their services."""
    services = sorted({r['Service'] for r in routes})
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {'Name': name, 'HealthPath': '/healthz', 'MaxConnections': 630}
            for name in services
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [],
    }


def main(case_file, play):
    """Play a case and exit with 1 if its rule was broken, 0 if it held.

    Args:
        case_file: file of the case, in its folder.
        play: coroutine function that gets the deployment and returns whether
            the rule was broken.
    """
    directory = pathlib.Path(case_file).resolve().parent
    sys.exit(asyncio.run(_run(directory, play)))


async def _run(directory, play):
    deployment = Deployment(directory)
    try:
        async with asyncio.timeout(RUN_LIMIT_S):
            broken = await play(deployment)
    except (OSError, TimeoutError, RuntimeError) as error:
        deployment.record.say(f'the case could not run: {error!r}')
        return NOT_RUN
    finally:
        await deployment.stop()
    verdict = 'the rule was broken' if broken else 'the rule held'
    deployment.record.say(verdict)
    return BROKEN if broken else HELD
