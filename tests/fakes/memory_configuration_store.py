"""A store of revisions in memory, with conditional writes and faults."""

import attrs
from result import Err
from result import Ok
from result import Result

from wigeonfall.model.revision import Revision
from wigeonfall.model.site_status import SiteStatus
from wigeonfall.ports.configuration import ConfigurationStore
from wigeonfall.ports.configuration import StoredRevision
from wigeonfall.ports.platform import PlatformError
from wigeonfall.ports.platform import PlatformErrorKind

AWAY = PlatformError(PlatformErrorKind.UNAVAILABLE, 'away')
LOST = PlatformError(PlatformErrorKind.UNAVAILABLE, 'lost', True)
CONFLICT = PlatformError(PlatformErrorKind.CONFLICT, 'other version')


@attrs.define
class MemoryStore:
    """What the store holds and which faults come next.

    Attributes:
        stored: what it holds.
        statuses: what the sites reported.
        away: whether no call takes effect.
        lose_answers: writes that take effect and whose answer is lost.
        drop_writes: writes that are lost before they take effect.
    """

    stored: StoredRevision = StoredRevision(None, 0)
    statuses: list[SiteStatus] = attrs.field(factory=list)
    away: bool = False
    lose_answers: int = 0
    drop_writes: int = 0

    def port(self) -> ConfigurationStore:
        """Return the calls to this store."""
        return ConfigurationStore(
            read=lambda: Err(AWAY) if self.away else Ok(self.stored),
            write=self._write,
            watch=self._watch,
            statuses=lambda: (
                Err(AWAY) if self.away else Ok(tuple(self.statuses))
            ),
            report=self._report,
        )

    def _write(
        self, revision: Revision, read: StoredRevision
    ) -> Result[StoredRevision, PlatformError]:
        if self.away:
            return Err(AWAY)
        if self.drop_writes > 0:
            self.drop_writes -= 1
            return Err(LOST)
        if read.object_version != self.stored.object_version:
            return Err(CONFLICT)
        self.stored = StoredRevision(revision, read.object_version + 1)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return Err(LOST)
        return Ok(self.stored)

    def _watch(
        self, since: int, _wait_s: float
    ) -> Result[StoredRevision | None, PlatformError]:
        if self.away:
            return Err(AWAY)
        newer = self.stored.object_version > since
        return Ok(self.stored if newer else None)

    def _report(self, status: SiteStatus) -> Result[None, PlatformError]:
        if self.away:
            return Err(AWAY)
        self.statuses.insert(0, status)
        return Ok(None)
