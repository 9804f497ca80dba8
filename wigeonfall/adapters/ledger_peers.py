"""Forwards changes of the ledger between instances over gRPC."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from concurrent import futures
import ssl

import grpclib
import grpclib.client
import grpclib.exceptions
import grpclib.server
from result import Err
from result import Ok

from ..model.answer import WholeAnswer
from ..model import instance
from ..model import order
from ..ports.ledger import Decisions
from ..ports.ledger import LedgerError
from ..ports.ledger import LedgerPeers
from ..serving import batching
from .proto import ledger_grpc
from .proto import ledger_pb2

FORWARD_TIMEOUT_S = 1.0
MARGIN_S = 0.2

Accept = Callable[[int, Sequence[order.Change]], list[batching.DecisionFuture]]


class LedgerService(ledger_grpc.LedgerBase):
    """Writes what other instances forward.

    Args:
        accept: hands changes of a slice to this instance's ledger.
    """

    def __init__(self, accept: Accept) -> None:
        self._accept = accept

    async def Commit(
        self,
        stream: grpclib.server.Stream[
            ledger_pb2.Changes, ledger_pb2.Decisions
        ],
    ) -> None:
        """Answer one call."""
        message = await stream.recv_message()
        if message is None:
            return
        await stream.send_message(await self._decide(message))

    async def _decide(
        self, message: ledger_pb2.Changes
    ) -> ledger_pb2.Decisions:
        try:
            changes = [change_from_message(c) for c in message.changes]
            loop = asyncio.get_running_loop()
            taken = await loop.run_in_executor(
                None, self._accept, message.slice, changes
            )
        except ValueError as error:
            return ledger_pb2.Decisions(problem=str(error))
        waiting = asyncio.gather(*(asyncio.wrap_future(f) for f in taken))
        try:
            decided = await asyncio.wait_for(
                asyncio.shield(waiting), FORWARD_TIMEOUT_S - MARGIN_S
            )
        except TimeoutError:
            return ledger_pb2.Decisions(
                problem='the owner is slow', maybe_written=True
            )
        reply = ledger_pb2.Decisions()
        for decision in decided:
            if isinstance(decision, Err):
                return ledger_pb2.Decisions(
                    problem=decision.err_value.message, maybe_written=True
                )
            reply.decisions.append(decision_to_message(decision.ok_value))
        return reply


class LedgerClient:
    """Channels to the other instances, by address.

    Args:
        loop: the event loop of the peers' thread.
        tls: context for the channels, or None for plain ones.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, tls: ssl.SSLContext | None
    ) -> None:
        self._loop = loop
        self._tls = tls
        self._channels: dict[str, grpclib.client.Channel] = {}

    def forward(
        self,
        owner: instance.Instance,
        number: int,
        changes: Sequence[order.Change],
    ) -> Decisions:
        """Hand changes to the owner of their slice; see LedgerPeers."""
        message = ledger_pb2.Changes(
            slice=number, changes=[change_to_message(c) for c in changes]
        )
        future = asyncio.run_coroutine_threadsafe(
            self._commit(owner.peers_address, message), self._loop
        )
        try:
            reply = future.result(FORWARD_TIMEOUT_S + MARGIN_S)
        except (
            OSError,
            TimeoutError,
            futures.CancelledError,
            grpclib.GRPCError,
            grpclib.exceptions.ProtocolError,
            grpclib.exceptions.StreamTerminatedError,
        ) as error:
            future.cancel()
            refused = isinstance(error, ConnectionRefusedError)
            problem = str(error) or type(error).__name__
            return Err(LedgerError(problem, maybe_written=not refused))
        return _decisions_from_message(reply, len(changes))

    def close(self) -> None:
        """Close all channels."""
        self._loop.call_soon_threadsafe(self._close_channels)

    async def _commit(
        self, address: str, message: ledger_pb2.Changes
    ) -> ledger_pb2.Decisions:
        stub = ledger_grpc.LedgerStub(self._channel(address))
        return await stub.Commit(message, timeout=FORWARD_TIMEOUT_S)

    def _channel(self, address: str) -> grpclib.client.Channel:
        if address not in self._channels:
            host, _, port = address.rpartition(':')
            self._channels[address] = grpclib.client.Channel(
                host, int(port), ssl=self._tls
            )
        return self._channels[address]

    def _close_channels(self) -> None:
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()


def make_ledger_peers(
    client: LedgerClient,
    live: Callable[[], Sequence[instance.Instance]],
) -> LedgerPeers:
    """Return the calls to other instances that a ledger needs.

    Args:
        client: the channels to them.
        live: returns the instances that are thought to live.
    """
    return LedgerPeers(live=live, forward=client.forward)


def change_to_message(change: order.Change) -> ledger_pb2.Change:
    """Return a change as it is sent."""
    if isinstance(change, order.Claim):
        return ledger_pb2.Change(claim=_claim_to_message(change))
    return ledger_pb2.Change(
        claim=_claim_to_message(change.claim),
        outcome=change.state.value,
        answer=_answer_to_message(change.answer),
    )


def change_from_message(message: ledger_pb2.Change) -> order.Change:
    """Return a change that was sent.

    Raises:
        ValueError: its state is not known.
    """
    claim = order.Claim(
        key=message.claim.key,
        request=message.claim.request,
        claim=message.claim.claim,
        instance=message.claim.instance,
        deadline_unix_s=message.claim.deadline_unix_s,
        key_unix_s=message.claim.key_unix_s,
    )
    if not message.outcome:
        return claim
    answer = _answer_from_message(message)
    return order.Settle(claim, order.OrderState(message.outcome), answer)


def decision_to_message(decision: order.Decision) -> ledger_pb2.Decision:
    """Return a decision as it is sent."""
    return ledger_pb2.Decision(
        verdict=decision.verdict.value,
        answer=_answer_to_message(decision.answer),
        deadline_unix_s=decision.deadline_unix_s,
    )


def decision_from_message(message: ledger_pb2.Decision) -> order.Decision:
    """Return a decision that was sent.

    Raises:
        ValueError: its verdict is not known.
    """
    return order.Decision(
        order.Verdict(message.verdict),
        _answer_from_message(message),
        message.deadline_unix_s,
    )


def _decisions_from_message(
    message: ledger_pb2.Decisions, expected: int
) -> Decisions:
    if message.problem:
        return Err(LedgerError(message.problem, message.maybe_written))
    if len(message.decisions) != expected:
        return Err(LedgerError('decisions are missing', maybe_written=True))
    try:
        return Ok([decision_from_message(d) for d in message.decisions])
    except ValueError as error:
        return Err(LedgerError(str(error), maybe_written=True))


def _claim_to_message(claim: order.Claim) -> ledger_pb2.Claim:
    return ledger_pb2.Claim(
        key=claim.key,
        request=claim.request,
        claim=claim.claim,
        instance=claim.instance,
        deadline_unix_s=claim.deadline_unix_s,
        key_unix_s=claim.key_unix_s,
    )


def _answer_to_message(
    answer: WholeAnswer | None,
) -> ledger_pb2.Answer | None:
    if answer is None:
        return None
    headers = [
        ledger_pb2.Header(name=name, value=value)
        for name, value in answer.headers
    ]
    return ledger_pb2.Answer(
        status=answer.status, headers=headers, body=answer.body
    )


def _answer_from_message(
    message: ledger_pb2.Change | ledger_pb2.Decision,
) -> WholeAnswer | None:
    if not message.HasField('answer'):
        return None
    answer = message.answer
    headers = tuple((h.name, h.value) for h in answer.headers)
    return WholeAnswer(answer.status, headers, answer.body)
