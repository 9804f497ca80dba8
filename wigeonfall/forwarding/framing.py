"""Bounds what peers can make this instance read without use.

A peer may send header lines, interim answers, trailers or chunk extensions
without end. The parser keeps or skips them, so that neither memory nor the
time on the event loop would be bounded. What is read at once is bounded too,
so that the work on one connection never holds up the others for long.
"""

import attrs

READ_BYTES = 16 << 10  # read from a connection in one turn of the event loop
# A chunk of one byte takes six.
FRAMING_BYTES_PER_BODY_BYTE = 8


@attrs.define
class FramingBudget:
    """Bytes received that belong to no body.

    Attributes:
        most_bytes: bytes after which the peer is taken to be faulty.
        used_bytes: bytes received so far.
    """

    most_bytes: int
    used_bytes: int = 0

    @property
    def exceeded(self) -> bool:
        """Whether more bytes arrived than a sound peer sends."""
        return self.used_bytes > self.most_bytes

    def received(self, data: bytes | memoryview) -> None:
        """Count bytes before they are parsed."""
        self.used_bytes += len(data)

    def completed(self) -> None:
        """Start anew, as the parser found the end of a head or a message."""
        self.used_bytes = 0

    def found_body(self, size: int) -> None:
        """Allow for a part of a body, in bytes, and its framing."""
        allowed = FRAMING_BYTES_PER_BODY_BYTE * size
        self.used_bytes = max(0, self.used_bytes - allowed)
