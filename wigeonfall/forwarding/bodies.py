"""Bodies of requests, kept in parts so that they are never copied whole."""

import attrs

PART_BYTES = 16 << 10  # what is read at once
_SMALL_PART_BYTES = PART_BYTES // 2  # shorter ones are put together


@attrs.define
class Body:
    """A body in the parts in which it arrived.

    Attributes:
        size: length in bytes.
        parts: the parts in order.
    """

    size: int = 0
    parts: list[bytes | bytearray] = attrs.field(factory=list)

    def append(self, data: bytes) -> None:
        """Add what arrived; short parts share a buffer."""
        self.size += len(data)
        parts = self.parts
        if not parts or len(data) >= _SMALL_PART_BYTES:
            parts.append(data)
            return
        last = parts[-1]
        if isinstance(last, bytearray) and len(last) < PART_BYTES:
            last += data
        else:
            parts.append(bytearray(data))


def make_body(data: 'bytes | Body') -> Body:
    """Return bytes as a body; a body as it is."""
    if isinstance(data, Body):
        return data
    body = Body()
    if data:
        body.append(data)
    return body
