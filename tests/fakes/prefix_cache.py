"""The prefix cache of the engine stand-in: blocks of tokens, LRU.

A token is four characters. A block is 256 tokens; its hash chains over the
blocks before it, so that equal hashes mean equal prefixes.
"""

import collections
import random
import time
from typing import Any

import attrs
import xxhash

TOKEN_CHARS = 4
BLOCK_TOKENS = 256
BLOCK_CHARS = BLOCK_TOKENS * TOKEN_CHARS
KEPT_EVENTS = 20_000


def prompt_text(messages: list[dict[str, Any]]) -> str:
    """Return the text that the hashes of a prompt are computed over."""
    return ''.join(f'{m["role"]}: {m["content"]}\n' for m in messages)


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text."""
    return -(-len(text) // TOKEN_CHARS)


def block_hashes(text: str) -> tuple[int, ...]:
    """Return the chained hashes of the whole leading blocks of a text."""
    digest = xxhash.xxh64()
    hashes = []
    for start in range(0, len(text) - BLOCK_CHARS + 1, BLOCK_CHARS):
        digest.update(text[start : start + BLOCK_CHARS].encode())
        hashes.append(digest.intdigest())
    return tuple(hashes)


@attrs.frozen
class CacheEvent:
    """A block that was stored or evicted."""

    seq: int
    type: str
    block_hash: int
    happened_s: float


class PrefixCache:
    """The blocks that an engine holds, and the events about them."""

    def __init__(self, blocks: int) -> None:
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._most = blocks
        self._seq = 0
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=KEPT_EVENTS
        )

    def __len__(self) -> int:
        return len(self._blocks)

    def match(self, hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks are held, and mark them used."""
        for count, block_hash in enumerate(hashes):
            if block_hash not in self._blocks:
                return count
            self._blocks.move_to_end(block_hash)
        return len(hashes)

    def store(self, block_hash: int) -> None:
        """Hold a block, in place of the one unused for longest."""
        if block_hash not in self._blocks:
            self._note('stored', block_hash)
        self._blocks[block_hash] = None
        self._blocks.move_to_end(block_hash)
        while len(self._blocks) > self._most:
            evicted, _ = self._blocks.popitem(last=False)
            self._note('evicted', evicted)

    def events_since(
        self, seq: int, lag_s: float, loss: float, chance: random.Random
    ) -> dict[str, Any]:
        """Return the events after a number, late and with gaps."""
        visible_s = time.monotonic() - lag_s
        events = [
            event
            for event in self._events
            if event.seq > seq and event.happened_s <= visible_s
        ]
        return {
            'next': events[-1].seq if events else seq,
            'events': [
                {'seq': e.seq, 'type': e.type, 'block_hash': e.block_hash}
                for e in events
                if chance.random() >= loss
            ],
        }

    def _note(self, kind: str, block_hash: int) -> None:
        self._seq += 1
        self._events.append(
            CacheEvent(self._seq, kind, block_hash, time.monotonic())
        )
