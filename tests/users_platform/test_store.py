"""Tests of the client of the metadata store, with scripted answers."""

import http.server
import json
import math
import threading
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import attrs
import pytest
from wigeonfall_fleet import store

from wigeonfall.ports.platform import PlatformErrorKind


def stored(name, revision, value=None):
    return {
        'Metadata': {'Name': name, 'Revision': revision},
        'Spec': value or {'a': name},
        'Status': None,
    }


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def _serve(self):
        length = int(self.headers.get('Content-Length', 0))
        body = json.loads(self.rfile.read(length) or b'null')
        parts = urlsplit(self.path)
        query = {
            n: v[0]
            for n, v in parse_qs(parts.query, errors='surrogateescape').items()
        }
        self.server.calls.append((self.command, parts.path, query, body))
        status, answer = self.server.answers.pop(0)
        data = answer if isinstance(answer, bytes) else json.dumps(answer)
        data = data if isinstance(data, bytes) else data.encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_PUT = _serve  # noqa: N815

    def log_message(self, *_args):
        pass


@pytest.fixture
def served():
    server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), _Handler)
    server.calls = []
    server.answers = []
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    server.store = store.make_store(f'127.0.0.1:{server.server_port}')
    yield server
    server.shutdown()
    server.server_close()


def test_a_list_is_read_in_pages(served):
    served.answers = [
        (200, {'Items': [stored('a', 3)], 'HasMore': True, 'CurrentRev': 8}),
        (200, {'Items': [stored('b', 5)], 'HasMore': False, 'CurrentRev': 9}),
    ]
    listing = served.store.list('servers', False).ok_value
    assert [item.name for item in listing.objects] == ['a', 'b']
    # A change of the first page meanwhile has to be watched for.
    assert listing.revision == 8
    assert served.calls[1][1:3] == ('/api/objects/servers', {'After': 'a'})


def test_a_list_that_may_be_stale_is_requested_as_such(served):
    served.answers = [(200, {'Items': [], 'CurrentRev': 9})]
    served.store.list('servers', True)
    assert served.calls[0][2] == {'Serializable': '1'}


def test_a_watch_returns_changes_and_the_next_revision(served):
    events = [
        {'Deleted': False, 'Object': stored('a', 11)},
        {'Deleted': True, 'Object': stored('b', 5)},
    ]
    served.answers = [(200, {'events': events, 'CurrentRev': 12})]
    changes = served.store.watch('servers', 10, 1.5).ok_value
    assert served.calls[0][2] == {'Watch': '10', 'WaitMs': '1500'}
    assert [c.removed for c in changes.changes] == [False, True]
    assert changes.revision == 12


ODD_ITEMS = {
    'half a surrogate pair': stored('i-\ud800', 4),
    'empty name': stored('', 4),
    'long name': stored('n' * 5000, 4),
    'no text': stored(7, 4),
    'no name': {'Metadata': {'Revision': 4}, 'Spec': {}},
    'no metadata': {'Spec': {}},
    'metadata of another type': {'Metadata': [], 'Spec': {}},
    'infinite revision': stored('x', math.inf),
    'revision of another type': stored('x', '4'),
    'fraction': stored('x', 4.5),
    'no object': 5,
    'nothing': None,
}


@pytest.mark.parametrize('odd', ODD_ITEMS)
def test_an_object_that_cannot_be_read_leaves_the_others(served, odd):
    """One odd name made the whole listing, and each watch, unreadable."""
    item = ODD_ITEMS[odd]
    items = [stored('a', 3), item, stored('z', 5)]
    events = [{'Deleted': False, 'Object': i} for i in items]
    events.insert(1, {'Deleted': True, 'Object': item})
    served.answers = [
        (200, {'Items': items, 'CurrentRev': 8}),
        (200, {'events': events, 'CurrentRev': 12}),
    ]
    listing = served.store.list('servers', False).ok_value
    assert [i.name for i in listing.objects] == ['a', 'z']
    assert len(listing.unreadable) == 1
    changes = served.store.watch('servers', 10, 1.5).ok_value
    assert [c.object.name for c in changes.changes] == ['a', 'z']
    assert (changes.revision, len(changes.unreadable)) == (12, 2)


@pytest.mark.parametrize(
    ('items', 'after'),
    [
        ([stored('a', 3), stored('b\ud800', 4)], 'a'),
        ([stored('b\ud800', 4)], 'b\ud800'),
        ([stored('n' * 5000, 4)], 'n' * 4096 + '\U0010ffff'),
    ],
)
def test_a_listing_goes_on_after_a_page_that_ends_unreadably(
    served, items, after
):
    served.answers = [
        (200, {'Items': items, 'HasMore': True, 'CurrentRev': 8}),
        (200, {'Items': [stored('z', 5)], 'CurrentRev': 9}),
    ]
    listing = served.store.list('servers', False).ok_value
    assert listing.objects[-1].name == 'z'
    assert len(listing.unreadable) == 1
    assert served.calls[1][2]['After'].encode(
        'utf-8', 'surrogateescape'
    ) == after.encode('utf-8', 'surrogatepass')


@pytest.mark.parametrize('items', [[{}], [stored('', 4)], [stored('a', 4)]])
def test_a_listing_without_a_way_on_is_an_error(served, items):
    """It would pass for whole, or never end."""
    page = (200, {'Items': items, 'HasMore': True, 'CurrentRev': 8})
    served.answers = [page, page]
    assert served.store.list('servers', False).is_err()


@pytest.mark.parametrize(
    ('status', 'kind'),
    [
        (410, PlatformErrorKind.GONE),
        (409, PlatformErrorKind.CONFLICT),
        (429, PlatformErrorKind.RATE_LIMITED),
        (503, PlatformErrorKind.UNAVAILABLE),
        (499, PlatformErrorKind.INVALID),
    ],
)
def test_error_statuses_are_mapped_to_kinds(served, status, kind):
    served.answers = [(status, {})]
    assert served.store.watch('config', 1, 1.0).err_value.kind is kind


@pytest.mark.parametrize('status', [0, 99, 101, 302, 600, 999])
def test_an_answer_without_success_is_an_error(served, status):
    """A redirect, or a number that is no status, passed for success."""
    answer = {'Items': [], 'events': [], 'CurrentRev': 9}
    served.answers = [(status, answer)] * 3
    assert served.store.list('servers', False).is_err()
    assert served.store.watch('servers', 1, 1.0).is_err()
    assert served.store.create('servers', 'a', {}).is_err()


@pytest.mark.parametrize('answer', [b'{', b'[]', b'{"events": [5]}', b'{}'])
def test_an_invalid_answer_is_an_error(served, answer):
    served.answers = [(200, answer)]
    assert served.store.watch('config', 1, 1.0).is_err()


def test_writes_send_the_revision_that_they_replace(served):
    served.answers = [(200, stored('i1', 2)), (200, stored('i1', 4))]
    written = served.store.create('instances', 'i1', {'x': 1}).ok_value
    reported = attrs.evolve(written, status={'s': 1})
    assert served.store.report(reported).ok_value.version == 4
    assert served.calls[0][0::3] == (
        'POST',
        {'Metadata': {'Name': 'i1'}, 'Spec': {'x': 1}},
    )
    assert served.calls[1] == (
        'PUT',
        '/api/objects/instances/i1/status',
        {},
        {'Metadata': {'Name': 'i1', 'Revision': 2}, 'Status': {'s': 1}},
    )


def test_an_unreachable_store_is_an_error():
    unreachable = store.make_store('127.0.0.1:1')
    error = unreachable.list('servers', False).err_value
    assert error.kind is PlatformErrorKind.UNAVAILABLE
    assert not error.effect_unknown
