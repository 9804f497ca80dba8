"""Bounds the memory of answers that are held until a part of them is whole.

Load pattern: a faulty target sends an event or a body without end, in many
answers at once. Each answer is bounded by itself; this bounds all together,
so that the memory of the process does not depend on their number.
"""

import attrs

MAX_TOTAL_BYTES = 32 << 20  # a fifth of the smallest machine's memory
# Of each answer that count as nothing; far above the answers of most targets.
UNCOUNTED_BYTES = 64 << 10


@attrs.define
class HeldAnswer:
    """The bytes that are held of one answer."""

    _buffers: 'AnswerBuffers'
    _counted_bytes: int = 0

    def resize(self, held_bytes: int) -> bool:
        """Set how much is held; return whether there is room for it."""
        counted_bytes = max(0, held_bytes - UNCOUNTED_BYTES)
        grown_bytes = counted_bytes - self._counted_bytes
        self._counted_bytes = counted_bytes
        self._buffers.total_bytes += grown_bytes
        return grown_bytes <= 0 or (
            self._buffers.total_bytes <= self._buffers.max_bytes
        )


@attrs.define
class AnswerBuffers:
    """What is held of all answers of an instance.

    Attributes:
        max_bytes: total above which no answer may hold more.
        total_bytes: present total, without what does not count.
    """

    max_bytes: int = MAX_TOTAL_BYTES
    total_bytes: int = 0

    def answer(self) -> HeldAnswer:
        """Return the count of an answer of which nothing is held yet."""
        return HeldAnswer(self)
