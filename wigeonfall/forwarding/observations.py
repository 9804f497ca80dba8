"""What an instance sees of targets: learned here, and told the arbiter."""

from collections.abc import Callable

from ..events import Event
from ..policy.load_balancer import LoadBalancer
from ..policy.load_balancer import RequestSize
from ..recorder import Record
from .arbiter_messages import Report

GIVE_BACK = 'give_back'


class Observations:
    """Learns from targets, and keeps reports until they are fetched.

    Args:
        balancer: load balancer that learns from them.
        record: records events.
    """

    def __init__(self, balancer: LoadBalancer, record: Record) -> None:
        self._balancer = balancer
        self._record = record
        self._reports: list[Report] = []
        self._reporting = False

    def set_reporting(self, reporting: bool) -> None:
        """Keep reports from now on, or drop them."""
        self._reporting = reporting
        if not reporting:
            self._reports.clear()

    def take_reports(self) -> tuple[Report, ...]:
        """Take the reports since the last time."""
        reports = tuple(self._reports)
        self._reports.clear()
        return reports

    def report_refund(self, customer: str, tokens: float) -> None:
        """Report tokens of a request that did not run."""
        self._report(GIVE_BACK, customer, tokens)

    def record_first_event(
        self, name: str, tokens: float, first_s: float, now_s: float
    ) -> None:
        """Learn from a first event."""
        self._balancer.record_first_event(name, tokens, first_s, now_s)
        self._report('first', name, round(tokens), round(first_s, 4))

    def record_answer(
        self, name: str, size: RequestSize, answer_s: float, now_s: float
    ) -> None:
        """Learn from a whole answer."""
        self._balancer.record_answer(name, size, answer_s, now_s)
        self._report('answer', name, size.answer_tokens, round(answer_s, 4))

    def paused(
        self, name: str, pause_s: float, goal_s: float, now_s: float
    ) -> None:
        """Learn from the longest pause of a stream."""
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

    def broken(self, name: str, now_s: float) -> None:
        """Learn that a connection broke or was refused."""
        pause_s = self._balancer.record_broken_connection(name, now_s)
        self._record(Event.TARGET_HELD_BACK, target=name, pause_s=pause_s)
        self._report('broken', name)

    def failed(self, name: str) -> None:
        """Learn that a request failed."""
        self._balancer.record_failure(name)
        self._report('failed', name)

    def _report(self, kind: str, name: str, *values: float) -> None:
        if self._reporting:
            self._reports.append(Report(kind, name, values))


def apply_report(
    report: Report,
    balancer: LoadBalancer,
    refund_tokens: Callable[[str, float], None],
    now_s: float,
) -> None:
    """Learn from what another instance saw.

    Raises:
        ValueError: the report has a kind or values that nobody sends.
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
