"""Records events: a bounded ring in memory and JSON lines in the log."""

import collections
from collections.abc import Callable
import logging
import sys
import threading
import time
from typing import Any

import attrs
from pythonjsonlogger import json as json_logging

from . import clock
from . import log_queue
from .events import Event

RING_EVENTS = 20_000

Record = Callable[..., None]


@attrs.frozen
class Entry:
    """One recorded event.

    Attributes:
        stamp: position in causal order.
        instance: name of the instance that recorded it.
        number: number of the event in the catalogue.
        message: message of the event in the catalogue.
        fields: values that belong to the event.
    """

    stamp: clock.Stamp
    instance: str
    number: int
    message: str
    fields: dict[str, Any]


class Recorder:
    """The events of one process."""

    def __init__(self, instance: str, hybrid_clock: clock.HybridClock) -> None:
        self.clock = hybrid_clock
        self._instance = instance
        self._ring: collections.deque[Entry] = collections.deque(
            maxlen=RING_EVENTS
        )
        self._lock = threading.Lock()
        self._logger = logging.getLogger('wigeonfall')

    def record(self, event: Event, **fields: Any) -> None:
        """Record an event with its fields, as of now."""
        stamp = self.clock.tick(time.time())
        entry = Entry(
            stamp, self._instance, event.number, event.message, fields
        )
        with self._lock:
            self._ring.append(entry)
        if self._logger.isEnabledFor(event.level):
            self._logger.log(event.level, event.message, extra=to_json(entry))

    def entries(self) -> tuple[Entry, ...]:
        """Return the events that the ring still holds, oldest first."""
        with self._lock:
            return tuple(self._ring)


def to_json(entry: Entry) -> dict[str, Any]:
    """Return an entry as JSON values, as log lines carry it."""
    return {
        'time_ms': entry.stamp.time_ms,
        'counter': entry.stamp.counter,
        'instance': entry.instance,
        'event': entry.number,
        'text': entry.message,
        'fields': entry.fields,
    }


def from_json(value: dict[str, Any]) -> Entry:
    """Return the entry that a log line carries.

    Raises:
        KeyError: a field is missing.
    """
    return Entry(
        clock.Stamp(value['time_ms'], value['counter']),
        value['instance'],
        value['event'],
        value['text'],
        value['fields'],
    )


def queue_to_stdout(level: str) -> log_queue.LogQueue:
    """Send log records to standard output without ever waiting for it.

    Args:
        level: name of the lowest level that is sent.

    Returns:
        The queue of lines, to be stopped at the end of the process.
    """
    lines = log_queue.LogQueue(_make_writer(), _say_dropped)
    _send_to(lines, level)
    return lines


def _make_writer() -> logging.Handler:
    writer = logging.StreamHandler(sys.stdout)
    writer.setFormatter(
        json_logging.JsonFormatter('%(levelname)s %(message)s')
    )
    return writer


def _send_to(handler: logging.Handler, level: str) -> None:
    logger = logging.getLogger('wigeonfall')
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False


def _say_dropped(lines: int) -> None:
    event = Event.LOG_LINES_DROPPED
    logging.getLogger('wigeonfall').log(
        event.level,
        event.message,
        extra={'event': event.number, 'fields': {'lines': lines}},
    )
