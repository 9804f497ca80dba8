"""Positions in the history of the store, as instances tell them to peers.

A store that is restored from an older copy begins a new era and gives
revisions out again, so they order changes within one era only. What callers
were promised outlives an era: some objects carry a number of their writer, by
which the newest one is found in all eras.
"""

from collections.abc import Mapping
import functools

import attrs


@functools.cache
def _keys(kind: str) -> tuple[str, str]:
    """Return the keys of the era and the writer's version of a kind."""
    return f'{kind}.era', f'{kind}.version'


@attrs.frozen
class Position:
    """The newest state of one kind of object that an instance knows.

    Attributes:
        era: era of the store, 0 if unknown.
        revision: newest revision in that era, 0 before any.
        writer_version: newest version by its writer's count, 0 if the writer
            counts none.
    """

    era: int = 0
    revision: int = 0
    writer_version: int = 0

    def is_behind(self, other: 'Position') -> bool:
        """Return whether another position has something newer."""
        return self.precedes(other) or (
            self.writer_version < other.writer_version
        )

    def precedes(self, other: 'Position') -> bool:
        """Return whether another position is later in the store's history."""
        return (self.era, self.revision) < (other.era, other.revision)


def encode(positions: Mapping[str, Position]) -> dict[str, int]:
    """Return positions by kind as numbers.

    Releases that know no eras read the revisions and ignore the rest.
    """
    numbers = {}
    for kind, position in positions.items():
        era_key, version_key = _keys(kind)
        numbers[kind] = position.revision
        if position.era:
            numbers[era_key] = position.era
        if position.writer_version:
            numbers[version_key] = position.writer_version
    return numbers


def decode(numbers: Mapping[str, int], kind: str) -> Position:
    """Return the position of a kind."""
    era_key, version_key = _keys(kind)
    return Position(
        numbers.get(era_key, 0),
        numbers.get(kind, 0),
        numbers.get(version_key, 0),
    )


def tells_eras(numbers: Mapping[str, int], kind: str) -> bool:
    """Return whether a peer tells the era of its revision of a kind."""
    return _keys(kind)[0] in numbers
