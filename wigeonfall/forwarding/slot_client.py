"""Places at targets, from the arbiter or from this instance's own view.

An arbiter that says nothing is left after a moment for the next in order.
Whoever hears no arbiter at all places its requests itself.
"""

import asyncio
from collections.abc import Callable
import time
from typing import TypeAlias

import attrs

from ..events import Event
from ..policy import arbiters
from ..policy.arbiters import Candidate
from ..policy.token_quota import Charge
from ..policy.token_quota import OverLimit
from ..policy.waiting import PendingRequest
from ..recorder import Record
from .arbiter_messages import ArbiterDecisions
from .arbiter_messages import ClientState
from .arbiter_messages import Grant
from .arbiter_messages import HeldSlot
from .arbiter_messages import SlotRequest
from .observations import Observations
from .scheduler import Scheduler
from .scheduler import Slot

FLUSH_S = 0.003  # what happens within this time is told at once
TICK_S = 0.02
IDLE_TICK_S = 0.1  # while nothing waits for an answer
AGAIN_S = 0.06  # without an answer, twice the longest way there and back
REPEAT_S = 0.25  # what is held is told at least so often
END_REPEATS = 2  # that nothing is held any more, as datagrams are lost
ARBITER_TIMEOUT_S = 0.2  # after a question; far below the goals of callers
ARBITER_SUSPECT_S = 1.0  # for which a silent arbiter gets no questions


Outcome: TypeAlias = Slot | OverLimit | None


@attrs.frozen
class Alone:
    """That this instance has to place a request itself."""


@attrs.define
class _Waiting:
    """A request that the arbiter is asked to place."""

    service: str
    pending: PendingRequest
    charge: Charge | None
    ineligible: set[str]
    future: 'asyncio.Future[Outcome | Alone]'


@attrs.frozen
class SlotClientContext:
    """What places need.

    Attributes:
        name: name of this instance.
        incarnation: random number that tells its starts apart.
        address: "host:port" of its datagrams.
        placing: the waits of this instance.
        observations: what it sees of targets.
        unsuited: returns the targets that a request may not get.
        candidates: returns all that may be the arbiter, this included.
        instances: returns the number of instances.
        take: takes tokens of a customer; returns None if they may run.
        give_back: returns tokens of requests that did not run.
        send: sends a message to an address.
        record: records events.
    """

    name: str
    incarnation: int
    address: str
    scheduler: Scheduler
    observations: Observations
    ineligible: Callable[[str, PendingRequest], set[str]]
    candidates: Callable[[float], list[Candidate]]
    fleet_size: Callable[[float], int]
    take_tokens: Callable[[Charge, float], OverLimit | None]
    refund_tokens: Callable[[str, float], None]
    send: Callable[[ClientState, str], None]
    record: Record


class SlotClient:
    """The places that this instance uses and asks for.

    Args:
        parts: what they need.
    """

    def __init__(self, context: SlotClientContext) -> None:
        self._context = context
        self._waiting: dict[str, _Waiting] = {}
        self._held: dict[str, tuple[str, Slot]] = {}
        self._arbiter: Candidate | None = None
        self._suspect_until_s: dict[str, float] = {}
        self._sequence = 0
        self._sent_s = 0.0
        self._asked_s: float | None = None
        self._repeats = 0
        self._asked = asyncio.Event()
        self._flush: asyncio.TimerHandle | None = None

    @property
    def arbiter(self) -> str:
        """Name of the arbiter that is asked, '' for none."""
        return self._arbiter.name if self._arbiter else ''

    async def acquire(
        self, service: str, pending: PendingRequest, charge: Charge | None
    ) -> Outcome:
        """Wait for a target.

        Returns:
            A place, which must be returned by release; why the customer gets
            none; or None if no target had room in time.
        """
        outcome: Outcome | Alone = Alone()
        if self._arbiter is not None:
            outcome = await self._ask(service, pending, charge)
        if isinstance(outcome, Alone):
            outcome = await self._acquire_alone(service, pending, charge)
        if isinstance(outcome, Slot):
            self._held[outcome.id] = (service, outcome)
        return outcome

    def mark_prompt_read(self, slot: Slot) -> None:
        """Note that the prompt of a request was read, or given up."""
        self._context.scheduler.mark_prompt_read(slot)

    def release(self, service: str, slot: Slot) -> None:
        """Return a place."""
        self._held.pop(slot.id, None)
        self._context.scheduler.release(service, slot)
        self._flush_soon()

    def refund_tokens(self, charge: Charge) -> None:
        """Return the tokens of a request that did not run."""
        if self._arbiter is None:
            self._context.refund_tokens(charge.customer, charge.tokens)
        else:
            self._context.observations.report_refund(
                charge.customer, charge.tokens
            )

    def receive(self, message: ArbiterDecisions) -> None:
        """Take what the arbiter decided."""
        if self._arbiter is None or message.name != self._arbiter.name:
            return
        if message.incarnation != self._context.incarnation:
            return
        self._asked_s = None
        for grant in message.grants:
            waiting = self._waiting.get(grant.id)
            if waiting is not None and not waiting.future.done():
                self._take_grant(waiting, grant)
        for denial in message.denials:
            waiting = self._waiting.get(denial.id)
            if waiting is None or waiting.future.done():
                continue
            waiting.future.set_result(
                OverLimit(
                    denial.delay_s, denial.used_tokens, denial.limit_tokens
                )
                if denial.over_limit
                else None
            )

    async def run(self) -> None:
        """Choose the arbiter and repeat what it may have missed."""
        while True:
            self.tick(time.monotonic())
            period_s = TICK_S if self._waiting else IDLE_TICK_S
            try:
                async with asyncio.timeout(period_s):
                    await self._asked.wait()
            except TimeoutError:
                pass
            self._asked.clear()

    def tick(self, now_s: float) -> None:
        """Choose the arbiter and repeat what is due, as of now."""
        asked_s = self._asked_s
        if asked_s is not None and now_s - asked_s > ARBITER_TIMEOUT_S:
            self._suspect_until_s[self.arbiter] = now_s + ARBITER_SUSPECT_S
            self._asked_s = None
        self._choose(now_s)
        if self._arbiter is None:
            return
        unheard = self._asked_s is not None
        period_s = AGAIN_S if unheard else REPEAT_S
        if now_s - self._sent_s >= period_s and self._repeats:
            self._tell(now_s)

    def _choose(self, now_s: float) -> None:
        arbiter = self._first(now_s)
        before = self._arbiter
        self._arbiter = arbiter
        after_name = arbiter.name if arbiter else ''
        if (before.name if before else '') == after_name:
            return
        self._context.record(
            Event.ARBITER_CHOSEN,
            arbiter=after_name,
            before=before.name if before else '',
            suspected=sorted(self._suspect_until_s),
            waiting=len(self._waiting),
        )
        self._asked_s = None
        self._repeats = END_REPEATS
        self._context.observations.set_reporting(arbiter is not None)
        if arbiter is None:
            for waiting in self._waiting.values():
                if not waiting.future.done():
                    waiting.future.set_result(Alone())
        else:
            self._tell(now_s)

    def _first(self, now_s: float) -> Candidate | None:
        """Return the arbiter to ask, None if this instance asks nobody."""
        if self._context.fleet_size(now_s) <= arbiters.MESH_MAX_INSTANCES:
            return None
        self._suspect_until_s = {
            name: until_s
            for name, until_s in self._suspect_until_s.items()
            if until_s > now_s
        }
        for candidate in arbiters.choose_hubs(self._context.candidates(now_s)):
            if candidate.name == self._context.name:
                return None
            if candidate.name not in self._suspect_until_s:
                return candidate
        return None

    async def _ask(
        self, service: str, pending: PendingRequest, charge: Charge | None
    ) -> Outcome | Alone:
        loop = asyncio.get_running_loop()
        waiting = _Waiting(
            service,
            pending,
            charge,
            self._context.ineligible(service, pending),
            loop.create_future(),
        )
        self._waiting[pending.id] = waiting
        self._asked.set()
        self._flush_soon()
        try:
            return await waiting.future
        except asyncio.CancelledError:
            if waiting.future.done() and not waiting.future.cancelled():
                outcome = waiting.future.result()
                if isinstance(outcome, Slot):
                    self.release(service, outcome)
            raise
        finally:
            self._waiting.pop(waiting.pending.id, None)
            self._flush_soon()

    async def _acquire_alone(
        self, service: str, pending: PendingRequest, charge: Charge | None
    ) -> Outcome:
        context = self._context
        if charge is not None:
            over = context.take_tokens(charge, time.monotonic())
            if over is not None:
                return over
        slot = None
        try:
            slot = await context.scheduler.acquire(service, pending)
        finally:
            if slot is None and charge is not None:
                context.refund_tokens(charge.customer, charge.tokens)
        return slot

    def _take_grant(self, waiting: _Waiting, grant: Grant) -> None:
        pending = waiting.pending
        balancer = self._context.scheduler.balancer
        known = balancer.stats_of((grant.target,))
        if not known:
            # The list here is older than the arbiter's.
            del self._waiting[pending.id]
            waiting.pending = attrs.evolve(pending, id=f'{pending.id}+')
            waiting.ineligible.add(grant.target)
            self._waiting[waiting.pending.id] = waiting
            self._flush_soon()
            return
        balancer.request_sent(grant.target, pending.size)
        slot = Slot(
            pending.id,
            known[0].target,
            time.monotonic() - pending.arrived_s,
            grant.prefill_tokens,
            grant.outstanding,
            0,
            pending.size,
            arbiter=self.arbiter,
        )
        self._held[slot.id] = (waiting.service, slot)
        waiting.future.set_result(slot)

    def _flush_soon(self) -> None:
        if self._arbiter is not None and self._flush is None:
            loop = asyncio.get_running_loop()
            self._flush = loop.call_later(FLUSH_S, self._flush_now)

    def _flush_now(self) -> None:
        self._flush = None
        if self._arbiter is not None:
            self._tell(time.monotonic())

    def _tell(self, now_s: float) -> None:
        """Tell the arbiter all that is asked for and held."""
        if self._arbiter is None:
            return
        requests = tuple(
            _ask(waiting, now_s)
            for waiting in self._waiting.values()
            if not waiting.future.done()
        )
        self._sequence += 1
        repeats = max(0, self._repeats - 1)
        message = ClientState(
            name=self._context.name,
            incarnation=self._context.incarnation,
            sequence=self._sequence,
            address=self._context.address,
            requests=requests,
            held=tuple(
                HeldSlot(
                    slot.id,
                    service,
                    slot.target.name,
                    slot.size.prompt_tokens,
                    slot.prefilling,
                )
                for service, slot in self._held.values()
            ),
            reports=self._context.observations.take_reports(),
        )
        self._sent_s = now_s
        self._repeats = END_REPEATS if requests or self._held else repeats
        if requests and self._asked_s is None:
            self._asked_s = now_s
        self._context.send(message, self._arbiter.address)


def _ask(waiting: _Waiting, now_s: float) -> SlotRequest:
    pending = waiting.pending
    charge = waiting.charge
    return SlotRequest(
        id=pending.id,
        service=waiting.service,
        rank=pending.rank,
        is_retry=pending.is_retry,
        age_s=round(now_s - pending.arrived_s, 3),
        goal_s=round(pending.goal_s - now_s, 3),
        patience_s=round(pending.patience_s - now_s, 3),
        time_left_s=round(pending.deadline_s - now_s, 3),
        wait_left_s=round(pending.give_up_s - now_s, 3),
        prompt_tokens=pending.size.prompt_tokens,
        answer_tokens=pending.size.answer_tokens,
        ineligible=tuple(waiting.ineligible),
        customer=charge.customer if charge else '',
        tokens=charge.tokens if charge else 0.0,
        charge_is_retry=charge.is_retry if charge else False,
        most_wait_s=round(charge.most_wait_s, 3) if charge else 0.0,
    )
