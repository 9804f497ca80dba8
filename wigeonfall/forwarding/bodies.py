"""Bodies of requests, kept in parts so that they are never copied whole."""

from collections.abc import Iterator

import attrs

PART_BYTES = 16 << 10  # what is read at once
_SMALL_PART_BYTES = PART_BYTES // 2  # shorter ones are put together


@attrs.define
class Body:
    """A body in the parts in which it arrived.

    Attributes:
        size: length in bytes.
    """

    size: int = 0
    _parts: list[bytes | bytearray] = attrs.field(factory=list)

    def append(self, data: bytes) -> None:
        """Add what arrived; short parts share a buffer."""
        self.size += len(data)
        if len(data) >= _SMALL_PART_BYTES:
            self._parts.append(data)
            return
        last = self._parts[-1] if self._parts else None
        if isinstance(last, bytearray) and len(last) < PART_BYTES:
            last += data
        else:
            self._parts.append(bytearray(data))

    def parts(self) -> Iterator[bytes | bytearray]:
        """Return its parts in order."""
        return iter(self._parts)

    def __len__(self) -> int:
        return self.size


def make_body(data: 'bytes | Body') -> Body:
    """Return bytes as a body; a body as it is."""
    if isinstance(data, Body):
        return data
    body = Body()
    if data:
        body.append(data)
    return body
