"""The exchange of topics between instances over gRPC."""

from collections.abc import Callable
import ssl
from typing import TypeAlias

import grpclib.client
import grpclib.exceptions
import grpclib.server

from .. import clock
from .. import errors
from ..model.instance import Instance
from .proto import exchange_grpc
from .proto import exchange_pb2

SWAP_TIMEOUT_S = 2.0

Swap = Callable[[exchange_pb2.State], exchange_pb2.State]


_StateStream: TypeAlias = (
    'grpclib.server.Stream[exchange_pb2.State, exchange_pb2.State]'
)


class PeerError(errors.WigeonfallError):
    """A peer could not be reached or gave no readable answer."""


class ExchangeServer(exchange_grpc.ExchangeBase):
    """Serves the exchange of topics."""

    def __init__(self, swap: Swap) -> None:
        self._swap = swap

    async def Swap(  # noqa: N802 - the name is generated
        self,
        stream: _StateStream,
    ) -> None:
        """Merge the peer's state and answer with our own."""
        state = await stream.recv_message()
        if state is not None:
            await stream.send_message(self._swap(state))


class PeerChannel:
    """One connection to a peer, opened when it is first used."""

    def __init__(
        self, address: str, context: ssl.SSLContext | None = None
    ) -> None:
        host, _, port = address.rpartition(':')
        self.address = address
        self.channel = grpclib.client.Channel(host, int(port), ssl=context)
        self._exchange = exchange_grpc.ExchangeStub(self.channel)

    async def swap(self, state: exchange_pb2.State) -> exchange_pb2.State:
        """Send our state and return the peer's.

        Raises:
            PeerError: no answer within SWAP_TIMEOUT_S.
        """
        try:
            return await self._exchange.Swap(state, timeout=SWAP_TIMEOUT_S)
        except (
            OSError,
            TimeoutError,
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.StreamTerminatedError,
            grpclib.exceptions.ProtocolError,
        ) as error:
            raise PeerError(f'{self.address}: {error!r}') from error

    def close(self) -> None:
        """Close the connection."""
        self.channel.close()


def encode_state(
    own: Instance, stamp: clock.Stamp, payloads: dict[str, bytes]
) -> exchange_pb2.State:
    """Return the message that carries the state of our topics."""
    state = exchange_pb2.State(
        instance=own.name,
        data_center=own.data_center,
        peers_address=own.peers_address,
        incarnation=own.incarnation,
        clock_ms=stamp.time_ms,
        clock_counter=stamp.counter,
    )
    for name, payload in payloads.items():
        state.topics.add(name=name, payload=payload)
    return state


def sender_of(state: exchange_pb2.State) -> Instance:
    """Return the instance that sent a state."""
    return Instance(
        state.instance,
        state.data_center,
        state.peers_address,
        state.incarnation,
    )
