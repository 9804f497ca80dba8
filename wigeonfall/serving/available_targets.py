"""The targets that may get new requests, as one process knows them.

The platform's live list lags, so it is corrected by reports on targets that
this process or its peers have contacted since.
"""

from collections.abc import Callable
from collections.abc import Iterable
import threading

import attrs

from ..events import Event
from ..model.target import Target
from ..policy.targets import target_reports
from ..policy.targets.target_reports import Backoff
from ..policy.targets.target_reports import TargetReport
from ..recorder import Record

REPORTS_PER_MESSAGE = 64
REPORT_SHARING_S = 60.0


@attrs.frozen
class _KnownReport:
    """A report on a target and when it was received."""

    report: TargetReport
    received_s: float


class AvailableTargets:
    """The live list of targets, corrected by later reports on them."""

    def __init__(
        self, record: Record, trigger_exchange: Callable[[], None]
    ) -> None:
        """Start without any targets.

        Args:
            record: records events.
            trigger_exchange: asks for an exchange with peers at once.
        """
        self._lock = threading.Lock()
        self._record = record
        self._trigger_exchange = trigger_exchange
        self._listed: dict[str, Target] = {}
        self._has_live_list = False
        self._has_peer_list = False
        self._reports: dict[str, _KnownReport] = {}
        self._backoffs: dict[str, Backoff] = {}
        self._available: dict[str, tuple[Target, ...]] = {}
        self._available_until_s = 0.0

    def apply_live_list(self, targets: Iterable[Target], now_s: float) -> None:
        """Replace the listed targets by those of the platform's live list.

        Reports that no longer apply to a listed target are dropped once they
        are old enough.
        """
        with self._lock:
            self._has_live_list = True
            self._listed = {target.name: target for target in targets}
            self._reports = {
                name: known
                for name, known in self._reports.items()
                if not target_reports.is_expired(
                    known.report, self._listed, now_s - known.received_s
                )
            }
            self._available_until_s = now_s

    def has_list(self) -> bool:
        """Return whether the platform's list was read since the start."""
        return self._has_live_list

    def known(self) -> bool:
        """Return whether a list was received, from the platform or a peer."""
        return self._has_live_list or self._has_peer_list

    def listed(self) -> tuple[Target, ...]:
        """Return the listed targets, sorted by name."""
        with self._lock:
            return tuple(self._listed[name] for name in sorted(self._listed))

    def add_from_peer(self, targets: Iterable[Target], now_s: float) -> None:
        """Add targets of a peer's list until the platform's own is read."""
        with self._lock:
            if self._has_live_list:
                return
            self._has_peer_list = True
            for target in targets:
                known = self._listed.get(target.name)
                if known is None or known.incarnation <= target.incarnation:
                    self._listed[target.name] = target
            self._available_until_s = now_s

    def live(self, service: str, now_s: float) -> tuple[Target, ...]:
        """Return the targets of a service that may get new requests."""
        with self._lock:
            if now_s >= self._available_until_s:
                self._update_available(now_s)
            return self._available.get(service, ())

    def mark_leaving(self, target: Target, now_s: float) -> None:
        """Record that a target refuses new requests because it stops."""
        report = TargetReport(
            target.name, target.incarnation, True, target.version
        )
        self._add_report(report, now_s)

    def update_incarnation(self, target: Target, now_s: float) -> None:
        """Record the incarnation and version that a target's answer names."""
        report = TargetReport(
            target.name, target.incarnation, False, target.version
        )
        self._add_report(report, now_s)

    def back_off(self, target: Target, now_s: float) -> None:
        """Stop using a target for a while after a failed connection."""
        backoff = Backoff(target.incarnation, now_s + target_reports.BACKOFF_S)
        with self._lock:
            self._backoffs[target.name] = backoff
            self._available_until_s = now_s
        self._record(
            Event.TARGET_BACKED_OFF,
            target=target.name,
            incarnation=target.incarnation,
            hold_s=target_reports.BACKOFF_S,
        )

    def merge(self, reports: Iterable[TargetReport], now_s: float) -> bool:
        """Merge reports of a peer; return whether any was new."""
        with self._lock:
            return any(
                [self._merge_report(report, now_s) for report in reports]
            )

    def reports(self, now_s: float) -> tuple[TargetReport, ...]:
        """Return the recent reports, for sending to peers, newest first."""
        with self._lock:
            recent = [
                known
                for known in self._reports.values()
                if now_s - known.received_s <= REPORT_SHARING_S
            ]
        recent.sort(key=lambda known: known.received_s, reverse=True)
        return tuple(known.report for known in recent[:REPORTS_PER_MESSAGE])

    def _add_report(self, report: TargetReport, now_s: float) -> None:
        with self._lock:
            changed = self._merge_report(report, now_s)
        if changed:
            self._trigger_exchange()

    def _merge_report(self, report: TargetReport, now_s: float) -> bool:
        known = self._reports.get(report.target)
        if known is None:
            if not self._adds_to_list(report):
                return False
            merged = report
        else:
            merged = target_reports.merge(known.report, report)
            if merged == known.report:
                return False
        self._reports[report.target] = _KnownReport(merged, now_s)
        self._available_until_s = now_s
        if merged.leaving:
            self._record(
                Event.TARGET_LEAVING,
                target=merged.target,
                incarnation=merged.incarnation,
            )
        return True

    def _adds_to_list(self, report: TargetReport) -> bool:
        target = self._listed.get(report.target)
        if report.leaving:
            return True
        return target is not None and target.incarnation < report.incarnation

    def _update_available(self, now_s: float) -> None:
        self._backoffs = {
            name: backoff
            for name, backoff in self._backoffs.items()
            if backoff.until_s > now_s
        }
        reports = {name: known.report for name, known in self._reports.items()}
        available: dict[str, list[Target]] = {}
        for target in target_reports.available_targets(
            self._listed.values(), reports, self._backoffs, now_s
        ):
            available.setdefault(target.service, []).append(target)
        self._available = {
            name: tuple(some) for name, some in available.items()
        }
        self._available_until_s = min(
            (backoff.until_s for backoff in self._backoffs.values()),
            default=float('inf'),
        )
