"""What this instance knows of the store, from watches and from peers."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import attrs

from ..ports.objects import Changes
from ..ports.objects import Listing
from ..ports.platform import StoredObject


@attrs.define
class KindView:
    """The objects of one kind as last heard.

    Attributes:
        objects: the objects by name.
        revision: the newest change that is in them; 0 before the first.
        advertised_revision: the newest change that others should hear of.
    """

    objects: dict[str, StoredObject] = attrs.field(factory=dict)
    revision: int = 0
    advertised_revision: int = 0


class StoreView:
    """The objects of some kinds; used by one thread alone.

    Args:
        kinds: names of the kinds.
        changed: called with a kind after each change of it; returns whether
            others should hear of it.
    """

    def __init__(
        self, kinds: Iterable[str], changed: Callable[[str], bool]
    ) -> None:
        self._kinds = {kind: KindView() for kind in kinds}
        self._changed = changed

    def advertised_revisions(self) -> dict[str, int]:
        """Return the newest change of each kind that others should have."""
        return {
            kind: view.advertised_revision
            for kind, view in self._kinds.items()
        }

    def revisions(self) -> dict[str, int]:
        """Return the revision of each kind."""
        return {kind: view.revision for kind, view in self._kinds.items()}

    def objects(self, kind: str) -> tuple[StoredObject, ...]:
        """Return the objects of a kind."""
        return tuple(self._kinds[kind].objects.values())

    def is_loaded(self, kind: str) -> bool:
        """Whether anything was heard of a kind."""
        return self._kinds[kind].revision > 0

    def apply_listing(self, kind: str, listing: Listing) -> None:
        """Take all objects of a kind as the store listed them."""
        view = self._kinds[kind]
        objects = {item.name: item for item in listing.objects}
        newest = max((item.version for item in listing.objects), default=1)
        view.revision = max(view.revision, newest)
        same = objects == view.objects
        view.objects = objects
        if not same:
            self._change(kind)

    def apply_changes(self, kind: str, changes: Changes) -> None:
        """Take changes of a kind in the order of the store."""
        view = self._kinds[kind]
        for change in changes.changes:
            item = change.object
            if change.removed:
                view.objects.pop(item.name, None)
                view.revision = max(view.revision, changes.revision)
            else:
                view.objects[item.name] = item
                view.revision = max(view.revision, item.version)
        if changes.changes:
            self._change(kind)

    def _change(self, kind: str) -> None:
        if self._changed(kind):
            view = self._kinds[kind]
            view.advertised_revision = view.revision

    def snapshot(self, kinds: Iterable[str] = ()) -> dict[str, Any]:
        """Return what is known of some or all kinds, as JSON values."""
        wanted = frozenset(kinds) or self._kinds.keys()
        return {
            kind: {
                'revision': view.revision,
                'objects': [
                    attrs.asdict(item) for item in view.objects.values()
                ],
            }
            for kind, view in self._kinds.items()
            if kind in wanted
        }

    def apply_snapshot(self, value: dict[str, Any]) -> list[str]:
        """Take the kinds of which a peer knows newer changes.

        Args:
            value: a snapshot, as JSON values.

        Returns:
            The kinds that were taken.

        Raises:
            KeyError: a field is missing.
            TypeError: a value has another type.
        """
        taken = []
        for kind, view in self._kinds.items():
            item = value.get(kind)
            if item is None or item['revision'] <= view.revision:
                continue
            objects = [StoredObject(**fields) for fields in item['objects']]
            view.objects = {o.name: o for o in objects}
            view.revision = item['revision']
            taken.append(kind)
        for kind in taken:
            self._change(kind)
        return taken
