"""Splits a stream of server-sent events into whole events.

A faulty target may send blank lines, comments or events that were already
sent without end. The work is linear in the bytes received, however they are
divided, and those that belong to no new event are counted.
"""

import re

import attrs

_END_OF_EVENT = re.compile(rb'\n\r?\n')
_LONGEST_SPLIT_END = 2  # bytes of an end that may have arrived before
_IDLE_LINES = re.compile(rb'(?:(?::[^\n]*)?\r?\n)+')  # blank, or comments
_ID = re.compile(rb'(?:^|[\r\n])id:([^\r\n]*)')


@attrs.define
class EventSplitter:
    """Splits the bytes of a stream into whole events.

    Attributes:
        last_id: id of the last whole event, or ''.
        event_count: number of whole events so far.
        idle_bytes: bytes since the last event that belong to none: blank
            lines, comments and events that were left out.
    """

    last_id: str = ''
    event_count: int = 0
    idle_bytes: int = 0
    _buffer: bytearray = attrs.field(factory=bytearray)
    _searched: int = 0

    @property
    def partial_bytes(self) -> int:
        """Number of bytes received of an incomplete event."""
        return len(self._buffer)

    @property
    def in_event(self) -> bool:
        """Whether a part of an event was received, and not only blanks."""
        return bool(self._buffer.strip(b'\r\n'))

    def discard_partial_event(self) -> None:
        """Drop an incomplete event that a broken answer left."""
        self._buffer.clear()
        self._searched = 0
        self.idle_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete.

        Events whose id does not follow last_id are left out, since a resumed
        stream may repeat events that the caller already has. Comments are
        passed on.
        """
        buffer = self._buffer
        buffer += data
        if b'\n' not in data:
            # Nothing ends; a long line is not looked at again.
            return b''
        whole = []
        unsent = 0  # start of what is passed on next
        start = 0
        while True:
            idle = _IDLE_LINES.match(buffer, start)
            if idle:
                self.idle_bytes += idle.end() - start
                start = idle.end()
            end = _END_OF_EVENT.search(buffer, max(start, self._searched))
            if not end:
                break
            if not self._is_new(start, end.end()):
                whole.append(buffer[unsent:start])
                unsent = end.end()
            start = end.end()
        whole.append(buffer[unsent:start])
        del buffer[:start]
        self._searched = max(0, len(buffer) - _LONGEST_SPLIT_END)
        return b''.join(whole)

    def flush(self) -> bytes:
        """Return the blank lines at the end of a complete stream."""
        rest = b'' if self.in_event else bytes(self._buffer)
        self._buffer.clear()
        self._searched = 0
        return rest

    def _is_new(self, start: int, end: int) -> bool:
        """Count an event in the buffer; return whether it follows the last."""
        # What comes before is the end of a line.
        found = _ID.search(self._buffer, max(0, start - 1), end)
        event_id = found[1].strip().decode('latin-1') if found else ''
        if event_id and self.last_id and not _follows(event_id, self.last_id):
            self.idle_bytes += end - start
            return False
        if event_id:
            self.last_id = event_id
        self.event_count += 1
        self.idle_bytes = 0
        return True


def _follows(event_id: str, last_id: str) -> bool:
    if _is_number(event_id) and _is_number(last_id):
        return _order(event_id) > _order(last_id)
    return event_id != last_id


def _is_number(event_id: str) -> bool:
    return event_id.isascii() and event_id.isdecimal()


def _order(number: str) -> tuple[int, str]:
    """Return a key that orders decimal numbers of any length."""
    digits = number.lstrip('0')
    return len(digits), digits
