"""Exchanges the state of topics with peers, in one task for each peer."""

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
COALESCE_S = 0.005  # several changes at once cause one swap
RECENT_SWAP_S = 0.9
HIGHER_ADDRESS_DELAY_S = 0.2

PeerAddresses = Callable[[float], tuple[str, ...]]


@attrs.define
class Exchange:
    """The topics of one instance and the state of its exchange with peers.

    In a swap both ends send their state and merge that of the other.

    Attributes:
        own: this instance.
        recorder: records events and holds the hybrid clock.
        topics: the topics to exchange.
        on_state: called with the sender of each received state and the
            present time in seconds since the epoch.
        peer_names: name of the peer that last answered at each address.
        inbound_swap_s: when the peer at each address last began a swap with
            this instance, on the monotonic clock.
        wake_events: ends the pause of the task of each address.
        loop: event loop of the tasks, None before they start.
    """

    own: Instance
    recorder: Recorder
    topics: tuple[Topic, ...] = ()
    on_state: Callable[[Instance, float], None] = lambda _peer, _now_s: None
    peer_names: dict[str, str] = attrs.field(factory=dict)
    inbound_swap_s: dict[str, float] = attrs.field(factory=dict)
    wake_events: dict[str, asyncio.Event] = attrs.field(factory=dict)
    loop: asyncio.AbstractEventLoop | None = None

    def state(self, peer: str, now_unix_s: float) -> exchange_pb2.State:
        """Return the message with the state of this instance's topics.

        Args:
            peer: name of the receiving peer, '' if it is not known.
            now_unix_s: present time in seconds since the epoch.
        """
        stamp = self.recorder.clock.tick(now_unix_s)
        payloads = {
            topic.name: _payload(topic, peer, now_unix_s)
            for topic in self.topics
        }
        return peers_adapter.encode_state(self.own, stamp, payloads)

    def merge(self, state: exchange_pb2.State, now_unix_s: float) -> None:
        """Merge the topics of a peer's state.

        A topic that cannot be read is recorded; the others still merge.
        """
        stamp = clock.Stamp(state.clock_ms, state.clock_counter)
        self.recorder.clock.see(stamp, now_unix_s)
        self.on_state(peers_adapter.sender_of(state), now_unix_s)
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
        """Merge a peer's state and return the state of this instance."""
        now_unix_s = time.time()
        self.inbound_swap_s[state.peers_address] = time.monotonic()
        self.merge(state, now_unix_s)
        return self.state(state.instance, now_unix_s)

    def due(self, address: str, now_s: float) -> bool:
        """Return whether the periodic swap with a peer is due.

        A swap updates both ends, so none is due shortly after one that the
        peer began.

        Args:
            address: address of the peer.
            now_s: present time on the monotonic clock.
        """
        inbound_swap_s = self.inbound_swap_s.get(address)
        return (
            inbound_swap_s is None or now_s - inbound_swap_s >= RECENT_SWAP_S
        )

    def trigger_exchange(self) -> None:
        """Swap with all peers at once, to spread a change; thread-safe."""
        loop = self.loop
        if loop is not None:
            loop.call_soon_threadsafe(self._wake_all)

    def _wake_all(self) -> None:
        for wake in self.wake_events.values():
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
    """Run one task for each peer address, until cancelled.

    Args:
        exchange: the topics to exchange.
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
    wake = exchange.wake_events[address] = asyncio.Event()
    reachable = True
    try:
        while True:
            now_reachable = await _swap_once(exchange, channel)
            if now_reachable != reachable:
                reachable = now_reachable
                _record_change(exchange, address, reachable)
            await _wait_until_due(exchange, address, wake)
    finally:
        exchange.wake_events.pop(address, None)
        exchange.inbound_swap_s.pop(address, None)
        exchange.peer_names.pop(address, None)
        channel.close()


async def _wait_until_due(
    exchange: Exchange, address: str, wake: asyncio.Event
) -> None:
    # Of two instances the one with the lower address begins the swaps; the
    # delay of the other makes its own swap unnecessary as a rule.
    lower = exchange.own.peers_address < address
    pause_s = PERIOD_S if lower else PERIOD_S + HIGHER_ADDRESS_DELAY_S
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(wake.wait(), pause_s)
        if wake.is_set() or exchange.due(address, time.monotonic()):
            break
    wake.clear()
    await asyncio.sleep(COALESCE_S)


async def _swap_once(
    exchange: Exchange, channel: peers_adapter.PeerChannel
) -> bool:
    try:
        peer = exchange.peer_names.get(channel.address, '')
        answer = await channel.swap(exchange.state(peer, time.time()))
    except peers_adapter.PeerError:
        return False
    exchange.peer_names[channel.address] = answer.instance
    exchange.merge(answer, time.time())
    return True


def _record_change(exchange: Exchange, address: str, reachable: bool) -> None:
    event = Event.PEER_REACHABLE if reachable else Event.PEER_UNREACHABLE
    exchange.recorder.record(event, peer=address)
