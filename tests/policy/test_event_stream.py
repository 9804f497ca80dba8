"""Tests of splitting a stream into events."""

import time

from hypothesis import given
from hypothesis import strategies as st

import pytest

from wigeonfall.policy.event_stream import EventSplitter

EVENTS = [b'id: %d\ndata: piece %d\n\n' % (n, n) for n in range(1, 30)]


@given(st.lists(st.integers(0, 800), max_size=20))
def test_any_chunking_gives_the_same_events(offsets):
    data = b''.join(EVENTS)
    edges = sorted({0, len(data), *(min(c, len(data)) for c in offsets)})
    splitter = EventSplitter()
    whole = [
        splitter.feed(data[a:b])
        for a, b in zip(edges, edges[1:], strict=False)
    ]
    assert b''.join(whole) == data
    assert splitter.event_count == len(EVENTS)
    assert splitter.last_id == '29'
    assert splitter.partial_bytes == 0


def test_a_resumed_stream_has_no_gap_and_no_repeated_event():
    splitter = EventSplitter()
    first = splitter.feed(b''.join(EVENTS[:5]) + EVENTS[5][:4])
    splitter.discard_partial_event()
    rest = splitter.feed(b''.join(EVENTS[3:]))
    assert first + rest == b''.join(EVENTS)


def test_events_without_ids_are_passed_on():
    splitter = EventSplitter()
    assert splitter.feed(b'data: a\r\n\r\ndata: b\n\n') == (
        b'data: a\r\n\r\ndata: b\n\n'
    )
    assert splitter.event_count == 2


def _time_s(part, size, step):
    """Return the least of several times that splitting takes."""
    data = part * (size // len(part))
    steps = [data[n : n + step] for n in range(0, len(data), step)]
    times_s = []
    for _ in range(3):
        splitter = EventSplitter()
        started_s = time.process_time()
        for piece in steps:
            splitter.feed(piece)
        times_s.append(time.process_time() - started_s)
    return min(times_s)


@pytest.mark.parametrize(
    'part', [b'\n', b'\r\n', b'\r', b':', b':\n\n', b'd:\n\n', b'x']
)
@pytest.mark.parametrize('step', [16, 1 << 20])
def test_blank_lines_without_end_take_linear_time(part, step):
    """64 KB of newlines held the event loop of an instance for 2.3 s."""
    short_s = _time_s(part, 8 << 10, step)
    long_s = _time_s(part, 128 << 10, step)
    # Sixteen times the bytes; quadratic work takes 256 times as long.
    assert long_s < 64 * max(short_s, 0.0002)


def test_blank_lines_and_comments_are_passed_on_and_are_no_events():
    splitter = EventSplitter()
    data = b'\n\n: wait\n\nid: 1\ndata: a\n\n\n\n:\n\n\n\n'
    passed_on = b''.join(
        splitter.feed(data[n : n + 1]) for n in range(len(data))
    )
    assert splitter.event_count == 1
    assert splitter.idle_bytes > 0
    assert not splitter.in_event
    assert passed_on + splitter.flush() == data


def test_repeated_events_without_end_are_counted_as_idle():
    splitter = EventSplitter()
    splitter.feed(EVENTS[4])
    assert splitter.feed(b''.join(EVENTS[:5]) * 10) == b''
    assert splitter.idle_bytes == 10 * len(b''.join(EVENTS[:5]))
    assert splitter.feed(EVENTS[5]) == EVENTS[5]
    assert splitter.idle_bytes == 0


@pytest.mark.parametrize(
    ('last_id', 'event_id', 'follows'),
    [
        ('\u00b2', '\u00b3', True),  # digits to Python, not to int()
        ('9' * 5000, '1' + '0' * 5000, True),  # more digits than int() takes
        ('9' * 5000, '9' * 4999, False),
        ('007', '8', True),
        ('8', '007', False),
    ],
)
def test_odd_event_ids_do_not_end_the_request(last_id, event_id, follows):
    """Ids of digits that are not ASCII closed the channels of callers."""
    splitter = EventSplitter()
    splitter.feed(f'id: {last_id}\n\n'.encode('latin-1'))
    event = f'id: {event_id}\n\n'.encode('latin-1')
    assert splitter.feed(event) == (event if follows else b'')
