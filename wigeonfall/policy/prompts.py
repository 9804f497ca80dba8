"""Estimates of the work that a prompt brings, before an engine reads it."""

from collections.abc import Iterable

import xxhash

CHARACTERS_PER_TOKEN = 4
BLOCK_CHARACTERS = 1024
HASHED_BLOCKS = 64


def count_tokens(text: str) -> int:
    """Return the estimated number of tokens of a text."""
    return -(-len(text) // CHARACTERS_PER_TOKEN)


def hash_prefixes(text: str) -> tuple[int, ...]:
    """Return a hash for each leading run of whole blocks of a text.

    Args:
        text: the prompt.

    Returns:
        At most HASHED_BLOCKS hashes; two prompts share the first n hashes
        when their first n blocks are the same.
    """
    digest = xxhash.xxh64()
    hashes = []
    for block in _blocks(text):
        digest.update(block.encode())
        hashes.append(digest.intdigest())
    return tuple(hashes)


def _blocks(text: str) -> Iterable[str]:
    whole = min(len(text) // BLOCK_CHARACTERS, HASHED_BLOCKS)
    for index in range(whole):
        start = index * BLOCK_CHARACTERS
        yield text[start : start + BLOCK_CHARACTERS]
