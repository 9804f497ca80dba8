"""Which leading blocks of prompts a target's cache probably holds."""

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
SHRINKAGE = 0.9
GROWTH_BLOCKS = 4


def sample_hashes(hashes: Sequence[int]) -> tuple[int, ...]:
    """Return the hashes that stand for all those of a prompt's blocks.

    Args:
        hashes: hash of each leading run of blocks.

    Returns:
        The hashes of the runs of SAMPLED_BLOCKS length.
    """
    return tuple(hashes[n - 1] for n in SAMPLED_BLOCKS if n <= len(hashes))


class PrefixCacheModel:
    """The prefixes that were sent to one target, the least used forgotten.

    Its size follows what the target's answers say of its cache.
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
        """Return how many leading tokens of a prompt are probably held.

        Args:
            hashes: the sampled hashes of the prompt.
        """
        known = 0
        for blocks, prefix_hash in zip(SAMPLED_BLOCKS, hashes, strict=False):
            if prefix_hash not in self._blocks:
                break
            known = blocks
        return known * BLOCK_TOKENS

    def add(self, hashes: Sequence[int]) -> None:
        """Take note that the target reads a prompt."""
        before = 0
        for blocks, prefix_hash in zip(SAMPLED_BLOCKS, hashes, strict=False):
            if prefix_hash not in self._blocks:
                self._used_blocks += blocks - before
                self._blocks[prefix_hash] = blocks - before
            self._blocks.move_to_end(prefix_hash)
            before = blocks
        self._forget()

    def record_cache_hit(
        self, expected_tokens: int, cached_tokens: int
    ) -> None:
        """Follow what a target says its cache held of a prompt.

        Args:
            expected_tokens: what was expected when it was sent.
            cached_tokens: what the target says.
        """
        if cached_tokens < expected_tokens:
            self._capacity_blocks = max(
                MIN_CAPACITY_BLOCKS,
                int(min(self._capacity_blocks, self._used_blocks) * SHRINKAGE),
            )
        elif expected_tokens:
            self._capacity_blocks = min(
                MAX_CAPACITY_BLOCKS, self._capacity_blocks + GROWTH_BLOCKS
            )
        self._forget()

    def _forget(self) -> None:
        while self._used_blocks > self._capacity_blocks and self._blocks:
            _, blocks = self._blocks.popitem(last=False)
            self._used_blocks -= blocks
