"""The configuration of one process.

The newest revision received from the platform or a peer is put in force if it
is valid. Either way it is passed on to peers, as a delta where possible.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import threading

import attrs
from result import Err

from .. import configuration_file
from .. import ini
from ..events import Event
from ..model.configuration import Configuration
from ..model.revision import Revision
from ..model.site_status import Report
from ..policy import configuration as policy
from ..policy.configuration import Position
from ..recorder import Record

KEPT_REVISIONS = 4
REPORT_SHARING_S = 10.0


@attrs.frozen
class Message:
    """The configuration state that one instance sends to another.

    Attributes:
        position: position of the newest revision that the sender has.
        confirmed: whether the sender has every revision that was accepted
            before it started.
        revision: that revision, if the receiver has an older one.
        reports: the instances of the sender's data centre that have it in
            force.
    """

    position: Position
    confirmed: bool = False
    revision: Revision | None = None
    reports: tuple[Report, ...] = ()


class ConfigurationState:
    """The newest revision seen by a process and the configuration in force."""

    def __init__(
        self,
        instance: str,
        data_center: str,
        initial: Configuration,
        record: Record,
        trigger_exchange: Callable[[], None] = lambda: None,
    ) -> None:
        """Start with the configuration from the process's own files.

        Args:
            instance: name of this instance.
            data_center: its data centre.
            initial: configuration in force until a revision is applied.
            record: records events.
            trigger_exchange: asks for an exchange with peers at once.
        """
        self._instance = instance
        self._data_center = data_center
        self._record = record
        self._trigger_exchange = trigger_exchange
        self._condition = threading.Condition()
        self._current = initial
        self._confirmed = False
        self._newest: Revision | None = None
        self._applied_position = policy.NO_POSITION
        self._recent: collections.deque[Revision] = collections.deque(
            maxlen=KEPT_REVISIONS
        )
        self._peer_positions: dict[str, Position] = {}
        self._reports: dict[str, Report] = {}
        self._reports_changed_unix_s = 0.0
        self._listeners: list[Callable[[Configuration], None]] = []

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        return self._current

    @property
    def confirmed(self) -> bool:
        """Whether every revision accepted before the start is known."""
        return self._confirmed

    @property
    def position(self) -> Position:
        """Position of the newest revision seen."""
        return policy.position(self._newest)

    def add_listener(self, listener: Callable[[Configuration], None]) -> None:
        """Add a function to call with each configuration put in force."""
        self._listeners.append(listener)

    def confirm(self) -> None:
        """Record that every revision accepted before the start is known."""
        with self._condition:
            self._confirmed = True
            self._condition.notify_all()

    def add_revision(self, revision: Revision) -> bool:
        """Add a revision and return whether it is newer than all seen."""
        with self._condition:
            if policy.position(revision) <= self.position:
                return False
            self._newest = revision
            self._recent.append(revision)
            self._confirmed = True
            self._condition.notify_all()
        self._trigger_exchange()
        return True

    def wait_for_revision(self, wait_s: float) -> bool:
        """Wait until a revision is seen that was not applied yet."""
        with self._condition:
            return self._condition.wait_for(
                lambda: self.position > self._applied_position, wait_s
            )

    def wait_until_confirmed(self, wait_s: float) -> bool:
        """Wait until all accepted revisions are known and applied."""
        with self._condition:
            return self._condition.wait_for(
                lambda: (
                    self._confirmed and self.position == self._applied_position
                ),
                wait_s,
            )

    def apply(self, now_unix_s: float) -> None:
        """Put the newest revision seen in force, unless it is invalid.

        Args:
            now_unix_s: present time in seconds since the epoch.
        """
        revision = self._newest
        if (
            revision is None
            or policy.position(revision) <= self._applied_position
        ):
            return
        outcome = parse(revision, self._data_center)
        if isinstance(outcome, Err):
            self._mark_applied(revision)
            self._record(
                Event.CONFIGURATION_REFUSED,
                version=revision.version,
                faults=[str(fault) for fault in outcome.err_value],
            )
            return
        self._current = outcome.ok_value
        self._mark_applied(revision)
        in_force_ms = int(now_unix_s * 1000)
        self._record(
            Event.CONFIGURATION_IN_FORCE,
            version=revision.version,
            change_id=revision.change.id,
            operator=revision.change.operator,
            reason=revision.change.reason,
            after_ms=in_force_ms - revision.change.accepted_ms,
        )
        report = Report(self._instance, revision.version, in_force_ms)
        self._merge_reports([report], now_unix_s)
        for listener in self._listeners:
            listener(self._current)

    def _mark_applied(self, revision: Revision) -> None:
        with self._condition:
            self._applied_position = policy.position(revision)
            self._condition.notify_all()

    def message(self, peer: str, now_unix_s: float) -> Message:
        """Return the message to send to a peer.

        Args:
            peer: name of the peer, '' if it is not known.
            now_unix_s: present time in seconds since the epoch.
        """
        with self._condition:
            known = self._peer_positions.get(peer)
            behind = known is not None and known < self.position
            unchanged_s = now_unix_s - self._reports_changed_unix_s
            reports: tuple[Report, ...] = ()
            if unchanged_s <= REPORT_SHARING_S:
                reports = self._newest_reports()
            return Message(
                self.position,
                self._confirmed,
                self._newest if behind else None,
                reports,
            )

    def delta_base(self, peer: str) -> Revision | None:
        """Return a peer's newest revision if it is kept here, for a delta."""
        with self._condition:
            known = self._peer_positions.get(peer)
            return next(
                (r for r in self._recent if policy.position(r) == known),
                None,
            )

    def kept_revision(self, change_id: str) -> Revision | None:
        """Return the revision that a change made, if it is still kept."""
        with self._condition:
            return next(
                (r for r in self._recent if r.change.id == change_id),
                None,
            )

    def merge(self, message: Message, sender: str, now_unix_s: float) -> None:
        """Merge a message of a peer.

        Args:
            message: the message.
            sender: name of the peer.
            now_unix_s: present time in seconds since the epoch.
        """
        with self._condition:
            self._peer_positions[sender] = message.position
        if message.revision is not None:
            self.add_revision(message.revision)
        if message.confirmed and message.position <= self.position:
            self.confirm()
        self._merge_reports(message.reports, now_unix_s)

    def forget_peers(self, live: Iterable[str]) -> None:
        """Drop positions and reports of instances that are not live."""
        names = set(live)
        with self._condition:
            self._peer_positions = {
                n: p for n, p in self._peer_positions.items() if n in names
            }
            self._reports = {
                name: report
                for name, report in self._reports.items()
                if name in names
            }

    def reports(self) -> dict[str, Report]:
        """Return the latest report of each instance of this data centre."""
        with self._condition:
            return dict(self._reports)

    def _merge_reports(
        self, reports: Iterable[Report], now_unix_s: float
    ) -> None:
        with self._condition:
            merged = policy.merge_reports(self._reports, reports)
            if merged != self._reports:
                self._reports = merged
                self._reports_changed_unix_s = now_unix_s

    def _newest_reports(self) -> tuple[Report, ...]:
        version = self.position.version
        return tuple(
            report
            for report in self._reports.values()
            if report.version == version
        )


def parse(revision: Revision, data_center: str) -> configuration_file.Outcome:
    """Parse and check a revision for one data centre.

    Args:
        revision: the revision.
        data_center: the data centre.

    Returns:
        The configuration of that data centre, or all faults.
    """
    texts = revision.texts
    overlay = texts.overlays.get(data_center)
    return configuration_file.parse(
        ini.Source('base.ini', texts.base),
        None if overlay is None else ini.Source(f'{data_center}.ini', overlay),
        data_center,
        revision.version,
    )
