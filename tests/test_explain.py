"""Tests of explaining what became of a request."""

import json

import pytest
from typer.testing import CliRunner

from wigeonfall import cli
from wigeonfall.clock import Stamp
from wigeonfall.events import Event
from wigeonfall import explain
from wigeonfall import recorder
from wigeonfall.recorder import Entry


def make_entry(event, at_ms, instance='i1', **fields):
    return Entry(
        Stamp(at_ms, 0), instance, event.number, event.message, fields
    )


PLACED = make_entry(
    Event.REQUEST_ASSIGNED, 5000, request_id='r1', target='t1', waited_ms=3
)
FAILED = make_entry(
    Event.ATTEMPT_FAILED,
    5100,
    request_id='r1',
    target='t1',
    kind='broken',
    detail='connection ended',
)
TURNED_AWAY = make_entry(
    Event.REQUEST_NOT_SERVED,
    5101,
    request_id='r1',
    target='t1',
    status=502,
    reason='attempt failed',
    ran=True,
    waited_ms=3,
)
OTHER = make_entry(
    Event.ATTEMPT_FAILED, 5090, 'i2', request_id='r2', target='t1'
)
OLD = make_entry(Event.WATCH_LOST, 100, kind='k')
NEAR = make_entry(Event.WATCH_LOST, 4500, kind='k')
ELSEWHERE = make_entry(Event.WATCH_LOST, 4500, 'i2', kind='k')
ALL = (OLD, NEAR, ELSEWHERE, PLACED, OTHER, FAILED, TURNED_AWAY)


def test_a_story_holds_the_request_and_what_happened_around_it():
    story = explain.tell(ALL, 'r1')
    assert story.entries == (NEAR, PLACED, OTHER, FAILED, TURNED_AWAY)
    assert '502' in story.cause and 'may have run' in story.cause
    assert 'connection ended' in story.cause


@pytest.mark.parametrize(
    ('event', 'fields', 'words'),
    [
        (Event.CALLER_LEFT, {'target': 't1', 'total_ms': 900}, 'caller left'),
        (Event.CALL_REJECTED, {'status': 404, 'reason': 'no route'}, '404'),
        (
            Event.ANSWER_FORWARDED,
            {'status': 200, 'target': 't1', 'waited_ms': 700},
            'waited 700 ms',
        ),
        (
            Event.REQUEST_NOT_SERVED,
            {'status': 503, 'reason': 'no room', 'ran': False},
            'did not run',
        ),
    ],
)
def test_each_end_has_its_cause(event, fields, words):
    entry = make_entry(event, 1, request_id='r1', **fields)
    assert words in explain.tell((entry,), 'r1').cause


def test_a_request_without_an_end_says_so():
    assert 'did not live' in explain.tell((PLACED,), 'r1').cause


def test_the_command_reads_lines_with_words_before_them(tmp_path):
    path = tmp_path / 'i1.log'
    lines = [f' 1.5 i1 {json.dumps(recorder.to_json(e))}' for e in ALL]
    path.write_text('\n'.join(['no event', *lines]), 'utf-8')
    runner = CliRunner()
    shown = runner.invoke(cli.app, ['explain', 'r1', str(path)])
    assert shown.exit_code == 0
    assert 'r1: ended with 502' in shown.stdout
    shown = runner.invoke(
        cli.app, ['explain', 'r1', str(path), '--output', 'json']
    )
    assert len(json.loads(shown.stdout)['events']) == 5
    assert runner.invoke(cli.app, ['explain', 'r9', str(path)]).exit_code == 3
