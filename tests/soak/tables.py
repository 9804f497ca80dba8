"""Changes of a routing table that follow each other while links are narrow.

The table grows to thousands of routes and shrinks, and routes and keys are
taken away, while instances that pass changes on are killed, frozen or reached
over links that stall or lose packets. Callers see whether a change is in force
at each instance in time; they run as processes on loopback, with the link of
each narrowed by a proxy.
"""

import asyncio
from collections.abc import Callable
import json
import pathlib
import random
import signal
import time
from typing import Any

import attrs

from tests.fakes.forwarding import read_answer
from tests.fakes.forwarding import ScriptedTarget
from tests.fakes.forwarding import TargetRequest
from tests.fakes.link_hosts import Host
from tests.fakes.link_hosts import Link
from tests.fakes.link_hosts import make_link
from tests.fakes.users_platform import Instance
from wigeonfall.events import Event

APPLY_S = 3.0  # in which a change must be in force
STABLE_S = 4.0  # after a fault, an instance is held to it again
VALUE_BYTES = 1 << 20  # largest value that the store takes
ROUTE_BYTES = 330  # of one route in it
DATA_CENTERS = ('a', 'b', 'c')
STRONG = 6  # instances with more processors, two in each data centre
FAULT_S = (0.3, 4.0)
# Of the link to peers; the instance itself is held to the promise.
LINK_FAULTS = ('silence', 'cut', 'lose', 'narrow')
LOST_SHARE = 0.1
GAP_S = (0.2, 2.5)
STARTS_AT_ONCE = 16
HOSTS = 4  # processes that carry links, and the store
HOST = 'meat.example'
NO_ROUTE, NO_KEY, PASSED = 'no route', 'no key', 'passed'
_BY_STATUS = {404: NO_ROUTE, 401: NO_KEY}


@attrs.frozen
class Plan:
    """The size of a run.

    Attributes:
        seed: what chance depends on.
        instances: number of processes.
        duration_s: time with changes and faults.
        most_routes: routes of the largest table.
        faults: faults at the same time.
        link_bytes_per_s: what the links of most instances carry; those of
            the instances with more processors carry ten times as much.
    """

    seed: int
    instances: int = 18
    duration_s: float = 12.0
    most_routes: int = VALUE_BYTES // ROUTE_BYTES
    faults: int = 1
    link_bytes_per_s: float = 10e6 / 8


@attrs.frozen
class Table:
    """One version of the table.

    Attributes:
        version: its version.
        routes: number of its routes; they are numbered.
        dropped: numbers of those that were taken away.
        keys: API keys that it allows.
    """

    version: int
    routes: int
    dropped: frozenset[int]
    keys: frozenset[str]

    def outcome(self, route: int, key: str) -> str:
        """Return what a request gets by this version."""
        if route >= self.routes or route in self.dropped:
            return NO_ROUTE
        return PASSED if key in self.keys else NO_KEY

    def value(self) -> dict:
        """Return the table as the store has it."""
        numbers = [n for n in range(self.routes) if n not in self.dropped]
        return {
            'Version': self.version,
            'Routes': [_route(number) for number in numbers],
            'Services': [{'Name': 's'}],
            'Limits': {},
            'Tenants': [{'Name': 'c', 'ApiKeys': sorted(self.keys)}],
        }


def _route(number: int) -> dict:
    name = f'{number * 7919 % 100003:05x}'
    return {
        'Name': f'route-{name}',
        'Host': HOST,
        'PathPrefix': f'/{name}/',
        'Kind': 'idempotent',
        'TimeoutMs': 4000,
        'TargetLatencyMs': 400,
        'GapAimMs': 0,
        'Priority': 1,
        'MaxAttempts': 2,
        'ResumeStreams': False,
        'AllowAnonymous': False,
        'StickySessions': True,
        'Service': 's',
        'WeightedServices': [],
    }


async def _answer(served: TargetRequest) -> None:
    served.write(
        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
        b'X-Wigeonfall-Server-Stamp: s\r\n'
        b'X-Wigeonfall-Request-Id: %s\r\n\r\n'
        % served.headers['x-wigeonfall-request-id'].encode()
    )


class _Member(Instance):
    """An instance whose link to peers is narrow."""

    def __init__(
        self, directory: pathlib.Path, store: Link, number: int
    ) -> None:
        super().__init__(directory, store, f'i{number:03}')
        self.strong = number < STRONG
        self.data_center = DATA_CENTERS[number % len(DATA_CENTERS)]
        self.more = f'processor_share = {2 if self.strong else 1}'
        self.more += f'\n[changes]\napply_ms = {APPLY_S * 1000:.0f}'
        self.write_settings()
        # The process serves peers at both ports. It can't listen at this one,
        # and goes on without.
        self.peers_link = store.host.TcpProxy(
            f'127.0.0.1:{self.ports["metrics"]}', self.ports['peers']
        )
        self.peers_link.narrow(store.bytes_per_s)
        self.in_touch_s = 0.0  # from when on it is held to the promise


class TableSoak:
    """The processes of one run, its changes and its faults.

    Attributes:
        broken: each breach, in words.
        caused: the changes and faults, in words.
        probes: number of requests that looked for a change.
        in_force_s: by version, how long each instance took to apply it.
    """

    def __init__(self, plan: Plan, directory: pathlib.Path) -> None:
        self.plan = plan
        self.broken: list[str] = []
        self.caused: list[str] = []
        self.probes = 0
        self.in_force_s: dict[int, list[float]] = {}
        self._choices = random.Random(f'{plan.seed}-tables')
        self._hosts = [Host() for _ in range(HOSTS)]
        for host in self._hosts:
            host.start()
        self._store: Any = self._hosts[0].Store()  # type: ignore[attr-defined]
        address = self._store.address()
        self._target = ScriptedTarget('e0', _answer)
        self._members = [
            _Member(
                directory,
                make_link(
                    self._hosts[1 + number % (HOSTS - 1)],
                    address,
                    plan.link_bytes_per_s * (10 if number < STRONG else 1),
                ),
                number,
            )
            for number in range(plan.instances)
        ]
        self._tables = [Table(1, 50, frozenset(), frozenset({'k0', 'k1'}))]
        self._confirmed_unix_s: dict[int, float] = {}

    async def run(self) -> None:
        """Change the table with faults, and see that changes are in force."""
        try:
            await self._start()
            await self._change_with_faults()
            self._read_times()
        finally:
            for member in self._members:
                if member.process is not None:
                    await member.__aexit__()
            for host in self._hosts:
                host.shutdown()

    async def _start(self) -> None:
        await self._target.start()
        self._put(self._tables[0])
        entry = {
            'Service': 's',
            'Address': self._target.address,
            'Zone': DATA_CENTERS[0],
            'born': 1,
            'Version': 'v1',
            'Slots': 64,
            'State': 'ready',
        }
        self._store.put('servers', 'e0', entry)
        starting = asyncio.Semaphore(STARTS_AT_ONCE)

        async def start(member: _Member) -> None:
            async with starting:
                await member.__aenter__()

        await asyncio.gather(*map(start, self._members))
        await asyncio.sleep(STABLE_S)

    def _put(self, table: Table) -> None:
        self._store.put('config', 'main', table.value())
        self._confirmed_unix_s[table.version] = time.time()

    async def _change_with_faults(self) -> None:
        until_s = time.monotonic() + self.plan.duration_s
        faults = [
            asyncio.create_task(self._cause_faults(lane, until_s))
            for lane in range(self.plan.faults)
        ]
        checks = []
        while time.monotonic() < until_s:
            table, route, key = self._next_table()
            # It may be in force from now on.
            self._tables.append(table)
            self._put(table)
            confirmed_s = time.monotonic()
            self.caused.append(f'{table.routes} routes')
            checks.append(
                asyncio.create_task(
                    self._check(table, route, key, confirmed_s)
                )
            )
            await asyncio.sleep(self._choices.uniform(*GAP_S))
        await asyncio.gather(*faults, *checks)

    def _next_table(self) -> tuple[Table, int, str]:
        """Return the next table, and a route and a key that show it."""
        choices, last = self._choices, self._tables[-1]
        table = attrs.evolve(
            last, version=last.version + choices.randint(1, 4)
        )
        kind = choices.choice(('grow', 'grow', 'shrink', 'drop', 'key', 'key'))
        if kind == 'grow' and last.routes < self.plan.most_routes:
            routes = min(last.routes + 1400, self.plan.most_routes)
            return attrs.evolve(table, routes=routes), routes - 1, 'k0'
        if kind == 'shrink' and last.routes > 50:
            table = attrs.evolve(table, routes=50)
            return table, last.routes - 1, 'k0'
        if kind == 'drop' and len(last.dropped) < 40:
            route = 1 + len(last.dropped)
            dropped = last.dropped | {route}
            return attrs.evolve(table, dropped=dropped), route, 'k0'
        keys = last.keys ^ {'k1'}
        return attrs.evolve(table, keys=keys), 0, 'k1'

    async def _check(
        self, table: Table, route: int, key: str, confirmed_s: float
    ) -> None:
        await asyncio.sleep(confirmed_s + APPLY_S - time.monotonic())
        await asyncio.gather(
            *(
                self._probe(member, table, route, key, confirmed_s)
                for member in self._members
                if member.in_touch_s <= confirmed_s
            )
        )

    async def _probe(
        self,
        member: _Member,
        table: Table,
        route: int,
        key: str,
        confirmed_s: float,
    ) -> None:
        """Send a request that shows whether a table is in force."""
        request = (
            f'GET {_route(route)["PathPrefix"]}x HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Wigeonfall-Request-Id: {table.version}-{member.name}\r\n'
            f'X-Wigeonfall-Key: {key}\r\nConnection: close\r\n\r\n'
        )
        try:
            async with asyncio.timeout(10):
                reader, writer = await member.connect()
                writer.write(request.encode())
                status = (await read_answer(reader))[0]
                writer.close()
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            ValueError,
        ):
            return
        if member.in_touch_s > confirmed_s:
            return
        self.probes += 1
        outcome = _BY_STATUS.get(status, PASSED)
        allowed = {
            later.outcome(route, key)
            for later in self._tables
            if later.version >= table.version
        }
        if outcome not in allowed:
            self.broken.append(
                f'{member.name} does not follow version {table.version} of'
                f' {table.routes} routes after {APPLY_S} s: {outcome}'
            )

    async def _cause_faults(self, lane: int, until_s: float) -> None:
        """Cause one fault after the other where changes are passed on."""
        choices = random.Random(f'{self.plan.seed}-faults-{lane}')
        strong = [member for member in self._members if member.strong]
        while time.monotonic() < until_s:
            await asyncio.sleep(choices.uniform(*GAP_S))
            member = choices.choice(strong[lane :: self.plan.faults])
            kind, fault = choices.choice(self._faults_of(member))
            self.caused.append(f'{kind} {member.name}')
            disturbed = kind not in LINK_FAULTS
            if disturbed:
                member.in_touch_s = float('inf')
            fault()
            await asyncio.sleep(choices.uniform(*FAULT_S))
            member.store.proxy.restore()
            member.peers_link.restore()
            member.peers_link.narrow(member.store.bytes_per_s)
            if member.process.returncode is not None:
                await member.__aenter__()
            else:
                member.process.send_signal(signal.SIGCONT)
            if disturbed:
                member.in_touch_s = time.monotonic() + STABLE_S

    def _faults_of(
        self, member: _Member
    ) -> tuple[tuple[str, Callable[[], None]], ...]:
        link = member.peers_link
        half = member.store.bytes_per_s / 2
        return (
            ('freeze', lambda: member.process.send_signal(signal.SIGSTOP)),
            ('kill', lambda: member.process.kill()),
            ('cut store', member.store.proxy.disconnect),
            ('silence store', member.store.proxy.stall),
            ('silence', link.stall_responses),
            ('cut', link.disconnect),
            ('lose', lambda: link.lose(LOST_SHARE)),
            ('narrow', lambda: link.narrow(half)),
        )

    def _read_times(self) -> None:
        """Read from the logs how long each version took to be in force."""
        for member in self._members:
            for line in member.log.read_text('utf-8').splitlines():
                if '"routes"' not in line:
                    continue
                entry = json.loads(line)
                if entry['event'] != Event.TABLE_IN_FORCE.number:
                    continue
                version = entry['fields']['version']
                took_s = (
                    entry['time_ms'] / 1000 - self._confirmed_unix_s[version]
                )
                self.in_force_s.setdefault(version, []).append(took_s)
