"""The loop that exchanges topics with peers, one task for each peer."""

import asyncio
from collections.abc import Callable
import contextlib
import ssl
import time

import attrs

from .. import clock
from ..adapters import peers as peers_adapter
from ..adapters.proto import exchange_pb2
from ..events import Event
from ..model.instance import Instance
from ..ports.peers import Topic
from ..recorder import Recorder

PERIOD_S = 1.0
GATHER_S = 0.005
MET_LATELY_S = 0.9
MARGIN_S = 0.2

PeerAddresses = Callable[[float], tuple[str, ...]]


@attrs.define
class Exchange:
    """The topics of one instance and the peers that it swaps them with.

    Attributes:
        own: this instance.
        recorder: records events and holds the clock.
        topics: topics by name.
        seen: called with each sender of a state and the present time in
            seconds since the epoch.
        names: name of the peer last met at each address.
        met_s: when the peer at each address last began a swap with us, on
            the monotonic clock.
        wakes: ends the pause of the task of each address.
        loop: the loop that the tasks run on, once they do.
    """

    own: Instance
    recorder: Recorder
    topics: tuple[Topic, ...] = ()
    seen: Callable[[Instance, float], None] = lambda _peer, _now_s: None
    names: dict[str, str] = attrs.field(factory=dict)
    met_s: dict[str, float] = attrs.field(factory=dict)
    wakes: dict[str, asyncio.Event] = attrs.field(factory=dict)
    loop: asyncio.AbstractEventLoop | None = None

    def state(self, peer: str, now_unix_s: float) -> exchange_pb2.State:
        """Return the message that carries our topics.

        Args:
            peer: name of the peer, '' if it is not known.
            now_unix_s: present time in seconds since the epoch.
        """
        stamp = self.recorder.clock.tick(now_unix_s)
        payloads = {
            topic.name: _payload(topic, peer, now_unix_s)
            for topic in self.topics
        }
        return peers_adapter.encode_state(self.own, stamp, payloads)

    def merge(self, state: exchange_pb2.State, now_unix_s: float) -> None:
        """Merge the topics that a peer sent."""
        stamp = clock.Stamp(state.clock_ms, state.clock_counter)
        self.recorder.clock.see(stamp, now_unix_s)
        self.seen(peers_adapter.sender_of(state), now_unix_s)
        payloads = {item.name: item.payload for item in state.topics}
        for topic in self.topics:
            payload = payloads.get(topic.name)
            if payload is None:
                continue
            self._merge_topic(topic, payload, state.instance, now_unix_s)

    def _merge_topic(
        self, topic: Topic, payload: bytes, sender: str, now_unix_s: float
    ) -> None:
        try:
            topic.merge(payload, sender, now_unix_s)
        except ValueError as error:
            self.recorder.record(
                Event.TOPIC_UNREADABLE,
                topic=topic.name,
                peer=sender,
                detail=str(error),
            )

    def swap(self, state: exchange_pb2.State) -> exchange_pb2.State:
        """Merge a peer's state and return our own."""
        now_unix_s = time.time()
        self.met_s[state.peers_address] = time.monotonic()
        self.merge(state, now_unix_s)
        return self.state(state.instance, now_unix_s)

    def due(self, address: str, now_s: float) -> bool:
        """Return whether to begin a swap that nothing triggered.

        A swap serves both ends, so there is none to begin shortly after the
        peer began one.

        Args:
            address: address of the peer.
            now_s: present time on the monotonic clock.
        """
        met_s = self.met_s.get(address)
        return met_s is None or now_s - met_s >= MET_LATELY_S

    def trigger_exchange(self) -> None:
        """Swap with the present peers at once, as there is news."""
        loop = self.loop
        if loop is not None:
            loop.call_soon_threadsafe(self._wake_all)

    def _wake_all(self) -> None:
        for wake in self.wakes.values():
            wake.set()


def _payload(topic: Topic, peer: str, now_unix_s: float) -> bytes:
    if topic.snapshot_for is not None:
        return topic.snapshot_for(peer, now_unix_s)
    return topic.snapshot(now_unix_s)


async def run(
    exchange: Exchange,
    addresses: PeerAddresses,
    context: ssl.SSLContext | None,
) -> None:
    """Keep one task for each peer that is wanted, until cancelled.

    Args:
        exchange: the topics to swap.
        addresses: returns the addresses of the peers to swap with, given the
            present time in seconds since the epoch.
        context: TLS context for connections to peers, or None.
    """
    tasks: dict[str, asyncio.Task[None]] = {}
    exchange.loop = asyncio.get_running_loop()
    try:
        while True:
            wanted = set(addresses(time.time()))
            wanted.discard(exchange.own.peers_address)
            for address in set(tasks) - wanted:
                tasks.pop(address).cancel()
            for address in wanted - set(tasks):
                work = _run_peer(exchange, address, context)
                tasks[address] = asyncio.create_task(work)
            await asyncio.sleep(PERIOD_S)
    finally:
        for task in tasks.values():
            task.cancel()


async def _run_peer(
    exchange: Exchange, address: str, context: ssl.SSLContext | None
) -> None:
    channel = peers_adapter.PeerChannel(address, context)
    wake = exchange.wakes[address] = asyncio.Event()
    reachable = True
    try:
        while True:
            now_reachable = await _swap_once(exchange, channel)
            if now_reachable != reachable:
                reachable = now_reachable
                _record_change(exchange, address, reachable)
            await _pause_until_due(exchange, address, wake)
    finally:
        exchange.wakes.pop(address, None)
        exchange.met_s.pop(address, None)
        exchange.names.pop(address, None)
        channel.close()


async def _pause_until_due(
    exchange: Exchange, address: str, wake: asyncio.Event
) -> None:
    # Of two instances the one with the lower address begins the swaps.
    lower = exchange.own.peers_address < address
    pause_s = PERIOD_S if lower else PERIOD_S + MARGIN_S
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(wake.wait(), pause_s)
        if wake.is_set() or exchange.due(address, time.monotonic()):
            break
    wake.clear()
    await asyncio.sleep(GATHER_S)


async def _swap_once(
    exchange: Exchange, channel: peers_adapter.PeerChannel
) -> bool:
    try:
        peer = exchange.names.get(channel.address, '')
        answer = await channel.swap(exchange.state(peer, time.time()))
    except peers_adapter.PeerError:
        return False
    exchange.names[channel.address] = answer.instance
    exchange.merge(answer, time.time())
    return True


def _record_change(exchange: Exchange, address: str, reachable: bool) -> None:
    event = Event.PEER_REACHABLE if reachable else Event.PEER_UNREACHABLE
    exchange.recorder.record(event, peer=address)
