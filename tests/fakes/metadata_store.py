"""A fake of the users' platform's metadata store, over HTTP."""

import contextlib
import http.server
import json
import threading
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit

from result import Err

from tests.fakes.object_store import MemoryObjects
from wigeonfall.ports.platform import PlatformErrorKind
from wigeonfall.ports.platform import StoredObject

_STATUSES = {
    PlatformErrorKind.CONFLICT: 409,
    PlatformErrorKind.GONE: 410,
    PlatformErrorKind.UNAVAILABLE: 503,
}


def _encode(item):
    return {
        'Metadata': {'Name': item.name, 'Revision': item.version},
        'Spec': item.value,
        'Status': item.status,
    }


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def do_GET(self):  # noqa: N802
        kind, _, query, _ = self._read()
        port = self.server.objects.port()
        if 'Watch' in query:
            wait_s = int(query['WaitMs']) / 1000
            outcome = port.watch(kind, int(query['Watch']), wait_s)
            self._answer(outcome, self._encode_changes)
        else:
            self._answer(port.list(kind, False), self._encode_listing)

    def do_POST(self):  # noqa: N802
        kind, _, _, body = self._read()
        name = body['Metadata']['Name']
        created = self.server.objects.create(kind, name, body['Spec'])
        self._answer(created, _encode)

    def do_PUT(self):  # noqa: N802
        kind, name, _, body = self._read()
        objects = self.server.objects
        current = objects.get(kind, name)
        value = body.get('Spec', current.value if current else {})
        version = body['Metadata'].get('Revision', 0)
        stored = StoredObject(kind, name, version, value, body.get('Status'))
        self._answer(objects.replace(stored), _encode)

    def _read(self):
        length = int(self.headers.get('Content-Length', 0))
        body = json.loads(self.rfile.read(length) or b'null')
        parts = urlsplit(self.path)
        query = {n: v[0] for n, v in parse_qs(parts.query).items()}
        segments = [unquote(segment) for segment in parts.path.split('/')[3:]]
        return (
            segments[0],
            segments[1] if len(segments) > 1 else '',
            query,
            body,
        )

    def _encode_listing(self, listing):
        return {
            'Items': [_encode(item) for item in listing.objects],
            'HasMore': False,
            'CurrentRev': listing.revision,
        }

    def _encode_changes(self, changes):
        return {
            'events': [
                {'Deleted': c.removed, 'Object': _encode(c.object)}
                for c in changes.changes
            ],
            'CurrentRev': changes.revision,
        }

    def _answer(self, outcome, encode):
        status, value = 200, {}
        if isinstance(outcome, Err):
            status = _STATUSES.get(outcome.err_value.kind, 500)
        else:
            value = encode(outcome.ok_value)
        text = json.dumps(value)
        for name, raw in self.server.raw.items():
            text = text.replace(json.dumps({'raw': name}), raw)
        data = text.encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(data)))
        self.send_header('Store-Era', str(self.server.objects.era))
        self.end_headers()
        # A stopped process closes the connections of its watches.
        with contextlib.suppress(ConnectionError):
            self.wfile.write(data)

    def log_message(self, *_args):
        pass


class MetadataStore:
    """Objects in memory, served over HTTP on loopback."""

    def __init__(self):
        self.objects = MemoryObjects()
        self._server = http.server.ThreadingHTTPServer(
            ('127.0.0.1', 0), _Handler
        )
        self._server.daemon_threads = True
        self._server.objects = self.objects
        # JSON texts by name; they replace values of {'raw': name}.
        self.raw: dict[str, str] = {}
        self._server.raw = self.raw
        self.address = f'127.0.0.1:{self._server.server_port}'

    def __enter__(self):
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()
        return self

    def __exit__(self, *_exc):
        self._server.shutdown()
        self._server.server_close()
