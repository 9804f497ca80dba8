"""Rendezvous hashing: assigns keys to names, alike in every process.

A key moves only when its owner leaves or a new name has a higher score, so a
change of one name moves about one key in len(names).
"""

from collections.abc import Iterable

import xxhash


def _score(key: str, name: str) -> int:
    # The separator keeps ("ab", "c") and ("a", "bc") apart.
    return xxhash.xxh64_intdigest(f'{key}\0{name}'.encode())


def owner(key: str, names: Iterable[str]) -> str | None:
    """Return the name that a key is assigned to.

    Args:
        key: the key to be assigned.
        names: the candidates, in any order; repeats do not count.

    Returns:
        The candidate with the highest score, or None without candidates.
    """
    return max(names, key=lambda n: (_score(key, n), n), default=None)


def ranked(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the candidates for a key, its owner first.

    Args:
        key: the key to be assigned.
        names: the candidates, in any order; repeats do not count.
    """
    return tuple(
        sorted(set(names), key=lambda n: (_score(key, n), n), reverse=True)
    )
