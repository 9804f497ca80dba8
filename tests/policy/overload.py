"""Replays loads on the queue of one service, without processes or sockets.

Each target runs a fixed number of requests, reads one prompt after the other
and, where speeds are given, is faster or slower than others. Callers leave
when their patience or time ends and return once when they are told to.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import random

import attrs

from wigeonfall.model.prompt import PromptPart
from wigeonfall.model.target import Target
from wigeonfall.policy.room import patience
from wigeonfall.policy.room.pending import PendingRequest
from wigeonfall.policy.room.terms import RoomTerms
from wigeonfall.policy.room.waiting import RequestQueue
from wigeonfall.policy.targets.load_balancer import LoadBalancer
from wigeonfall.policy.targets.target_rates import TargetRates
from wigeonfall.policy.targets.target_stats import RequestSize

STEP_S = 0.01
FIRST_EVENT_S = 0.05
TOKEN_S = 0.01
PROMPT_TOKEN_S = 10e-6
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
        prompt_tokens: tokens of a prompt.
        spread: spread of the sizes, as the sigma of a lognormal factor.
    """

    name: str
    rank: int
    per_s: float
    answer_tokens: int
    goal_s: float
    deadline_s: float
    worth: float
    prompt_tokens: int = 0
    spread: float = 0.0


# Long, middling and short streams, as the published fleets mix them.
KINDS = (
    Kind('report', 0, 11.0, 125, 0.6, 10.0, 6.1),
    Kind('answer', 1, 5.5, 95, 0.25, 10.0, 2.6),
    Kind('check', 2, 20.6, 10, 0.3, 2.5, 0.22),
)


# A long kind with a long goal; one in the middle has the most arrivals.
TUTOR_KINDS = (
    Kind('essay', 0, 17.0, 385, 0.845, 15.85, 7.6, 6600),
    Kind('step', 1, 34.7, 294, 0.42, 12.6, 1.6, 630),
    Kind('hint', 2, 24.3, 21, 0.42, 3.15, 0.35, 1800),
)


@attrs.frozen
class Pool:
    """The targets of a service.

    Attributes:
        targets: number of targets.
        slots: requests that each of them runs at once.
        speeds: their speeds, by turns.
        token_s: time per answer token at speed 1.
    """

    targets: int = 10
    slots: int = 4
    speeds: tuple[float, ...] = (1.0,)
    token_s: float = TOKEN_S


TUTOR_POOL = Pool(10, 8, (0.55, 1.0, 2.8), 0.0045)


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
        customers: share of the arrivals by customer.
        at_once: share of the callers that return at once, whatever they are
            told.
        leaving: share of the callers that leave after a quarter of their
            patience.
        hot_key: share of the callers that send the same prompt.
    """

    until_s: float
    load: float = 1.0
    kinds: dict[str, float] = attrs.field(factory=dict)
    targets: float = 1.0
    limited: float = 0.0
    limit_per_s: float = 0.0
    customers: dict[str, float] = attrs.field(factory=lambda: {'': 1.0})
    at_once: float = 0.0
    leaving: float = 0.0
    hot_key: float = 0.0


@attrs.define
class Count:
    """What became of the callers of one kind.

    Attributes:
        asked: callers.
        served: those that got an answer.
        in_time: those whose first event met the goal.
        refused: tries that were refused.
        returned: those that came back after a refusal.
        returned_served: those of them that got an answer.
        held_s: time that callers without any answer waited for a refusal.
    """

    asked: int = 0
    served: int = 0
    in_time: int = 0
    refused: int = 0
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
    customer: str
    number: int
    at_once: bool = False
    leaves: bool = False
    returned: bool = False
    size: float = 1.0
    served: bool = False


@attrs.define
class _Run:
    pending: PendingRequest
    target: str
    caller: _Caller
    first_s: float
    read_s: float


@attrs.define
class Replay:
    """The result of a load.

    Attributes:
        counts: what became of the callers, by kind.
        by_customer: the same by customer.
        callers: all callers.
        refused_with_room: refusals while none waited and a target was open
            that would have begun before the caller leaves.
        worth: worth of the answers, as a share of the most possible.
    """

    counts: dict[str, Count]
    by_customer: dict[str, Count]
    callers: list['_Caller']
    refused_with_room: int
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
    def in_time(self) -> float:
        """Share of all callers whose first event met the goal."""
        asked = sum(count.asked for count in self.counts.values())
        return sum(c.in_time for c in self.counts.values()) / max(1, asked)

    @property
    def share(self) -> float:
        """Share of all callers that got an answer."""
        asked = sum(count.asked for count in self.counts.values())
        return sum(c.served for c in self.counts.values()) / max(1, asked)


class _Service:
    """The queue of a service, its targets and its callers."""

    def __init__(
        self, pool: Pool, seed: int, terms: Callable[[], RoomTerms]
    ) -> None:
        self.random = random.Random(seed)
        self.balancer = LoadBalancer('dc')
        self.balancer.rates = TargetRates(random.Random(seed).random)
        self._pool = pool
        self._targets = [
            Target(f't{n}', 's', 'dc', f'10.0.0.{n}:1', slots=pool.slots)
            for n in range(pool.targets)
        ]
        speeds = itertools.cycle(pool.speeds)
        self._speeds = {t.name: next(speeds) for t in self._targets}
        self._reads_until_s = dict.fromkeys(self._speeds, 0.0)
        self._read_s = dict.fromkeys(self._speeds, 0.0)
        self.names: tuple[str, ...] = ()
        self.set_running(1.0)
        size = RequestSize(0, 100)
        for name, speed in self._speeds.items():
            first_s, token_s = FIRST_EVENT_S / speed, pool.token_s / speed
            self.balancer.record_first_event(name, 0, first_s, 0.0)
            self.balancer.record_answer(name, size, 100 * token_s, 0.0)
        self.queue = RequestQueue(
            self.balancer, self.random.random, terms=terms
        )
        self._callers: dict[str, _Caller] = {}
        self._running: list[tuple[float, int, _Run]] = []
        self._reading: list[tuple[float, int, _Run]] = []
        self._returns: list[tuple[float, int, _Caller]] = []
        self._numbers = itertools.count()
        self._callers_count = itertools.count()
        self.phase = Phase(0.0)
        self.counts: dict[str, Count] = collections.defaultdict(Count)
        self.by_customer: dict[str, Count] = collections.defaultdict(Count)
        self.callers: list[_Caller] = []
        self.refused_with_room = 0
        self.earned = self.owed = 0.0

    def begin(self, phase: Phase, now_s: float) -> None:
        """Change what runs, limits its rate and calls."""
        self.phase = phase
        self.set_running(phase.targets)
        for name in self.names[: round(phase.limited * len(self.names))]:
            self.balancer.record_rate_limit(name, phase.limit_per_s, now_s)

    def set_running(self, share: float) -> None:
        """Let only a share of the targets run."""
        count = round(share * len(self._targets))
        self.names = tuple(t.name for t in self._targets[:count])
        self.balancer.set_targets(self._targets)

    def arrive(self, kind: Kind, now_s: float) -> None:
        """Add a new caller."""
        customers = self.phase.customers
        customer = next(iter(customers))
        if len(customers) > 1:
            (customer,) = self.random.choices(
                tuple(customers), tuple(customers.values())
            )
        caller = _Caller(kind, now_s, customer, next(self._callers_count))
        caller.at_once = self._draw(self.phase.at_once)
        caller.leaves = self._draw(self.phase.leaving)
        if self._draw(self.phase.hot_key):
            caller.number = 0
        if kind.spread:
            caller.size = self.random.lognormvariate(0.0, kind.spread)
        self.callers.append(caller)
        self.owed += kind.worth
        for count in self._counts(caller):
            count.asked += 1
        self._ask(caller, now_s)

    def step(self, now_s: float) -> None:
        """End, return, place and refuse what is due."""
        self._advance(now_s)
        while self._returns and self._returns[0][0] <= now_s:
            _, _, caller = heapq.heappop(self._returns)
            for count in self._counts(caller):
                count.returned += 1
            self._ask(caller, now_s)
        for pending, stats in self.queue.dispatch(self.names, {}, now_s):
            self._run(pending, stats.target.name, now_s)
        for pending in self.queue.pop_expired(now_s):
            delay_s = self.queue.retry_after_s(pending, now_s)
            self._refuse(pending, delay_s, now_s)

    def _draw(self, share: float) -> bool:
        return share > 0 and self.random.random() < share

    def _counts(self, caller: _Caller) -> tuple[Count, Count]:
        return (
            self.counts[caller.kind.name],
            self.by_customer[caller.customer],
        )

    def _advance(self, now_s: float) -> None:
        while self._reading and self._reading[0][0] <= now_s:
            _, _, run = heapq.heappop(self._reading)
            size = run.pending.size
            self.balancer.mark_prompt_read(run.target, size)
        while self._running and self._running[0][0] <= now_s:
            end_s, number, run = heapq.heappop(self._running)
            # Streams pause while the target reads the prompts of others.
            paused_s = self._read_s[run.target] - run.read_s
            if paused_s > 1e-9:
                run.read_s = self._read_s[run.target]
                heapq.heappush(self._running, (end_s + paused_s, number, run))
                continue
            self.balancer.request_ended(run.target)
            self.queue.slot_freed()
            if run.first_s <= run.pending.patience_s:
                self._served(run, end_s)

    def _ask(self, caller: _Caller, now_s: float) -> None:
        kind = caller.kind
        name = str(next(self._numbers))
        deadline_s = caller.came_s + kind.deadline_s
        wait_s = patience.wait_limit_s(
            True, kind.goal_s, 0.2, deadline_s - now_s, caller.returned
        )
        patience_s = patience.patience_s(kind.goal_s, 0.2)
        if caller.leaves:
            patience_s /= 4
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
                size=RequestSize(
                    round(caller.size * kind.prompt_tokens),
                    round(caller.size * kind.answer_tokens),
                ),
                kind=kind.name,
                customer=caller.customer,
                parts=(PromptPart(f'{kind.name}-{caller.number}', 0),),
            )
        )

    def _run(self, pending: PendingRequest, name: str, now_s: float) -> None:
        caller = self._callers.pop(pending.id)
        speed = self._speeds[name]
        read_s = PROMPT_TOKEN_S * pending.size.prompt_tokens / speed
        begin_s = max(now_s, self._reads_until_s[name])
        self._reads_until_s[name] = begin_s + read_s
        self._read_s[name] += read_s
        first_s = begin_s + read_s + FIRST_EVENT_S / speed
        token_s = self._pool.token_s / speed
        end_s = first_s + pending.size.answer_tokens * token_s
        run = _Run(pending, name, caller, first_s, self._read_s[name])
        number = next(self._numbers)
        heapq.heappush(self._reading, (first_s, number, run))
        heapq.heappush(self._running, (end_s, number, run))

    def _served(self, run: '_Run', end_s: float) -> None:
        caller = run.caller
        if end_s > run.pending.deadline_s:
            return
        caller.served = True
        in_time = run.first_s <= caller.came_s + caller.kind.goal_s
        for count in self._counts(caller):
            count.served += 1
            count.returned_served += caller.returned
            count.in_time += in_time
        self.earned += caller.kind.worth * (1.0 if in_time else LATE_WORTH)

    def _refuse(
        self, pending: PendingRequest, delay_s: float | None, now_s: float
    ) -> None:
        caller = self._callers.pop(pending.id)
        self.refused_with_room += not len(self.queue) and any(
            e.free_slots >= 1
            and e.is_open(now_s)
            and now_s + e.first_s(pending.size) <= pending.patience_s
            for e in self.balancer.estimates(self.names, now_s)
        )
        for count in self._counts(caller):
            count.held_s += now_s - pending.arrived_s
            count.refused += 1
        if delay_s is None or caller.returned:
            return
        caller.returned = True
        if caller.at_once:
            delay_s = 0.05
        heapq.heappush(
            self._returns, (now_s + delay_s, next(self._numbers), caller)
        )


def replay(
    phases: tuple[Phase, ...],
    kinds: tuple[Kind, ...] = KINDS,
    pool: Pool = Pool(),  # noqa: B008
    seed: int = 1,
    terms: Callable[[], RoomTerms] = RoomTerms,
    each_step: Callable[[RequestQueue, float], None] | None = None,
) -> Replay:
    """Play a load and return what became of its callers.

    Args:
        phases: spans of the load, in order.
        kinds: kinds of requests.
        pool: the targets.
        seed: seed of the arrivals.
        terms: terms on which requests share scarce room.
        each_step: called with the queue and the time after each step.
    """
    service = _Service(pool, seed, terms)
    due = {kind.name: service.random.expovariate(1.0) for kind in kinds}
    now_s = 0.0
    for phase in phases:
        service.begin(phase, now_s)
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
    return Replay(
        dict(service.counts),
        dict(service.by_customer),
        service.callers,
        service.refused_with_room,
        service.earned / service.owed,
    )
