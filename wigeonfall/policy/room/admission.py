"""Admission control and scheduling of the requests to one pool of targets.

The work outstanding at each target is bounded. Other requests are queued,
ordered by tier, then by weighted fair queueing between customers, then by
deadline. A request for which no target has room reserves capacity at the
least loaded one, and after a short wait lower-tier grants there are revoked
for it. A request is shed as overload only when no lower-tier request is
queued or running anywhere in the pool.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import heapq
from typing import TypeAlias

from ...model.target import Target
from ..targets.placement import Placement
from ..targets.target_account import TargetAccount
from .fair_queue import FairQueue
from .grants import AnswerReport
from .grants import Decision
from .grants import Granted
from .grants import HeldGrant
from .grants import PendingRequest
from .grants import PoolLimits
from .grants import Revoked
from .grants import Shed
from .grants import ShedReason
from .grants import TargetLoad

PREEMPTION_WAIT_S = 0.25
PREEMPTION_WAIT_FRACTION = 0.1
REVOCATION_RETRY_S = 1.0
MAX_SCANNED_REQUESTS = 256

Choose: TypeAlias = Callable[
    [PendingRequest, Sequence[TargetLoad], float], str
]


def preemption_time_s(pending: PendingRequest) -> float:
    """Return the time from which a request may preempt lower tiers.

    This is PREEMPTION_WAIT_S after its arrival, or earlier if its deadline is
    close.
    """
    wait_s = PREEMPTION_WAIT_FRACTION * (
        pending.deadline_s - pending.arrived_s
    )
    return pending.arrived_s + min(PREEMPTION_WAIT_S, wait_s)


def make_held_grant(
    pending: PendingRequest, target: str, now_s: float
) -> HeldGrant:
    """Return the grant of a target to a pending request."""
    return HeldGrant(
        pending.id,
        pending.holder,
        target,
        pending.rank,
        pending.cost_tokens,
        pending.revocable,
        now_s,
        pending.deadline_s,
    )


class Pool:
    """The pending requests and the grants of one pool.

    Args:
        limits: bounds of the pool.
        choose: returns the name of the target for a request, out of those
            with room; None chooses by the estimated cost at each.
    """

    def __init__(
        self, limits: PoolLimits, choose: Choose | None = None
    ) -> None:
        self._limits = limits
        self._placement = Placement()
        self._choose = choose or self._placement.choose
        self._targets: dict[str, TargetAccount] = {}
        self._held: dict[str, HeldGrant] = {}
        self._queues: dict[int, FairQueue] = {}
        self._deadlines: list[tuple[float, str, int]] = []
        self._running: dict[int, int] = {}
        self._paused = False

    @property
    def limits(self) -> PoolLimits:
        """Bounds of the pool."""
        return self._limits

    @property
    def queued_requests(self) -> int:
        """Number of pending requests."""
        return sum(len(queue) for queue in self._queues.values())

    def held(self) -> tuple[HeldGrant, ...]:
        """Return the grants that are not released."""
        return tuple(self._held.values())

    def configure(self, limits: PoolLimits, targets: Iterable[Target]) -> None:
        """Set the limits and the targets that take new work."""
        self._limits = limits
        versions = {target.name: target.version for target in targets}
        self._placement.configure(versions)
        for name in versions.keys() - self._targets.keys():
            self._targets[name] = TargetAccount(name)
        for name, account in tuple(self._targets.items()):
            account.live = name in versions
            account.version = versions.get(name, '')
            if not account.live and not account.outstanding.requests:
                del self._targets[name]

    def set_paused(self, paused: bool) -> None:
        """Suspend or resume grants and shedding; deadlines still expire."""
        self._paused = paused

    def enqueue(self, pending: PendingRequest) -> None:
        """Queue a request, unless it is queued or granted already."""
        if pending.id in self._held:
            return
        queue = self._queues.setdefault(pending.rank, FairQueue())
        queue.push(pending)
        heapq.heappush(
            self._deadlines, (pending.deadline_s, pending.id, pending.rank)
        )

    def cancel(self, pending_id: str) -> None:
        """Drop a pending request or its grant; ignore unknown identifiers."""
        for queue in self._queues.values():
            queue.remove(pending_id)
        self.release(pending_id)

    def release(self, held_id: str) -> None:
        """Release a grant; ignore unknown identifiers."""
        self._placement.released(held_id)
        held = self._held.pop(held_id, None)
        if held is None:
            return
        self._running[held.rank] -= 1
        account = self._targets[held.target]
        account.remove(held_id)
        if not account.live and not account.outstanding.requests:
            del self._targets[held.target]

    def add_grant(self, held: HeldGrant) -> None:
        """Count a grant made by another arbiter or before a restart."""
        if held.id in self._held:
            return
        account = self._targets.get(held.target)
        if account is None:
            account = TargetAccount(held.target)
            account.live = False
            self._targets[held.target] = account
        account.add(held, self._limits)
        self._held[held.id] = held
        self._running[held.rank] = self._running.get(held.rank, 0) + 1

    def record_grant(
        self, pending: PendingRequest, target: str, now_s: float
    ) -> None:
        """Count a grant made now and track its answer."""
        if pending.id not in self._held:
            self.add_grant(make_held_grant(pending, target, now_s))
            self._placement.granted(pending, target, now_s)

    def report(self, report: AnswerReport, now_s: float) -> None:
        """Update the estimates of a target from a reported answer."""
        self._placement.reported(report, now_s)

    def drop_pending(self, holder: str) -> None:
        """Drop the pending requests of a holder."""
        for queue in self._queues.values():
            for pending_id in queue.ids_of_holder(holder):
                queue.remove(pending_id)

    def drop_grants(self, holder: str) -> None:
        """Drop the grants of a holder."""
        for held in self.held():
            if held.holder == holder:
                self.release(held.id)

    def drop_expired_grants(self, holder: str, now_s: float) -> None:
        """Drop the grants of a holder whose deadlines have passed."""
        for held in self.held():
            if held.holder == holder and held.deadline_s <= now_s:
                self.release(held.id)

    def decide(self, now_s: float) -> tuple[Decision, ...]:
        """Make all decisions that are due, apply them and return them.

        Args:
            now_s: present time, on the clock of the other times passed in.
        """
        decisions: list[Decision] = list(self._shed_expired(now_s))
        if self._paused:
            return tuple(decisions)
        decisions.extend(self._repeat_revocations(now_s))
        decisions.extend(self._schedule(now_s))
        decisions.extend(self._shed_overflow())
        return tuple(decisions)

    def _shed_expired(self, now_s: float) -> Iterator[Decision]:
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, pending_id, rank = heapq.heappop(self._deadlines)
            pending = self._queues[rank].remove(pending_id)
            if pending is not None:
                yield Shed(pending.id, pending.holder, ShedReason.DEADLINE)

    def _repeat_revocations(self, now_s: float) -> Iterator[Decision]:
        for account in self._targets.values():
            for held in account.revoked_before(now_s - REVOCATION_RETRY_S):
                account.revoke(held.id, now_s)
                yield Revoked(held.id, held.holder)

    def _schedule(self, now_s: float) -> Iterator[Decision]:
        live = [a for a in self._targets.values() if a.live]
        for account in live:
            account.reserved.requests = 0
            account.reserved.tokens = 0
        over_limit = self.queued_requests > self._limits.queued_requests
        for rank in sorted(self._queues):
            for scanned, pending in enumerate(self._queues[rank].scan()):
                if scanned >= MAX_SCANNED_REQUESTS or self._is_exhausted(
                    rank, live
                ):
                    break
                eligible = [a for a in live if a.is_eligible(pending)]
                if not eligible:
                    self._queues[rank].remove(pending.id)
                    yield Shed(
                        pending.id, pending.holder, ShedReason.NO_TARGET
                    )
                    continue
                with_room = [
                    a for a in eligible if a.has_room(pending, self._limits)
                ]
                if with_room:
                    yield self._grant(pending, with_room, now_s)
                    continue
                may_preempt = over_limit or now_s >= preemption_time_s(pending)
                yield from self._reserve(pending, eligible, may_preempt, now_s)

    def _is_exhausted(self, rank: int, live: list[TargetAccount]) -> bool:
        """Return whether no target has room or preemptible work for a tier."""
        if any(a.accepts_any(self._limits) for a in live):
            return False
        return bool(live) and not any(a.is_preemptible_by(rank) for a in live)

    def _grant(
        self,
        pending: PendingRequest,
        with_room: list[TargetAccount],
        now_s: float,
    ) -> Granted:
        loads = [
            TargetLoad(a.name, a.outstanding.requests, a.outstanding.tokens)
            for a in with_room
        ]
        target = self._choose(pending, loads, now_s)
        self._queues[pending.rank].serve(pending)
        self.record_grant(pending, target, now_s)
        return Granted(pending.id, pending.holder, target)

    def _reserve(
        self,
        pending: PendingRequest,
        eligible: list[TargetAccount],
        may_preempt: bool,
        now_s: float,
    ) -> Iterator[Decision]:
        account = min(
            eligible,
            key=lambda a: (a.fill_ratio(pending, self._limits), a.name),
        )
        if may_preempt:
            for held in account.victims(pending, self._limits):
                account.revoke(held.id, now_s)
                yield Revoked(held.id, held.holder)
        account.reserve(pending, self._limits)

    def _shed_overflow(self) -> Iterator[Decision]:
        excess = self.queued_requests - self._limits.queued_requests
        for rank in sorted(self._queues, reverse=True):
            queue = self._queues[rank]
            while excess > 0 and not self._has_lower_tier_running(rank):
                pending = queue.shed_candidate()
                if pending is None:
                    break
                queue.remove(pending.id)
                excess -= 1
                yield Shed(pending.id, pending.holder, ShedReason.OVERLOADED)

    def _has_lower_tier_running(self, rank: int) -> bool:
        return any(n for r, n in self._running.items() if r > rank)
