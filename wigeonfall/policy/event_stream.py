"""Splits a stream of server-sent events into whole events."""

import attrs

_ENDS = (b'\n\n', b'\r\n\r\n')


@attrs.define
class EventSplitter:
    """What has arrived of a stream.

    Attributes:
        last_id: identifier of the last whole event, or ''.
        event_count: whole events so far.
        partial_event: bytes of an event that is not whole yet.
    """

    last_id: str = ''
    event_count: int = 0
    partial_event: bytes = b''

    def discard_partial_event(self) -> None:
        """Drop the part of an event that a broken answer left behind."""
        self.partial_event = b''

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that more bytes complete.

        Events that the caller already has are left out.
        """
        data = self.partial_event + data
        whole = []
        while True:
            end = _end(data)
            if end < 0:
                break
            event, data = data[:end], data[end:]
            if self._is_new(event):
                whole.append(event)
        self.partial_event = data
        return b''.join(whole)

    def _is_new(self, event: bytes) -> bool:
        number = _id_of(event)
        if number and self.last_id and not _follows(number, self.last_id):
            return False
        if number:
            self.last_id = number
        self.event_count += 1
        return True


def _end(data: bytes) -> int:
    ends = [data.find(e) + len(e) for e in _ENDS if data.find(e) >= 0]
    return min(ends, default=-1)


def _id_of(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(b'id:'):
            return line[3:].strip().decode('latin-1')
    return ''


def _follows(number: str, last: str) -> bool:
    if number.isdigit() and last.isdigit():
        return int(number) > int(last)
    return number != last
