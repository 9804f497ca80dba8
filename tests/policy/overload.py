"""Replays loads on the queue of one service, without processes or sockets.

Each target runs a fixed number of requests and begins each as it gets it.
Callers leave at their deadline and return once when they are told to.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import random

import attrs

from wigeonfall.model.target import Target
from wigeonfall.policy.room import patience
from wigeonfall.policy.room.waiting import PendingRequest
from wigeonfall.policy.room.waiting import RequestQueue
from wigeonfall.policy.targets.load_balancer import LoadBalancer
from wigeonfall.policy.targets.target_rates import TargetRates
from wigeonfall.policy.targets.target_stats import RequestSize

STEP_S = 0.01
FIRST_EVENT_S = 0.05
TOKEN_S = 0.01
LATE_WORTH = 0.3  # of an answer that misses its goal


@attrs.frozen
class Kind:
    """A kind of request.

    Attributes:
        name: name of the kind.
        rank: priority; 0 goes first.
        per_s: arrivals in a second at the usual load.
        answer_tokens: tokens of an answer.
        goal_s: goal for the time to the first event.
        deadline_s: time that its callers have.
        worth: worth of an answer that meets its goal.
    """

    name: str
    rank: int
    per_s: float
    answer_tokens: int
    goal_s: float
    deadline_s: float
    worth: float


# Long, middling and short streams, as the published fleets mix them.
KINDS = (
    Kind('report', 0, 11.0, 125, 0.6, 10.0, 6.1),
    Kind('answer', 1, 5.5, 95, 0.25, 10.0, 2.6),
    Kind('check', 2, 20.6, 10, 0.3, 2.5, 0.22),
)


@attrs.frozen
class Phase:
    """A span of a load.

    Attributes:
        until_s: its end.
        load: factor on the arrivals of all kinds.
        kinds: further factors by name of the kind.
        targets: share of the targets that run.
        limited: share of the targets that name a limit.
        limit_per_s: requests a second that each of them accepts.
    """

    until_s: float
    load: float = 1.0
    kinds: dict[str, float] = attrs.field(factory=dict)
    targets: float = 1.0
    limited: float = 0.0
    limit_per_s: float = 0.0


@attrs.define
class Count:
    """What became of the callers of one kind.

    Attributes:
        asked: callers.
        served: those that got an answer.
        in_time: those whose first event met the goal.
        returned: those that came back after a refusal.
        returned_served: those of them that got an answer.
        held_s: time that callers without any answer waited for a refusal.
    """

    asked: int = 0
    served: int = 0
    in_time: int = 0
    returned: int = 0
    returned_served: int = 0
    held_s: float = 0.0

    @property
    def share(self) -> float:
        """Share of the callers that got an answer."""
        return self.served / max(1, self.asked)


@attrs.define
class _Caller:
    kind: Kind
    came_s: float
    returned: bool = False


@attrs.define
class Replay:
    """The result of a load.

    Attributes:
        counts: what became of the callers, by kind.
        worth: worth of the answers, as a share of the most possible.
    """

    counts: dict[str, Count]
    worth: float = 0.0

    @property
    def returned_share(self) -> float:
        """Share of the callers that came back which got an answer."""
        returned = sum(c.returned for c in self.counts.values())
        served = sum(c.returned_served for c in self.counts.values())
        return served / max(1, returned)

    @property
    def held_s(self) -> float:
        """Time that callers without an answer waited, for each caller."""
        asked = sum(count.asked for count in self.counts.values())
        return sum(c.held_s for c in self.counts.values()) / max(1, asked)

    @property
    def share(self) -> float:
        """Share of all callers that got an answer."""
        asked = sum(count.asked for count in self.counts.values())
        return sum(c.served for c in self.counts.values()) / max(1, asked)


class _Service:
    """The queue of a service, its targets and its callers."""

    def __init__(self, targets: int, slots: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.balancer = LoadBalancer('dc')
        self.balancer.rates = TargetRates(random.Random(seed).random)
        self._targets = [
            Target(f't{n}', 's', 'dc', f'10.0.0.{n}:1', slots=slots)
            for n in range(targets)
        ]
        self.names: tuple[str, ...] = ()
        self.set_running(1.0)
        for name in self.names:
            self.balancer.record_first_event(name, 0, FIRST_EVENT_S, 0.0)
            size = RequestSize(0, 100)
            self.balancer.record_answer(name, size, 100 * TOKEN_S, 0.0)
        self.queue = RequestQueue(self.balancer, self.random.random)
        self._callers: dict[str, _Caller] = {}
        self._running: list[tuple[float, int, str]] = []
        self._returns: list[tuple[float, int, _Caller]] = []
        self._numbers = itertools.count()
        self.counts: dict[str, Count] = collections.defaultdict(Count)
        self.earned = self.owed = 0.0

    def set_running(self, share: float) -> None:
        """Let only a share of the targets run."""
        count = round(share * len(self._targets))
        self.names = tuple(t.name for t in self._targets[:count])
        self.balancer.set_targets(self._targets)

    def limit(self, share: float, per_s: float, now_s: float) -> None:
        """Let a share of the targets name a limit."""
        for name in self.names[: round(share * len(self.names))]:
            self.balancer.record_rate_limit(name, per_s, now_s)

    def arrive(self, kind: Kind, now_s: float) -> None:
        """Add a new caller."""
        self.counts[kind.name].asked += 1
        self.owed += kind.worth
        self._ask(_Caller(kind, now_s), now_s)

    def step(self, now_s: float) -> None:
        """End, return, place and refuse what is due."""
        while self._running and self._running[0][0] <= now_s:
            _, _, name = heapq.heappop(self._running)
            self.balancer.request_ended(name)
            self.queue.slot_freed()
        while self._returns and self._returns[0][0] <= now_s:
            _, _, caller = heapq.heappop(self._returns)
            self.counts[caller.kind.name].returned += 1
            self._ask(caller, now_s)
        for pending, stats in self.queue.dispatch(self.names, {}, now_s):
            self._serve(pending, stats.target.name, now_s)
        for pending, delay_s in self._refused(now_s):
            self._refuse(pending, delay_s, now_s)

    def _refused(
        self, now_s: float
    ) -> list[tuple[PendingRequest, float | None]]:
        return [
            (pending, self.queue.retry_after_s(pending, now_s))
            for pending in self.queue.pop_expired(now_s)
        ]

    def _ask(self, caller: _Caller, now_s: float) -> None:
        kind = caller.kind
        name = str(next(self._numbers))
        deadline_s = caller.came_s + kind.deadline_s
        wait_s = patience.wait_limit_s(
            True, kind.goal_s, 0.2, deadline_s - now_s, caller.returned
        )
        patience_s = patience.patience_s(kind.goal_s, 0.2)
        self._callers[name] = caller
        self.queue.add(
            PendingRequest(
                id=name,
                rank=kind.rank,
                is_retry=caller.returned,
                arrived_s=now_s,
                goal_s=now_s + kind.goal_s,
                patience_s=now_s + patience_s,
                deadline_s=deadline_s,
                queue_deadline_s=now_s + wait_s,
                size=RequestSize(0, kind.answer_tokens),
            )
        )

    def _serve(self, pending: PendingRequest, name: str, now_s: float) -> None:
        self.balancer.mark_prompt_read(name, pending.size)
        end_s = now_s + FIRST_EVENT_S + pending.size.answer_tokens * TOKEN_S
        heapq.heappush(self._running, (end_s, next(self._numbers), name))
        caller = self._callers.pop(pending.id)
        if end_s > pending.deadline_s:
            return
        count = self.counts[caller.kind.name]
        count.served += 1
        count.returned_served += caller.returned
        first_s = now_s + FIRST_EVENT_S
        if first_s <= caller.came_s + caller.kind.goal_s:
            count.in_time += 1
            self.earned += caller.kind.worth
        else:
            self.earned += LATE_WORTH * caller.kind.worth

    def _refuse(
        self, pending: PendingRequest, delay_s: float | None, now_s: float
    ) -> None:
        caller = self._callers.pop(pending.id)
        self.counts[caller.kind.name].held_s += now_s - pending.arrived_s
        if delay_s is None or caller.returned:
            return
        caller.returned = True
        heapq.heappush(
            self._returns, (now_s + delay_s, next(self._numbers), caller)
        )


def replay(
    phases: tuple[Phase, ...],
    kinds: tuple[Kind, ...] = KINDS,
    targets: int = 10,
    slots: int = 4,
    seed: int = 1,
    each_step: Callable[[RequestQueue, float], None] | None = None,
) -> Replay:
    """Play a load and return what became of its callers.

    Args:
        phases: spans of the load, in order.
        kinds: kinds of requests.
        targets: number of targets.
        slots: requests that each of them runs at once.
        seed: seed of the arrivals.
        each_step: called with the queue and the time after each step.
    """
    service = _Service(targets, slots, seed)
    due = {kind.name: service.random.expovariate(1.0) for kind in kinds}
    now_s = 0.0
    for phase in phases:
        service.set_running(phase.targets)
        service.limit(phase.limited, phase.limit_per_s, now_s)
        while now_s < phase.until_s:
            now_s += STEP_S
            for kind in kinds:
                factor = phase.load * phase.kinds.get(kind.name, 1.0)
                due[kind.name] -= factor * kind.per_s * STEP_S
                while due[kind.name] <= 0:
                    service.arrive(kind, now_s)
                    due[kind.name] += service.random.expovariate(1.0)
            service.step(now_s)
            if each_step is not None:
                each_step(service.queue, now_s)
    for _ in range(int(15.0 / STEP_S)):  # until the last callers have left
        now_s += STEP_S
        service.step(now_s)
    return Replay(dict(service.counts), service.earned / service.owed)
