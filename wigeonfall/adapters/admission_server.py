"""Serves the arbiters of this instance to other instances over gRPC."""

import asyncio
import time
from typing import TypeAlias

import grpclib.server

from . import admission_messages
from . import admission_streams
from ..model.instance import Instance
from ..policy.room.grants import Decision
from ..policy.room.grants import PendingRequest
from ..serving.arbiter import Arbiters
from ..serving.arbiter import Session
from .admission_streams import Outbox
from .proto import admission_grpc
from .proto import admission_pb2

TICK_S = 0.1

_ServerStream: TypeAlias = (
    'grpclib.server.Stream[admission_pb2.FromInstance,'
    ' admission_pb2.FromArbiter]'
)


class AdmissionServer(admission_grpc.AdmissionBase):
    """Serves the arbiters of this instance."""

    def __init__(self, arbiters: Arbiters) -> None:
        self._arbiters = arbiters

    async def Arbitrate(  # noqa: N802 - the name is generated
        self, stream: _ServerStream
    ) -> None:
        """Serve one instance for one pool."""
        try:
            hello = await _receive(stream)
            await stream.send_message(admission_pb2.FromArbiter())
            first = await _receive(stream)
        except admission_streams.BROKEN:
            return
        if first.complete:
            await self._serve(stream, hello, first)

    async def _serve(
        self,
        stream: _ServerStream,
        hello: admission_pb2.FromInstance,
        first: admission_pb2.FromInstance,
    ) -> None:
        outbox: Outbox[Decision] = Outbox()

        def deliver(decisions: tuple[Decision, ...]) -> None:
            for decision in decisions:
                outbox.put(decision)

        instance = Instance(hello.instance, '', '', hello.incarnation)
        session = Session(hello.pool, instance, deliver)
        try:
            if self._begin(session, first):
                await admission_streams.both(
                    self._receive_all(stream, session),
                    _send_decisions(stream, outbox),
                )
        finally:
            self._arbiters.disconnect(session, time.monotonic())

    def _begin(
        self, session: Session, first: admission_pb2.FromInstance
    ) -> bool:
        now_s = time.monotonic()
        held = tuple(
            admission_messages.decode_held(item, session.holder, now_s)
            for item in first.held
        )
        waiting = _waiting(first, session.holder, now_s)
        known = self._arbiters.connect(session, held, waiting, now_s)
        self._arbiters.receive(session, (), tuple(first.done), now_s)
        return known

    async def _receive_all(
        self, stream: _ServerStream, session: Session
    ) -> None:
        while True:
            message = await _receive(stream)
            if not (message.waiting or message.done or message.reports):
                continue
            now_s = time.monotonic()
            waiting = _waiting(message, session.holder, now_s)
            done = tuple(message.done)
            reports = tuple(
                admission_messages.decode_report(item)
                for item in message.reports
            )
            self._arbiters.receive(session, waiting, done, now_s, reports)


def _waiting(
    message: admission_pb2.FromInstance, holder: str, now_s: float
) -> tuple[PendingRequest, ...]:
    return tuple(
        admission_messages.decode_pending(item, holder, now_s)
        for item in message.waiting
    )


async def _receive(stream: _ServerStream) -> admission_pb2.FromInstance:
    async with asyncio.timeout(admission_streams.SILENCE_S):
        message = await stream.recv_message()
    if message is None:
        raise admission_streams.LinkError('the instance closed the link')
    return message


async def _send_decisions(
    stream: _ServerStream, outbox: Outbox[Decision]
) -> None:
    while True:
        decisions = await outbox.take(admission_streams.HEARTBEAT_S)
        message = admission_messages.encode_decisions(decisions)
        await stream.send_message(message)


async def run_ticks(arbiters: Arbiters) -> None:
    """Let time pass for the arbiters of this instance, until cancelled."""
    while True:
        arbiters.tick(time.monotonic())
        await asyncio.sleep(TICK_S)
