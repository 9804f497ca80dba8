"""How requests of one service wait, are placed and are refused.

Load patterns: a burst asks for more than all targets run at once; callers
leave a stream that shows nothing for a few seconds, and come back once after a
refusal. Served in order of arrival, all would be late once there is a queue.
So requests wait in order of urgency, and within it those that can still meet
their goal go first, then those that came back, then the others. Short requests
that can meet their goal hold up nobody for long: they go before all others.
Who waited as long as its caller's patience allows is refused in time, with a
delay after which there should be room. When peers wait for the same targets,
each instance takes its part of what is free, after what is before its own
requests in this order.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import random

import attrs

from .load_balancer import BestTimes
from .load_balancer import LoadBalancer
from .load_balancer import RequestSize
from .load_balancer import TargetEstimate
from .load_balancer import TargetStats
from .load_balancer import TimeBudget

PATIENCE_LEAST_S = 2.0  # published patience of callers of streams
PATIENCE_GOALS = 4.0  # in times to the first event
PATIENCE_PAUSES = 8.0  # in pauses between events
ANSWER_MARGIN_S = 0.25  # for the way to the target and back
WAIT_SHARE = 0.6  # of patience; the target needs the rest
LAST_WAIT_SHARE = 0.85  # of patience, for callers that will not come back
SHORT_S = 0.3  # from sending to the end of a short answer
WAY_S = 0.02  # to the target and back to the caller
PLAIN_WAIT_SHARE = 0.6  # of the time left, for plain services
RETRY_SHARE = 1 / 3  # callers honour a delay up to this share of their time
RETRY_LEAST_S = 0.3
CLASSIFY_S = 0.01  # in which goals come no nearer
LOTTERY_S = 0.05  # period in which peers hear of each other


SHORT_ADVANCE = 10_000  # more than the classes of all ranks
_CLASSES = 3
_IN_TIME, _BACK, _LATE = range(_CLASSES)


@attrs.frozen
class PendingRequest:
    """A request that wants a target.

    Attributes:
        id: identifier of the request.
        rank: urgency; 0 goes first.
        is_retry: whether its caller was refused before.
        arrived_s: arrival, on the monotonic clock.
        goal_s: time by which its first event is due.
        patience_s: time at which its caller leaves without one.
        deadline_s: time by which the answer must be whole.
        queue_deadline_s: time at which it is refused if it still waits.
        size: what it asks of a target.
        is_eligible: whether a target may get it.
    """

    id: str
    rank: int
    is_retry: bool
    arrived_s: float
    goal_s: float
    patience_s: float
    deadline_s: float
    queue_deadline_s: float
    size: RequestSize = RequestSize()
    is_eligible: Callable[[str], bool] = lambda _name: True


def patience_s(goal_s: float, pause_s: float) -> float:
    """Return how long callers of streams wait for a first event.

    Args:
        goal_s: time in which the first event is due.
        pause_s: longest pause between events.
    """
    return max(
        PATIENCE_LEAST_S, PATIENCE_GOALS * goal_s, PATIENCE_PAUSES * pause_s
    )


def wait_limit_s(
    streaming: bool,
    goal_s: float,
    pause_s: float,
    left_s: float,
    is_retry: bool = False,
) -> float:
    """Return how long a request may wait for a target.

    Args:
        streaming: whether its caller waits for a first event.
        goal_s: time to the whole answer or the first event.
        pause_s: longest pause between events.
        left_s: time until the deadline of the request.
        is_retry: whether its caller was refused before.
    """
    if not streaming:
        return max(0.0, PLAIN_WAIT_SHARE * left_s - ANSWER_MARGIN_S)
    share = LAST_WAIT_SHARE if is_retry else WAIT_SHARE
    most_s = share * patience_s(goal_s, pause_s)
    return max(0.0, min(most_s, left_s - ANSWER_MARGIN_S))


def retry_after_s(
    left_s: float, pressure: float, spread: float
) -> float | None:
    """Return the delay after which a refused caller should come back.

    Args:
        left_s: time until the caller's deadline.
        pressure: waiting requests for each place of the service.
        spread: number from 0 to 1 that differs between callers.

    Returns:
        The delay, or None if the caller has too little time.
    """
    most_s = RETRY_SHARE * left_s
    if most_s < RETRY_LEAST_S:
        return None
    share = min(1.0, 0.4 + pressure)
    return max(RETRY_LEAST_S, most_s * share * (0.6 + 0.4 * spread))


class RequestQueue:
    """The waiting requests of one service at one instance.

    Args:
        balancer: load balancer over the targets.
        draw: returns random numbers from 0 to 1.
    """

    def __init__(
        self, balancer: LoadBalancer, draw: Callable[[], float] = random.random
    ) -> None:
        self._balancer = balancer
        self._draw = draw
        self._pending: dict[str, PendingRequest] = {}
        self._own_places = 0
        self._lottery_s = 0.0
        self._won = 0
        self._classes: dict[str, int] = {}
        self._classified_s = float('-inf')

    def __len__(self) -> int:
        return len(self._pending)

    def counts_by_class(self) -> dict[int, int]:
        """Return the number of waiting requests by class."""
        counts: dict[int, int] = {}
        for name, pending in self._pending.items():
            number = self._classes.get(name, pending.rank * _CLASSES)
            counts[number] = counts.get(number, 0) + 1
        return counts

    def add(self, pending: PendingRequest) -> None:
        """Let a request wait."""
        self._pending[pending.id] = pending

    def remove(self, pending_id: str) -> None:
        """Forget a request; unknown ones are fine."""
        self._pending.pop(pending_id, None)

    def slot_freed(self) -> None:
        """Note that a place of this instance became free."""
        self._own_places += 1

    def pop_expired(self, now_s: float) -> list[PendingRequest]:
        """Take out the requests that waited as long as they may."""
        late = [
            w for w in self._pending.values() if w.queue_deadline_s <= now_s
        ]
        for pending in late:
            del self._pending[pending.id]
        return late

    def dispatch(
        self,
        names: Iterable[str],
        peers_waiting: Mapping[int, int],
        now_s: float,
    ) -> Iterator[tuple[PendingRequest, TargetStats]]:
        """Yield the requests that get a target now; they wait no more.

        The room counts them at once.

        Args:
            names: targets that may get new work.
            peers_waiting: waiting requests of all peers by class.
            now_s: present time on the monotonic clock.
        """
        estimates = self._balancer.estimates(names, now_s)
        self._classify(estimates, now_s)
        self._hold_lottery(estimates, peers_waiting, now_s)
        for pending in sorted(self._pending.values(), key=self._order):
            if not any(estimate.free_slots >= 1 for estimate in estimates):
                break
            if not self._may_take(pending, peers_waiting):
                return
            suitable = [
                o
                for o in estimates
                if pending.is_eligible(o.stats.target.name)
            ]
            budget = TimeBudget(
                pending.goal_s - now_s,
                pending.patience_s - now_s,
                pending.deadline_s - now_s,
            )
            chosen = self._balancer.choose(
                suitable, pending.size, budget, now_s
            )
            if chosen is None:
                continue
            del self._pending[pending.id]
            self._count_place(peers_waiting)
            self._balancer.request_sent(chosen.stats.target.name, pending.size)
            chosen.add_request(pending.size)
            yield pending, chosen.stats
        self._own_places = 0

    def _classify(self, estimates: list[TargetEstimate], now_s: float) -> None:
        """Bring the classes of what waits up to date."""
        known = self._classes
        if now_s - self._classified_s >= CLASSIFY_S:
            self._classified_s = now_s
            known = {}
        best = BestTimes(estimates) if estimates else None
        self._classes = {
            name: known[name]
            if name in known
            else _class_of(pending, best, now_s)
            for name, pending in self._pending.items()
        }

    def _order(self, pending: PendingRequest) -> tuple[int, float]:
        return self._classes[pending.id], pending.arrived_s

    def _may_take(
        self, pending: PendingRequest, peers_waiting: Mapping[int, int]
    ) -> bool:
        own = self._classes[pending.id]
        rivals = sum(n for c, n in peers_waiting.items() if c <= own)
        if not rivals:
            return True
        before = any(n for c, n in peers_waiting.items() if c < own)
        return self._won > 0 or (self._own_places > 0 and not before)

    def _count_place(self, peers_waiting: Mapping[int, int]) -> None:
        if not any(peers_waiting.values()):
            return
        if self._own_places:
            self._own_places -= 1
        elif self._won:
            self._won -= 1

    def _hold_lottery(
        self,
        estimates: list[TargetEstimate],
        peers_waiting: Mapping[int, int],
        now_s: float,
    ) -> None:
        if now_s - self._lottery_s < LOTTERY_S or not self._pending:
            return
        self._lottery_s = now_s
        first = min(self._classes.values())
        mine = sum(number == first for number in self._classes.values())
        above = sum(n for c, n in peers_waiting.items() if c < first)
        same = peers_waiting.get(first, 0)
        free = sum(max(0, int(o.free_slots)) for o in estimates) - above
        part = max(0.0, free * mine / max(1, mine + same))
        self._won = int(part) + (self._draw() < part - int(part))


def _class_of(
    pending: PendingRequest, best: BestTimes | None, now_s: float
) -> int:
    """Return the priority class of a request; smaller ones go first."""
    number = pending.rank * _CLASSES
    if best is None:
        return number
    first_s = best.first_s(pending.size)
    if now_s + first_s + WAY_S > pending.goal_s:
        return number + (_BACK if pending.is_retry else _LATE)
    if first_s + best.answer_s(pending.size) <= SHORT_S:
        return number + _IN_TIME - SHORT_ADVANCE
    return number + _IN_TIME
