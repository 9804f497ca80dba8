"""Estimates the work of a prompt before an engine processes it."""

from collections.abc import Iterable

import xxhash

CHARACTERS_PER_TOKEN = 4
BLOCK_CHARACTERS = 1024
MAX_HASHED_BLOCKS = 64


def count_tokens(text: str) -> int:
    """Return the estimated number of tokens of a text."""
    return -(-len(text) // CHARACTERS_PER_TOKEN)


def hash_prefixes(text: str) -> tuple[int, ...]:
    """Return a hash for each prefix of a text that ends with a whole block.

    Args:
        text: the prompt.

    Returns:
        At most MAX_HASHED_BLOCKS hashes, shortest prefix first. Two prompts
        share the first n hashes if their first n blocks are equal.
    """
    digest = xxhash.xxh64()
    hashes = []
    for block in _blocks(text):
        digest.update(block.encode('utf-8', 'surrogatepass'))
        hashes.append(digest.intdigest())
    return tuple(hashes)


def _blocks(text: str) -> Iterable[str]:
    count = min(len(text) // BLOCK_CHARACTERS, MAX_HASHED_BLOCKS)
    for index in range(count):
        start = index * BLOCK_CHARACTERS
        yield text[start : start + BLOCK_CHARACTERS]
