"""A store of objects in memory, with watches, outages and restores."""

import threading

import attrs
from result import Err
from result import Ok

from wigeonfall.forwarding.store_view import StoreView
from wigeonfall.ports.objects import Change
from wigeonfall.ports.objects import Changes
from wigeonfall.ports.objects import Listing
from wigeonfall.ports.objects import ObjectStore
from wigeonfall.ports.platform import PlatformError
from wigeonfall.ports.platform import PlatformErrorKind
from wigeonfall.ports.platform import StoredObject

AWAY = PlatformError(PlatformErrorKind.UNAVAILABLE, 'away', True)
POLL_S = 0.02


def make_store_view(kinds, on_change=lambda _kind: True, record=None):
    """Return a view of objects whose writers count versions in `v`."""
    return StoreView(
        kinds,
        on_change,
        lambda item: item.value.get('v', 0),
        record or (lambda *_args, **_fields: None),
    )


@attrs.frozen
class Copy:
    """The state of a store at one revision."""

    revision: int
    objects: dict[tuple[str, str], StoredObject]
    history: tuple[tuple[int, Change], ...]


class MemoryObjects:
    """Objects by kind and name; all calls may come from any thread."""

    def __init__(self) -> None:
        self.away = False
        self.lose_next = 0
        self.calls = 0
        self.era = 1
        self._watched_era = 0  # watches of the era before go on in it
        self._revision = 1
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._history: list[tuple[int, Change]] = []
        self._forgotten = 0
        self._changed = threading.Condition()

    def port(self) -> ObjectStore:
        """Return the calls to the store."""
        return ObjectStore(
            list=self._list,
            watch=self._watch,
            create=self.create,
            replace=self.replace,
            report=self.replace,
        )

    def put(self, kind, name, value):
        """Write an object whatever there is."""
        return self._write(StoredObject(kind, name, 0, value))

    def remove(self, kind, name):
        """Remove an object."""
        with self._changed:
            self._revision += 1
            gone = self._objects.pop((kind, name))
            self._history.append((self._revision, Change(gone, True)))
            self._changed.notify_all()

    def discard(self, kind, name):
        """Remove an object if there is one."""
        with self._changed:
            if (kind, name) in self._objects:
                self.remove(kind, name)

    def get(self, kind, name):
        """Return an object, or None."""
        return self._objects.get((kind, name))

    def forget_history(self):
        """Drop all that watches could go on from."""
        with self._changed:
            self._history.clear()
            self._forgotten = self._revision
            self._changed.notify_all()

    def copy(self) -> Copy:
        """Return the present state, to restore it later."""
        with self._changed:
            return Copy(
                self._revision, dict(self._objects), tuple(self._history)
            )

    def restore_unseen(self, copy: Copy) -> None:
        """Go back to an earlier state without cutting the watches."""
        self._watched_era = self.era + 1
        self.restore(copy)

    def restore(self, copy: Copy) -> None:
        """Go back to an earlier state, which begins a new era."""
        with self._changed:
            self._revision = copy.revision
            self._objects = dict(copy.objects)
            self._history = list(copy.history)
            self._forgotten = min(self._forgotten, copy.revision)
            self.era += 1
            self._changed.notify_all()

    def create(self, kind, name, value):
        """Write an object that must not exist."""
        if self.away:
            return Err(AWAY)
        if (kind, name) in self._objects:
            return Err(PlatformError(PlatformErrorKind.CONFLICT, 'exists'))
        return Ok(self._write(StoredObject(kind, name, 0, value)))

    def replace(self, stored):
        """Replace an object at its version."""
        if self.away:
            return Err(AWAY)
        present = self._objects.get((stored.kind, stored.name))
        if present is None or present.version != stored.version:
            return Err(PlatformError(PlatformErrorKind.CONFLICT, 'changed'))
        return Ok(self._write(stored))

    def _write(self, stored):
        with self._changed:
            self._revision += 1
            written = attrs.evolve(stored, version=self._revision)
            self._objects[stored.kind, stored.name] = written
            self._history.append((self._revision, Change(written, False)))
            self._changed.notify_all()
            return written

    def _list(self, kind, _stale):
        self.calls += 1
        if self.away:
            return Err(AWAY)
        with self._changed:
            found = [o for (k, _), o in self._objects.items() if k == kind]
            return Ok(Listing(tuple(found), self._revision, self.era))

    def _watch(self, kind, since, wait_s):
        self.calls += 1
        waited_s = 0.0
        era = self.era
        while waited_s < wait_s:
            with self._changed:
                if self._watched_era == self.era:
                    era = self.era
                if self.away or self.era != era:
                    return Err(AWAY)
                if self.lose_next:
                    self.lose_next -= 1
                    return Err(AWAY)
                if since < self._forgotten or since > self._revision:
                    return Err(PlatformError(PlatformErrorKind.GONE, 'gone'))
                changes = [
                    change
                    for revision, change in self._history
                    if revision > since and change.object.kind == kind
                ]
                if changes:
                    return Ok(Changes(tuple(changes), self._revision, era))
                self._changed.wait(POLL_S)
            waited_s += POLL_S
        return Ok(Changes((), self._revision, era))
