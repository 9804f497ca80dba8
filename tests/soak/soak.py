"""One run of the soak: real processes, faults from outside, promises held."""

import asyncio
from collections.abc import Callable
import pathlib
import random
import signal
import time

import attrs

from tests.fakes.metadata_store import MetadataStore
from tests.fakes.tcp_proxy import TcpProxy
from tests.fakes.users_platform import Instance
from tests.soak.callers import Caller
from tests.soak.callers import HOST
from tests.soak.callers import Target
from tests.soak import lanes
from tests.soak.lanes import Undo
from tests.soak.promises import Promises
from tests.soak.promises import STORE_AWAY
from wigeonfall.events import Event

MODES = ('errors', 'resets', 'hangs', 'refuses', 'cuts', 'no status')
# Errors that nobody expected; each would stop something else.
UNEXPECTED = {Event.TASK_FAILED.number, Event.PAGE_FAILED.number}
FAULT_S = (0.2, 2.0)
GAP_S = (0.2, 1.5)
DATA_CENTERS = ('z', 'y')
HEALED_S = 20.0  # in which all serve again; processes share a busy machine
SETTLE_S = 3.0  # after a restart, peers know the new start
ROUTES = (
    ('once', 'non_idempotent', 1, False),
    ('safe', 'idempotent', 2, False),
    ('resumed', 'streaming', 3, True),
    ('stream', 'streaming', 1, False),
)


@attrs.frozen
class Plan:
    """The size of a run.

    Attributes:
        seed: what chance depends on.
        duration_s: time with faults.
        instances: number of processes.
        targets: number of stand-in targets.
        callers: number of callers.
    """

    seed: int
    duration_s: float = 10.0
    instances: int = 3
    targets: int = 4
    callers: int = 12


class _Link:
    """The store as one instance reaches it."""

    def __init__(self, address: str) -> None:
        self.proxy = TcpProxy(address)
        self.address = self.proxy.address


class Soak:
    """The processes of one run and the faults that they get."""

    def __init__(self, plan: Plan, directory: pathlib.Path) -> None:
        self.plan = plan
        self.seen = Promises()
        self.caused: list[str] = []
        self._directory = directory
        self.store = MetadataStore()
        self.targets = [
            Target(self.seen, DATA_CENTERS[number % 2])
            for number in range(plan.targets)
        ]
        self.starts = [1] * plan.targets
        self.evacuated = False
        self._target_links: list[TcpProxy] = []
        self._instances: list[Instance] = []
        self.version = 1
        self.lapsed: set[int] = set()

    async def run(self) -> None:
        """Serve with faults, heal, and see that all serve again."""
        with self.store:
            try:
                await self._start()
                await self._serve_with_faults()
                await self._serve_healed()
                for instance in self._instances:
                    self._judge_events(instance)
            finally:
                for instance in self._instances:
                    await instance.__aexit__()
                for link in self._target_links:
                    link.close()
                for instance in self._instances:
                    instance.store.proxy.close()

    async def _start(self) -> None:
        for target in self.targets:
            await target.start()
            self._target_links.append(TcpProxy(target.address))
        self.store.objects.put('config', 'main', self.manifest())
        for number in range(self.plan.targets):
            self.list_target(number)
        for number in range(self.plan.instances):
            instance = Instance(
                self._directory,
                _Link(self.store.address),
                f'i{number}',
                self._seeds(),
            )
            instance.more = '[evacuation]\nstop_ms = 2000'
            instance.write_settings()
            self._instances.append(instance)
        await asyncio.gather(*(i.__aenter__() for i in self._instances))

    def _seeds(self) -> str:
        # Only hosts count, and here all share one: entries in the store tell.
        return '127.0.0.1:1'

    def manifest(self) -> dict:
        return {
            'Version': self.version,
            'Routes': [
                {
                    'Name': name,
                    'Host': HOST.decode(),
                    'PathPrefix': f'/{name}/',
                    'Kind': kind,
                    'TimeoutMs': 4000,
                    'TargetLatencyMs': 400,
                    'GapAimMs': 200,
                    'MaxAttempts': attempts,
                    'ResumeStreams': resumed,
                    'Service': 's',
                    'AllowAnonymous': True,
                }
                for name, kind, attempts, resumed in ROUTES
            ],
            'Services': [{'Name': 's'}],
            'Limits': {},
            'Tenants': [],
        }

    def list_target(self, number: int) -> None:
        value = {
            'Service': 's',
            'Address': self._target_links[number].address,
            'Zone': self.targets[number].data_center,
            'born': self.starts[number],
            'Version': 'v1',
            'Slots': 8,
            'State': 'ready',
        }
        self.store.objects.put('servers', f'e{number}', value)

    async def _serve_with_faults(self) -> None:
        stopping = asyncio.Event()
        choices = random.Random(f'{self.plan.seed}-callers')
        callers = [
            Caller(
                f'{self.plan.seed}-{n}',
                self._instances,
                self.seen,
                random.Random(choices.random()),
            )
            for n in range(self.plan.callers)
        ]
        running = [
            *(self._instance_lane(i) for i in self._instances),
            *(self._target_lane(n) for n in range(self.plan.targets)),
            self._store_lane(),
            lanes.restore_lane(self),
            lanes.endless_lane(self),
            lanes.signal_lane(self),
            lanes.evacuation_lane(self),
            lanes.odd_lane(self),
        ]
        until_s = time.monotonic() + self.plan.duration_s
        tasks = [asyncio.create_task(c.run(stopping)) for c in callers]
        await asyncio.gather(
            *(self._run_lane(*lane, until_s) for lane in running)
        )
        stopping.set()
        await asyncio.gather(*tasks)
        self.seen.judge_evacuations()

    async def _run_lane(self, name: str, kinds: tuple, until_s: float) -> None:
        choices = random.Random(f'{self.plan.seed}-{name}')
        while time.monotonic() < until_s:
            await asyncio.sleep(choices.uniform(*GAP_S))
            kind, cause = choices.choice(kinds)
            span = self.seen.fault_began(name, time.monotonic())
            undo = cause()
            self.caused.append(f'{kind} {name}')
            await asyncio.sleep(choices.uniform(*FAULT_S))
            result = undo()
            if asyncio.iscoroutine(result):
                await result
            span[1] = time.monotonic() + SETTLE_S

    def _instance_lane(self, instance: Instance) -> tuple[str, tuple]:
        link = instance.store.proxy

        def kill() -> Undo:
            instance.process.kill()
            return lambda: self._restart(instance)

        def stop() -> Undo:
            instance.process.send_signal(signal.SIGTERM)
            return lambda: self._restart(instance)

        def pause() -> Undo:
            instance.process.send_signal(signal.SIGSTOP)
            return lambda: instance.process.send_signal(signal.SIGCONT)

        def reload() -> Undo:
            instance.write_settings(ratio=0.3)
            instance.process.send_signal(signal.SIGHUP)
            return lambda: instance.process.send_signal(signal.SIGHUP)

        return instance.name, (
            ('kill', kill),
            ('stop', stop),
            ('pause', pause),
            ('reload', reload),
            *lanes.link_faults(link),
        )

    def _target_lane(self, number: int) -> tuple[str, tuple]:
        target = self.targets[number]

        def set_mode(mode: str) -> Callable[[], Undo]:
            def cause() -> Undo:
                target.mode = mode
                return lambda: setattr(target, 'mode', 'fine')

            return cause

        def lapse() -> Undo:
            self.lapsed.add(number)
            self.store.objects.discard('servers', f'e{number}')

            def undo() -> None:
                self.lapsed.remove(number)
                self.list_target(number)

            return undo

        return f'e{number}', (
            *((mode, set_mode(mode)) for mode in MODES),
            ('lapse', lapse),
            *lanes.link_faults(self._target_links[number]),
        )

    def _store_lane(self) -> tuple[str, tuple]:
        objects = self.store.objects

        def away() -> Undo:
            objects.away = True
            span = self.seen.fault_began(STORE_AWAY, time.monotonic())

            def undo() -> None:
                objects.away = False
                span[1] = time.monotonic()

            return undo

        def forget() -> Undo:
            objects.forget_history()
            return lambda: None

        def change() -> Undo:
            self.version += 1
            objects.put('config', 'main', self.manifest())
            return lambda: None

        return 'store', (
            ('away', away),
            ('forget', forget),
            ('change', change),
        )

    def write_again(self) -> None:
        """Write what the store may have lost, as operators and targets do."""
        self.store.objects.put('config', 'main', self.manifest())
        if self.evacuated:
            self.store.objects.put('evacuations', lanes.EVACUATED, {})
        else:
            self.store.objects.discard('evacuations', lanes.EVACUATED)
        for number in range(self.plan.targets):
            if number not in self.lapsed:
                self.list_target(number)

    async def _restart(self, instance: Instance) -> None:
        try:
            async with asyncio.timeout(10):
                await instance.process.wait()
        except TimeoutError:
            self.seen.broken.append(f'{instance.name} did not stop in 10 s')
        await instance.__aexit__()
        await instance.__aenter__()

    def _judge_events(self, instance: Instance) -> None:
        """See that nothing ended by an error that nobody expected."""
        for entry in instance.events():
            # One object may be unreadable, but never a whole answer.
            lost = entry['event'] == Event.WATCH_LOST.number
            unreadable = lost and 'unreadable' in entry['fields']['detail']
            if unreadable or entry['event'] in UNEXPECTED:
                self.seen.broken.append(
                    f'{instance.name}: {entry["text"]}: {entry["fields"]}'
                )

    async def _serve_healed(self) -> None:
        """See that each instance serves each route and follows changes."""
        self.version += 1
        self.store.objects.put('config', 'main', self.manifest())
        until_s = time.monotonic() + HEALED_S
        await asyncio.gather(
            *(self._see_healed(i, until_s) for i in self._instances)
        )

    async def _see_healed(self, instance: Instance, until_s: float) -> None:
        for kind, *_ in ROUTES:
            number = 0
            status = 0
            while status != 200 and time.monotonic() < until_s:
                number += 1
                name = f'{self.plan.seed}-healed-{instance.name}-{number}'
                caller = Caller(name, [instance], self.seen, random.Random(0))
                status = await caller.call(f'{name}-{kind}', kind, instance)
            if status != 200:
                self.seen.broken.append(
                    f'{instance.name} serves no {kind} after the faults'
                )
        while self.version not in self._versions(instance):
            if time.monotonic() > until_s:
                self.seen.broken.append(
                    f'{instance.name} has no version {self.version}'
                )
                break
            await asyncio.sleep(0.1)

    def _versions(self, instance: Instance) -> set[int]:
        """Return the versions of the table that an instance had in force."""
        return {
            entry['fields']['version']
            for entry in instance.events()
            if entry['event'] == Event.TABLE_IN_FORCE.number
        }
