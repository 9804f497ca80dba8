"""Log lines that are written by a thread, so that no request waits for them.

A reader of standard output that stops reading costs lines, which are counted
and said, never time.
"""

from collections.abc import Callable
import logging
import os
import queue
import threading

QUEUED_LINES = 5000  # a few seconds of the busiest load
STOP_S = 1.0  # that a stop waits for the last lines

Dropped = Callable[[int], None]


class LogQueue(logging.Handler):
    """Hands log records to a thread that writes them.

    Args:
        handler: writes records.
        dropped: told how many lines were lost, once there is room again.
    """

    def __init__(self, handler: logging.Handler, dropped: Dropped) -> None:
        super().__init__()
        self._handler = handler
        self._dropped = dropped
        self._lost = 0
        # Finalizers log too, at any moment: a queue whose lock cannot be
        # taken again by the same thread would hang it.
        self._queue: queue.SimpleQueue[logging.LogRecord | None] = (
            queue.SimpleQueue()
        )
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record; never blocks."""
        if self._queue.qsize() >= QUEUED_LINES:
            self._lost += 1
            return
        self._queue.put(record)
        if self._lost:
            lost, self._lost = self._lost, 0
            self._dropped(lost)

    def stop(self) -> bool:
        """Write what is queued, for a bounded time.

        Returns:
            Whether all was written.
        """
        self._queue.put(None)
        self._thread.join(STOP_S)
        return not self._thread.is_alive()

    def end_process(self, status: int) -> int:
        """Write what is queued, and end the process if nobody reads it.

        The interpreter's own exit would wait for a reader without end.

        Args:
            status: exit status of the process.

        Returns:
            The status, for an exit in order.
        """
        if not self.stop():
            os._exit(status)
        return status

    def _write(self) -> None:
        while (record := self._queue.get()) is not None:
            self._handler.handle(record)
