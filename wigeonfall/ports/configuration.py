"""The store of revisions and site statuses, as serving sees it."""

from collections.abc import Callable

import attrs
from result import Result

from ..model.revision import Revision
from ..model.site_status import SiteStatus
from .platform import PlatformError


@attrs.frozen
class StoredRevision:
    """A revision and where the store stands.

    Attributes:
        revision: the revision, or None if none was ever written.
        object_version: version of the store's object, 0 if there is none.
    """

    revision: Revision | None
    object_version: int


@attrs.frozen
class ConfigurationStore:
    """Calls to the store; each blocks and never raises.

    Attributes:
        read: read the revision that is stored.
        write: write a revision if the store still holds what was read.
        watch: wait for a revision after an object version, for at most some
            seconds; None means that none came.
        statuses: read the statuses that all sites reported lately, the
            newest of each site first.
        report: add a status to those of its site.
    """

    read: Callable[[], Result[StoredRevision, PlatformError]]
    write: Callable[
        [Revision, StoredRevision], Result[StoredRevision, PlatformError]
    ]
    watch: Callable[[int, float], Result[StoredRevision | None, PlatformError]]
    statuses: Callable[[], Result[tuple[SiteStatus, ...], PlatformError]]
    report: Callable[[SiteStatus], Result[None, PlatformError]]
