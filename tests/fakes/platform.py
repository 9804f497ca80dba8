"""A stand-in for the platform: its object API and its live list.

Run alone with `python -m tests.fakes.platform`. The switches and the records
are at /control, which no outage touches.
"""

import asyncio
import collections
import json
import random
import time
from typing import Any

import attrs
import typer

from . import http_server
from .platform_switches import Bucket
from .platform_switches import Switches

KINDS = frozenset(
    {'configurations', 'orders', 'leases', 'rollouts', 'statuses'}
)
OBJECTS_PATH = '/apis/wigeonfall/v1/'
VALUE_LIMIT_BYTES = 1 << 20
LOGGED_CALLS = 200_000
WATCH_TIMEOUT_S = 30.0
LIVE_TICK_S = 0.02


@attrs.frozen
class Reply:
    """Status and JSON value of an answer."""

    status: int
    value: Any


class Platform:
    """The objects, the live list and the records of all calls."""

    def __init__(self, switches: Switches) -> None:
        self.switches = switches
        self.server = http_server.Server(self._handle)
        self._random = random.Random(switches.seed)
        self._version = 0
        self._objects: dict[str, dict[str, dict[str, Any]]] = {
            kind: {} for kind in KINDS
        }
        self._changed = {kind: asyncio.Event() for kind in KINDS}
        self._outage_begun = asyncio.Event()
        self._writes = Bucket()
        self._reads = Bucket()
        self._live: dict[str, dict[str, dict[str, Any]]] = {
            'instances': {},
            'targets': {},
        }
        self._live_shown: collections.deque[tuple[float, Any]] = (
            collections.deque([(0.0, {'instances': [], 'targets': []})])
        )
        self._counts: collections.Counter[str] = collections.Counter()
        self._by_kind: collections.Counter[str] = collections.Counter()
        self._log: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=LOGGED_CALLS
        )

    async def publish_live_list(self) -> None:
        """Publish the live list again and again, for ever."""
        while True:
            self._publish(time.monotonic())
            await asyncio.sleep(LIVE_TICK_S)

    def _publish(self, now_s: float) -> None:
        shown = {}
        for group, entries in self._live.items():
            for name in list(entries):
                if entries[name]['expires_s'] < now_s:
                    del entries[name]
            shown[group] = [
                {k: v for k, v in entry.items() if k != 'expires_s'}
                for entry in entries.values()
            ]
        if shown != self._live_shown[-1][1]:
            self._live_shown.append((now_s, shown))
        visible_s = now_s - self.switches.live_lag_ms / 1000
        while len(self._live_shown) > 1 and self._live_shown[1][0] < visible_s:
            self._live_shown.popleft()

    async def _handle(
        self, request: http_server.Request, to: http_server.Responder
    ) -> None:
        if request.path == '/control':
            await self._control(request, to)
            return
        if request.path.startswith('/live/') and request.method == 'POST':
            await self._register(request, to)
            return
        await self._call(request, to)

    async def _call(
        self, request: http_server.Request, to: http_server.Responder
    ) -> None:
        started_ms = time.time() * 1000
        kind, name = _kind_and_name(request.path)
        is_write = request.method in ('POST', 'PUT', 'DELETE')
        self._counts['writes' if is_write else 'reads'] += 1
        self._counts['received_bytes'] += len(request.body)
        self._by_kind[f'{request.method} {kind}'] += 1
        if self.switches.silent:
            await to.wait_until_gone()
            return
        await asyncio.sleep(self.switches.delay_ms / 1000)
        reply = await self._reply(request, kind, name, is_write, to)
        lost = is_write and reply.status < 300 and self._loses(kind)
        self._log.append(
            {
                'time_ms': started_ms,
                'caller': request.headers.get('user-agent', ''),
                'method': request.method,
                'kind': kind,
                'name': name or _named(request),
                'watch': 'watch' in request.query,
                'status': reply.status,
                'lost': lost,
            }
        )
        self._counts[f'status_{reply.status}'] += 1
        await asyncio.sleep(self.switches.answer_delay_ms / 1000)
        if lost:
            self._counts['lost'] += 1
            to.abort()
            return
        await to.send_json(reply.status, reply.value)
        self._counts['sent_bytes'] += to.sent_bytes

    async def _reply(
        self,
        request: http_server.Request,
        kind: str,
        name: str,
        is_write: bool,
        to: http_server.Responder,
    ) -> Reply:
        if self.switches.outage:
            return _error(503, 'outage')
        if self.switches.refuse_next > 0:
            self.switches.refuse_next -= 1
            return _error(503, 'refused by a switch')
        if not self._within_rate(is_write):
            return _error(429, 'the rate limit is spent')
        if request.path == '/live':
            return Reply(200, self._live_shown[0][1])
        if kind not in KINDS:
            return _error(404, 'no such kind')
        if is_write:
            return self._write(request, kind, name)
        if name:
            found = self._objects[kind].get(name)
            return Reply(200, found) if found else _error(404, 'no object')
        if request.query.get('watch'):
            return await self._watch(request, kind, to)
        return self._items(kind, 0)

    def _within_rate(self, is_write: bool) -> bool:
        now_s = time.monotonic()
        if is_write:
            return self._writes.take(self.switches.writes_per_s, now_s)
        return self._reads.take(self.switches.reads_per_s, now_s)

    def _write(
        self, request: http_server.Request, kind: str, name: str
    ) -> Reply:
        objects = self._objects[kind]
        if request.method == 'DELETE':
            if objects.pop(name, None) is None:
                return _error(404, 'no object')
            return Reply(200, {})
        if len(request.body) > VALUE_LIMIT_BYTES:
            return _error(413, 'the value is too large')
        try:
            value = request.json()
            metadata, spec = value['metadata'], value['spec']
            name = name or metadata['name']
        except (ValueError, KeyError, TypeError):
            return _error(400, 'not an object')
        current = objects.get(name)
        if request.method == 'POST':
            if current is not None:
                return _error(409, 'the object exists')
            return Reply(201, self._store(kind, name, spec))
        if current is None:
            return _error(404, 'no object')
        expected = metadata.get('resourceVersion')
        if expected != current['metadata']['resourceVersion']:
            return _error(409, 'the version differs')
        return Reply(200, self._store(kind, name, spec))

    def _store(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        self._version += 1
        stored = {
            'kind': kind,
            'metadata': {'name': name, 'resourceVersion': self._version},
            'spec': spec,
        }
        self._objects[kind][name] = stored
        self._changed[kind].set()
        self._changed[kind] = asyncio.Event()
        return stored

    def _items(self, kind: str, after: int) -> Reply:
        items = [
            item
            for item in self._objects[kind].values()
            if item['metadata']['resourceVersion'] > after
        ]
        return Reply(200, {'resourceVersion': self._version, 'items': items})

    async def _watch(
        self,
        request: http_server.Request,
        kind: str,
        to: http_server.Responder,
    ) -> Reply:
        after = int(request.query.get('resourceVersion', 0))
        wait_s = float(request.query.get('timeoutSeconds', WATCH_TIMEOUT_S))
        ends_s = time.monotonic() + wait_s
        self._counts['watches'] += 1
        if after > self._version:
            return _error(410, 'the store was restored since')
        self._counts['watches_waiting'] += 1
        try:
            while not self._items(kind, after).value['items']:
                left_s = ends_s - time.monotonic()
                if left_s <= 0:
                    break
                if not await self._wait_for_change(kind, left_s, to):
                    raise ConnectionResetError('the watch was closed')
        finally:
            self._counts['watches_waiting'] -= 1
        return self._items(kind, after)

    async def _wait_for_change(
        self, kind: str, left_s: float, to: http_server.Responder
    ) -> bool:
        waits = [
            asyncio.create_task(self._changed[kind].wait()),
            asyncio.create_task(self._outage_begun.wait()),
            asyncio.create_task(to.wait_until_gone()),
        ]
        try:
            await asyncio.wait(
                waits,
                timeout=left_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            return not (waits[1].done() or waits[2].done())
        finally:
            for wait in waits:
                wait.cancel()

    def _loses(self, kind: str) -> bool:
        switches = self.switches
        if switches.lose_kind not in ('', kind):
            return False
        if isinstance(switches.lose_answers, float):
            return self._random.random() < switches.lose_answers
        if switches.lose_answers > 0:
            switches.lose_answers -= 1
            return True
        return False

    async def _register(
        self, request: http_server.Request, to: http_server.Responder
    ) -> None:
        self._counts['registrations'] += 1
        group = request.path.removeprefix('/live/')
        entry = request.json()
        if group not in self._live or 'name' not in entry:
            await to.send_json(400, {'message': 'not an entry'})
            return
        ttl_ms = entry.pop('ttlMs', None)
        entry['expires_s'] = (
            float('inf')
            if ttl_ms is None
            else time.monotonic() + ttl_ms / 1000
        )
        if entry.get('state') == 'gone':
            self._live[group].pop(entry['name'], None)
        else:
            self._live[group][entry['name']] = entry
        await to.send_json(200, {})

    async def _control(
        self, request: http_server.Request, to: http_server.Responder
    ) -> None:
        if request.method == 'POST':
            try:
                changes = request.json()
                self.switches = attrs.evolve(self.switches, **changes)
            except (ValueError, TypeError) as error:
                await to.send_json(400, {'message': str(error)})
                return
            if 'seed' in changes:
                self._random.seed(changes['seed'])
            if changes.get('outage'):
                self._outage_begun.set()
                self._outage_begun = asyncio.Event()
        value = {
            'switches': attrs.asdict(self.switches),
            'counts': dict(self._counts),
            'by_kind': dict(self._by_kind),
            'objects': {k: len(v) for k, v in self._objects.items()},
        }
        if 'log' in request.query:
            value['log'] = list(self._log)
        await to.send_json(200, value)


def _kind_and_name(path: str) -> tuple[str, str]:
    if not path.startswith(OBJECTS_PATH):
        return path.strip('/'), ''
    kind, _, name = path.removeprefix(OBJECTS_PATH).partition('/')
    return kind, name


def _named(request: http_server.Request) -> str:
    try:
        return str(json.loads(request.body)['metadata']['name'])
    except (ValueError, KeyError, TypeError):
        return ''


def _error(status: int, message: str) -> Reply:
    return Reply(status, {'message': message})


def start(port: int = 0, **switches: Any) -> http_server.Handle:
    """Start a platform in a thread with these switches set."""
    platform = Platform(Switches(**switches))
    return http_server.start_in_thread(
        platform.server, port, (platform.publish_live_list,)
    )


def main(
    port: int = 0,
    live_lag_ms: float = 1000,
    writes_per_s: float = 300,
    reads_per_s: float = 2000,
    delay_ms: float = 0,
    seed: int = 1,
) -> None:
    """Run a platform as this process."""
    platform = Platform(
        Switches(
            live_lag_ms=live_lag_ms,
            writes_per_s=writes_per_s,
            reads_per_s=reads_per_s,
            delay_ms=delay_ms,
            seed=seed,
        )
    )
    http_server.run_alone(platform.server, port, (platform.publish_live_list,))


if __name__ == '__main__':
    typer.run(main)
