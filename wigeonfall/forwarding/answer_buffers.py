"""Bounds the memory of answers that are held until a part of them is whole.

Load pattern: a faulty target sends an event or a body without end, in many
answers at once. Each answer is bounded by itself; this bounds all together,
so that the memory of the process does not depend on their number.
"""

import attrs

from ..policy.memory import Kind
from ..policy.memory import MemoryAccount

MAX_TOTAL_BYTES = 32 << 20  # a fifth of the smallest machine's memory
# Of each answer that count as nothing; far above the answers of most targets.
UNCOUNTED_BYTES = 16 << 10


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
        return not grown_bytes or self._buffers.add(grown_bytes)


@attrs.define
class AnswerBuffers:
    """What is held of all answers of an instance.

    Attributes:
        account: what the process holds for others, these answers included.
        max_bytes: total above which no answer may hold more.
        total_bytes: present total, without what does not count.
    """

    account: MemoryAccount = attrs.field(factory=MemoryAccount)
    max_bytes: int = MAX_TOTAL_BYTES
    total_bytes: int = 0

    def add(self, grown_bytes: int) -> bool:
        """Count bytes of an answer; return whether there is room for them."""
        self.total_bytes += grown_bytes
        has_room = self.account.add(Kind.ANSWERS, grown_bytes)
        return grown_bytes <= 0 or (
            has_room and self.total_bytes <= self.max_bytes
        )

    def answer(self) -> HeldAnswer:
        """Return the count of an answer of which nothing is held yet."""
        return HeldAnswer(self)
