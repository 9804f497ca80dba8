"""Measures the link between an instance and an arbiter over loopback."""

import asyncio
import socket
import time
from typing import Any

import grpclib.server

from wigeonfall.adapters import admission_peers
from wigeonfall.adapters import admission_server
from wigeonfall.model.customer import Customer
from wigeonfall.model.instance import Instance
from wigeonfall.model.request import Request
from wigeonfall.model.service import Service
from wigeonfall.model.service import ServiceKind
from wigeonfall.model.target import Target
from wigeonfall.model.tier import Tier
from wigeonfall.serving import admission
from wigeonfall.serving import arbiter

SERVICE = Service('s', ServiceKind.MODEL, ('m',), 64, 10**6)
TARGETS = tuple(Target(f't{n}', 's', 'dc', '') for n in range(5))


async def measure(batch: int, requests: int) -> dict[str, Any]:
    """Return time and processor time of grants, both ends in one process.

    Args:
        batch: requests that wait at the same time.
        requests: requests in all.
    """
    listening = socket.socket()
    listening.bind(('127.0.0.1', 0))
    address = f'127.0.0.1:{listening.getsockname()[1]}'
    own = Instance('i', 'dc', address, 1)
    part = admission.ServiceAdmission(
        SERVICE, own, lambda _s, _n: TARGETS, lambda: (own,), _ignore
    )
    arbiters = arbiter.Arbiters(
        lambda _name: SERVICE, lambda _s, _n: TARGETS, lambda: (own,), _ignore
    )
    server = grpclib.server.Server(
        [admission_server.AdmissionServer(arbiters)]
    )
    await server.start(sock=listening)
    linked = asyncio.Event()
    linking = admission_peers.Linking(
        own, 's', part, lambda: (own,), lambda _event, **_f: linked.set()
    )
    task = asyncio.create_task(admission_peers.run_link(linking))
    try:
        await linked.wait()
        await asyncio.sleep(0.2)
        return await _drive(part, batch, requests)
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.close()


def _ignore(*_event: Any, **_fields: Any) -> None:
    """Record nothing."""


async def _drive(
    part: admission.ServiceAdmission, batch: int, requests: int
) -> dict[str, Any]:
    waits_s: list[float] = []
    cpu_s = time.process_time()
    for _ in range(requests // batch):
        began_s = time.monotonic()
        request = _request(began_s)
        waits = [
            part.submit(request, frozenset(), began_s) for _ in range(batch)
        ]
        while not all(wait.completed.is_set() for wait in waits):
            await asyncio.sleep(0)
        waits_s.append(time.monotonic() - began_s)
        for wait in waits:
            assert wait.outcome is not None
            wait.outcome.unwrap().release()
    cpu_s = time.process_time() - cpu_s
    waits_s.sort()
    return {
        'batch': batch,
        'requests': requests,
        'cpu_us_per_request_both_ends': round(cpu_s / requests * 1e6, 1),
        'wait_ms_median': round(waits_s[len(waits_s) // 2] * 1000, 3),
        'wait_ms_p99': round(waits_s[len(waits_s) * 99 // 100] * 1000, 3),
    }


def _request(now_s: float) -> Request:
    client = Customer('c', '', 't', 1, 1)
    return Request(
        id='r',
        customer=client,
        tier=Tier('t', 0),
        service=SERVICE,
        method='POST',
        path='/',
        headers=(),
        body=b'',
        arrived_s=now_s,
        deadline_s=now_s + 60,
        model='m',
        stream=True,
        prompt_tokens=100,
    )
