"""Interface to the store of versioned objects used for forwarding."""

from collections.abc import Callable
from typing import Any

import attrs
from result import Result

from .platform import PlatformError
from .platform import StoredObject


@attrs.frozen
class Listing:
    """All objects of a kind as of one revision of the store.

    Attributes:
        objects: the objects; some may have changed after the revision.
        revision: revision of the store as of which they are complete.
        era: era of the store, which rises each time it is restored from an
            older copy; 0 if the store does not tell.
        unreadable: why objects were left out, one entry for each.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    era: int = 0
    unreadable: tuple[str, ...] = ()


@attrs.frozen
class Change:
    """A change of one object.

    Attributes:
        object: the object after the change, or before its removal.
        removed: whether it was removed.
    """

    object: StoredObject
    removed: bool


@attrs.frozen
class Changes:
    """The changes of a kind since a revision.

    Attributes:
        changes: the changes in order; empty if there were none before the
            timeout.
        revision: revision of the store after these changes.
        era: era of the store, 0 if it does not tell.
        unreadable: why changes were left out, one entry for each.
    """

    changes: tuple[Change, ...]
    revision: int
    era: int = 0
    unreadable: tuple[str, ...] = ()


@attrs.frozen
class ObjectStore:
    """Calls to the store; each blocks and returns errors, never raises.

    Revisions order changes within one era only.

    Attributes:
        list: reads all objects of a kind; True permits a cheaper read that
            may be seconds out of date.
        watch: waits for changes of a kind after a revision, given a timeout
            in seconds.
        create: creates an object, given its kind, name and value; fails if
            it exists.
        replace: replaces the value of an object; fails if its version has
            changed.
        report: replaces the status of an object; fails if its version has
            changed.
    """

    list: Callable[[str, bool], Result[Listing, PlatformError]]
    watch: Callable[[str, int, float], Result[Changes, PlatformError]]
    create: Callable[
        [str, str, dict[str, Any]], Result[StoredObject, PlatformError]
    ]
    replace: Callable[[StoredObject], Result[StoredObject, PlatformError]]
    report: Callable[[StoredObject], Result[StoredObject, PlatformError]]
