"""Repeated events, merged into one with a count.

A target that refuses connections or a store that is away says the same many
times a second. The first is recorded at once; those like it within a short
time are counted, and the count is recorded with the next one or at its end.
Events of a request are never merged.
"""

import threading
import time
from typing import Any, TypeAlias

import attrs

from .events import Event
from .recorder import Record

MERGE_S = 1.0  # a reader follows one line a second of a kind
MOST_CALLERS = 100  # told apart at once; clients choose their addresses
_MERGED = frozenset(
    {
        Event.PAGE_FAILED,
        Event.OBJECT_UNREADABLE,
        Event.TARGET_BACKED_OFF,
        Event.TARGET_LIMIT_LOWERED,
        Event.PEER_UNREACHABLE,
        Event.PEER_REACHABLE,
        Event.WATCH_LOST,
        Event.WATCH_REGAINED,
        Event.MESSAGE_UNREADABLE,
        Event.MESSAGE_NOT_SENT,
        Event.REGISTRATION_FAILED,
        Event.CALLER_CLOSED,
    }
)
# What tells events of a kind apart; other fields are details.
_SUBJECTS = ('target', 'peer', 'kind', 'object', 'page', 'caller', 'cause')

_Key: TypeAlias = tuple[Event, tuple[Any, ...]]


@attrs.define
class _Repeats:
    """Events like one that was recorded.

    Attributes:
        recorded_s: when that was, on the monotonic clock.
        count: events since then.
        fields: fields of the last of them.
    """

    recorded_s: float
    count: int = 0
    fields: dict[str, Any] = attrs.field(factory=dict)


class MergedEvents:
    """Merges repeated events on their way to a recorder.

    Args:
        record: records events.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._repeats: dict[_Key, _Repeats] = {}
        self._lock = threading.Lock()

    def record(self, event: Event, **fields: Any) -> None:
        """Record an event, or count it with those like it."""
        if event not in _MERGED:
            self._record(event, **fields)
            return
        now_s = time.monotonic()
        subjects = tuple(str(fields.get(name)) for name in _SUBJECTS)
        with self._lock:
            if event is Event.CALLER_CLOSED:
                subjects = self._bounded(event, subjects)
            repeats = self._repeats.get((event, subjects))
            if repeats is not None and now_s - repeats.recorded_s < MERGE_S:
                repeats.count += 1
                repeats.fields = fields
                return
            self._repeats[event, subjects] = _Repeats(now_s)
        if repeats is not None and repeats.count:
            fields = {**fields, 'repeated': repeats.count}
        self._record(event, **fields)

    def _bounded(
        self, event: Event, subjects: tuple[Any, ...]
    ) -> tuple[Any, ...]:
        """Return what tells an event apart, () beyond a number of them."""
        if (event, subjects) in self._repeats:
            return subjects
        count = sum(1 for key, _ in self._repeats if key is event)
        return subjects if count < MOST_CALLERS else ()

    def flush(self, now_s: float) -> None:
        """Record the counts that no later event told of.

        Args:
            now_s: present time on the monotonic clock.
        """
        with self._lock:
            ended = [
                (event, repeats)
                for (event, _), repeats in self._repeats.items()
                if now_s - repeats.recorded_s >= MERGE_S
            ]
            self._repeats = {
                key: repeats
                for key, repeats in self._repeats.items()
                if now_s - repeats.recorded_s < MERGE_S
            }
        for event, repeats in ended:
            if repeats.count:
                fields = {**repeats.fields, 'repeated': repeats.count}
                self._record(event, **fields)
