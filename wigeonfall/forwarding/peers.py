"""Exchanges state with peers: load, quota usage and known revisions.

Each datagram repeats the whole state of its sender, so lost, late and
reordered datagrams do no harm.
"""

import asyncio
from collections.abc import Callable
from collections import Counter
import time
from typing import Any, cast

import attrs

from . import arbiter_messages
from . import background_tasks
from ..events import Event
from ..model import address as address_module
from . import peer_news
from . import peer_state
from ..policy.arbiters import Candidate
from ..policy.targets.target_stats import PeerLoad
from ..recorder import Record
from .arbiter_messages import ArbiterDecisions
from .arbiter_messages import ClientState
from .peer_news import NewsExchange
from .peer_state import PeerState

FORMAT_KEY = '.messages'  # in the revisions of a state; older ones ignore it
MIN_SEND_INTERVAL_S = 0.05
HEARTBEAT_INTERVAL_S = 0.25
LIVE_TIMEOUT_S = 1.2  # several heartbeats
FLEET_COUNT_PERIOD_S = 0.1
FORGET_AFTER_S = 30.0  # without a message of a peer


@attrs.define
class Peer:
    """A peer and its newest state.

    Attributes:
        state: its newest state.
        received_s: when that arrived, on the monotonic clock.
    """

    state: PeerState
    received_s: float


class Peers:
    """Keeps track of the peers of this instance.

    A peer is live while its messages arrive, and known until it has been
    silent for FORGET_AFTER_S.

    Args:
        own_address: "host:port" of this instance's datagrams.
    """

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        self._peers: dict[str, Peer] = {}
        self._addresses: set[str] = set()
        self._fleet_size = 1
        self._fleet_counted_s = float('-inf')

    def add_addresses(self, addresses: tuple[str, ...]) -> None:
        """Add addresses at which there may be peers, if they are valid."""
        self._addresses.update(
            address
            for address in addresses
            if address not in self._addresses and _is_valid(address)
        )
        self._addresses.discard(self._own_address)

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of known and possible peers."""
        return tuple(self._addresses)

    def heard_before(self, state: PeerState) -> bool:
        """Return whether the sender's present incarnation is known."""
        peer = self._peers.get(state.name)
        return peer is not None and peer.state.incarnation == state.incarnation

    def receive(self, state: PeerState, now_s: float) -> bool:
        """Store a state; return False if it is not newer than the last."""
        peer = self._peers.get(state.name)
        if peer is not None:
            before = peer.state
            if (
                before.incarnation == state.incarnation
                and before.sequence >= state.sequence
            ):
                return False
        self._peers[state.name] = Peer(state, now_s)
        self.add_addresses((state.address, *state.peers))
        return True

    def message_format(self, address: str) -> int:
        """Return the newest format of arbiter messages that a peer reads."""
        formats = (
            peer.state.revisions.get(FORMAT_KEY, arbiter_messages.FIRST_FORMAT)
            for peer in self._peers.values()
            if peer.state.address == address
        )
        return max(formats, default=arbiter_messages.FIRST_FORMAT)

    def live(self, now_s: float) -> list[Peer]:
        """Return the peers that are live."""
        return [
            peer
            for peer in self._peers.values()
            if now_s - peer.received_s <= LIVE_TIMEOUT_S
        ]

    def ages_ms(self, now_s: float) -> dict[str, int]:
        """Return the ages of the newest states of live peers, by name."""
        return {
            peer.state.name: round((now_s - peer.received_s) * 1000)
            for peer in self.live(now_s)
        }

    def addresses_by_data_center(self, now_s: float) -> dict[str, list[str]]:
        """Return the addresses of live peers by their data centres."""
        addresses: dict[str, list[str]] = {}
        for peer in self.live(now_s):
            addresses.setdefault(peer.state.data_center, []).append(
                peer.state.address
            )
        return addresses

    def live_names(self, now_s: float) -> frozenset[str]:
        """Return the names of the peers that are live."""
        return frozenset(p.state.name for p in self.live(now_s))

    def recently_started_share(
        self, max_age_s: float, own_age_s: float, now_s: float
    ) -> float:
        """Return the share of live instances that started recently.

        Args:
            max_age_s: age below which an instance started recently.
            own_age_s: time since the start of this instance.
            now_s: present time on the monotonic clock.
        """
        ages_s = [p.state.age_s for p in self.live(now_s)] + [own_age_s]
        return sum(age_s < max_age_s for age_s in ages_s) / len(ages_s)

    def known_names(self, now_s: float) -> frozenset[str]:
        """Return the names of the known peers."""
        return frozenset(p.state.name for p in self._known(now_s))

    def known_count(self, now_s: float) -> int:
        """Return the number of known instances, this one included."""
        return 1 + len(self._known(now_s))

    def fleet_size(self, now_s: float) -> int:
        """Return the most instances that this one or a live peer knows.

        They are counted anew after FLEET_COUNT_PERIOD_S, as this is asked for
        with each request.
        """
        if abs(now_s - self._fleet_counted_s) >= FLEET_COUNT_PERIOD_S:
            self._fleet_counted_s = now_s
            counts = (peer.state.instances for peer in self.live(now_s))
            self._fleet_size = max(self.known_count(now_s), *counts, 1)
        return self._fleet_size

    def candidates(self, now_s: float) -> list[Candidate]:
        """Return the live peers as candidates for the arbiter."""
        return [
            Candidate(
                peer.state.name,
                peer.state.address,
                peer.state.data_center,
                peer.state.capacity,
                peer.state.age_s,
                peer.state.leaving,
            )
            for peer in self.live(now_s)
        ]

    def live_counts(self, now_s: float) -> Counter[str]:
        """Return the number of live peers by data centre."""
        return Counter(p.state.data_center for p in self.live(now_s))

    def known_counts(self, now_s: float) -> Counter[str]:
        """Return the number of known peers by data centre."""
        return Counter(p.state.data_center for p in self._known(now_s))

    def live_data_center_share(
        self, own_data_center: str, now_s: float
    ) -> float:
        """Return the share of known data centres that have a live peer."""
        live = {p.state.data_center for p in self.live(now_s)}
        known = {p.state.data_center for p in self._known(now_s)}
        own = {own_data_center}
        return len(live | own) / len(known | own)

    def live_share(self, now_s: float) -> float:
        """Return the share of known instances that are live, this included.

        It is 0 for an instance that is cut off from all others, as it may
        know of few of them.
        """
        live_count = len(self.live(now_s))
        if not live_count and self.known_count(now_s) > 1:
            return 0.0
        return (1 + live_count) / self.fleet_size(now_s)

    def loads(self, now_s: float) -> list[PeerLoad]:
        """Return the loads of the live peers."""
        return [
            PeerLoad(p.state.targets, p.state.waiting)
            for p in self.live(now_s)
        ]

    def mark_all_silent(self) -> None:
        """Mark all peers as silent, after this process was suspended."""
        for peer in self._peers.values():
            peer.received_s = float('-inf')

    def drop_silent(self, now_s: float) -> None:
        """Forget the peers that are no longer known."""
        for name, peer in tuple(self._peers.items()):
            if now_s - peer.received_s > FORGET_AFTER_S:
                del self._peers[name]
                self._addresses.discard(peer.state.address)

    def _known(self, now_s: float) -> list[Peer]:
        return [
            peer
            for peer in self._peers.values()
            if now_s - peer.received_s <= FORGET_AFTER_S
        ]


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives the datagrams of peers and arbiters.

    Args:
        make_state: returns the state of this instance.
        addresses: returns the recipients of the state.
        on_state: called with each state of a peer.
        on_arbiter_message: called with each message of an arbiter or one of
            its clients.
        message_format: returns the newest format of arbiter messages that an
            address reads.
        send_on_change: returns whether changes are sent before the next
            heartbeat.
        news: exchanges news of prompt parts and targets.
        record: records events.
    """

    def __init__(
        self,
        make_state: Callable[[], PeerState],
        addresses: Callable[[], tuple[str, ...]],
        on_state: Callable[[PeerState], None],
        on_arbiter_message: Callable[[ClientState | ArbiterDecisions], None],
        message_format: Callable[[str], int],
        send_on_change: Callable[[], bool],
        news: NewsExchange,
        record: Record,
    ) -> None:
        self._news = news
        self._make_state = make_state
        self._addresses = addresses
        self._on_state = on_state
        self._on_arbiter_message = on_arbiter_message
        self._message_format = message_format
        self._send_on_change = send_on_change
        self._record = record
        self._transport: asyncio.DatagramTransport | None = None
        self._changed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start sending on a transport."""
        # The transport of the event loop is not a subclass of
        # DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Decode a datagram and pass it on."""
        try:
            if data.startswith(
                (
                    arbiter_messages.PLAIN_PREFIX,
                    arbiter_messages.COMPRESSED_PREFIX,
                )
            ):
                self._on_arbiter_message(arbiter_messages.decode(data))
            elif data.startswith(peer_news.PREFIX):
                self._news.receive(data)
            else:
                self._on_state(peer_state.decode(data))
        except ValueError as error:
            self._record(
                Event.MESSAGE_UNREADABLE, peer=str(addr), detail=str(error)
            )

    def error_received(self, exc: Exception) -> None:
        """Record a datagram that was not sent."""
        # A peer that is down refuses datagrams; it is recorded as silent.
        if not isinstance(exc, ConnectionRefusedError):
            self._record(Event.MESSAGE_NOT_SENT, detail=str(exc))

    def send_soon(self) -> None:
        """Send the state before the next heartbeat, if changes are sent."""
        if self._send_on_change():
            self._changed.set()

    async def run(self) -> None:
        """Send the state periodically and on changes, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            self.send()
            await asyncio.sleep(MIN_SEND_INTERVAL_S)

    def send(self) -> None:
        """Send the state to its recipients."""
        data = peer_state.encode(self._make_state())
        news = self._news.make_message(time.monotonic())
        for address in self._addresses():
            self._send(data, address)
            if news is not None:
                self._send(news, address)

    def send_state_to(self, address: str) -> None:
        """Send the state to one address."""
        self._send(peer_state.encode(self._make_state()), address)

    def send_message(
        self, message: ClientState | ArbiterDecisions, address: str
    ) -> None:
        """Send a message of the arbiter or one of its clients."""
        data = arbiter_messages.encode(message, self._message_format(address))
        self._send(data, address)

    def _send(self, data: bytes, address: str) -> None:
        if self._transport is None:
            return
        try:
            recipient = address_module.parse(address)
        except ValueError as error:
            self._record(Event.MESSAGE_NOT_SENT, detail=str(error))
            return
        self._transport.sendto(data, recipient)


async def run_link(link: PeerLink, address: str, record: Record) -> None:
    """Exchange datagrams with peers, until cancelled.

    Args:
        link: sends and receives them.
        address: "host:port" where they are received.
        record: records events.
    """
    host, _, port = address.rpartition(':')
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: link, local_addr=(host, int(port))
    )
    await background_tasks.keep_running('peer link', link.run, record)


def _is_valid(address: str) -> bool:
    try:
        address_module.parse(address)
    except ValueError:
        return False
    return True
