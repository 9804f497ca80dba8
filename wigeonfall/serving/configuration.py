"""The configuration of one process: the highest version seen, in force."""

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
REPORT_SPREAD_S = 10.0


@attrs.frozen
class Message:
    """What one instance tells another.

    Attributes:
        position: place of the newest revision that the sender has.
        confirmed: whether the sender knows that it missed no revision that
            was accepted before it started.
        revision: that revision, if the receiver is behind.
        reports: which instances of its data centre run with it.
    """

    position: Position
    confirmed: bool = False
    revision: Revision | None = None
    reports: tuple[Report, ...] = ()


class ConfigurationState:
    """The newest revision that a process has seen, and what it runs with."""

    def __init__(
        self,
        instance: str,
        data_center: str,
        initial: Configuration,
        record: Record,
        trigger_exchange: Callable[[], None] = lambda: None,
    ) -> None:
        """Start with the configuration of the process's own files.

        Args:
            instance: name of this instance.
            data_center: its data centre.
            initial: configuration to run with until a revision is seen.
            record: records events.
            trigger_exchange: asks for an exchange with peers at once.
        """
        self._instance = instance
        self._data_center = data_center
        self._record = record
        self._trigger_exchange = trigger_exchange
        self._changed = threading.Condition()
        self._current = initial
        self._confirmed = False
        self._seen: Revision | None = None
        self._applied = policy.NO_POSITION
        self._kept: collections.deque[Revision] = collections.deque(
            maxlen=KEPT_REVISIONS
        )
        self._peers: dict[str, Position] = {}
        self._reports: dict[str, Report] = {}
        self._reports_changed_unix_s = 0.0
        self._listeners: list[Callable[[Configuration], None]] = []

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        return self._current

    @property
    def confirmed(self) -> bool:
        """Whether no revision accepted before our start can be missing."""
        return self._confirmed

    @property
    def position(self) -> Position:
        """Place of the newest revision seen."""
        return policy.position(self._seen)

    def listen(self, listener: Callable[[Configuration], None]) -> None:
        """Call a function with each configuration that comes into force."""
        self._listeners.append(listener)

    def confirm(self) -> None:
        """Take note that the platform holds nothing newer than was seen."""
        with self._changed:
            self._confirmed = True
            self._changed.notify_all()

    def learn(self, revision: Revision) -> bool:
        """Take in a revision and return whether it is newer than all seen."""
        with self._changed:
            if policy.position(revision) <= self.position:
                return False
            self._seen = revision
            self._kept.append(revision)
            self._confirmed = True
            self._changed.notify_all()
        self._trigger_exchange()
        return True

    def wait_for_revision(self, wait_s: float) -> bool:
        """Wait until a revision is seen that was not applied yet."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self.position > self._applied, wait_s
            )

    def wait_until_confirmed(self, wait_s: float) -> bool:
        """Wait until all accepted revisions are known and in force."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._confirmed and self.position == self._applied,
                wait_s,
            )

    def apply(self, now_unix_s: float) -> None:
        """Put the newest revision seen in force.

        Args:
            now_unix_s: present time in seconds since the epoch.
        """
        revision = self._seen
        if revision is None or policy.position(revision) <= self._applied:
            return
        outcome = parse(revision, self._data_center)
        if isinstance(outcome, Err):
            self._set_applied(revision)
            self._record(
                Event.CONFIGURATION_REFUSED,
                version=revision.version,
                faults=[str(fault) for fault in outcome.err_value],
            )
            return
        self._current = outcome.ok_value
        self._set_applied(revision)
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
        self._take_reports([report], now_unix_s)
        for listener in self._listeners:
            listener(self._current)

    def _set_applied(self, revision: Revision) -> None:
        with self._changed:
            self._applied = policy.position(revision)
            self._changed.notify_all()

    def message(self, peer: str, now_unix_s: float) -> Message:
        """Return what to tell a peer.

        Args:
            peer: name of the peer, '' if it is not known.
            now_unix_s: present time in seconds since the epoch.
        """
        with self._changed:
            known = self._peers.get(peer)
            behind = known is not None and known < self.position
            recent = now_unix_s - self._reports_changed_unix_s
            reports: tuple[Report, ...] = ()
            if recent <= REPORT_SPREAD_S:
                reports = self._newest_reports()
            return Message(
                self.position,
                self._confirmed,
                self._seen if behind else None,
                reports,
            )

    def delta_base(self, peer: str) -> Revision | None:
        """Return a revision that a peer has and that we still keep."""
        with self._changed:
            known = self._peers.get(peer)
            return next(
                (r for r in self._kept if policy.position(r) == known), None
            )

    def kept(self, change_id: str) -> Revision | None:
        """Return the revision that a change made, if it is still kept."""
        with self._changed:
            return next(
                (r for r in self._kept if r.change.id == change_id), None
            )

    def merge(self, message: Message, sender: str, now_unix_s: float) -> None:
        """Take in what a peer told.

        Args:
            message: what it told.
            sender: its name.
            now_unix_s: present time in seconds since the epoch.
        """
        with self._changed:
            self._peers[sender] = message.position
        if message.revision is not None:
            self.learn(message.revision)
        if message.confirmed and message.position <= self.position:
            self.confirm()
        self._take_reports(message.reports, now_unix_s)

    def forget_peers(self, live: Iterable[str]) -> None:
        """Drop what is known of instances that are gone."""
        names = set(live)
        with self._changed:
            self._peers = {n: p for n, p in self._peers.items() if n in names}
            self._reports = {
                name: report
                for name, report in self._reports.items()
                if name in names
            }

    def reports(self) -> dict[str, Report]:
        """Return the latest report of each instance of our data centre."""
        with self._changed:
            return dict(self._reports)

    def _take_reports(
        self, reports: Iterable[Report], now_unix_s: float
    ) -> None:
        with self._changed:
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
    """Check a revision for one data centre.

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
