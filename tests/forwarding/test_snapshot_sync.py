"""Tests of which peers' snapshots an instance fetches."""

import asyncio
import contextlib
import threading
import time

import attrs
import pytest

from tests.fakes.object_store import make_store_view
from tests.fakes.object_store import MemoryObjects
from tests.forwarding.test_peers import STATE
from wigeonfall.forwarding import caller_server
from wigeonfall.forwarding.caller_server import ServerContext
from wigeonfall.forwarding.exchange import ConnectionPool
from wigeonfall.forwarding import internal_pages
from wigeonfall.forwarding.peers import Peers
from wigeonfall.forwarding import snapshot_sync
from wigeonfall.forwarding import store_position
from wigeonfall.forwarding.store_position import Position
from wigeonfall.forwarding import store_watcher
from wigeonfall.model.routing import CallerLimits
from wigeonfall.ports.objects import Listing
from wigeonfall.ports.platform import StoredObject

OWN = Position(2, 20, 14)


def peers_ahead(positions, own=OWN, watches=False):
    """Return the names of peers that are ahead.

    Args:
        positions: positions of the peers by name.
        own: position of the instance.
        watches: whether it watches the store.
    """
    view = make_store_view(('k',))
    item = StoredObject('k', 'main', own.revision, {'v': own.writer_version})
    view.apply_listing('k', Listing((item,), own.revision, own.era))
    peers = Peers('10.0.0.1:7')
    for name, position in positions.items():
        numbers = store_position.encode({'k': position})
        peers.receive(attrs.evolve(STATE, name=name, revisions=numbers), 0.0)
    context = snapshot_sync.SnapshotSyncContext(
        peers=peers,
        view=view,
        connections=None,
        data_center='dc',
        watches_store=lambda: watches,
        store_reachable=lambda: True,
        fleet_size=lambda _now_s: 2,
        record=None,
    )
    ahead = snapshot_sync._peers_ahead(context, 0.1)
    return {state.name for state in ahead}


@pytest.mark.parametrize(
    ('position', 'expected'),
    [
        (Position(3, 5, 3), True),  # a later era, with lower revisions
        (Position(1, 90, 14), False),  # an era that has ended
        (Position(2, 21, 14), True),
        (Position(2, 20, 14), False),
        (Position(2, 20, 16), True),  # what a restored store has lost
        (Position(1, 90, 16), True),
    ],
)
def test_peer_with_a_later_position_or_a_newer_version_is_ahead(
    position, expected
):
    assert peers_ahead({'a': position}) == ({'a'} if expected else set())


def test_peers_without_eras_are_followed_if_there_are_no_others():
    earlier = Position(0, 90, 0)
    assert peers_ahead({'a': earlier}) == {'a'}
    assert peers_ahead({'a': earlier}, watches=True) == set()
    assert peers_ahead({'a': earlier, 'b': OWN}) == set()
    newer = Position(2, 21, 14)
    assert peers_ahead({'a': earlier, 'b': newer}) == {'b'}


def test_revisions_order_positions_if_nobody_knows_eras():
    own = Position(0, 20, 14)
    positions = {'a': Position(0, 21), 'b': Position(0, 19)}
    assert peers_ahead(positions, own, watches=True) == {'a'}


KINDS = ('big', 'small')
CAUGHT_UP_S = 5.0


class _Follower:
    """An instance that watches nothing, and its peers.

    Args:
        objects: the value of the object of each kind that peers know.
    """

    def __init__(self, **objects):
        self.view = make_store_view(KINDS)
        self.peers = Peers('10.0.0.1:7')
        self.events = []
        self.objects = objects
        self.asked = []
        self.context = snapshot_sync.SnapshotSyncContext(
            peers=self.peers,
            view=self.view,
            connections=ConnectionPool(b'request-id'),
            data_center='dc',
            watches_store=lambda: False,
            store_reachable=lambda: True,
            fleet_size=lambda _now_s: 4,
            record=self.record,
        )

    def record(self, event, **fields):
        self.events.append((event.name, fields))

    async def add_peer(self, stack, name, pages=None, pace=None, wait_s=0.0):
        """Start a peer that is ahead in all kinds.

        Args:
            stack: closes its server.
            name: name of the peer.
            pages: pages in place of its own.
            pace: bytes it sends in 0.1 s, None for no limit.
            wait_s: time until it answers.
        """
        view = make_store_view(KINDS)
        for kind, value in self.objects.items():
            item = StoredObject(kind, 'a', 5, value)
            view.apply_listing(kind, Listing((item,), 5, 1))
        own = internal_pages.snapshot_pages(view, self.record)
        handle = internal_pages.make_page_handler(
            self.record, own | (pages or {})
        )

        async def answer(call, reply):
            self.asked.append((name, call.path))
            await asyncio.sleep(wait_s)
            await handle(call, reply)

        context = ServerContext(answer, CallerLimits, lambda: False)
        server = await caller_server.serve('127.0.0.1:0', context, 10)
        stack.callback(server.close)
        address = '127.0.0.1:%d' % server.sockets[0].getsockname()[1]
        if pace is not None:
            address = await slow_link(stack, address, pace)
        state = attrs.evolve(
            STATE,
            name=name,
            address=address,
            data_center='dc',
            revisions=store_position.encode(view.positions()),
        )
        self.peers.receive(state, time.monotonic())

        async def stay_live():
            for number in range(2, 1000):
                await asyncio.sleep(0.2)
                later = attrs.evolve(state, sequence=state.sequence + number)
                self.peers.receive(later, time.monotonic())

        task = asyncio.create_task(stay_live())
        stack.callback(task.cancel)

    async def follow(self, stack):
        task = asyncio.create_task(snapshot_sync.run(self.context))
        stack.callback(task.cancel)

    async def wait_for(self, *kinds):
        async with asyncio.timeout(CAUGHT_UP_S):
            while not all(self.view.objects(kind) for kind in kinds):
                await asyncio.sleep(0.01)


async def slow_link(stack, address, bytes_per_step):
    """Return an address from which bytes arrive slowly, or none at 0."""
    host, _, port = address.rpartition(':')

    async def relay(reader, writer):
        there, back = await asyncio.open_connection(host, int(port))
        back.write(await reader.readuntil(b'\r\n\r\n'))
        while bytes_per_step and (data := await there.read(bytes_per_step)):
            writer.write(data)
            await asyncio.sleep(0.1)
        if not bytes_per_step:
            await asyncio.sleep(60)
        writer.close()

    server = await asyncio.start_server(relay, '127.0.0.1', 0)
    stack.callback(server.close)
    return '127.0.0.1:%d' % server.sockets[0].getsockname()[1]


def fail():
    raise RecursionError('too deep')


def follow(scenario, **objects):
    """Run a scenario with a follower."""
    follower = _Follower(**objects)

    async def run():
        with contextlib.ExitStack() as stack:
            await scenario(follower, stack)

    asyncio.run(run())
    return follower


def test_a_kind_that_cannot_be_had_leaves_the_others():
    """The routing table did not arrive as the list of targets could not."""

    async def scenario(follower, stack):
        await follower.add_peer(stack, 'a', {b'/snapshot/big': fail})
        await follower.follow(stack)
        await follower.wait_for('small')
        assert not follower.view.objects('big')

    follower = follow(scenario, big={'v': 1}, small={'v': 1})
    assert ('a', b'/snapshot/big') in follower.asked


def test_another_peer_is_asked_after_one_that_failed():
    async def scenario(follower, stack):
        await follower.add_peer(stack, 'a', {b'/snapshot/big': fail})
        await follower.add_peer(stack, 'b', {b'/snapshot/big': fail})
        await follower.add_peer(stack, 'c')
        await follower.follow(stack)
        await follower.wait_for('big', 'small')

    follower = follow(scenario, big={'v': 1}, small={'v': 1})
    asked = [n for n, path in follower.asked if path == b'/snapshot/big']
    assert len(asked) == len(set(asked))


def test_a_peer_without_what_it_advertised_has_failed():
    """One that lost its view answered in vain for ever."""

    async def scenario(follower, stack):
        empty = {b'/snapshot/big': lambda: (200, b'{}')}
        await follower.add_peer(stack, 'a', empty)
        await follower.follow(stack)
        await follower.wait_for('small')
        async with asyncio.timeout(CAUGHT_UP_S):
            while not any(
                name == 'VIEW_BEHIND' for name, _ in follower.events
            ):
                await asyncio.sleep(0.01)

    follower = follow(scenario, big={'v': 1}, small={'v': 1})
    (behind,) = [f for name, f in follower.events if name == 'VIEW_BEHIND']
    assert (behind['kind'], behind['ahead'], behind['failed']) == ('big', 1, 1)
    assert 2.0 <= behind['lag_s'] <= 4.0
    ended_s = time.time() - behind['since_unix_s'] - behind['lag_s']
    assert -0.2 < ended_s < CAUGHT_UP_S  # both are rounded
    assert 'advertised' in behind['detail']
    assert len(follower.asked) < 8


def test_the_store_is_asked_where_no_peer_helps():
    """Peers were asked for ever, though the store was in reach."""
    stopping = threading.Event()
    store = MemoryObjects()
    for number in range(4):
        store.put('big', 'a', {'v': number})

    async def scenario(follower, stack):
        loop = asyncio.get_running_loop()

        def in_loop(function):
            return lambda *values: loop.call_soon_threadsafe(function, *values)

        stack.callback(stopping.set)
        store_watcher.start(
            store_watcher.StoreWatcher(
                kind='big',
                get_store=store.port,
                on_listing=in_loop(follower.view.apply_listing),
                on_changes=in_loop(follower.view.apply_changes),
                on_reachable=lambda _reachable: None,
                is_enabled=lambda: False,
                settle_s=lambda: 0.0,
                record=follower.record,
                stopping=stopping,
                is_listing_due=lambda: 'big' in follower.context.listings_due,
                on_listed=in_loop(
                    lambda error: snapshot_sync.record_listed(
                        follower.context, 'big', error
                    )
                ),
            )
        )
        await follower.add_peer(stack, 'a', {b'/snapshot/big': fail})
        await follower.follow(stack)
        await follower.wait_for('big', 'small')
        await asyncio.sleep(1.0)

    follower = follow(scenario, big={'v': 3}, small={'v': 1})
    assert store.calls == 1
    assert not follower.context.listings_due


def test_a_fetch_goes_on_while_bytes_arrive():
    """On a narrow link it was given up each second, and begun anew."""
    names = {f'{n * 7919 % 100003:x}': n for n in range(3000)}

    async def scenario(follower, stack):
        await follower.add_peer(stack, 'a', pace=1000)
        await follower.follow(stack)
        await follower.wait_for('big')

    follower = follow(scenario, big=names)
    assert [path for _, path in follower.asked] == [b'/snapshot/big']
    assert not [n for n, _ in follower.events if n == 'MESSAGE_UNREADABLE']


@pytest.mark.parametrize('pace', [0, 20])
def test_a_change_does_not_wait_for_a_peer_that_sends_little(pace):
    """Later changes waited up to 30 s for the end of a fetch under way."""
    names = {f'{n * 7919 % 100003:x}': n for n in range(3000)}

    async def scenario(follower, stack):
        await follower.add_peer(stack, 'a', pace=pace)
        await follower.follow(stack)
        async with asyncio.timeout(CAUGHT_UP_S):
            while ('a', b'/snapshot/big') not in follower.asked:
                await asyncio.sleep(0.01)
        before_s = time.monotonic()
        await follower.add_peer(stack, 'b')
        await follower.wait_for('big')
        assert time.monotonic() - before_s < 1.5  # half of the time allowed
        # The other fetch has ended, so that the link is free.
        assert not follower.context.lags['big'].fetching

    follower = follow(scenario, big=names)
    assert not [n for n, _ in follower.events if n == 'MESSAGE_UNREADABLE']


def test_a_busy_peer_is_not_asked_again_and_again():
    """All instances did, so that it had ever more to send."""

    async def scenario(follower, stack):
        await follower.add_peer(stack, 'a', wait_s=1.6)
        await follower.follow(stack)
        await follower.wait_for('big')

    follower = follow(scenario, big={'v': 1})
    asked = [path for _, path in follower.asked]
    assert asked.count(b'/snapshot/big') == 1


@pytest.mark.parametrize('asks', [False, True])
def test_snapshots_are_compressed_for_peers_that_ask_for_it(asks):
    """Earlier releases do not."""

    async def scenario(follower, stack):
        await follower.add_peer(stack, 'a')
        (peer,) = follower.peers.live(time.monotonic())
        host, _, port = peer.state.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'GET /snapshot HTTP/1.1\r\nHost: x\r\n')
        writer.write(b'Accept-Encoding: gzip, deflate\r\n' * asks + b'\r\n')
        head = await reader.readuntil(b'\r\n\r\n')
        assert (b'Content-Encoding: deflate' in head) == asks
        length = int(head.partition(b'Content-Length: ')[2].split()[0])
        assert (length < 4000) == asks
        writer.close()

    follow(scenario, big={f'route-{n}': 'x' for n in range(1000)})
