"""A store of versioned objects, as the forwarding path sees it."""

from collections.abc import Callable
from typing import Any

import attrs
from result import Result

from .platform import PlatformError
from .platform import StoredObject


@attrs.frozen
class Listing:
    """All objects of a kind.

    Attributes:
        objects: the objects.
        revision: where the store stood.
    """

    objects: tuple[StoredObject, ...]
    revision: int


@attrs.frozen
class Change:
    """A change of one object.

    Attributes:
        object: the object as it is, or as it was before it was removed.
        removed: whether it was removed.
    """

    object: StoredObject
    removed: bool


@attrs.frozen
class Changes:
    """What changed in a kind since a revision.

    Attributes:
        changes: the changes in their order; none if nothing came in time.
        revision: where the store stood.
    """

    changes: tuple[Change, ...]
    revision: int


@attrs.frozen
class ObjectStore:
    """Calls to the store; each blocks and never raises.

    Attributes:
        list: read all objects of a kind; with True, a cheap answer that may
            be seconds old is enough.
        watch: wait for changes of a kind after a revision, for at most some
            seconds.
        create: write an object that must not exist yet.
        replace: replace the value of an object at its version.
        report: replace the status of an object at its version.
    """

    list: Callable[[str, bool], Result[Listing, PlatformError]]
    watch: Callable[[str, int, float], Result[Changes, PlatformError]]
    create: Callable[
        [str, str, dict[str, Any]], Result[StoredObject, PlatformError]
    ]
    replace: Callable[[StoredObject], Result[StoredObject, PlatformError]]
    report: Callable[[StoredObject], Result[StoredObject, PlatformError]]
