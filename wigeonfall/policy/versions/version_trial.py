"""Moves a service to a new version by a trial, judged on all instances.

Load pattern: a new version fails or is several times slower than the old one,
at once, later or only under load. It gets a small share of the requests for
most of its time, then all of them; the move is final shortly before the time
has passed. A version that is found bad gets no more requests. One whose
answers look slow keeps its share until more of them decide, or the time has
passed. Where requests last long, they move earlier, and the move is final
earlier.

Where there are many instances, most hear a few hubs alone and see little of
the evidence, so hubs pass on what all instances have counted.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

import xxhash

from . import move_time
from . import version_failures
from . import version_pace
from .move_time import ExposureBound
from .move_time import TRIAL_SHARE
from .trial import Order
from .trial import State
from .trial import Trial
from .version_evidence import Evidence
from .version_failures import Answers
from .version_failures import Comparison
from .version_failures import FailureTest
from .version_failures import MIN_BAD_ANSWERS
from .version_failures import Parts
from .version_pace import Times

MIN_ANSWERS = 12  # needed for a final move
BAD_FACTOR = 2.5  # times the old version's share of bad answers
BAD_EXCESS = 0.08  # added to it
MIN_SLOW_S = 0.1  # shorter times do not count as slow
SLOW_FACTOR = 4.0  # times the slowest old target
MAX_PARTS = 48  # whose answers are counted, so that messages stay short
_HASH_RANGE = 2**64
_MOVING = 'moving'  # counted by each instance that moves all requests
_OLD_PREFIX = 'before '  # of versions before that of an order
_TIMES_PREFIX = 'times '  # of the number of answers of a route with a time
_LOG_PREFIX = 'times-log '  # of the sum of the logarithms of these times


class Trials:
    """The trials of all services, as one instance knows them.

    Args:
        bound: returns the bound on the exposure to a bad version.
    """

    def __init__(
        self, bound: Callable[[], ExposureBound] = ExposureBound
    ) -> None:
        self.evidence = Evidence()
        self._bound = bound
        self._trials: dict[str, Trial] = {}

    def set_orders(self, orders: Iterable[Order], now_s: float) -> None:
        """Set the present orders and drop the trials of all others."""
        present = {order.service: order for order in orders}
        for service in tuple(self._trials):
            if service not in present:
                del self._trials[service]
        for service, order in present.items():
            trial = self._trials.get(service)
            if trial is None or trial.order.version != order.version:
                trial = Trial(
                    order, now_s, FailureTest(order.duration_s, now_s)
                )
                self._trials[service] = trial
            trial.order = order
            if order.state is not State.RUNNING:
                trial.verdict = order.state
        self.evidence.keep_only(
            [
                f'{service}/{prefix}{order.version}/'
                for service, order in present.items()
                for prefix in ('', _OLD_PREFIX)
            ]
        )

    def allows(self, service: str, version: str, request_id: str) -> bool:
        """Return whether targets of a version may get a request."""
        trial = self._trials.get(service)
        if trial is None:
            return True
        new = version == trial.order.version
        if trial.verdict is State.ROLLED_BACK:
            return not new
        if trial.verdict is State.COMPLETED or trial.moving:
            return new
        digest = xxhash.xxh64_intdigest(request_id.encode())
        return new == (digest < TRIAL_SHARE * _HASH_RANGE)

    def add_evidence(
        self,
        service: str,
        version: str,
        ok: bool,
        first_s: float,
        slowest_old_s: float,
        parts: Collection[str] = (),
        lasted_s: float = 0.0,
    ) -> None:
        """Count an answer while a trial runs.

        Args:
            service: name of the service.
            version: version of the target that answered.
            ok: whether the request succeeded.
            first_s: time to the first byte of its answer.
            slowest_old_s: time to a first event without a prompt at the
                slowest target of other versions, 0 if unknown.
            parts: parts of the requests that the answer belongs to.
            lasted_s: time to its end.
        """
        trial = self._trials.get(service)
        if trial is None or trial.verdict is not State.RUNNING:
            return
        new = version == trial.order.version
        if ok and not new:
            trial.old_durations.add(lasted_s)
        reference_s = max(slowest_old_s, MIN_SLOW_S)
        slow = (
            new and slowest_old_s > 0 and first_s > SLOW_FACTOR * reference_s
        )
        outcome = 'good' if ok and not slow else 'bad'
        name = _evidence_name(trial.order, version)
        self.evidence.count(service, name, outcome)
        for part in parts:
            if part in trial.parts or len(trial.parts) < MAX_PARTS:
                trial.parts.add(part)
                self.evidence.count(service, name, f'{outcome} {part}')

    def add_time(
        self, service: str, version: str, route: str, time_s: float
    ) -> None:
        """Count the time between events of an answer, or of a whole answer.

        Args:
            service: name of the service.
            version: version of the target that answers.
            route: name of the route.
            time_s: the time.
        """
        trial = self._trials.get(service)
        if trial is None or trial.verdict is not State.RUNNING:
            return
        name = _evidence_name(trial.order, version)
        units = version_pace.log_units(time_s)
        self.evidence.count(service, name, _TIMES_PREFIX + route)
        self.evidence.count(service, name, _LOG_PREFIX + route, units)

    def times(self, order: Order) -> dict[str, tuple[Times, Times]]:
        """Return the times of the new and old version by route.

        Those of all routes together are named ''.
        """
        old_name = _OLD_PREFIX + order.version
        routes = {
            name.removeprefix(_TIMES_PREFIX)
            for name in self.evidence.names(order.service, order.version)
            if name.startswith(_TIMES_PREFIX)
        }
        times = {
            route: (
                self._times(order.service, order.version, route),
                self._times(order.service, old_name, route),
            )
            for route in routes
        }
        times[''] = (
            _sum(new for new, _ in times.values()),
            _sum(old for _, old in times.values()),
        )
        return times

    def summary(self, order: Order) -> dict[str, float | str]:
        """Return the evidence on a new version, for logs."""
        good, bad = self._counts(order.service, order.version)
        old_good, old_bad = self._counts(
            order.service, _OLD_PREFIX + order.version
        )
        new, old = self.times(order)['']
        trial = self._trials.get(order.service)
        finding = trial.finding if trial else None
        return {
            **(finding.fields() if finding else {}),
            'good': good,
            'bad': bad,
            'old_good': old_good,
            'old_bad': old_bad,
            'times': new.count,
            'slowdown': round(version_pace.slowdown(new, old), 2),
        }

    def is_moving(self, service: str) -> bool:
        """Return whether all requests go to the new version."""
        trial = self._trials.get(service)
        return trial is not None and trial.moving

    def parts(self, order: Order) -> Parts:
        """Return the answers of both versions by part of the requests."""
        names = self.evidence.names(order.service, order.version)
        parts = {version_failures.ALL} | {
            name.removeprefix(prefix)
            for prefix in ('good ', 'bad ')
            for name in names
            if name.startswith(prefix)
        }
        old_name = _OLD_PREFIX + order.version
        return {
            part: Comparison(
                self._answers(order.service, order.version, part),
                self._answers(order.service, old_name, part),
            )
            for part in sorted(parts)
        }

    def _answers(self, service: str, version: str, part: str) -> Answers:
        suffix = f' {part}' if part else ''
        good, bad = (
            self.evidence.total(service, version, outcome + suffix)
            for outcome in ('good', 'bad')
        )
        return Answers(bad, good + bad)

    def _times(self, service: str, version: str, route: str) -> Times:
        total = self.evidence.total
        return Times(
            total(service, version, _TIMES_PREFIX + route),
            total(service, version, _LOG_PREFIX + route),
        )

    def decide(
        self, service: str, old_busy: bool, now_s: float
    ) -> State | None:
        """Return a verdict that has to be stored, or None.

        Args:
            service: name of the service.
            old_busy: whether old targets still have requests.
            now_s: present time on the monotonic clock.
        """
        trial = self._trials.get(service)
        if trial is None or trial.order.state is not State.RUNNING:
            return None
        if trial.verdict is State.RUNNING:
            self._evaluate(trial, old_busy, now_s)
        if trial.verdict is State.RUNNING:
            return None
        return trial.verdict

    def running(self) -> tuple[Order, ...]:
        """Return the orders whose verdict is not stored yet."""
        return tuple(
            trial.order
            for trial in self._trials.values()
            if trial.order.state is State.RUNNING
        )

    def _evaluate(self, trial: Trial, old_busy: bool, now_s: float) -> None:
        order = trial.order
        good, bad = self._counts(order.service, order.version)
        times = self.times(order)
        parts = self.parts(order)
        trial.finding = trial.failures.find(parts, now_s)
        if (
            trial.finding
            or self._is_bad(order, good, bad)
            or any(
                version_pace.is_slower(new, old, trial.moving)
                for new, old in times.values()
            )
        ):
            trial.verdict = State.ROLLED_BACK
            return
        enough = good + bad >= MIN_ANSWERS
        failing = version_failures.is_doubtful(parts)
        doubtful = failing or version_pace.is_doubtful(*times[''])
        if (
            not trial.moving
            and (enough or self._may_move_unproven(trial, good, now_s))
            and not doubtful
            and self._may_move(trial, now_s)
        ):
            trial.moving = True
            trial.moved_early = self._is_early(trial, now_s)
            self.evidence.count(order.service, order.version, _MOVING)
        if self._is_due(trial, parts, old_busy, now_s):
            completed = trial.moving and enough and not failing
            trial.verdict = State.COMPLETED if completed else State.ROLLED_BACK

    def _is_due(
        self, trial: Trial, parts: Parts, old_busy: bool, now_s: float
    ) -> bool:
        """Return whether a verdict is due, if none was found before."""
        duration_s = trial.order.duration_s
        elapsed_s = now_s - trial.seen_s
        if not trial.moved_early:
            busy = old_busy and trial.moving
            return elapsed_s >= move_time.verdict_after_s(duration_s, busy)
        final = not old_busy and version_failures.is_proven(parts)
        share = (
            move_time.EARLY_FINAL_SHARE
            if final
            else move_time.EARLY_VERDICT_SHARE
        )
        return elapsed_s >= share * duration_s

    def _may_move(self, trial: Trial, now_s: float) -> bool:
        """Return whether all requests may go to the new version."""
        duration_s = trial.order.duration_s
        move_after_s = move_time.move_after_s(
            duration_s,
            self._allowed_after_s(trial, now_s),
            trial.old_durations,
        )
        # An instance that started lately has seen the order later than others.
        return now_s - trial.seen_s >= move_after_s or self._others_move(
            trial.order
        )

    def _may_move_unproven(
        self, trial: Trial, good: int, now_s: float
    ) -> bool:
        """Return whether requests may move before there are many answers.

        Where requests are few, waiting for answers would leave old targets no
        time to finish theirs. A version that turns out to be bad keeps within
        the bound on exposure then, and is final only once enough have come.
        """
        elapsed_s = now_s - trial.seen_s
        return good > 0 and elapsed_s >= self._allowed_after_s(trial, now_s)

    def _is_early(self, trial: Trial, now_s: float) -> bool:
        """Return whether to judge a move that begins now before the end.

        A later one leaves old targets just the time until then.
        """
        latest_s = min(
            self._allowed_after_s(trial, now_s),
            move_time.EARLY_FINAL_SHARE * trial.order.duration_s,
        )
        return now_s - trial.seen_s < latest_s

    def _allowed_after_s(self, trial: Trial, now_s: float) -> float:
        order = trial.order
        answers = sum(self._counts(order.service, order.version)) + sum(
            self._counts(order.service, _OLD_PREFIX + order.version)
        )
        return move_time.allowed_after_s(
            order.duration_s,
            answers / max(0.001, now_s - trial.seen_s),
            self._bound(),
        )

    def _others_move(self, order: Order) -> bool:
        return self.evidence.total(order.service, order.version, _MOVING) > 0

    def _is_bad(self, order: Order, good: int, bad: int) -> bool:
        if bad < MIN_BAD_ANSWERS:
            return False
        old_good, old_bad = self._counts(
            order.service, _OLD_PREFIX + order.version
        )
        old_share = old_bad / max(1, old_good + old_bad)
        return bad / (good + bad) > BAD_FACTOR * old_share + BAD_EXCESS

    def _counts(self, service: str, version: str) -> tuple[int, int]:
        total = self.evidence.total
        return (
            total(service, version, 'good'),
            total(service, version, 'bad'),
        )


def _evidence_name(order: Order, version: str) -> str:
    """Return the name under which the answers of a version are counted."""
    if version == order.version:
        return version
    return _OLD_PREFIX + order.version


def _sum(times: Iterable[Times]) -> Times:
    all_times = tuple(times)
    return Times(
        sum(t.count for t in all_times), sum(t.log_units for t in all_times)
    )
