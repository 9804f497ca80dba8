"""What the stand-ins of engines and plain services have in common."""

import asyncio
import time
from typing import Any

import attrs
import urllib3

from . import http_server

REGISTRATION_PERIOD_S = 1.0
REGISTRATION_TTL_MS = 4000


@attrs.define
class Identity:
    """Who a target is and what it is told to be.

    Attributes:
        name: unique name.
        service: name of the service that it belongs to.
        data_center: name of its data centre.
        version: version that it serves.
        incarnation: number that grows with each start.
        checks_fencing: whether orders with an old fencing number fail.
        platform: "host:port" of the platform to register at, or ''.
        leaving: whether it refuses new work.
    """

    name: str = 'target'
    service: str = 'service'
    data_center: str = 'local'
    version: str = 'v1'
    incarnation: int = attrs.field(factory=lambda: int(time.time() * 1000))
    checks_fencing: bool = False
    platform: str = ''
    leaving: bool = False


@attrs.frozen
class TakenOrder:
    """One order and what became of it."""

    order: str
    value: str
    fencing: int
    status: int


@attrs.define
class Orders:
    """The orders that a target was given.

    Attributes:
        taken: all orders, refused ones too.
        highest_fencing: highest fencing number seen.
        refuse_next: next orders that the weight store refuses.
        load_ms: time that loading takes.
    """

    taken: list[TakenOrder] = attrs.field(factory=list)
    highest_fencing: int = 0
    refuse_next: int = 0
    load_ms: float = 50

    async def take(self, value: dict[str, Any], identity: Identity) -> int:
        """Carry out an order and return the status of its answer."""
        fencing = int(value.get('fencing', 0))
        status = self._check(fencing, identity.checks_fencing)
        if status == 200 and value['order'].startswith('load-'):
            await asyncio.sleep(self.load_ms / 1000)
        if status == 200 and value['order'] == 'load-version':
            identity.version = value['value']
        self.taken.append(
            TakenOrder(value['order'], value['value'], fencing, status)
        )
        return status

    def _check(self, fencing: int, checks_fencing: bool) -> int:
        if checks_fencing and fencing < self.highest_fencing:
            return 409
        self.highest_fencing = max(self.highest_fencing, fencing)
        if self.refuse_next > 0:
            self.refuse_next -= 1
            return 429
        return 200


def answer_headers(
    request: http_server.Request, identity: Identity
) -> dict[str, str]:
    """Return the headers that each answer of a target carries."""
    return {
        'X-Attempt-Id': request.headers.get('x-attempt-id', ''),
        'X-Version': identity.version,
        'X-Incarnation': str(identity.incarnation),
    }


async def refuse(
    to: http_server.Responder,
    headers: dict[str, str],
    leaving: bool,
) -> None:
    """Send a refusal of a request that did not run."""
    marks = {'X-Run': 'not-run'}
    if leaving:
        marks['X-Leaving'] = '1'
    error = {'error': {'message': 'refused', 'run': 'not-run'}}
    await to.send_json(503, error, {**headers, **marks})


async def register(identity: Identity, server: http_server.Server) -> None:
    """Keep a target in the platform's live list, for ever."""
    if not identity.platform:
        return
    pool = urllib3.PoolManager(retries=False)
    while True:
        entry = {
            'name': identity.name,
            'service': identity.service,
            'dataCenter': identity.data_center,
            'address': server.address,
            'incarnation': identity.incarnation,
            'version': identity.version,
            'state': 'leaving' if identity.leaving else 'ready',
            'ttlMs': REGISTRATION_TTL_MS,
        }
        url = f'http://{identity.platform}/live/targets'
        try:
            await asyncio.to_thread(
                pool.request, 'POST', url, json=entry, timeout=1.0
            )
        except urllib3.exceptions.HTTPError:
            pass
        await asyncio.sleep(REGISTRATION_PERIOD_S)
