"""Interface to the object API and the live list of the platform."""

from collections.abc import Callable
import enum
from typing import Any

import attrs
from result import Result

from ..model.instance import Instance
from ..model.target import Target


class PlatformErrorKind(enum.Enum):
    """Why a call to the platform failed."""

    NOT_FOUND = 'not-found'
    CONFLICT = 'conflict'
    RATE_LIMITED = 'rate-limited'
    UNAVAILABLE = 'unavailable'
    INVALID = 'invalid'
    GONE = 'gone'


@attrs.frozen
class PlatformError:
    """A failed call to the platform.

    Attributes:
        kind: why the call failed.
        message: detail for logs.
        effect_unknown: whether a failed write may have taken effect.
    """

    kind: PlatformErrorKind
    message: str
    effect_unknown: bool = False


@attrs.frozen
class StoredObject:
    """An object in the platform's store.

    Attributes:
        kind: plural name of the kind, such as "configurations".
        name: name within the kind.
        version: version that the platform assigned to the object.
        value: content, as JSON values.
        status: the status that was written last, as JSON values.
    """

    kind: str
    name: str
    version: int
    value: dict[str, Any]
    status: dict[str, Any] | None = None


@attrs.frozen
class LiveList:
    """The platform's list of live and leaving processes.

    The list may be out of date.
    """

    instances: tuple[Instance, ...]
    targets: tuple[Target, ...]


@attrs.frozen
class Platform:
    """Calls to the platform; each blocks and returns errors, never raises.

    Attributes:
        get: reads one object, given its kind and name.
        list: reads all objects of a kind.
        create: creates an object, given its kind, name and value; fails if
            it exists.
        update: replaces an object; fails if its version has changed.
        delete: deletes an object, given its kind and name.
        watch: waits for objects of a kind that are newer than a version,
            given a timeout in seconds; returns an empty tuple after it.
        live_list: reads the live list.
    """

    get: Callable[[str, str], Result[StoredObject, PlatformError]]
    list: Callable[[str], Result[tuple[StoredObject, ...], PlatformError]]
    create: Callable[
        [str, str, dict[str, Any]], Result[StoredObject, PlatformError]
    ]
    update: Callable[[StoredObject], Result[StoredObject, PlatformError]]
    delete: Callable[[str, str], Result[None, PlatformError]]
    watch: Callable[
        [str, int, float],
        Result[tuple[StoredObject, ...], PlatformError],
    ]
    live_list: Callable[[], Result[LiveList, PlatformError]]
