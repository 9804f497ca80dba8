"""A copy of the store's objects, updated by watches and by peers."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

import attrs

from ..events import Event
from ..ports.objects import Changes
from ..ports.objects import Listing
from ..ports.platform import StoredObject
from ..recorder import Record
from . import snapshots
from . import store_position
from .snapshots import KindSnapshot
from .store_position import Position

# Objects named in an event; an object that is lost is in all later ones too.
MAX_NAMED_OBJECTS = 20


@attrs.define
class KindView:
    """The latest known objects of one kind.

    Attributes:
        objects: the objects by name.
        era: era of the store that they are from, 0 if unknown.
        revision: store revision after which they have not changed; 0 before
            any.
        read_revision: store revision as of which they are complete.
        digest: tells different sets of objects apart.
        eraless_revision: newest revision that peers without eras told.
        advertised: the newest position that peers should fetch.
        writer_version: newest version of an object by its writer's count.
        update_count: number of listings, changes and snapshots applied.
        lost: objects that the store lost in a restore and that were not
            written again yet, with the version that it has of them, 0 for
            none.
    """

    objects: dict[str, StoredObject] = attrs.field(factory=dict)
    era: int = 0
    revision: int = 0
    read_revision: int = 0
    digest: int = 0
    eraless_revision: int = 0
    advertised: Position = Position()
    writer_version: int = 0
    update_count: int = 0
    lost: dict[str, int] = attrs.field(factory=dict)

    @property
    def position(self) -> Position:
        """The newest known position."""
        return Position(
            self.era, self.revision, self.writer_version, self.digest
        )

    def knows(self, position: Position) -> bool:
        """Return whether all changes up to a position are known."""
        if position.era != self.era:
            return position.era < self.era
        return position.revision <= self.read_revision or (
            0 < position.digest == self.digest
        )


class StoreView:
    """The latest known objects of several kinds; not thread-safe.

    An object that is older than the known one by its writer's count is never
    taken, as a store that was restored has lost what was confirmed.

    Args:
        kinds: names of the kinds.
        on_change: called with a kind after each change of it; returns
            whether peers should fetch the change.
        writer_version: returns the version of an object by its writer's
            count, 0 if the writer counts none.
        record: records events.
    """

    def __init__(
        self,
        kinds: Iterable[str],
        on_change: Callable[[str], bool],
        writer_version: Callable[[StoredObject], int],
        record: Record,
    ) -> None:
        self._kinds = {kind: KindView() for kind in kinds}
        self._on_change = on_change
        self._writer_version = writer_version
        self._record = record

    def kinds(self) -> tuple[str, ...]:
        """Return the names of the kinds."""
        return tuple(self._kinds)

    def advertised_positions(self) -> dict[str, Position]:
        """Return the newest position of each kind that peers should fetch."""
        return {kind: view.advertised for kind, view in self._kinds.items()}

    def positions(self) -> dict[str, Position]:
        """Return the newest known position of each kind."""
        return {kind: view.position for kind, view in self._kinds.items()}

    def era(self, kind: str) -> int:
        """Return the era of the objects of a kind, 0 if unknown."""
        return self._kinds[kind].era

    def newest_era(self) -> int:
        """Return the newest known era of the store, 0 if unknown."""
        return max(view.era for view in self._kinds.values())

    def is_behind(self, kind: str, position: Position) -> bool:
        """Return whether a peer's position has something newer.

        Peers of releases without eras tell their newest revision alone, which
        may be that of an era which has ended.
        """
        view = self._kinds[kind]
        if position.era or not view.era:
            return not view.knows(position) or (
                view.writer_version < position.writer_version
            )
        return view.eraless_revision < position.revision

    def objects(self, kind: str) -> tuple[StoredObject, ...]:
        """Return the objects of a kind."""
        return tuple(self._kinds[kind].objects.values())

    def update_count(self, kind: str) -> int:
        """Return a number that changes with any of the objects of a kind."""
        return self._kinds[kind].update_count

    def is_loaded(self, kind: str) -> bool:
        """Whether any object or change of a kind is known."""
        return self._kinds[kind].revision > 0

    def apply_listing(self, kind: str, listing: Listing) -> None:
        """Replace the objects of a kind by a listing of the store."""
        view = self._kinds[kind]
        if _is_outdated(view, listing.era, listing.revision):
            return
        # What is gone leaves no version, so that the listing may differ from
        # what peers have by any change up to its revision.
        position = Position(listing.era or view.era, listing.revision)
        if self._replace(kind, listing.objects, position, listing.revision):
            self._notify(kind)

    def apply_changes(self, kind: str, changes: Changes) -> None:
        """Apply changes of a kind in the order of the store."""
        view = self._kinds[kind]
        if changes.era and changes.era != view.era:
            return
        if _is_outdated(view, changes.era, changes.revision):
            return
        for change in changes.changes:
            item = change.object
            before = view.objects.get(item.name)
            if change.removed:
                self._remove(view, item.name)
                view.revision = max(view.revision, changes.revision)
            else:
                view.objects[item.name] = self._newest(view, item)
                view.revision = max(view.revision, item.version)
                self._mark_written(kind, item)
            _update_digest(view, before, view.objects.get(item.name))
        view.read_revision = max(
            view.read_revision, view.revision, changes.revision
        )
        view.eraless_revision = max(view.eraless_revision, view.read_revision)
        if changes.changes:
            view.update_count += 1
            self._notify(kind)

    def _replace(
        self,
        kind: str,
        listed: Iterable[StoredObject],
        position: Position,
        read_revision: int,
    ) -> bool:
        """Replace the objects of a kind.

        Args:
            kind: name of the kind.
            listed: all objects of the kind.
            position: era, and revision after which they have not changed.
            read_revision: revision as of which they are complete.

        Returns:
            Whether an object or the era has changed, or none was known.
        """
        view = self._kinds[kind]
        view.update_count += 1
        stored = {item.name: item for item in listed}
        objects = {
            name: self._newest(view, item) for name, item in stored.items()
        }
        for name, item in view.objects.items():
            if name not in stored and self._writer_version(item):
                objects[name] = item
        begins_era = position.era > view.era
        if begins_era:
            self._begin_era(kind, stored, position)
        else:
            for item in stored.values():
                self._mark_written(kind, item)
        first = not view.read_revision
        changed = first or begins_era or objects != view.objects
        if changed:
            view.revision = max(view.revision, position.revision)
            view.digest = store_position.digest(objects.values())
        view.read_revision = max(view.read_revision, read_revision)
        view.eraless_revision = max(view.eraless_revision, view.read_revision)
        view.objects = objects
        return changed

    def _begin_era(
        self, kind: str, stored: Mapping[str, StoredObject], position: Position
    ) -> None:
        """Start to count revisions anew, and record what the store lost."""
        view = self._kinds[kind]
        if view.era:
            versions = {name: item.version for name, item in stored.items()}
            view.lost = {
                name: versions.get(name, 0)
                for name, item in view.objects.items()
                if versions.get(name, 0) < item.version
            }
            self._record(
                Event.OBJECTS_LOST,
                kind=kind,
                era=position.era,
                revision=position.revision,
                previous_era=view.era,
                previous_revision=view.revision,
                objects=sorted(view.lost)[:MAX_NAMED_OBJECTS],
                lost=len(view.lost),
            )
        view.era = position.era
        view.revision = view.read_revision = view.eraless_revision = 0

    def _mark_written(self, kind: str, item: StoredObject) -> None:
        """Record an event if the store had lost an object."""
        view = self._kinds[kind]
        if item.version > view.lost.get(item.name, item.version):
            del view.lost[item.name]
            self._record(
                Event.OBJECT_WRITTEN_AGAIN,
                kind=kind,
                object=item.name,
                version=item.version,
                missing=len(view.lost),
            )

    def _newest(self, view: KindView, item: StoredObject) -> StoredObject:
        """Return an object, or the known one if its writer counts it newer."""
        version = self._writer_version(item)
        known = view.objects.get(item.name)
        if known is not None and self._writer_version(known) > version:
            return known
        view.writer_version = max(view.writer_version, version)
        return item

    def _remove(self, view: KindView, name: str) -> None:
        removed = view.objects.pop(name, None)
        if removed is not None and self._writer_version(removed):
            versions = map(self._writer_version, view.objects.values())
            view.writer_version = max(versions, default=0)

    def _notify(self, kind: str) -> None:
        view = self._kinds[kind]
        era_advertised = view.advertised.era == view.era
        if self._on_change(kind) or not era_advertised:
            view.advertised = view.position

    def snapshot(self, kinds: Iterable[str] = ()) -> dict[str, Any]:
        """Return the objects of some or all kinds as JSON values.

        Args:
            kinds: names of the kinds; none means all.
        """
        wanted = frozenset(kinds) or self._kinds.keys()
        return {
            kind: {
                'era': view.era,
                'revision': view.revision,
                'read_revision': view.read_revision,
                'objects': [
                    attrs.asdict(item, recurse=False)
                    for item in view.objects.values()
                ],
            }
            for kind, view in self._kinds.items()
            if kind in wanted
        }

    def apply_snapshot(self, value: dict[str, Any]) -> list[str]:
        """Replace the kinds of which a peer has something newer.

        Args:
            value: a snapshot, as JSON values.

        Returns:
            The kinds that were replaced.

        Raises:
            ValueError: the snapshot cannot be read; nothing has changed.
        """
        return self.apply_kinds(snapshots.decode(value))

    def apply_kinds(self, kinds: Mapping[str, KindSnapshot]) -> list[str]:
        """Replace the kinds of which a peer has something newer.

        Args:
            kinds: objects of a peer by kind.

        Returns:
            The kinds that were replaced.
        """
        replaced = [
            kind
            for kind, snapshot in kinds.items()
            if kind in self._kinds and self._apply_peer_kind(kind, snapshot)
        ]
        for kind in replaced:
            self._notify(kind)
        return replaced

    def _apply_peer_kind(self, kind: str, snapshot: KindSnapshot) -> bool:
        """Apply the objects of a peer; return whether any was newer."""
        view = self._kinds[kind]
        objects, position = snapshot.objects, snapshot.position
        if not position.era and view.era:
            if position.revision <= view.eraless_revision:
                return False
            own = Position(view.era, view.revision)
            self._replace(kind, objects, own, view.read_revision)
            view.eraless_revision = position.revision
            return True
        if not view.knows(position):
            self._replace(kind, objects, position, snapshot.read_revision)
            return True
        newer = {
            item.name: item
            for item in objects
            if self._writer_version(item) > view.writer_version
        }
        for item in newer.values():
            before = view.objects.get(item.name)
            view.objects[item.name] = self._newest(view, item)
            _update_digest(view, before, view.objects[item.name])
        view.update_count += bool(newer)
        return bool(newer)


def _is_outdated(view: KindView, era: int, revision: int) -> bool:
    """Return whether an answer of the store is older than what is known.

    Without eras, a lower revision may be that of a store that was restored.
    """
    return 0 < era and (era, revision) < (view.era, view.read_revision)


def _update_digest(
    view: KindView, before: StoredObject | None, after: StoredObject | None
) -> None:
    """Update the digest of a kind for the change of one object."""
    removed = store_position.digest([before] if before else ())
    added = store_position.digest([after] if after else ())
    view.digest = (view.digest + added - removed) % store_position.DIGEST_RANGE
