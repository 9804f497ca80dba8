"""A store of objects in memory, with faults that its user chooses."""

from collections.abc import Callable
import enum
import json
import threading
from typing import Any

from result import Err
from result import Ok

from wigeonfall.ports import platform
from wigeonfall.ports.platform import PlatformErrorKind


class Fate(enum.Enum):
    """What becomes of one call."""

    SERVED = 'served'
    DOWN = 'down'
    ANSWER_LOST = 'answer-lost'
    REQUEST_LOST = 'request-lost'
    LATE = 'late'
    RATE_LIMITED = 'rate-limited'


class MemoryStore:
    """Objects with versions, changed by conditional updates."""

    def __init__(
        self, fate: Callable[[str], Fate] = lambda call: Fate.SERVED
    ) -> None:
        self.fate = fate
        self.objects: dict[tuple[str, str], platform.StoredObject] = {}
        self.writes = 0
        self.reads = 0
        self.written_bytes = 0
        self.largest_bytes = 0
        self.late: list[Callable[[], Any]] = []
        self._version = 0
        self._lock = threading.Lock()

    def port(self) -> platform.Platform:
        """Return the calls of this store."""
        return platform.Platform(
            get=self._get,
            list=lambda kind: Ok(()),
            create=self._create,
            update=self._update,
            delete=self._delete,
            watch=lambda kind, version, timeout_s: Ok(()),
            live_list=lambda: Ok(platform.LiveList((), ())),
        )

    def copy(self):
        """Return the present state, to restore it later."""
        return self._version, dict(self.objects)

    def restore(self, copy) -> None:
        """Go back to an earlier state; versions are given out again."""
        self._version, objects = copy
        self.objects = dict(objects)

    def deliver_late_call(self) -> None:
        """Let the oldest late call take effect."""
        if self.late:
            self.late.pop(0)()

    def _get(self, kind, name):
        fate = self.fate('get')
        if fate is not Fate.SERVED:
            return Err(_failure(fate, False))
        self.reads += 1
        with self._lock:
            stored = self.objects.get((kind, name))
            if stored is None:
                return _error(PlatformErrorKind.NOT_FOUND)
            return Ok(_decoded(stored))

    def _create(self, kind, name, value):
        text = json.dumps(value)
        return self._write('create', lambda: self._put(kind, name, 0, text))

    def _update(self, changed):
        text = json.dumps(changed.value)
        return self._write(
            'update',
            lambda: self._put(
                changed.kind, changed.name, changed.version, text
            ),
        )

    def _delete(self, kind, name):
        return self._write('delete', lambda: self._remove(kind, name))

    def _write(self, call, effect):
        fate = self.fate(call)
        if fate is Fate.SERVED:
            return effect()
        if fate is Fate.ANSWER_LOST:
            effect()
        if fate is Fate.LATE:
            self.late.append(effect)
        return Err(_failure(fate, True))

    def _put(self, kind, name, version, text):
        with self._lock:
            self.writes += 1
            self.written_bytes += len(text)
            self.largest_bytes = max(self.largest_bytes, len(text))
            stored = self.objects.get((kind, name))
            if (stored.version if stored else 0) != version:
                return _error(PlatformErrorKind.CONFLICT)
            self._version += 1
            changed = platform.StoredObject(kind, name, self._version, text)
            self.objects[kind, name] = changed
            return Ok(_decoded(changed))

    def _remove(self, kind, name):
        with self._lock:
            self.writes += 1
            if self.objects.pop((kind, name), None) is None:
                return _error(PlatformErrorKind.NOT_FOUND)
            return Ok(None)


def _decoded(stored: platform.StoredObject) -> platform.StoredObject:
    return platform.StoredObject(
        stored.kind, stored.name, stored.version, json.loads(stored.value)
    )


def _failure(fate: Fate, is_write: bool) -> platform.PlatformError:
    if fate is Fate.RATE_LIMITED:
        kind = PlatformErrorKind.RATE_LIMITED
        return platform.PlatformError(kind, fate.value)
    lost = fate is not Fate.DOWN
    return platform.PlatformError(
        PlatformErrorKind.UNAVAILABLE, fate.value, is_write and lost
    )


def _error(kind: PlatformErrorKind):
    return Err(platform.PlatformError(kind, kind.value))
