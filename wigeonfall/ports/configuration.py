"""Interface to the store of configuration revisions and site statuses."""

from collections.abc import Callable

import attrs
from result import Result

from ..model.revision import Revision
from ..model.site_status import SiteStatus
from .platform import PlatformError


@attrs.frozen
class StoredRevision:
    """A revision and the version of the object that holds it.

    Attributes:
        revision: the revision, or None if none was written yet.
        object_version: version of the object in the store, 0 if there is
            none.
    """

    revision: Revision | None
    object_version: int


@attrs.frozen
class ConfigurationStore:
    """Calls to the store; each blocks and returns errors, never raises.

    Attributes:
        read: reads the stored revision.
        write: writes a revision, given the one that was read; fails if the
            stored object has changed since.
        watch: waits for a revision that is newer than an object version,
            given a timeout in seconds; returns None after the timeout.
        statuses: reads the recent statuses of all sites, the newest of each
            site first.
        report: adds a status to those of its site.
    """

    read: Callable[[], Result[StoredRevision, PlatformError]]
    write: Callable[
        [Revision, StoredRevision], Result[StoredRevision, PlatformError]
    ]
    watch: Callable[[int, float], Result[StoredRevision | None, PlatformError]]
    statuses: Callable[[], Result[tuple[SiteStatus, ...], PlatformError]]
    report: Callable[[SiteStatus], Result[None, PlatformError]]
