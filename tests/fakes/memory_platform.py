"""A platform in memory, with outages, conflicts and lost answers."""

from collections.abc import Callable
import copy
from typing import Any

from result import Err
from result import Ok

from wigeonfall.ports import platform as port


class MemoryPlatform:
    """Objects with versions and conditional updates.

    Attributes:
        down: whether every call fails without effect.
        lose_writes: number of next writes whose answer is lost after they
            took effect.
        before_write: called before each write, to pause the writer.
        history: all writes that took effect, oldest first.
        calls: number of calls by operation.
    """

    def __init__(self) -> None:
        self.down = False
        self.lose_writes = 0
        self.before_write: Callable[[], None] | None = None
        self.history: list[port.StoredObject] = []
        self.calls: dict[str, int] = {}
        self._objects: dict[tuple[str, str], port.StoredObject] = {}

    def get(self, kind: str, name: str):
        """Read one object."""
        if not self._up('get'):
            return _error(port.PlatformErrorKind.UNAVAILABLE)
        stored = self._objects.get((kind, name))
        if stored is None:
            return _error(port.PlatformErrorKind.NOT_FOUND)
        return Ok(copy.deepcopy(stored))

    def list(self, kind: str):
        """Read all objects of a kind."""
        if not self._up('list'):
            return _error(port.PlatformErrorKind.UNAVAILABLE)
        found = (o for (k, _), o in self._objects.items() if k == kind)
        return Ok(tuple(copy.deepcopy(o) for o in found))

    def create(self, kind: str, name: str, value: dict[str, Any]):
        """Write an object that must not exist."""
        return self._write(port.StoredObject(kind, name, 0, value))

    def update(self, stored: port.StoredObject):
        """Replace an object whose version is still the same."""
        return self._write(stored)

    def _write(self, stored: port.StoredObject):
        if self.before_write is not None:
            hook, self.before_write = self.before_write, None
            hook()
        if not self._up('write'):
            return _error(port.PlatformErrorKind.UNAVAILABLE)
        key = (stored.kind, stored.name)
        present = self._objects.get(key)
        if (present.version if present else 0) != stored.version:
            return _error(port.PlatformErrorKind.CONFLICT)
        version = len(self.history) + 1
        value = copy.deepcopy(stored.value)
        new = port.StoredObject(stored.kind, stored.name, version, value)
        self._objects[key] = new
        self.history.append(new)
        if self.lose_writes:
            self.lose_writes -= 1
            return _error(port.PlatformErrorKind.UNAVAILABLE, True)
        return Ok(copy.deepcopy(new))

    def restore(self, version: int) -> None:
        """Go back to the state after a write; versions are given out again."""
        del self.history[version:]
        self._objects = {(o.kind, o.name): o for o in self.history}

    def delete(self, kind: str, name: str):
        """Remove an object."""
        if not self._up('write'):
            return _error(port.PlatformErrorKind.UNAVAILABLE)
        if self._objects.pop((kind, name), None) is None:
            return _error(port.PlatformErrorKind.NOT_FOUND)
        return Ok(None)

    def watch(self, kind: str, version: int, timeout_s: float):
        """Return the objects of a kind that are newer than a version."""
        if not self._up('watch'):
            return _error(port.PlatformErrorKind.UNAVAILABLE)
        found = (o for (k, _), o in self._objects.items() if k == kind)
        return Ok(tuple(o for o in found if o.version > version))

    def live_list(self):
        """Return an empty live list."""
        return Ok(port.LiveList((), ()))

    def _up(self, operation: str) -> bool:
        self.calls[operation] = self.calls.get(operation, 0) + 1
        return not self.down

    def port(self) -> port.Platform:
        """Return the calls to this platform."""
        return port.Platform(
            get=self.get,
            list=self.list,
            create=self.create,
            update=self.update,
            delete=self.delete,
            watch=self.watch,
            live_list=self.live_list,
        )


def _error(kind: port.PlatformErrorKind, effect_unknown: bool = False):
    return Err(port.PlatformError(kind, kind.value, effect_unknown))
