"""Positions in the history of the store, as instances tell them to peers.

A store that is restored from an older copy begins a new era and gives
revisions out again, so they order changes within one era only. What callers
were promised outlives an era: some objects carry a number of their writer, by
which the newest one is found in all eras.

A state has two revisions. It is complete as of the newest revision at which
the store was read; removals count here, though no object is left to show them.
It may have changed up to another one, which peers compare with the revision
as of which they are complete themselves.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import functools

import attrs
import xxhash

from ..ports.platform import StoredObject

DIGEST_RANGE = 2**53  # JSON numbers are exact below it


@functools.cache
def _keys(kind: str) -> tuple[str, str, str]:
    """Return the keys of the era, writer's version and digest of a kind."""
    return f'{kind}.era', f'{kind}.version', f'{kind}.digest'


@attrs.frozen
class Position:
    """The newest state of one kind of object that an instance knows.

    Attributes:
        era: era of the store, 0 if unknown.
        revision: revision in that era after which the state has not changed,
            0 before any.
        writer_version: newest version by its writer's count, 0 if the writer
            counts none.
        digest: number that tells different states apart, 0 if unknown.
    """

    era: int = 0
    revision: int = 0
    writer_version: int = 0
    digest: int = attrs.field(default=0, eq=False)


def digest(objects: Iterable[StoredObject]) -> int:
    """Return a number that tells sets of objects of one era apart.

    Digests of sets that have no object in common can be added up.
    """
    return sum(map(_object_digest, objects)) % DIGEST_RANGE


def _object_digest(item: StoredObject) -> int:
    key = f'{item.version}/{item.name}'
    return xxhash.xxh64_intdigest(key.encode('utf-8', 'replace'))


def encode(positions: Mapping[str, Position]) -> dict[str, int]:
    """Return positions by kind as numbers.

    Releases that know no eras or digests read the revisions and ignore the
    rest.
    """
    numbers = {}
    for kind, position in positions.items():
        era_key, version_key, digest_key = _keys(kind)
        numbers[kind] = position.revision
        if position.era:
            numbers[era_key] = position.era
        if position.writer_version:
            numbers[version_key] = position.writer_version
        if position.digest:
            numbers[digest_key] = position.digest
    return numbers


def decode(numbers: Mapping[str, int], kind: str) -> Position:
    """Return the position of a kind."""
    era_key, version_key, digest_key = _keys(kind)
    return Position(
        numbers.get(era_key, 0),
        numbers.get(kind, 0),
        numbers.get(version_key, 0),
        numbers.get(digest_key, 0),
    )


def tells_eras(numbers: Mapping[str, int], kind: str) -> bool:
    """Return whether a peer tells the era of its revision of a kind."""
    return _keys(kind)[0] in numbers
