"""A stand-in of the platform's metadata store, as PROTOCOL describes it."""

import asyncio
import contextlib
import json
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit

import wire_2 as wire

ROOT = '/api/objects/'


class Store:
    """Objects by kind and name with one revision counter, over HTTP."""

    def __init__(self):
        self.address = ''
        self.revision = 10
        self.objects = {}
        self.history = []
        self.era = 1
        self.delay_s = 0.004
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 22
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self):
        self._server.close()

    def put(self, kind, name, spec, status=None, keep_status=True):
        """Write an object; return its revision."""
        before = self.objects.get((kind, name))
        if before and keep_status and status is None:
            status = before['Status']
        self.revision += 1
        created = before['Metadata']['CreateRev'] if before else self.revision
        item = {
            'Metadata': {
                'Name': name,
                'Revision': self.revision,
                'CreateRev': created,
                'Finalizers': [],
                'Deleting': False,
            },
            'Spec': spec,
            'Status': status,
        }
        self.objects[kind, name] = item
        self._note(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._note(kind, item, True)

    def _note(self, kind, item, deleted):
        event = {'Object': item, 'Deleted': deleted}
        self.history.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = await wire.read_request(reader)
                if request is None:
                    break
                status, value = await self._answer(request)
                await asyncio.sleep(self.delay_s)
                body = json.dumps(value).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Store-Era: %d\r\nContent-Length: %d\r\n\r\n%s'
                    % (status, self.era, len(body), body)
                )
                await writer.drain()
        writer.close()

    async def _answer(self, request):
        parts = urlsplit(request.path)
        if not parts.path.startswith(ROOT):
            return 404, {}
        query = {n: v[0] for n, v in parse_qs(parts.query).items()}
        names = [unquote(n) for n in parts.path[len(ROOT) :].split('/')]
        kind, name = names[0], names[1] if len(names) > 1 else ''
        body = json.loads(request.body or b'{}')
        if request.method == 'GET' and 'Watch' in query:
            return await self._watch(kind, query)
        if request.method == 'GET' and not name:
            return self._list(kind, query)
        if request.method == 'GET':
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        return self._write(request.method, kind, names, query, body)

    def _list(self, kind, query):
        after = query.get('After', '')
        items = sorted(
            (item for (k, n), item in self.objects.items() if k == kind),
            key=lambda item: item['Metadata']['Name'],
        )
        items = [i for i in items if i['Metadata']['Name'] > after]
        page, rest = items[:500], items[500:]
        return 200, {
            'Items': page,
            'HasMore': bool(rest),
            'CurrentRev': self.revision,
        }

    async def _watch(self, kind, query):
        since = int(query['Watch'])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query.get('WaitMs', 0)) / 1000
        if since > self.revision:
            return 410, {}
        while True:
            changed = self._changed
            events = [
                event
                for revision, k, event in self.history
                if revision > since and k == kind
            ]
            left_s = end_s - loop.time()
            if events or left_s <= 0:
                return 200, {'events': events, 'CurrentRev': self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()

    def _write(self, method, kind, names, query, body):
        metadata = body.get('Metadata', {})
        name = names[1] if len(names) > 1 else metadata.get('Name', '')
        current = self.objects.get((kind, name))
        if method == 'POST':
            if current is not None:
                return 409, current
            return 200, self.put(kind, name, body.get('Spec'))
        if current is None:
            return 404, {}
        wanted = metadata.get('Revision') or int(query.get('Revision', 0))
        if wanted and wanted != current['Metadata']['Revision']:
            return 409, current
        if method == 'DELETE':
            self.remove(kind, name)
            return 200, current
        if names[2:] == ['status']:
            if current['Status'] == body.get('Status'):
                return 200, current
            spec = current['Spec']
            return 200, self.put(kind, name, spec, body.get('Status'))
        if current['Spec'] == body.get('Spec'):
            return 200, current
        return 200, self.put(kind, name, body.get('Spec'))
