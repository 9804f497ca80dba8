"""Failure tests of tiers over gRPC: arbiters lost, paused, cut and doubled.

Several instances run on one loop; what crosses between two data centres goes
through a forwarder that can fall silent.
"""

import asyncio
import contextlib
import socket
import time

import grpclib.server
import pytest
from result import Ok

from tests.fakes import arbitration
from wigeonfall.adapters import admission_peers
from wigeonfall.adapters import admission_server
from wigeonfall.model import instance
from wigeonfall.policy import rendezvous
from wigeonfall.serving import admission
from wigeonfall.serving import arbiter

WAIT_S = 20
LIMIT = arbitration.SERVICE.outstanding_requests
POOL = 'lm'


class Forwarder:
    """Passes bytes on to a port, unless it is silent."""

    def __init__(self):
        self.silent = False
        self._tasks = set()

    async def start(self, port):
        """Return the port that it listens on."""
        self._to = port
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Close everything."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        there = await asyncio.open_connection('127.0.0.1', self._to)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await asyncio.gather(
                self._pass_on(reader, there[1]),
                self._pass_on(there[0], writer),
            )
        writer.close()
        there[1].close()

    async def _pass_on(self, reader, writer):
        while data := await reader.read(65536):
            while self.silent:
                await asyncio.sleep(0.01)
            writer.write(data)
            await writer.drain()
        writer.close()


class Node:
    """One instance: its arbiters, its link and its server."""

    def __init__(self, name, data_center):
        self.socket = socket.socket()
        self.socket.bind(('127.0.0.1', 0))
        self.port = self.socket.getsockname()[1]
        self.own = instance.Instance(name, data_center, '', 1)
        self.live = ()
        self.events = []
        self.forwarder = Forwarder()
        self.services = (arbitration.SERVICE,)
        self.all_services = admission.Admission(
            self.own,
            lambda _service, _now_s: arbitration.TARGETS[:1],
            lambda: self.live,
            self._record,
        )
        self.admission = self.all_services.for_service(arbitration.SERVICE)
        self.arbiters = arbiter.Arbiters(
            lambda _name: arbitration.SERVICE,
            lambda _service, _now_s: arbitration.TARGETS[:1],
            lambda: self.live,
            arbitration.ignore,
        )
        self._tasks = []

    def _record(self, event, **fields):
        self.events.append((event, fields))

    @property
    def arbiter(self):
        """Name of the arbiter that the instance is linked to, or None."""
        links = [e for e in self.events if 'arbiter' in e[1]]
        if not links or links[-1][0].name == 'ARBITER_LOST':
            return None
        return links[-1][1]['arbiter']

    async def start(self):
        """Serve, and link to the pool's arbiter."""
        self.server = grpclib.server.Server(
            [admission_server.AdmissionServer(self.arbiters)]
        )
        await self.server.start(sock=self.socket)
        links = admission_peers.Links(
            self.own,
            self.all_services,
            lambda: self.services,
            lambda: self.live,
            self._record,
        )
        self._tasks = [
            asyncio.create_task(admission_peers.run_links(links)),
            asyncio.create_task(admission_server.run_ticks(self.arbiters)),
        ]

    async def stop(self):
        """Drop all connections at once, as a killed process does."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.server.close()
        self.forwarder.stop()


class Site:
    """Instances in two data centres, and books of what they hold."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.limit = LIMIT

    def submit(self, node, count, rank=3):
        """Return waits of a tier at an instance."""
        now_s = time.monotonic()
        request = arbitration.make_request('r', rank, now_s + 60, now_s)
        return [
            node.admission.submit(request, frozenset(), now_s)
            for _ in range(count)
        ]

    def held(self):
        """Return the number of grants held by all instances."""
        return sum(len(node.admission.held()) for node in self.nodes)

    async def until(self, condition):
        """Wait for a condition, while the limit holds."""
        end_s = time.monotonic() + WAIT_S
        while not condition():
            assert self.held() <= self.limit
            assert time.monotonic() < end_s, condition
            await asyncio.sleep(0.01)

    async def linked(self, nodes=None):
        """Wait until instances share one arbiter; return its node."""
        nodes = nodes or self.nodes
        await self.until(
            lambda: (
                nodes[0].arbiter is not None
                and len({node.arbiter for node in nodes}) == 1
            )
        )
        return next(n for n in self.nodes if n.own.name == nodes[0].arbiter)


async def start_site():
    """Return a site of four instances in two data centres."""
    nodes = [Node(f'i{n}', 'east' if n < 2 else 'west') for n in range(4)]
    for node in nodes:
        await node.start()
        node.far_port = await node.forwarder.start(node.port)
    for node in nodes:
        node.live = tuple(
            instance.Instance(
                other.own.name,
                other.own.data_center,
                f'127.0.0.1:{port_between(node, other)}',
                1,
            )
            for other in nodes
        )
    return Site(nodes)


def port_between(node, other):
    """Return the port by which one instance reaches another."""
    near = node.own.data_center == other.own.data_center
    return other.port if near else other.far_port


@pytest.fixture
def run():
    """Return a function that runs a test with a site of its own."""

    async def with_site(test):
        site = await start_site()
        try:
            await site.linked()
            await test(site)
        finally:
            for node in site.nodes:
                await node.stop()

    return lambda test: asyncio.run(with_site(test))


def granted(waits):
    """Return the grants among the outcomes of waits."""
    return [w.outcome.ok_value for w in waits if isinstance(w.outcome, Ok)]


def test_burst_at_one_instance_displaces_lower_tiers_of_all(run):
    """Ten times the capacity arrives at once; none is shed too early."""

    async def test(site):
        low = [w for node in site.nodes for w in site.submit(node, 4)]
        await site.until(lambda: len(granted(low)) == LIMIT)
        high = site.submit(site.nodes[0], 10 * LIMIT, rank=0)
        yielding = granted(low)
        await site.until(lambda: all(g.revoked.is_set() for g in yielding))
        assert not any(wait.outcome for wait in high)
        for grant in yielding:
            grant.release()
        await site.until(lambda: len(granted(high)) == LIMIT)
        queued = 4 * arbitration.SERVICE.queued_requests
        await site.until(
            lambda: sum(w.outcome is None for w in high) == queued
        )
        assert all(w.outcome.is_err() for w in low if not w.outcome.is_ok())

    run(test)


def test_arbiter_killed_with_grants_out(run):
    """The next arbiter counts them, and goes on when they are released."""

    async def test(site):
        killed = await site.linked()
        rest = [node for node in site.nodes if node is not killed]
        first = site.submit(rest[0], LIMIT)
        await site.until(lambda: len(granted(first)) == LIMIT)
        waits = site.submit(rest[1], 3, rank=0)
        site.limit += len(rest)
        await killed.stop()
        await site.until(
            lambda: all(n.arbiter != killed.own.name for n in rest)
        )
        await site.linked(rest)
        await site.until(
            lambda: any(g.revoked.is_set() for g in granted(first))
        )
        for grant in granted(first):
            grant.release()
        await site.until(lambda: len(granted(waits)) == 3)

    run(test)


def test_silent_arbiter_is_left_and_taken_back(run):
    """Connections that fall silent lead elsewhere, and back afterwards."""

    async def test(site):
        paused = await site.linked()
        far = [
            node
            for node in site.nodes
            if node.own.data_center != paused.own.data_center
        ]
        paused.forwarder.silent = True
        await site.until(
            lambda: all(n.arbiter not in (None, paused.own.name) for n in far)
        )
        waits = site.submit(far[0], 2)
        await site.until(lambda: len(granted(waits)) == 2)
        paused.forwarder.silent = False
        assert await site.linked() is paused

    run(test)


def test_cut_between_data_centres(run):
    """Both sides serve; together they keep the limit while it is fresh."""

    async def test(site):
        for node in site.nodes:
            node.forwarder.silent = True
        east, west = site.nodes[:2], site.nodes[2:]
        for side in (east, west):
            names = {node.own.name for node in side}
            await site.until(lambda: all(n.arbiter in names for n in side))
        waits = [site.submit(node, LIMIT) for node in site.nodes]
        await site.until(lambda: site.held() == LIMIT)
        assert granted(waits[0] + waits[1])
        assert granted(waits[2] + waits[3])

    run(test)


def test_instance_without_any_arbiter_uses_its_own_share(run):
    """Half of the limit, as its live list names one instance only."""

    async def test(site):
        killed = await site.linked()
        alone = next(node for node in site.nodes if node is not killed)
        address = f'127.0.0.1:{killed.port}'
        alone.live = (instance.Instance(killed.own.name, '', address, 1),)
        await killed.stop()
        waits = site.submit(alone, LIMIT)

        def served():
            alone.admission.tick(time.monotonic())
            return len(granted(waits)) == LIMIT // 2

        await site.until(served)
        assert alone.arbiter is None

    run(test)


def test_instance_with_an_unreadable_address_is_passed_over(run):
    """A broken entry of the live list costs no link."""

    async def test(site):
        node = site.nodes[0]
        good = node.live
        node.live = (instance.Instance('broken', 'east', 'nowhere', 1),)
        node.services = ()
        await site.until(lambda: node.arbiter is None)
        node.services = (arbitration.SERVICE,)
        await asyncio.sleep(3 * admission_peers.SERVICES_PERIOD_S)
        node.live = good
        await site.until(lambda: node.arbiter is not None)

    run(test)


def test_service_that_is_no_longer_configured_has_no_link(run):
    """Links follow the configuration."""

    async def test(site):
        node = site.nodes[0]
        node.services = ()
        await site.until(lambda: node.arbiter is None)
        node.services = (arbitration.SERVICE,)
        await site.until(lambda: node.arbiter is not None)

    run(test)


def test_arbiter_is_the_first_by_rendezvous_hash(run):
    """All instances agree on the arbiter without a vote."""

    async def test(site):
        names = [node.own.name for node in site.nodes]
        found = await site.linked()
        assert found.own.name == rendezvous.owner(POOL, names)

    run(test)
