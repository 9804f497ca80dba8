"""A stand-in of the platform's store: objects by kind and name, over HTTP."""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit

from wire_3 import close
from wire_3 import read_message

PAGE = 500


class Store:
    """Keeps objects in memory and answers lists, watches and writes.

    Attributes:
        era: value of the header `Store-Era`.
        address: "host:port" that it listens on.
        away: whether it refuses all calls with 503.
    """

    def __init__(self) -> None:
        self.era = 1
        self.address = ''
        self.away = False
        self._revision = 1
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object, None if there is none."""
        return self._objects.get(kind, {}).get(name)

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Create an object or replace its `Spec`, as the operator does."""
        self._write(kind, name, Spec=spec)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            self._note(kind, {'Deleted': True, 'Object': item})

    def _write(self, kind: str, name: str, **parts: Any) -> dict[str, Any]:
        known = self.get(kind, name)
        changed = {n: v for n, v in parts.items() if (known or {}).get(n) != v}
        if known is not None and not changed:
            return known
        self._revision += 1
        before = known or {'Metadata': {}, 'Spec': {}, 'Status': None}
        metadata = {
            'Finalizers': [],
            'Deleting': False,
            'CreateRev': self._revision,
            **before['Metadata'],
            'Name': name,
            'Revision': self._revision,
        }
        item = {**before, **parts, 'Metadata': metadata}
        self._objects.setdefault(kind, {})[name] = item
        self._note(kind, {'Deleted': False, 'Object': item})
        return item

    def _note(self, kind: str, event: dict[str, Any]) -> None:
        self._history.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                status, value = await self._answer(message)
                data = json.dumps(value).encode()
                writer.write(
                    b'HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n'
                    b'Store-Era: %d\r\nContent-Length: %d\r\n\r\n%s'
                    % (status, self.era, len(data), data)
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            close(writer)

    async def _answer(self, message: Any) -> tuple[int, Any]:
        if self.away:
            return 503, {}
        url = urlsplit(message.target)
        query = {n: v[0] for n, v in parse_qs(url.query).items()}
        path = [unquote(part) for part in url.path.split('/')[3:]]
        kind, name = path[0], path[1] if len(path) > 1 else ''
        if message.method == 'GET':
            if name:
                item = self.get(kind, name)
                return (200, item) if item else (404, {})
            if 'Watch' in query:
                return await self._watch(
                    kind, int(query['Watch']), int(query.get('WaitMs', 0))
                )
            return 200, self._list(kind, query.get('After', ''))
        if message.method == 'DELETE':
            self.delete(kind, name)
            return 200, {}
        return self._change(message, kind, path)

    def _change(
        self, message: Any, kind: str, path: list[str]
    ) -> tuple[int, Any]:
        body = json.loads(message.body)
        metadata = body.get('Metadata') or {}
        name = path[1] if len(path) > 1 else metadata['Name']
        known = self.get(kind, name)
        if message.method == 'POST':
            if known is not None:
                return 409, known
            return 200, self._write(kind, name, Spec=body.get('Spec'))
        if known is None:
            return 404, {}
        revision = metadata.get('Revision')
        if revision and revision != known['Metadata']['Revision']:
            return 409, known
        part = 'Status' if path[2:] == ['status'] else 'Spec'
        return 200, self._write(kind, name, **{part: body.get(part)})

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        names = sorted(n for n in self._objects.get(kind, {}) if n > after)
        items = [self._objects[kind][name] for name in names[:PAGE]]
        return {
            'Items': items,
            'HasMore': len(names) > PAGE,
            'CurrentRev': self._revision,
        }

    async def _watch(
        self, kind: str, since: int, wait_ms: int
    ) -> tuple[int, Any]:
        if since > self._revision:
            return 410, {}
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_ms / 1000
        while True:
            events = [
                e for r, k, e in self._history if r > since and k == kind
            ]
            left_s = until_s - loop.time()
            if events or left_s <= 0:
                return 200, {'events': events, 'CurrentRev': self._revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
