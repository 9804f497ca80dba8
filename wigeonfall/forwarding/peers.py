"""What instances tell each other: load, tokens taken and what they know.

Messages are datagrams that repeat the whole state of their sender, so that
lost, late and reordered ones do no harm.
"""

import asyncio
from collections.abc import Callable
import json
from typing import Any, cast
import zlib

import attrs

from . import arbiter_messages
from ..events import Event
from ..policy.arbiters import Candidate
from ..policy.load_balancer import PeerLoad
from ..policy.load_balancer import TargetLoad
from ..policy.moving_average import PeerAverage
from ..recorder import Record
from .arbiter_messages import ArbiterDecisions
from .arbiter_messages import ClientState

MIN_SEND_INTERVAL_S = 0.05  # between two messages
HEARTBEAT_INTERVAL_S = 0.25  # heartbeat
LIVE_TIMEOUT_S = 1.2  # several heartbeats
_COMPRESSION_LEVEL = 1  # messages are small and many
FORGET_AFTER_S = 30.0  # a peer that is silent for longer is forgotten


@attrs.frozen
class PeerState:
    """The state of one instance.

    Attributes:
        name: name of the instance.
        incarnation: random number that tells its starts apart.
        sequence: grows with each message of one start.
        address: "host:port" of its datagrams and its snapshot.
        targets: load by target.
        waiting: waiting requests by service and class.
        age_s: time since its start.
        taken: tokens taken so far by customer.
        used: tokens taken in the last window by customer.
        revisions: newest known change by kind of object.
        peers: addresses of instances that it hears.
        data_center: where it stands.
        capacity: processors that it may use.
        instances: instances that it knows, itself included.
        leaving: whether it stops.
        store_reachable: whether the store answers it.
        evidence: counts of answers by service, version and outcome.
    """

    name: str
    incarnation: int
    sequence: int
    address: str
    age_s: float
    targets: dict[str, TargetLoad]
    waiting: dict[str, dict[int, int]]
    taken: dict[str, float]
    used: dict[str, float]
    revisions: dict[str, int]
    peers: tuple[str, ...] = ()
    data_center: str = ''
    capacity: float = 1.0
    instances: int = 1
    leaving: bool = False
    store_reachable: bool = False
    evidence: dict[str, int] = attrs.field(factory=dict)


def encode(state: PeerState) -> bytes:
    """Return the bytes of a message."""
    fields = attrs.asdict(state)
    fields['targets'] = {
        name: (
            load.requests,
            round(load.prefill_tokens),
            *_rounded(load.prefill_s),
            *_rounded(load.decode_s),
        )
        for name, load in state.targets.items()
    }
    text = json.dumps(fields, separators=(',', ':'))
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def decode(data: bytes) -> PeerState:
    """Return the message of some bytes.

    Raises:
        ValueError: the bytes are no message.
    """
    try:
        fields: dict[str, Any] = json.loads(zlib.decompress(data))
        fields['targets'] = {
            name: _target_load(*values)
            for name, values in fields['targets'].items()
        }
        fields['waiting'] = {
            service: {int(rank): int(n) for rank, n in counts.items()}
            for service, counts in fields['waiting'].items()
        }
        fields['peers'] = tuple(fields['peers'])
        return PeerState(**fields)
    except (
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
        zlib.error,
    ) as error:
        raise ValueError(f'no message of a peer: {error!r}') from error


def _rounded(said: PeerAverage) -> tuple[float, float]:
    return float(f'{said.value:.3g}'), round(said.weight, 1)


def _target_load(
    requests: int,
    prefill_tokens: float,
    prefill_s: float,
    prefill_weight: float,
    decode_s: float,
    decode_weight: float,
) -> TargetLoad:
    return TargetLoad(
        int(requests),
        float(prefill_tokens),
        PeerAverage(float(prefill_s), float(prefill_weight)),
        PeerAverage(float(decode_s), float(decode_weight)),
    )


@attrs.define
class Peer:
    """What was last heard of one peer.

    Attributes:
        message: its newest message.
        heard_s: when it came, on the monotonic clock.
    """

    state: PeerState
    heard_s: float


class Peers:
    """The peers of this instance.

    Args:
        own_address: "host:port" of this instance's datagrams.
    """

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        self._peers: dict[str, Peer] = {}
        self._addresses: set[str] = set()

    def add_addresses(self, addresses: tuple[str, ...]) -> None:
        """Take addresses at which there may be peers."""
        self._addresses.update(addresses)
        self._addresses.discard(self._own_address)

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses that messages go to."""
        return tuple(self._addresses)

    def heard_before(self, state: PeerState) -> bool:
        """Whether the sender of a message was heard since its start."""
        known = self._peers.get(state.name)
        return (
            known is not None and known.state.incarnation == state.incarnation
        )

    def receive(self, state: PeerState, now_s: float) -> bool:
        """Take a message; False if a newer one came before."""
        known = self._peers.get(state.name)
        if known is not None:
            before = known.state
            if (
                before.incarnation == state.incarnation
                and before.sequence >= state.sequence
            ):
                return False
        self._peers[state.name] = Peer(state, now_s)
        self.add_addresses((state.address, *state.peers))
        return True

    def live(self, now_s: float) -> list[Peer]:
        """Return the peers that were heard lately."""
        return [
            peer
            for peer in self._peers.values()
            if now_s - peer.heard_s <= LIVE_TIMEOUT_S
        ]

    def live_names(self, now_s: float) -> frozenset[str]:
        """Return the names of the peers that were heard lately."""
        return frozenset(p.state.name for p in self.live(now_s))

    def recently_started_share(
        self, max_age_s: float, own_age_s: float, now_s: float
    ) -> float:
        """Return the part of the heard instances that started lately.

        Args:
            younger_s: age below which an instance started lately.
            own_age_s: time since the start of this instance.
            now_s: present time on the monotonic clock.
        """
        ages_s = [p.state.age_s for p in self.live(now_s)] + [own_age_s]
        return sum(age_s < max_age_s for age_s in ages_s) / len(ages_s)

    def known_names(self, now_s: float) -> frozenset[str]:
        """Return the names of all peers that are not forgotten yet."""
        return frozenset(p.state.name for p in self._known(now_s))

    def known_count(self, now_s: float) -> int:
        """Return the number of instances known here, this one included."""
        return 1 + len(self._known(now_s))

    def fleet_size(self, now_s: float) -> int:
        """Return the number of instances that this or any peer knows."""
        said = (peer.state.instances for peer in self.live(now_s))
        return max(self.known_count(now_s), *said, 1)

    def candidates(self, now_s: float) -> list[Candidate]:
        """Return the peers that may be the arbiter."""
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

    def live_data_center_share(
        self, own_data_center: str, now_s: float
    ) -> float:
        """Return the part of the known data centres that is heard."""
        live = {p.state.data_center for p in self.live(now_s)}
        known = {p.state.data_center for p in self._known(now_s)}
        own = {own_data_center}
        return len(live | own) / len(known | own)

    def loads(self, now_s: float) -> list[PeerLoad]:
        """Return the loads of the peers that are heard."""
        return [
            PeerLoad(p.state.targets, p.state.waiting)
            for p in self.live(now_s)
        ]

    def mark_all_silent(self) -> None:
        """Take all that was heard as old, after this process stood still."""
        for peer in self._peers.values():
            peer.heard_s = float('-inf')

    def drop_silent(self, now_s: float) -> None:
        """Forget the peers that were silent for long."""
        for name, peer in tuple(self._peers.items()):
            if now_s - peer.heard_s > FORGET_AFTER_S:
                del self._peers[name]
                self._addresses.discard(peer.state.address)

    def _known(self, now_s: float) -> list[Peer]:
        return [
            peer
            for peer in self._peers.values()
            if now_s - peer.heard_s <= FORGET_AFTER_S
        ]


class PeerLink(asyncio.DatagramProtocol):
    """Sends this instance's state and takes that of others.

    Args:
        make: returns this instance's state.
        addresses: returns where it goes.
        take: takes a message of a peer.
        take_other: takes a message on requests.
        at_once: returns whether changes are told before the next heartbeat.
        record: records events.
    """

    def __init__(
        self,
        make_state: Callable[[], PeerState],
        addresses: Callable[[], tuple[str, ...]],
        on_state: Callable[[PeerState], None],
        on_arbiter_message: Callable[[ClientState | ArbiterDecisions], None],
        send_on_change: Callable[[], bool],
        record: Record,
    ) -> None:
        self._make_state = make_state
        self._addresses = addresses
        self._on_state = on_state
        self._on_arbiter_message = on_arbiter_message
        self._send_on_change = send_on_change
        self._record = record
        self._transport: asyncio.DatagramTransport | None = None
        self._changed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to send."""
        # The loop's own class of datagram transports is no subclass.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take a datagram."""
        try:
            if data.startswith(
                (
                    arbiter_messages.PLAIN_PREFIX,
                    arbiter_messages.COMPRESSED_PREFIX,
                )
            ):
                self._on_arbiter_message(arbiter_messages.decode(data))
            else:
                self._on_state(decode(data))
        except ValueError as error:
            self._record(
                Event.MESSAGE_UNREADABLE, peer=str(addr), detail=str(error)
            )

    def error_received(self, exc: Exception) -> None:
        """Take note of a message that was not sent."""
        # A peer that is down refuses messages; that it is not heard says so.
        if not isinstance(exc, ConnectionRefusedError):
            self._record(Event.MESSAGE_NOT_SENT, detail=str(exc))

    def send_soon(self) -> None:
        """Send soon."""
        if self._send_on_change():
            self._changed.set()

    async def run(self) -> None:
        """Send until cancelled."""
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
        """Send this instance's state to all that need it."""
        data = encode(self._make_state())
        for address in self._addresses():
            self._send(data, address)

    def send_state_to(self, address: str) -> None:
        """Send this instance's state to one that may not know it."""
        self._send(encode(self._make_state()), address)

    def send_message(
        self, message: ClientState | ArbiterDecisions, address: str
    ) -> None:
        """Send a message on requests."""
        self._send(arbiter_messages.encode(message), address)

    def _send(self, data: bytes, address: str) -> None:
        if self._transport is None:
            return
        host, _, port = address.rpartition(':')
        self._transport.sendto(data, (host, int(port)))
