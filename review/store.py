"""A stand-in for the platform's metadata store.

It follows the page PROTOCOL, "The platform's metadata store": objects by kind
and name, one counter of revisions, listings in pages, and watches. Each
machine reaches it through a link of its own, which can be cut.
"""

import asyncio
import json
import urllib.parse

import messages

PAGE_OBJECTS = 500


class Link:
    """How one machine reaches the store.

    Attributes:
        address: "host:port" of the store on this link.
    """

    def __init__(self, store):
        self._store = store
        self._cut = False
        self._writers = set()
        self._server = None
        self.address = ''

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 22
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def cut(self):
        """Reset all channels and refuse new ones, until it is healed."""
        self._cut = True
        for writer in tuple(self._writers):
            writer.transport.abort()

    def heal(self):
        """Let all through again."""
        self._cut = False

    async def _serve(self, reader, writer):
        if self._cut:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while (request := await messages.read_message(reader)) is not None:
                status, value = await self._store.answer(request)
                body = self._store.encode(value)
                headers = {
                    'Content-Type': 'application/json',
                    'Store-Era': self._store.era,
                }
                writer.write(
                    messages.encode(f'HTTP/1.1 {status} Status', headers, body)
                )
                await writer.drain()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """Objects by kind and name.

    Attributes:
        era: rises when the store comes back from a copy; it never does here.
        revision: revision of the last change.
    """

    def __init__(self):
        self.era = 1
        self.revision = 1
        self._objects = {}
        self._history = []
        self._texts = set()
        self._changed = asyncio.Event()

    async def link(self):
        """Return a new link to the store."""
        link = Link(self)
        await link.start()
        return link

    def put(self, kind, name, spec):
        """Write an object, as the operator and the engines do."""
        present = self._objects.get((kind, name))
        status = present['Status'] if present else None
        self._write(kind, name, spec, status)

    def put_text(self, kind, name, text):
        """Write an object whose content is any JSON text."""
        self._texts.add(text)
        self.put(kind, name, text)

    def encode(self, value):
        """Return the bytes of a body."""
        encoded = json.dumps(value)
        for text in self._texts:
            encoded = encoded.replace(json.dumps(text), text)
        return encoded.encode()

    def remove(self, kind, name):
        """Remove an object."""
        self.revision += 1
        gone = self._objects.pop((kind, name))
        self._tell(kind, {'Object': gone, 'Deleted': True})

    def get(self, kind, name):
        """Return an object, or None."""
        return self._objects.get((kind, name))

    async def answer(self, request):
        """Return the status and the JSON values for a call."""
        method, target = request.first[:2]
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        words = [urllib.parse.unquote(w) for w in parts.path.split('/')[3:]]
        if method == 'GET' and len(words) == 1 and 'Watch' in query:
            return await self._watch(words[0], query)
        if method == 'GET' and len(words) == 1:
            return self._list(words[0], query.get('After', ''))
        body = json.loads(request.body or b'{}')
        if method == 'POST':
            words.append(body['Metadata']['Name'])
        present = self._objects.get(tuple(words[:2]))
        if method == 'POST' and present is not None:
            return 409, present
        if method != 'POST' and present is None:
            return 404, {}
        if method == 'GET':
            return 200, present
        wanted = body.get('Metadata', {}).get('Revision')
        if wanted and wanted != present['Metadata']['Revision']:
            return 409, present
        if method == 'DELETE':
            self.remove(*words[:2])
            return 200, {}
        spec = body.get('Spec') if present is None else present['Spec']
        status = present['Status'] if present else None
        if words[2:] == ['status']:
            status = body.get('Status')
        elif method == 'PUT':
            spec = body.get('Spec')
        return 200, self._write(words[0], words[1], spec, status)

    def _write(self, kind, name, spec, status):
        present = self._objects.get((kind, name))
        if present is not None and (
            (present['Spec'], present['Status']) == (spec, status)
        ):
            return present
        self.revision += 1
        created = self.revision
        if present is not None:
            created = present['Metadata']['CreateRev']
        written = {
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
        self._objects[kind, name] = written
        self._tell(kind, {'Object': written, 'Deleted': False})
        return written

    def _tell(self, kind, event):
        self._history.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _list(self, kind, after):
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        page = names[:PAGE_OBJECTS]
        return 200, {
            'Items': [self._objects[kind, name] for name in page],
            'HasMore': len(names) > len(page),
            'CurrentRev': self.revision,
        }

    async def _watch(self, kind, query):
        since = int(query['Watch'])
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query['WaitMs']) / 1000
        while True:
            events = [
                event
                for revision, its_kind, event in self._history
                if revision > since and its_kind == kind
            ]
            left_s = until_s - loop.time()
            if events or left_s <= 0:
                return 200, {'events': events, 'CurrentRev': self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
