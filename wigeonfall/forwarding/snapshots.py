"""Decodes the snapshots of the store's objects that peers send."""

from collections.abc import Mapping
from typing import Any

import attrs
from result import Err

from .. import decoding
from ..ports.platform import StoredObject
from .store_position import Position


@attrs.frozen
class KindSnapshot:
    """The objects of one kind, as a peer knows them.

    Attributes:
        objects: the objects.
        position: era, and revision after which they have not changed.
        read_revision: revision as of which they are complete.
    """

    objects: tuple[StoredObject, ...]
    position: Position
    read_revision: int


def decode(value: Mapping[str, Any]) -> dict[str, KindSnapshot]:
    """Return the kinds of a snapshot.

    Raises:
        ValueError: a part of the snapshot is missing or has another type.
    """
    kinds = {}
    for kind, item in value.items():
        decoded = decoding.decode(_decode_kind, item)
        if isinstance(decoded, Err):
            raise ValueError(f'snapshot of {kind}: {decoded.err_value}')
        kinds[kind] = decoded.ok_value
    return kinds


def _decode_kind(item: Any) -> KindSnapshot:
    revision = _whole(item['revision'])
    return KindSnapshot(
        tuple(_decode_object(fields) for fields in item['objects']),
        Position(_whole(item.get('era', 0)), revision),
        # Releases before this field tell the newest change alone.
        _whole(item.get('read_revision', revision)),
    )


def _decode_object(fields: Any) -> StoredObject:
    item = StoredObject(**fields)
    if not (isinstance(item.kind, str) and isinstance(item.name, str)):
        raise ValueError(f'object {item.name!r} of kind {item.kind!r}')
    if not isinstance(item.value, dict):
        raise ValueError(f'value of {item.name!r} is no JSON object')
    if not isinstance(item.status, dict | None):
        raise ValueError(f'status of {item.name!r} is no JSON object')
    _whole(item.version)
    return item


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f'{value!r} is not a whole number from 0 on')
    return value
