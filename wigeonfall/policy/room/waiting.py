"""How requests of one service wait for targets, are dispatched and refused.

Load patterns: a burst exceeds what all targets can run at once; callers of
streams give up after a few seconds without an event, and retry once after a
refusal. In order of arrival, all requests would be late as soon as there is a
queue; `order` says who goes first instead. A request that cannot begin within
its caller's patience is refused at once, with a delay after which there should
be a free slot. When peers wait for the same targets, each instance takes its
share of the free slots, after those needed by requests of peers that are ahead
in this order.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import copy
import heapq
import itertools
import random
from typing import TypeAlias

import attrs

from ..targets.kept_parts import HeldAtOnce
from ..targets.kept_parts import holds_nothing
from ..targets.kept_parts import KeptParts
from ..targets.load_balancer import LoadBalancer
from ..targets.moving_average import MovingAverage
from ..targets.target_choice import TimeBudget
from ..targets.target_stats import TargetEstimate
from ..targets.target_stats import TargetStats
from .best_times import BestTimes
from .best_times import mean_work
from .best_times import MeanWork
from .bookings import Bookings
from .customer_shares import CustomerShares
from .expected_room import ExpectedRoom
from .kind_shares import KindShares
from .order import class_of
from .order import CLASSES
from .order import Precedence
from .patience import RETRY_SHARE
from .peer_share import PeerShare
from .pending import PendingRequest
from .rank_shares import RankShares
from .terms import RoomTerms

MIN_RETRY_AFTER_S = 0.3
RETRY_SPREAD = 0.3  # of the delay, for callers that return at the latest
CLASSIFY_PERIOD_S = 0.01  # goals hardly come nearer within it
CLASSIFY_REQUEST_S = 50e-6  # for each waiting request, to bound the cost
CROWDED_SHARE = 0.1  # of the slots; calm days have fewer requests waiting
HOPELESS_FACTOR = 1.5  # error of an expected wait
MAX_PASSED_OVER = 200  # requests that fit no open target, in one pass

_Position: TypeAlias = tuple[int, bool, float, str]  # as of _position


class RequestQueue:
    """The waiting requests of one service at one instance.

    Args:
        balancer: load balancer over the targets.
        draw: returns random numbers from 0 to 1.
        kept: parts of prompts that targets hold.
        terms: returns the terms on which requests share scarce room.
    """

    def __init__(
        self,
        balancer: LoadBalancer,
        draw: Callable[[], float] = random.random,
        kept: KeptParts | None = None,
        terms: Callable[[], RoomTerms] = RoomTerms,
    ) -> None:
        self._balancer = balancer
        self._kept = kept or KeptParts()
        self._draw = draw
        self._terms = terms
        self._pending: dict[str, PendingRequest] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._share = PeerShare(draw)
        self._order: list[_Position] = []
        self._new: list[PendingRequest] = []
        self._ordered_s = float('-inf')
        self._shares = RankShares()
        self._kinds = KindShares()
        self._customers = CustomerShares()
        self._bookings = Bookings()
        self._precedence = Precedence()
        self._room = ExpectedRoom()
        self._work = MeanWork()
        self._mean_work_s = MovingAverage()

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def precedence(self) -> Precedence:
        """What changes the order by rank at present."""
        return self._precedence

    def trial_copy(self, now_s: float) -> 'RequestQueue':
        """Return a copy, with one of the balancer, to try a request on."""
        kept = HeldAtOnce(self._kept, self._balancer.all_stats(), now_s)
        shared = (
            *self._pending.values(),
            *self._balancer.frozen_values(),
            *(value for value in vars(self).values() if callable(value)),
        )
        memo: dict[int, object] = {id(value): value for value in shared}
        memo[id(self._kept)] = kept
        return copy.deepcopy(self, memo)

    @property
    def balancer(self) -> LoadBalancer:
        """The load balancer over the targets."""
        return self._balancer

    @property
    def kept(self) -> KeptParts:
        """Parts of prompts that targets hold."""
        return self._kept

    def ahead_of(self, pending_id: str) -> tuple[int, float]:
        """Return how many requests wait before one, and its expected wait."""
        ahead = [
            self._work.of(self._pending[name].size)
            for *_, name in itertools.takewhile(
                lambda position: position[-1] != pending_id, self._order
            )
            if name in self._pending
        ]
        return len(ahead), self._room.wait_s(sum(ahead))

    def counts_by_class(self) -> dict[int, int]:
        """Return the number of waiting requests by priority class."""
        counts: dict[int, int] = {}
        for number, _, _, name in self._order:
            if name in self._pending:
                counts[number] = counts.get(number, 0) + 1
        for pending in self._new:
            if pending.id in self._pending:
                number = pending.rank * CLASSES
                counts[number] = counts.get(number, 0) + 1
        return counts

    def add(self, pending: PendingRequest) -> None:
        """Add a request to the queue."""
        work_s = self._work.of(pending.size)
        returned = self._bookings.recognise(pending)
        if returned is not None:
            pending = returned
            self._shares.count_returned(pending.rank)
            self._kinds.count_returned(pending.kind, work_s)
        else:
            self._kinds.count_asked(pending.kind, work_s)
        self._pending[pending.id] = pending
        self._mean_work_s.observe(work_s, pending.arrived_s)
        self._new.append(pending)
        heapq.heappush(self._deadlines, (pending.queue_deadline_s, pending.id))

    def remove(self, pending_id: str) -> None:
        """Remove a request; does nothing if it is unknown."""
        self._pending.pop(pending_id, None)

    def slot_freed(self) -> None:
        """Count a slot that a request of this instance has freed."""
        self._share.freed_slots += 1

    def pop_expired(self, now_s: float) -> list[PendingRequest]:
        """Remove and return the requests past their queue deadline."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, name = heapq.heappop(self._deadlines)
            pending = self._pending.pop(name, None)
            if pending is not None:
                self._shares.count_lost(pending.rank)
                work_s = self._work.of(pending.size)
                self._kinds.count_lost(pending.kind, work_s)
                expired.append(pending)
        return expired

    def retry_after_s(
        self, pending: PendingRequest, now_s: float
    ) -> float | None:
        """Return when the caller of a refused request should return.

        Args:
            pending: the request.
            now_s: present time on the monotonic clock.

        Returns:
            The delay, or None if the caller has too little time.
        """
        most_s = RETRY_SHARE * (pending.deadline_s - now_s)
        if most_s < MIN_RETRY_AFTER_S:
            return None
        work_s = self._work.of(pending.size)
        share = self._terms().booked
        delay_s = self._room.book(work_s, most_s, now_s, share)
        has_room = delay_s < most_s
        if has_room:
            delay_s = max(MIN_RETRY_AFTER_S, delay_s)
        else:
            # Callers that all come at the end must not come together.
            delay_s = most_s * (1.0 - RETRY_SPREAD * self._draw())
        self._bookings.add(pending, now_s + delay_s, has_room)
        return delay_s

    def dispatch(
        self,
        names: Iterable[str],
        peers_waiting: Mapping[int, int],
        now_s: float,
    ) -> Iterator[tuple[PendingRequest, TargetStats]]:
        """Remove and yield the requests that get a target now.

        The load balancer counts each of them before it is yielded.

        Args:
            names: targets that may get requests.
            peers_waiting: waiting requests of all peers by priority class.
            now_s: present time on the monotonic clock.
        """
        estimates = self._balancer.estimates(names, now_s)
        self._update_order(estimates, peers_waiting, now_s)
        if self._pending:
            self._share.draw(
                self.counts_by_class(), estimates, peers_waiting, now_s
            )
        slots = sum(e.stats.limit for e in estimates)
        crowded = len(self._pending) > CROWDED_SHARE * slots
        open_targets = {
            e.stats.target.name: e
            for e in estimates
            if e.is_open(now_s, crowded)
        }
        passed_over = 0
        for number, _, _, pending_id in self._order:
            if not open_targets or passed_over > MAX_PASSED_OVER:
                break
            pending = self._pending.get(pending_id)
            if pending is None:
                continue
            if not self._share.allows(number, peers_waiting):
                return
            kept = self._kept.kept_tokens(pending.parts, open_targets, now_s)
            chosen = self._choose(
                pending, open_targets, estimates, crowded, kept, now_s
            )
            if chosen is None:
                passed_over += 1
                continue
            del self._pending[pending_id]
            self._count_served(pending)
            self._share.count_dispatch(peers_waiting)
            name = chosen.stats.target.name
            size = pending.size.without(kept.get(name, 0.0))
            self._balancer.request_sent(name, size)
            self._kept.sent(chosen.stats, pending.parts, size, now_s)
            chosen.add_request(size)
            if not chosen.is_open(now_s, crowded):
                del open_targets[name]
            if name in kept:
                pending = attrs.evolve(pending, kept_tokens=kept[name])
            yield pending, chosen.stats
        self._share.freed_slots = 0

    def _count_served(self, pending: PendingRequest) -> None:
        work_s = self._work.of(pending.size)
        self._shares.count_served(pending.rank)
        self._kinds.count_served(pending.kind, work_s)
        self._customers.count_served(pending.rank, pending.customer, work_s)

    def _choose(
        self,
        pending: PendingRequest,
        open_targets: Mapping[str, TargetEstimate],
        estimates: list[TargetEstimate],
        crowded: bool,
        kept: Mapping[str, float],
        now_s: float,
    ) -> TargetEstimate | None:
        budget = TimeBudget(
            pending.goal_s - now_s,
            pending.patience_s - now_s,
            pending.deadline_s - now_s,
        )
        return self._balancer.choose(
            [e for n, e in open_targets.items() if pending.is_eligible(n)],
            pending.size,
            budget,
            now_s,
            busy=(
                e
                for e in estimates
                if pending.is_eligible(e.stats.target.name)
            ),
            crowded=crowded,
            short=self._is_short(pending),
            kept_tokens=(
                (lambda name: kept.get(name, 0.0)) if kept else holds_nothing
            ),
        )

    def _is_short(self, pending: PendingRequest) -> bool:
        return self._work.of(pending.size) < self._mean_work_s.value

    def _update_order(
        self,
        estimates: list[TargetEstimate],
        peers_waiting: Mapping[int, int],
        now_s: float,
    ) -> None:
        """Update the order of the waiting requests.

        All are classified anew after a period that grows with their number;
        new ones are inserted at once.
        """
        best = BestTimes(estimates) if self._pending else None
        period_s = max(
            CLASSIFY_PERIOD_S, CLASSIFY_REQUEST_S * len(self._pending)
        )
        if now_s - self._ordered_s < period_s:
            for pending in self._new:
                if pending.id in self._pending:
                    bisect.insort(
                        self._order, self._position(pending, best, now_s)
                    )
            self._new.clear()
            return
        self._ordered_s = now_s
        self._new.clear()
        self._update_precedence(now_s)
        self._order = sorted(
            self._position(pending, best, now_s)
            for pending in self._pending.values()
        )
        self._work = mean_work(estimates)
        self._estimate_room(estimates, peers_waiting)
        self._expire_hopeless(now_s)

    def _position(
        self, pending: PendingRequest, best: BestTimes | None, now_s: float
    ) -> '_Position':
        is_large = self._kinds.is_large(
            pending.kind, self._work.of(pending.size)
        )
        number = class_of(pending, best, self._precedence, now_s, is_large)
        over = (pending.rank, pending.customer) in self._precedence.over
        return number, over, pending.arrived_s, pending.id

    def _update_precedence(self, now_s: float) -> None:
        terms = self._terms()
        holders = {(p.rank, p.customer) for p in self._pending.values()}
        self._precedence = Precedence(
            self._shares.held_back(self._late(now_s), now_s),
            self._kinds.below_floor(terms.floor, now_s),
            self._kinds.large_below_floor(terms.floor),
            self._customers.over(holders, terms.rate_of, now_s),
        )

    def _late(self, now_s: float) -> dict[int, int]:
        """Return the waiting requests past their goal, by rank."""
        late: dict[int, int] = {}
        for pending in self._pending.values():
            if pending.goal_s < now_s:
                late[pending.rank] = late.get(pending.rank, 0) + 1
        return late

    def _estimate_room(
        self,
        estimates: list[TargetEstimate],
        peers_waiting: Mapping[int, int],
    ) -> None:
        own = len(self._pending)
        share = own / max(1, own + sum(peers_waiting.values()))
        queued_s = sum(
            self._work.of(pending.size) for pending in self._pending.values()
        )
        mean_s = queued_s / max(1, own)
        self._room.slots = share * sum(
            e.concurrency(mean_s) for e in estimates
        )
        self._room.queued_s = queued_s

    def _expire_hopeless(self, now_s: float) -> None:
        """Let requests expire that others keep from beginning in time."""
        ahead_s = 0.0
        for _, _, _, pending_id in self._order:
            pending = self._pending[pending_id]
            left_s = pending.queue_deadline_s - now_s
            if self._room.wait_s(ahead_s) > HOPELESS_FACTOR * left_s:
                heapq.heappush(self._deadlines, (now_s, pending_id))
            else:
                ahead_s += self._work.of(pending.size)
