"""Tests of splitting a stream into events."""

from hypothesis import given
from hypothesis import strategies as st

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
    assert splitter.partial_event == b''


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
