"""Events of one process: the ring, the log lines and their JSON form."""

import json
import logging

import hypothesis
from hypothesis import strategies as st
import pytest

from wigeonfall import clock
from wigeonfall.events import Event
from wigeonfall import recorder

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=5,
)
ENTRIES = st.builds(
    recorder.Entry,
    st.builds(clock.Stamp, st.integers(0, 1 << 45), st.integers(0, 1 << 20)),
    st.text(),
    st.integers(100, 799),
    st.text(),
    st.dictionaries(st.text(), VALUES, max_size=4),
)


@hypothesis.given(ENTRIES)
def test_entries_survive_json(entry: recorder.Entry) -> None:
    line = json.dumps(recorder.to_json(entry))
    assert recorder.from_json(json.loads(line)) == entry


@pytest.mark.parametrize(
    'field', ('time_ms', 'counter', 'instance', 'event', 'text', 'fields')
)
def test_an_entry_with_a_missing_field_is_refused(field: str) -> None:
    value = recorder.to_json(
        recorder.Entry(clock.Stamp(1, 0), 'z1', 101, 'process started', {})
    )
    del value[field]
    with pytest.raises(KeyError):
        recorder.from_json(value)


def test_the_ring_keeps_the_newest_events(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(recorder, 'RING_EVENTS', 5)
    made = recorder.Recorder('z1', clock.HybridClock())
    for number in range(8):
        made.record(Event.PEER_REACHABLE, peer=number)
    entries = made.entries()
    assert [e.fields['peer'] for e in entries] == [3, 4, 5, 6, 7]
    assert list(entries) == sorted(entries, key=lambda e: e.stamp)


def test_log_lines_are_read_back_and_keep_to_the_level(
    capsys: pytest.CaptureFixture[str],
) -> None:
    logger = logging.getLogger('wigeonfall')
    before = logger.handlers, logger.level, logger.propagate
    try:
        lines = recorder.queue_to_stdout('WARNING')
        made = recorder.Recorder('z1', clock.HybridClock())
        made.record(Event.PEER_REACHABLE, peer='a')
        made.record(Event.PEER_UNREACHABLE, peer='b')
        lines.stop()
    finally:
        logger.handlers, level, logger.propagate = before
        logger.setLevel(level)
    (line,) = capsys.readouterr().out.splitlines()
    value = json.loads(line)
    assert value['levelname'] == 'WARNING'
    assert recorder.from_json(value) == made.entries()[1]
