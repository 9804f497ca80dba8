"""The platform's object API and live list, as serving sees them."""

from collections.abc import Callable
import enum
from typing import Any

import attrs
from result import Result

from ..model.instance import Instance
from ..model.target import Target


class PlatformErrorKind(enum.Enum):
    """Why a call to the platform gave no value."""

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
        effect_unknown: whether a write may have taken effect.
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
        version: version that the platform gave the object.
        value: content, as JSON values.
        status: what was last written of its state, as JSON values.
    """

    kind: str
    name: str
    version: int
    value: dict[str, Any]
    status: dict[str, Any] | None = None


@attrs.frozen
class LiveList:
    """The platform's list of live and leaving processes; it lags."""

    instances: tuple[Instance, ...]
    targets: tuple[Target, ...]


@attrs.frozen
class Platform:
    """Calls to the platform; each blocks and never raises.

    Attributes:
        get: read one object by kind and name.
        list: read all objects of a kind.
        create: write an object that must not exist yet.
        update: replace an object whose version is still the given one.
        delete: remove an object by kind and name.
        watch: wait for objects of a kind that are newer than a version,
            for at most some seconds; an empty tuple means that none came.
        live_list: read the live list.
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
