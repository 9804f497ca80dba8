"""Tests of log lines that never block."""

import gc
import logging
import threading
import time

from wigeonfall import log_queue


class _Blocked(logging.Handler):
    """A writer that waits until it may go on."""

    def __init__(self):
        super().__init__()
        self.go_on = threading.Event()
        self.written = []

    def emit(self, record):
        self.go_on.wait(10)
        self.written.append(record.getMessage())


def make_record(number):
    return logging.LogRecord('x', 20, 'x', 1, str(number), None, None)


def test_a_reader_that_stops_costs_lines_and_no_time(monkeypatch):
    monkeypatch.setattr(log_queue, 'QUEUED_LINES', 100)
    writer = _Blocked()
    lost = []
    lines = log_queue.LogQueue(writer, lost.append)
    began_s = time.monotonic()
    for number in range(1000):
        lines.handle(make_record(number))
    assert time.monotonic() - began_s < 1.0
    writer.go_on.set()
    deadline_s = time.monotonic() + 5
    while len(writer.written) < 100 and time.monotonic() < deadline_s:
        time.sleep(0.01)
    lines.handle(make_record('last'))
    lines.stop()
    assert writer.written[0] == '0'
    assert writer.written[-1] == 'last'
    assert sum(lost) + len(writer.written) == 1001


def test_a_stop_writes_what_is_queued():
    writer = _Blocked()
    writer.go_on.set()
    lines = log_queue.LogQueue(writer, lambda _lost: None)
    for number in range(50):
        lines.handle(make_record(number))
    lines.stop()
    assert len(writer.written) == 50


class _LogsWhenCollected:
    """Garbage whose finalizer logs, as closed answers do."""

    def __init__(self, lines):
        self._lines = lines
        self._self = self

    def __del__(self):
        self._lines.handle(make_record('collected'))


def test_a_finalizer_may_log_while_a_line_is_queued():
    """A collector that ran inside the queue's lock hung the instance."""
    writer = _Blocked()
    writer.go_on.set()
    lines = log_queue.LogQueue(writer, lambda _lost: None)
    before = gc.get_threshold()

    def log():
        for number in range(2000):
            _LogsWhenCollected(lines)
            lines.handle(make_record(number))

    thread = threading.Thread(target=log, daemon=True)
    try:
        gc.set_threshold(1)
        thread.start()
        thread.join(20)
    finally:
        gc.set_threshold(*before)
    assert not thread.is_alive()
    lines.stop()
