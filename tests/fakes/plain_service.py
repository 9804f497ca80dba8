"""A stand-in for a plain service that counts its executions.

Run alone with `python -m tests.fakes.plain_service`. GET of /stock/ITEM looks
up, and any other call takes a member's order or files a certificate. The
switches and the records are at /control.
"""

import asyncio
import collections
import json
import random
import time
from typing import Any

import attrs
import typer

from . import batch
from . import http_server
from . import target

STOCK_PATH = '/stock/'
STOCK_COUNT = 1000


@attrs.define
class Switches:
    """What tests may change while the service runs.

    Attributes:
        latency_ms: time that a call runs.
        slots: calls that run at once.
        slow_down: factor on the latency.
        bad_path: prefix of the paths that errors and slow-down touch.
        bad_above_running: errors and slow-down only above so many running.
        error_rate: share of calls that run and then answer 500.
        leaving: refuse new work and finish what runs.
        refuse_next: next calls refused with "not run".
        refuse_rate: share of calls refused with "not run".
        cut_before_run_next: next calls closed unanswered that do not run.
        cut_after_run_next: next calls that run and are closed unanswered.
        cut_reused_next: next calls on a used connection that are closed
            unanswered and do not run.
        truncate_next: next answers that break off in the body.
        crossed_next: next answers that belong to another attempt.
        late_ms: time between the run and the answer.
        silent: keep connections open and send nothing.
        weight_store_refuse_next: next orders refused with 429.
        seed: seed of the random choices.
    """

    latency_ms: float = 10
    slots: int = 64
    slow_down: float = 1.0
    bad_path: str = ''
    bad_above_running: int = 0
    error_rate: float = 0.0
    leaving: bool = False
    refuse_next: int = 0
    refuse_rate: float = 0.0
    cut_before_run_next: int = 0
    cut_after_run_next: int = 0
    cut_reused_next: int = 0
    truncate_next: int = 0
    crossed_next: int = 0
    late_ms: float = 0
    silent: bool = False
    weight_store_refuse_next: int = 0
    seed: int = 1


@attrs.define
class Record:
    """What became of one attempt.

    Attributes:
        outcome: "done", "refused", "cut", "error" or "cancelled".
        ran: whether it ran.
    """

    request_id: str
    attempt_id: str
    idempotency_key: str
    method: str
    path: str
    version: str
    started_ms: float
    ended_ms: float = 0
    ran: bool = False
    outcome: str = 'running'


class PlainService:
    """One service process: what it ran and for whom."""

    def __init__(self, identity: target.Identity, switches: Switches) -> None:
        self.identity = identity
        self.switches = switches
        self.server = http_server.Server(self._handle)
        self._random = random.Random(switches.seed)
        self._batch = batch.Batch()
        self._orders = target.Orders()
        self._by_key: collections.Counter[str] = collections.Counter()
        self._by_request: collections.Counter[str] = collections.Counter()
        self._records: list[Record] = []

    async def register(self) -> None:
        """Keep the service in the platform's live list, for ever."""
        await target.register(self.identity, self.server)

    async def _handle(
        self, request: http_server.Request, to: http_server.Responder
    ) -> None:
        if request.path == '/control':
            await self._control(request, to)
        elif self.switches.silent:
            await to.wait_until_gone()
        elif request.path == '/load':
            await to.send_json(200, self._load())
        elif request.path == '/manage/orders':
            status = await self._orders.take(request.json(), self.identity)
            await to.send_json(status, {})
        else:
            await self._serve(request, to)

    def _load(self) -> dict[str, Any]:
        return {
            **self._batch.report(self.switches.slots),
            'version': self.identity.version,
            'incarnation': self.identity.incarnation,
            'leaving': self.switches.leaving,
        }

    async def _serve(
        self, request: http_server.Request, to: http_server.Responder
    ) -> None:
        record = Record(
            request_id=request.headers.get('x-request-id', ''),
            attempt_id=request.headers.get('x-attempt-id', ''),
            idempotency_key=request.headers.get('idempotency-key', ''),
            method=request.method,
            path=request.path,
            version=self.identity.version,
            started_ms=time.time() * 1000,
        )
        self._records.append(record)
        headers = target.answer_headers(request, self.identity)
        if self._refuses():
            record.outcome = 'refused'
            await target.refuse(to, headers, self.switches.leaving)
            return
        reused = to.number > 1 and self._spend('cut_reused_next')
        if reused or self._spend('cut_before_run_next'):
            record.outcome = 'cut'
            to.abort()
            return
        try:
            await self._run(record, to)
            await self._answer(record, to, headers)
        except ConnectionError:
            record.outcome = 'cancelled'
        record.ended_ms = time.time() * 1000

    def _refuses(self) -> bool:
        if self.switches.leaving or self._spend('refuse_next'):
            return True
        return self._random.random() < self.switches.refuse_rate

    def _spend(self, switch: str) -> bool:
        left = getattr(self.switches, switch)
        if left > 0:
            setattr(self.switches, switch, left - 1)
        return left > 0

    def _is_bad(self, record: Record) -> bool:
        if not record.path.startswith(self.switches.bad_path):
            return False
        return self._batch.running >= self.switches.bad_above_running

    async def _run(self, record: Record, to: http_server.Responder) -> None:
        await self._batch.enter(self.switches.slots, to)
        record.ran = True
        self._by_key[record.idempotency_key] += 1
        self._by_request[record.request_id] += 1
        factor = self.switches.slow_down if self._is_bad(record) else 1.0
        try:
            await asyncio.sleep(self.switches.latency_ms / 1000 * factor)
        finally:
            self._batch.leave(self.switches.slots)

    async def _answer(
        self,
        record: Record,
        to: http_server.Responder,
        headers: dict[str, str],
    ) -> None:
        await asyncio.sleep(self.switches.late_ms / 1000)
        record.outcome = 'cut'
        if self._spend('cut_after_run_next'):
            to.abort()
            return
        body = json.dumps(_answer_value(record)).encode()
        headers = {'Content-Type': 'application/json', **headers}
        if self._spend('truncate_next'):
            headers['Content-Length'] = str(len(body))
            await to.send(200, body[: len(body) // 2], headers)
            to.close()
            return
        if self._spend('crossed_next'):
            headers['X-Attempt-Id'] = 'another'
        if self._is_bad(record) and self._fails():
            record.outcome = 'error'
            await to.send_json(500, {'error': {'message': 'failed'}}, headers)
            return
        await to.send(200, body, headers)
        record.outcome = 'done'

    def _fails(self) -> bool:
        return self._random.random() < self.switches.error_rate

    async def _control(
        self, request: http_server.Request, to: http_server.Responder
    ) -> None:
        if request.method == 'POST':
            try:
                changes = request.json()
                if changes.pop('close_idle', False):
                    self.server.close_idle()
                self.switches = attrs.evolve(self.switches, **changes)
            except (ValueError, TypeError) as error:
                await to.send_json(400, {'message': str(error)})
                return
            if 'seed' in changes:
                self._random.seed(changes['seed'])
            if 'weight_store_refuse_next' in changes:
                self._orders.refuse_next = changes['weight_store_refuse_next']
            self.identity.leaving = self.switches.leaving
            self._batch.admit(self.switches.slots)
        value = {
            'identity': attrs.asdict(self.identity),
            'switches': attrs.asdict(self.switches),
            'report': self._batch.report(self.switches.slots),
            'orders': [attrs.asdict(o) for o in self._orders.taken],
            'by_key': dict(self._by_key),
            'by_request': dict(self._by_request),
            'records': [attrs.asdict(r) for r in self._records],
        }
        await to.send_json(200, value)


def _answer_value(record: Record) -> dict[str, Any]:
    if record.method == 'GET' and record.path.startswith(STOCK_PATH):
        item = record.path.removeprefix(STOCK_PATH)
        return {'item': item, 'count': STOCK_COUNT}
    return {
        'path': record.path,
        'key': record.idempotency_key,
        'request_id': record.request_id,
        'receipt': f'receipt-{record.attempt_id}',
    }


def start(
    port: int = 0,
    identity: target.Identity | None = None,
    **switches: Any,
) -> http_server.Handle:
    """Start a plain service in a thread with these switches set."""
    service = PlainService(identity or target.Identity(), Switches(**switches))
    return http_server.start_in_thread(
        service.server, port, (service.register,)
    )


def main(
    port: int = 0,
    name: str = 'service',
    service: str = 'orders-app',
    data_center: str = 'local',
    version: str = 'v1',
    platform: str = '',
    checks_fencing: bool = False,
    latency_ms: float = 10,
    slots: int = 64,
    switches: str = '{}',
) -> None:
    """Run a plain service as this process; switches is a JSON object."""
    identity = target.Identity(
        name=name,
        service=service,
        data_center=data_center,
        version=version,
        platform=platform,
        checks_fencing=checks_fencing,
    )
    values = {'latency_ms': latency_ms, 'slots': slots, **json.loads(switches)}
    process = PlainService(identity, Switches(**values))
    http_server.run_alone(process.server, port, (process.register,))


if __name__ == '__main__':
    typer.run(main)
