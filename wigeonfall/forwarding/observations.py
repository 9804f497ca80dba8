"""Feeds observations of targets to the load balancer and the arbiter."""

from collections.abc import Callable

from ..events import Event
from ..policy.targets.load_balancer import LoadBalancer
from ..policy.targets.target_stats import RequestSize
from ..recorder import Record
from .arbiter_messages import Report

REFUND = 'give_back'


class Observations:
    """Applies observations locally and queues reports for the arbiter.

    Args:
        balancer: load balancer of this instance.
        record: records events.
    """

    def __init__(self, balancer: LoadBalancer, record: Record) -> None:
        self._balancer = balancer
        self._record = record
        self._reports: list[Report] = []
        self._reporting = False

    def set_reporting(self, reporting: bool) -> None:
        """Start or stop queueing reports; stopping drops those queued."""
        self._reporting = reporting
        if not reporting:
            self._reports.clear()

    def take_reports(self) -> tuple[Report, ...]:
        """Return the queued reports and clear the queue."""
        reports = tuple(self._reports)
        self._reports.clear()
        return reports

    def report_refund(self, customer: str, tokens: float) -> None:
        """Report the refund of tokens of a request that did not run."""
        self._report(REFUND, customer, tokens)

    def record_first_event(
        self, name: str, tokens: float, first_s: float, now_s: float
    ) -> None:
        """Record the time to a first event.

        Args:
            name: name of the target.
            tokens: prompt tokens that were processed until then.
            first_s: time to the first event.
            now_s: present time on the monotonic clock.
        """
        self._balancer.record_first_event(name, tokens, first_s, now_s)
        self._report('first', name, round(tokens), round(first_s, 4))

    def record_answer(
        self, name: str, size: RequestSize, answer_s: float, now_s: float
    ) -> None:
        """Record the time from the first event to the end of an answer."""
        self._balancer.record_answer(name, size, answer_s, now_s)
        self._report('answer', name, size.answer_tokens, round(answer_s, 4))

    def record_pause(
        self, name: str, pause_s: float, goal_s: float, now_s: float
    ) -> None:
        """Record the longest pause between events of a stream."""
        lowered = self._balancer.record_pause(name, pause_s, goal_s, now_s)
        if lowered is not None:
            self._record(
                Event.TARGET_LIMIT_LOWERED,
                target=name,
                limit=lowered,
                pause_ms=round(pause_s * 1000),
                goal_ms=round(goal_s * 1000),
            )
        self._report('pause', name, round(pause_s, 4), goal_s)

    def record_rate_limit(
        self, name: str, per_s: float | None, now_s: float
    ) -> None:
        """Record the request rate that an answer names, None for no limit."""
        if self._balancer.record_rate_limit(name, per_s, now_s):
            record_rate_limit(self._record, name, per_s)

    def record_leaving(self, name: str, now_s: float) -> None:
        """Record an answer whose target says that it leaves."""
        if self._balancer.record_leaving(name, now_s):
            self._record(Event.TARGET_LEAVING, target=name, told_by='answer')

    def record_requested_pause(
        self, name: str, pause_s: float, now_s: float
    ) -> None:
        """Record that a target wants no requests of this instance for now."""
        if self._balancer.record_requested_pause(name, pause_s, now_s):
            self._record(
                Event.TARGET_PAUSED, target=name, pause_s=round(pause_s, 3)
            )

    def record_broken_connection(self, name: str, now_s: float) -> None:
        """Record a connection that broke or was refused."""
        pause_s = self._balancer.record_broken_connection(name, now_s)
        self._record(Event.TARGET_BACKED_OFF, target=name, pause_s=pause_s)
        self._report('broken', name)

    def record_failure(self, name: str) -> None:
        """Record a failed request."""
        self._balancer.record_failure(name)
        self._report('failed', name)

    def _report(self, kind: str, name: str, *values: float) -> None:
        if self._reporting:
            self._reports.append(Report(kind, name, values))


def record_rate_limit(record: Record, name: str, per_s: float | None) -> None:
    """Record a limit that began or changed, or None for one that ended."""
    if per_s is None:
        record(Event.TARGET_RATE_UNLIMITED, target=name)
    else:
        record(Event.TARGET_RATE_LIMITED, target=name, per_s=per_s)


def apply_report(
    report: Report,
    balancer: LoadBalancer,
    refund_tokens: Callable[[str, float], None],
    now_s: float,
) -> None:
    """Apply a report of another instance.

    Raises:
        ValueError: the kind or the number of values is unknown.
    """
    match report.kind, report.values:
        case 'first', (tokens, first_s):
            balancer.record_first_event(report.name, tokens, first_s, now_s)
        case 'answer', (tokens, answer_s):
            size = RequestSize(answer_tokens=tokens)
            balancer.record_answer(report.name, size, answer_s, now_s)
        case 'pause', (pause_s, goal_s):
            balancer.record_pause(report.name, pause_s, goal_s, now_s)
        case 'broken', ():
            balancer.record_broken_connection(report.name, now_s)
        case 'failed', ():
            balancer.record_failure(report.name)
        case 'give_back', (tokens,):
            refund_tokens(report.name, tokens)
        case _:
            raise ValueError(f'unknown report: {report}')
