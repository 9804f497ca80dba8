"""The loops that keep a process's configuration up to date.

One thread puts revisions in force, one reads or watches the platform, and one
reports for the data centre. All may run in several instances at once.
"""

import random
import threading
import time

import attrs
from result import Err

from ..events import Event
from ..model.site_status import SiteStatus
from ..policy import configuration as policy
from ..policy.membership import Role
from ..ports.configuration import ConfigurationStore
from ..ports.configuration import StoredRevision
from ..recorder import Record
from .configuration import ConfigurationState
from .membership import Membership

WATCH_S = 25.0
IDLE_S = 1.0
REPORT_PERIOD_S = 0.5
FIRST_RETRY_S = 0.2
LAST_RETRY_S = 5.0


@attrs.define
class Retry:
    """The pause before the next try, which doubles up to a bound."""

    random: random.Random
    pause_s: float = FIRST_RETRY_S

    def next_pause_s(self) -> float:
        """Return the pause after one more failure."""
        pause_s = self.pause_s * self.random.uniform(0.5, 1.0)
        self.pause_s = min(2 * self.pause_s, LAST_RETRY_S)
        return pause_s

    def reset(self) -> None:
        """Start again from the shortest pause."""
        self.pause_s = FIRST_RETRY_S


@attrs.frozen
class Loops:
    """What the loops need.

    Attributes:
        state: the configuration of this process.
        store: the platform's store.
        membership: tells who watches and reports.
        record: records events.
        stopping: ends the loops.
    """

    state: ConfigurationState
    store: ConfigurationStore
    membership: Membership
    record: Record
    stopping: threading.Event


def start(loops: Loops) -> None:
    """Run the loops in threads of their own."""
    for name, loop in (
        ('configuration', run_apply),
        ('configuration-watch', run_watch),
        ('configuration-report', run_report),
    ):
        threading.Thread(
            target=loop, args=(loops,), name=name, daemon=True
        ).start()


def run_apply(loops: Loops) -> None:
    """Put each newer revision in force as it is seen."""
    while not loops.stopping.is_set():
        if loops.state.wait_for_revision(IDLE_S):
            loops.state.apply(time.time())


def run_watch(loops: Loops) -> None:
    """Read the store once, then watch it while this is our role."""
    retry = Retry(random.Random())
    known: StoredRevision | None = None
    while not loops.stopping.is_set():
        if known is not None and not _watches(loops):
            known = _read_if_new_watcher(loops)
            continue
        known = _read(loops) if known is None else _watch(loops, known)
        if known is None:
            loops.stopping.wait(retry.next_pause_s())
        else:
            retry.reset()


def _watches(loops: Loops) -> bool:
    return loops.membership.has_role(Role.WATCHER, time.monotonic())


def _read_if_new_watcher(loops: Loops) -> StoredRevision | None:
    """Wait until watching is our role, then return None to read afresh."""
    while not _watches(loops) and not loops.stopping.wait(IDLE_S):
        pass
    return None


def _read(loops: Loops) -> StoredRevision | None:
    outcome = loops.store.read()
    if isinstance(outcome, Err):
        return None
    _take(loops, outcome.ok_value)
    loops.state.confirm()
    return outcome.ok_value


def _watch(loops: Loops, known: StoredRevision) -> StoredRevision | None:
    outcome = loops.store.watch(known.object_version, WATCH_S)
    if isinstance(outcome, Err):
        return None
    if outcome.ok_value is None:
        return known
    _take(loops, outcome.ok_value)
    return outcome.ok_value


def _take(loops: Loops, stored: StoredRevision) -> None:
    if stored.revision is not None:
        loops.state.learn(stored.revision)


class Reporter:
    """Writes the status of a data centre when it is due."""

    def __init__(self, loops: Loops) -> None:
        self._loops = loops
        self._written: SiteStatus | None = None
        self._version = 0
        self._since_s = 0.0
        self._retry_at_s = 0.0
        self._retry = Retry(random.Random())

    def step(self, now_s: float) -> None:
        """Write the status now if it is due and our role.

        Args:
            now_s: present time, on the monotonic clock.
        """
        loops = self._loops
        live = [i.name for i in loops.membership.live_in_data_center(now_s)]
        status = policy.site_status(
            loops.membership.own.data_center,
            loops.state.position.version,
            live,
            loops.state.reports(),
        )
        if status.version != self._version:
            self._version = status.version
            self._since_s = now_s
        if now_s < self._retry_at_s:
            return
        if not policy.status_due(status, self._written, self._since_s, now_s):
            return
        if loops.membership.has_role(Role.REPORTER, now_s):
            self._write(status, now_s)

    def _write(self, status: SiteStatus, now_s: float) -> None:
        loops = self._loops
        if isinstance(loops.store.report(status), Err):
            self._retry_at_s = now_s + self._retry.next_pause_s()
            return
        self._retry.reset()
        self._written = status
        loops.record(
            Event.CONFIGURATION_REPORTED,
            version=status.version,
            in_force=status.in_force,
            missing=list(status.missing),
        )


def run_report(loops: Loops) -> None:
    """Report for the data centre while this is our role."""
    reporter = Reporter(loops)
    while not loops.stopping.wait(REPORT_PERIOD_S):
        reporter.step(time.monotonic())
