"""Tests of repeated events."""

import threading

from wigeonfall.events import Event
from wigeonfall.merged_events import MERGE_S
from wigeonfall.merged_events import MergedEvents
from wigeonfall.merged_events import MOST_CALLERS


def make_merged():
    recorded = []
    merged = MergedEvents(
        lambda event, **fields: recorded.append((event, fields))
    )
    return merged, recorded


def test_repeats_are_counted_and_told_at_their_end(monkeypatch):
    now_s = [10.0]
    monkeypatch.setattr('time.monotonic', lambda: now_s[0])
    merged, recorded = make_merged()
    for number in range(50):
        now_s[0] += 0.01
        merged.record(Event.TARGET_BACKED_OFF, target='t1', pause_s=number)
    merged.record(Event.TARGET_BACKED_OFF, target='t2', pause_s=0)
    assert [fields['target'] for _, fields in recorded] == ['t1', 't2']
    merged.flush(now_s[0])
    assert len(recorded) == 2
    merged.flush(now_s[0] + MERGE_S)
    assert recorded[2:] == [
        (
            Event.TARGET_BACKED_OFF,
            {'target': 't1', 'pause_s': 49, 'repeated': 49},
        )
    ]
    merged.flush(now_s[0] + 2 * MERGE_S)
    assert len(recorded) == 3


def test_a_later_event_tells_the_count(monkeypatch):
    now_s = [10.0]
    monkeypatch.setattr('time.monotonic', lambda: now_s[0])
    merged, recorded = make_merged()
    for _ in range(3):
        merged.record(Event.WATCH_LOST, kind='k', detail='away')
    now_s[0] += MERGE_S
    merged.record(Event.WATCH_LOST, kind='k', detail='still away')
    assert recorded[-1][1] == {
        'kind': 'k',
        'detail': 'still away',
        'repeated': 2,
    }


def test_events_of_requests_are_never_merged():
    merged, recorded = make_merged()
    for number in range(5):
        merged.record(Event.ATTEMPT_FAILED, request_id=str(number))
    assert len(recorded) == 5


def test_threads_may_record_at_once():
    merged, recorded = make_merged()

    def record():
        for _ in range(500):
            merged.record(Event.WATCH_LOST, kind='k')

    threads = [threading.Thread(target=record) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    merged.flush(float('inf'))
    count = 1 + sum(f.get('repeated', 0) for _, f in recorded)
    assert count == 2000


def test_many_addresses_of_callers_are_recorded_together():
    recorded = []
    merged = MergedEvents(lambda event, **fields: recorded.append(fields))
    for number in range(3 * MOST_CALLERS):
        merged.record(Event.CALLER_CLOSED, caller=str(number), cause='c')
    merged.flush(float('inf'))
    assert len(recorded) <= MOST_CALLERS + 2
    told = sum(fields.get('repeated', 1) for fields in recorded)
    assert told == 3 * MOST_CALLERS
