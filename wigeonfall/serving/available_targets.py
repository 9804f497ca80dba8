"""The targets that may get new work, as one process knows them."""

from collections.abc import Callable
from collections.abc import Iterable
import threading

import attrs

from ..events import Event
from ..model.target import Target
from ..policy import target_reports
from ..policy.target_reports import Backoff
from ..policy.target_reports import TargetReport
from ..recorder import Record

TARGETS_PER_MESSAGE = 64
TARGET_NEWS_S = 60.0


@attrs.frozen
class _TargetNews:
    """News of a target and when it was learned."""

    report: TargetReport
    learned_s: float


class AvailableTargets:
    """The live list of targets, corrected by what was met since."""

    def __init__(
        self, record: Record, trigger_exchange: Callable[[], None]
    ) -> None:
        """Start knowing no target.

        Args:
            record: records events.
            trigger_exchange: asks for an exchange with peers at once.
        """
        self._lock = threading.Lock()
        self._record = record
        self._trigger_exchange = trigger_exchange
        self._listed: dict[str, Target] = {}
        self._has_list = False
        self._has_peer_list = False
        self._news: dict[str, _TargetNews] = {}
        self._backoffs: dict[str, Backoff] = {}
        self._usable: dict[str, tuple[Target, ...]] = {}
        self._usable_until_s = 0.0

    def apply_live_list(self, targets: Iterable[Target], now_s: float) -> None:
        """Take in the targets of the platform's list, which lags."""
        with self._lock:
            self._has_list = True
            self._listed = {target.name: target for target in targets}
            self._news = {
                name: news
                for name, news in self._news.items()
                if not target_reports.is_expired(
                    news.report, self._listed, now_s - news.learned_s
                )
            }
            self._usable_until_s = now_s

    def has_list(self) -> bool:
        """Return whether the platform's list was read since the start."""
        return self._has_list

    def known(self) -> bool:
        """Return whether targets are known from the platform or a peer."""
        return self._has_list or self._has_peer_list

    def listed(self) -> tuple[Target, ...]:
        """Return the targets of the list, in the order of their names."""
        with self._lock:
            return tuple(self._listed[name] for name in sorted(self._listed))

    def add_from_peer(self, targets: Iterable[Target], now_s: float) -> None:
        """Take in targets of a peer's list, unless there is an own one."""
        with self._lock:
            if self._has_list:
                return
            self._has_peer_list = True
            for target in targets:
                known = self._listed.get(target.name)
                if known is None or known.incarnation <= target.incarnation:
                    self._listed[target.name] = target
            self._usable_until_s = now_s

    def live(self, service: str, now_s: float) -> tuple[Target, ...]:
        """Return the targets of a service that may get new work."""
        with self._lock:
            if now_s >= self._usable_until_s:
                self._find_usable(now_s)
            return self._usable.get(service, ())

    def mark_leaving(self, target: Target, now_s: float) -> None:
        """Take note that a target said it takes no new work."""
        report = TargetReport(
            target.name, target.incarnation, True, target.version
        )
        self._tell(report, now_s)

    def update_incarnation(self, target: Target, now_s: float) -> None:
        """Take note of the incarnation and version in a target's answer."""
        report = TargetReport(
            target.name, target.incarnation, False, target.version
        )
        self._tell(report, now_s)

    def hold_back(self, target: Target, now_s: float) -> None:
        """Hold a target back that refused or reset a connection."""
        backoff = Backoff(target.incarnation, now_s + target_reports.BACKOFF_S)
        with self._lock:
            self._backoffs[target.name] = backoff
            self._usable_until_s = now_s
        self._record(
            Event.TARGET_HELD_BACK,
            target=target.name,
            incarnation=target.incarnation,
            hold_s=target_reports.BACKOFF_S,
        )

    def merge(self, reports: Iterable[TargetReport], now_s: float) -> bool:
        """Take in what a peer told and return whether it was news."""
        with self._lock:
            return any([self._take(report, now_s) for report in reports])

    def reports(self, now_s: float) -> tuple[TargetReport, ...]:
        """Return the news that peers may not have yet, newest first."""
        with self._lock:
            recent = [
                news
                for news in self._news.values()
                if now_s - news.learned_s <= TARGET_NEWS_S
            ]
        recent.sort(key=lambda news: news.learned_s, reverse=True)
        return tuple(n.report for n in recent[:TARGETS_PER_MESSAGE])

    def _tell(self, report: TargetReport, now_s: float) -> None:
        with self._lock:
            news = self._take(report, now_s)
        if news:
            self._trigger_exchange()

    def _take(self, report: TargetReport, now_s: float) -> bool:
        known = self._news.get(report.target)
        if known is None:
            if not self._tells_more_than_list(report):
                return False
            merged = report
        else:
            merged = target_reports.merge(known.report, report)
            if merged == known.report:
                return False
        self._news[report.target] = _TargetNews(merged, now_s)
        self._usable_until_s = now_s
        if merged.leaving:
            self._record(
                Event.TARGET_LEAVING,
                target=merged.target,
                incarnation=merged.incarnation,
            )
        return True

    def _tells_more_than_list(self, report: TargetReport) -> bool:
        target = self._listed.get(report.target)
        if report.leaving:
            return True
        return target is not None and target.incarnation < report.incarnation

    def _find_usable(self, now_s: float) -> None:
        self._backoffs = {
            name: backoff
            for name, backoff in self._backoffs.items()
            if backoff.until_s > now_s
        }
        reports = {name: news.report for name, news in self._news.items()}
        usable: dict[str, list[Target]] = {}
        for target in target_reports.available_targets(
            self._listed.values(), reports, self._backoffs, now_s
        ):
            usable.setdefault(target.service, []).append(target)
        self._usable = {name: tuple(some) for name, some in usable.items()}
        self._usable_until_s = min(
            (backoff.until_s for backoff in self._backoffs.values()),
            default=float('inf'),
        )
