"""Links of this instance to the arbiters of pools, over gRPC.

There is one stream for each pool, to the first of the pool's candidates that
answers.
"""

import asyncio
from collections.abc import Callable
import ssl
import time
from typing import TypeAlias

import attrs
import grpclib.client

from . import admission_messages
from . import admission_streams
from ..events import Event
from ..model.instance import Instance
from ..model.service import Service
from ..policy import rendezvous
from ..policy.room.grants import AnswerReport
from ..policy.room.grants import HeldGrant
from ..policy.room.grants import PendingRequest
from ..ports.arbiters import ArbiterLink
from ..recorder import Record
from ..serving.admission import Admission
from ..serving.admission import holder_name
from ..serving.admission import LiveInstances
from ..serving.admission import ServiceAdmission
from .admission_streams import Outbox
from .proto import admission_grpc
from .proto import admission_pb2

CONNECT_TIMEOUT_S = 0.5
RETRY_S = 0.2
RECHECK_S = 2.0
SERVICES_PERIOD_S = 0.5
CANDIDATES = 3

_ClientStream: TypeAlias = (
    'grpclib.client.Stream[admission_pb2.FromInstance,'
    ' admission_pb2.FromArbiter]'
)


@attrs.define
class _Opened:
    """A stream that its arbiter has answered.

    Attributes:
        name: name of the instance that arbitrates.
        channel: connection that the stream runs on.
        stream: the stream.
    """

    name: str
    channel: grpclib.client.Channel
    stream: _ClientStream


@attrs.frozen
class Linking:
    """What the link of one pool needs.

    Attributes:
        own: this instance.
        pool: name of the pool.
        admission: the waits and grants of this instance in the pool.
        live_instances: returns the instances that may be serving.
        record: records events.
        context: TLS context for connections to peers, or None.
    """

    own: Instance
    pool: str
    admission: ServiceAdmission
    live_instances: LiveInstances
    record: Record
    context: ssl.SSLContext | None = None

    def candidates(self) -> tuple[Instance, ...]:
        """Return the instances that may arbitrate, the best first."""
        by_name = {i.name: i for i in self.live_instances()}
        ranked = rendezvous.ranked(self.pool, by_name)
        return tuple(by_name[name] for name in ranked[:CANDIDATES])


@attrs.frozen
class Links:
    """What the links of an instance to all pools need.

    Attributes:
        own: this instance.
        admission: the waits and grants of this instance.
        services: returns the services of the configuration in force.
        live_instances: returns the instances that may be serving.
        record: records events.
        context: TLS context for connections to peers, or None.
    """

    own: Instance
    admission: Admission
    services: Callable[[], tuple[Service, ...]]
    live_instances: LiveInstances
    record: Record
    context: ssl.SSLContext | None = None

    def linking(self, service: Service) -> Linking:
        """Return what the link to the pool of a service needs."""
        return Linking(
            self.own,
            service.name,
            self.admission.for_service(service),
            self.live_instances,
            self.record,
            self.context,
        )


async def run_links(links: Links) -> None:
    """Keep a link for each service of the configuration, until cancelled."""
    tasks: dict[str, asyncio.Task[None]] = {}
    try:
        while True:
            services = {service.name: service for service in links.services()}
            for name in set(tasks) - services.keys():
                tasks.pop(name).cancel()
            for name in services.keys() - set(tasks):
                linking = links.linking(services[name])
                tasks[name] = asyncio.create_task(run_link(linking))
            await asyncio.sleep(SERVICES_PERIOD_S)
    finally:
        for task in tasks.values():
            task.cancel()


async def run_link(linking: Linking) -> None:
    """Keep a link to the arbiter of a pool, until cancelled."""
    opened: _Opened | None = None
    try:
        while True:
            if opened is None:
                opened = await _open_first(linking, linking.candidates())
            if opened is None:
                await asyncio.sleep(RETRY_S)
                continue
            opened = await _use(linking, opened)
    finally:
        if opened is not None:
            opened.channel.close()


async def _open_first(
    linking: Linking, candidates: tuple[Instance, ...]
) -> _Opened | None:
    for instance in candidates:
        opened = await _open(linking, instance)
        if opened is not None:
            return opened
    return None


async def _open(linking: Linking, instance: Instance) -> _Opened | None:
    host, _, port = instance.peers_address.rpartition(':')
    if not port.isdecimal():
        return None
    channel = grpclib.client.Channel(host, int(port), ssl=linking.context)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            stub = admission_grpc.AdmissionStub(channel)
            stream = await stub.Arbitrate.open().__aenter__()
            hello = admission_pb2.FromInstance(
                pool=linking.pool,
                instance=linking.own.name,
                incarnation=linking.own.incarnation,
            )
            await stream.send_message(hello)
            if await stream.recv_message() is None:
                raise admission_streams.LinkError(
                    'the arbiter closed the link'
                )
    except admission_streams.BROKEN:
        channel.close()
        return None
    return _Opened(instance.name, channel, stream)


@attrs.frozen
class _Begin:
    """All that an instance holds and waits for."""

    held: tuple[HeldGrant, ...]
    waiting: tuple[PendingRequest, ...]


@attrs.frozen
class _Done:
    """The end of a wait or of a grant."""

    id: str


_Item: TypeAlias = _Begin | PendingRequest | _Done | AnswerReport


def _make_link(outbox: Outbox[_Item]) -> ArbiterLink:
    return ArbiterLink(
        send_state=lambda held, waiting: outbox.put(_Begin(held, waiting)),
        enqueue=outbox.put,
        release=lambda wait_id: outbox.put(_Done(wait_id)),
        report=outbox.put,
    )


async def _use(linking: Linking, opened: _Opened) -> _Opened | None:
    """Use a link until it breaks; return a better one if that ends it."""
    outbox: Outbox[_Item] = Outbox()
    link = _make_link(outbox)
    linking.admission.attach(link, time.monotonic())
    linking.record(
        Event.ARBITER_CONNECTED, pool=linking.pool, arbiter=opened.name
    )
    pump = asyncio.create_task(
        admission_streams.both(
            _send_items(opened.stream, outbox),
            _receive_decisions(linking, opened.stream, link),
        )
    )
    search = asyncio.create_task(_find_better(linking, opened.name))
    better: _Opened | None = None
    try:
        await asyncio.wait({pump, search}, return_when=asyncio.FIRST_COMPLETED)
        better = search.result() if search.done() else None
    finally:
        pump.cancel()
        search.cancel()
        opened.channel.close()
        if better is None:
            linking.admission.detach(link, time.monotonic())
            linking.record(
                Event.ARBITER_LOST, pool=linking.pool, arbiter=opened.name
            )
    return better


async def _send_items(stream: _ClientStream, outbox: Outbox[_Item]) -> None:
    while True:
        items = await outbox.take(admission_streams.HEARTBEAT_S)
        await stream.send_message(_encode_items(items, time.monotonic()))


def _encode_items(
    items: list[_Item], now_s: float
) -> admission_pb2.FromInstance:
    message = admission_pb2.FromInstance()
    for item in items:
        match item:
            case _Begin():
                message.complete = True
                message.held.extend(
                    admission_messages.encode_held(held, now_s)
                    for held in item.held
                )
                message.waiting.extend(
                    admission_messages.encode_pending(pending, now_s)
                    for pending in item.waiting
                )
            case PendingRequest():
                message.waiting.append(
                    admission_messages.encode_pending(item, now_s)
                )
            case AnswerReport():
                message.reports.append(admission_messages.encode_report(item))
            case _Done():
                message.done.append(item.id)
    return message


async def _receive_decisions(
    linking: Linking, stream: _ClientStream, link: ArbiterLink
) -> None:
    holder = holder_name(linking.own)
    while True:
        async with asyncio.timeout(admission_streams.SILENCE_S):
            message = await stream.recv_message()
        if message is None:
            raise admission_streams.LinkError('the arbiter closed the link')
        decisions = admission_messages.decode_decisions(message, holder)
        linking.admission.apply_decisions(link, decisions, time.monotonic())


async def _find_better(linking: Linking, name: str) -> _Opened:
    """Return a link to the arbiter that should be used in place of one."""
    while True:
        await asyncio.sleep(RECHECK_S)
        preferred: list[Instance] = []
        for instance in linking.candidates():
            if instance.name == name:
                break
            preferred.append(instance)
        opened = await _open_first(linking, tuple(preferred))
        if opened is not None:
            return opened
