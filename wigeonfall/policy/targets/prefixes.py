"""Estimates which prompt prefixes are in the prefix cache of a target."""

import collections
from collections.abc import Sequence

from .prompts import BLOCK_CHARACTERS
from .prompts import CHARACTERS_PER_TOKEN

BLOCK_TOKENS = BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
SAMPLED_BLOCKS = (
    1, 2, 3, 4, 5, 6, 8, 10, 12, 15, 18, 22, 27, 32, 38, 45, 54, 64
)  # fmt: skip
MAX_CAPACITY_BLOCKS = 1024
MIN_CAPACITY_BLOCKS = 64
SHRINK_FACTOR = 0.9
GROWTH_BLOCKS = 4


def sample_hashes(hashes: Sequence[int]) -> tuple[int, ...]:
    """Return the hashes of the prefixes whose length is sampled.

    Args:
        hashes: hash of each prefix of a prompt, from one block upwards.

    Returns:
        The hashes of the prefixes with as many blocks as SAMPLED_BLOCKS says.
    """
    return tuple(hashes[n - 1] for n in SAMPLED_BLOCKS if n <= len(hashes))


class PrefixCacheModel:
    """Models the prefix cache of one target as an LRU cache.

    Its capacity is adjusted to the cache hits that the target reports.
    """

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._used_blocks = 0
        self._capacity_blocks = MAX_CAPACITY_BLOCKS

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_tokens(self, hashes: Sequence[int]) -> int:
        """Return how many leading tokens of a prompt are probably cached.

        Args:
            hashes: the sampled hashes of the prompt.
        """
        cached = 0
        for blocks, prefix_hash in zip(SAMPLED_BLOCKS, hashes, strict=False):
            if prefix_hash not in self._blocks:
                break
            cached = blocks
        return cached * BLOCK_TOKENS

    def add(self, hashes: Sequence[int]) -> None:
        """Add the prefixes of a prompt that the target processes."""
        previous = 0
        for blocks, prefix_hash in zip(SAMPLED_BLOCKS, hashes, strict=False):
            if prefix_hash not in self._blocks:
                self._used_blocks += blocks - previous
                self._blocks[prefix_hash] = blocks - previous
            self._blocks.move_to_end(prefix_hash)
            previous = blocks
        self._evict()

    def record_cache_hit(
        self, expected_tokens: int, cached_tokens: int
    ) -> None:
        """Adjust the capacity to the cache hit reported for a prompt.

        Args:
            expected_tokens: cached tokens expected when it was sent.
            cached_tokens: cached tokens reported by the target.
        """
        if cached_tokens < expected_tokens:
            self._capacity_blocks = max(
                MIN_CAPACITY_BLOCKS,
                int(
                    min(self._capacity_blocks, self._used_blocks)
                    * SHRINK_FACTOR
                ),
            )
        elif expected_tokens:
            self._capacity_blocks = min(
                MAX_CAPACITY_BLOCKS, self._capacity_blocks + GROWTH_BLOCKS
            )
        self._evict()

    def _evict(self) -> None:
        while self._used_blocks > self._capacity_blocks and self._blocks:
            _, blocks = self._blocks.popitem(last=False)
            self._used_blocks -= blocks
