"""The threads that keep the configuration of a process up to date.

One puts revisions in force, one reads or watches the platform's store, and one
reports the status of the data centre. Several instances may watch or report at
the same time.
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

WATCH_TIMEOUT_S = 25.0
POLL_PERIOD_S = 1.0
REPORT_PERIOD_S = 0.5
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 5.0


@attrs.define
class RetryBackoff:
    """Exponential backoff with jitter.

    Attributes:
        random: source of the jitter.
        delay_s: next delay, before jitter.
    """

    random: random.Random
    delay_s: float = MIN_RETRY_DELAY_S

    def next_delay_s(self) -> float:
        """Return the delay after one more failure."""
        delay_s = self.delay_s * self.random.uniform(0.5, 1.0)
        self.delay_s = min(2 * self.delay_s, MAX_RETRY_DELAY_S)
        return delay_s

    def reset(self) -> None:
        """Start again from the shortest delay."""
        self.delay_s = MIN_RETRY_DELAY_S


@attrs.frozen
class Loops:
    """What the loops work with.

    Attributes:
        state: the configuration of this process.
        store: the platform's store.
        membership: tells which instances watch and report.
        record: records events.
        stopping: ends the loops.
    """

    state: ConfigurationState
    store: ConfigurationStore
    membership: Membership
    record: Record
    stopping: threading.Event


def start(loops: Loops) -> None:
    """Start each loop in a daemon thread."""
    for name, loop in (
        ('configuration', run_apply),
        ('configuration-watch', run_watch),
        ('configuration-report', run_report),
    ):
        threading.Thread(
            target=loop, args=(loops,), name=name, daemon=True
        ).start()


def run_apply(loops: Loops) -> None:
    """Put each newer revision in force when it is seen."""
    while not loops.stopping.is_set():
        if loops.state.wait_for_revision(POLL_PERIOD_S):
            loops.state.apply(time.time())


def run_watch(loops: Loops) -> None:
    """Read the store once, then watch it while this instance has the role."""
    backoff = RetryBackoff(random.Random())
    known: StoredRevision | None = None
    while not loops.stopping.is_set():
        if known is not None and not _is_watcher(loops):
            known = _wait_for_watcher_role(loops)
            continue
        known = _read(loops) if known is None else _watch(loops, known)
        if known is None:
            loops.stopping.wait(backoff.next_delay_s())
        else:
            backoff.reset()


def _is_watcher(loops: Loops) -> bool:
    return loops.membership.has_role(Role.WATCHER, time.monotonic())


def _wait_for_watcher_role(loops: Loops) -> StoredRevision | None:
    """Wait for the role, then return None so that the store is read."""
    while not _is_watcher(loops) and not loops.stopping.wait(POLL_PERIOD_S):
        pass
    return None


def _read(loops: Loops) -> StoredRevision | None:
    outcome = loops.store.read()
    if isinstance(outcome, Err):
        return None
    _add_revision(loops, outcome.ok_value)
    loops.state.confirm()
    return outcome.ok_value


def _watch(loops: Loops, known: StoredRevision) -> StoredRevision | None:
    outcome = loops.store.watch(known.object_version, WATCH_TIMEOUT_S)
    if isinstance(outcome, Err):
        return None
    if outcome.ok_value is None:
        # A restored store gives versions out again, which hides a change.
        return _read(loops)
    _add_revision(loops, outcome.ok_value)
    return outcome.ok_value


def _add_revision(loops: Loops, stored: StoredRevision) -> None:
    if stored.revision is not None:
        loops.state.add_revision(stored.revision)


class Reporter:
    """Writes the status of this data centre to the store when it is due."""

    def __init__(self, loops: Loops) -> None:
        self._loops = loops
        self._written: SiteStatus | None = None
        self._version = 0
        self._version_since_s = 0.0
        self._retry_at_s = 0.0
        self._backoff = RetryBackoff(random.Random())

    def step(self, now_s: float) -> None:
        """Write the status if it is due and this instance has the role.

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
            self._version_since_s = now_s
        if now_s < self._retry_at_s:
            return
        if not policy.status_due(
            status, self._written, self._version_since_s, now_s
        ):
            return
        if loops.membership.has_role(Role.REPORTER, now_s):
            self._write(status, now_s)

    def _write(self, status: SiteStatus, now_s: float) -> None:
        loops = self._loops
        if isinstance(loops.store.report(status), Err):
            self._retry_at_s = now_s + self._backoff.next_delay_s()
            return
        self._backoff.reset()
        self._written = status
        loops.record(
            Event.CONFIGURATION_REPORTED,
            version=status.version,
            in_force=status.in_force,
            missing=list(status.missing),
        )


def run_report(loops: Loops) -> None:
    """Write the status of the data centre while this instance has the role."""
    reporter = Reporter(loops)
    while not loops.stopping.wait(REPORT_PERIOD_S):
        reporter.step(time.monotonic())
