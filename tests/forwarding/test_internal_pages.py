"""Tests of the pages for peers, probes and operators."""

import asyncio
import json

import pytest

from tests.fakes.object_store import make_store_view
from wigeonfall.forwarding.calls import Call
from wigeonfall.forwarding.calls import Reply
from wigeonfall.forwarding import internal_pages
from wigeonfall.ports.objects import Listing
from wigeonfall.ports.platform import StoredObject


class _Connection:
    """Collects the bytes of an answer."""

    def __init__(self):
        self.data = b''

    def write(self, data):
        self.data += data

    def closing(self):
        return False


def ask(pages, path, questions=None):
    """Return the status, the body and the events of an answer."""
    events = []

    def record(event, **fields):
        events.append((event.name, fields))

    handle = internal_pages.make_page_handler(
        record,
        pages(record) if callable(pages) else pages,
        questions,
    )
    connection = _Connection()
    call = Call(b'GET', path, (), b'', 0.0)
    asyncio.run(handle(call, Reply(connection, False)))
    head, _, body = connection.data.partition(b'\r\n\r\n')
    return int(head.split()[1]), body, events


def fail(*_):
    raise RecursionError('too deep')


@pytest.mark.parametrize('as_question', [False, True])
def test_a_page_that_raises_is_answered_and_recorded(as_question):
    """The channel ended without an answer, and nothing was recorded."""
    found = {b'/x': fail}
    pages, questions = ({}, found) if as_question else (found, {})
    status, body, events = ask(pages, b'/x?a=b', questions)
    assert (status, body) == (500, b'')
    assert events == [
        ('PAGE_FAILED', {'page': '/x', 'detail': "RecursionError('too deep')"})
    ]


def test_a_kind_that_cannot_be_encoded_leaves_the_others():
    """One such kind kept peers from all changes."""
    view = make_store_view(('good', 'bad', 'other'))
    for kind in view.kinds():
        value = {'v': 1, 'x': object() if kind == 'bad' else kind}
        item = StoredObject(kind, 'a', 3, value)
        view.apply_listing(kind, Listing((item,), 3, 1))

    def pages(record):
        return internal_pages.snapshot_pages(view, record)

    status, body, events = ask(pages, b'/snapshot')
    assert status == 200
    assert set(json.loads(body)) == {'good', 'other'}
    assert [fields['page'] for _, fields in events] == ['/snapshot/bad']
    assert ask(pages, b'/snapshot/bad')[0] == 500
    status, body, events = ask(pages, b'/snapshot/good')
    assert (status, events) == (200, [])
    assert json.loads(body) == view.snapshot(('good',))
