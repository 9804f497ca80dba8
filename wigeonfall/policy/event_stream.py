"""Splits a stream of server-sent events into whole events."""

import attrs

_SEPARATORS = (b'\n\n', b'\r\n\r\n')


@attrs.define
class EventSplitter:
    """Splits the bytes of a stream into whole events.

    Attributes:
        last_id: id of the last whole event, or ''.
        event_count: number of whole events so far.
        partial_event: bytes received of an incomplete event.
    """

    last_id: str = ''
    event_count: int = 0
    partial_event: bytes = b''

    def discard_partial_event(self) -> None:
        """Drop an incomplete event that a broken answer left."""
        self.partial_event = b''

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete.

        Events whose id does not follow last_id are left out, since a resumed
        stream may repeat events that the caller already has.
        """
        data = self.partial_event + data
        whole = []
        while True:
            end = _end_of_event(data)
            if end < 0:
                break
            event, data = data[:end], data[end:]
            if self._is_new(event):
                whole.append(event)
        self.partial_event = data
        return b''.join(whole)

    def _is_new(self, event: bytes) -> bool:
        event_id = _id_of(event)
        if event_id and self.last_id and not _follows(event_id, self.last_id):
            return False
        if event_id:
            self.last_id = event_id
        self.event_count += 1
        return True


def _end_of_event(data: bytes) -> int:
    ends = [data.find(e) + len(e) for e in _SEPARATORS if data.find(e) >= 0]
    return min(ends, default=-1)


def _id_of(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(b'id:'):
            return line[3:].strip().decode('latin-1')
    return ''


def _follows(event_id: str, last_id: str) -> bool:
    if event_id.isdigit() and last_id.isdigit():
        return int(event_id) > int(last_id)
    return event_id != last_id
