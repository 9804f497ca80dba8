"""Acquires slots at targets, from the arbiter or the local scheduler.

If the arbiter does not reply in time, the client fails over to the next
candidate. Without any arbiter, the scheduler of this instance is used.
"""

import asyncio
from collections.abc import Callable
import time

import attrs

from ..events import Event
from ..policy import arbiters
from ..policy.arbiters import Candidate
from ..policy.room.pending import PendingRequest
from ..policy.room.token_quota import Charge
from ..policy.room.token_quota import OverLimit
from ..recorder import Record
from .arbiter_messages import ArbiterDecisions
from .arbiter_messages import ClientState
from .arbiter_messages import Grant
from .arbiter_messages import HeldSlot
from .observations import Observations
from .scheduler import Decision
from .scheduler import NoRoom
from .scheduler import Scheduler
from .scheduler import Slot
from .slot_requests import AcquireResult
from .slot_requests import NoArbiter
from .slot_requests import slot_request
from .slot_requests import WaitingRequest

SEND_DELAY_S = 0.003  # changes within it share a datagram
TICK_S = 0.02
IDLE_TICK_S = 0.1  # while no request waits for the arbiter
RESEND_INTERVAL_S = 0.06  # without a reply; twice the longest round trip
REFRESH_INTERVAL_S = 0.25  # between messages while slots are held
FINAL_SENDS = 2  # of a state with no slots left, as datagrams may be lost
ARBITER_TIMEOUT_S = 0.2  # without a reply; far below the goals of callers
ARBITER_SUSPECT_S = 1.0  # an arbiter that timed out is not chosen meanwhile


@attrs.frozen
class SlotClientContext:
    """What a slot client needs.

    Attributes:
        name: name of this instance.
        incarnation: random number, chosen at each start of the instance.
        address: "host:port" of its datagrams.
        scheduler: scheduler of this instance.
        observations: observations of targets, to report to the arbiter.
        ineligible: returns the names of targets that may not get a request.
        hubs: returns the instances that may be the arbiter, the preferred
            one first.
        fleet_size: returns the number of instances.
        take_tokens: charges a customer's quota; returns None if it allows
            the request.
        refund_tokens: refunds tokens of a request that did not run.
        send: sends a message to an address.
        record: records events.
    """

    name: str
    incarnation: int
    address: str
    scheduler: Scheduler
    observations: Observations
    ineligible: Callable[[str, PendingRequest], set[str]]
    hubs: Callable[[float], tuple[Candidate, ...]]
    fleet_size: Callable[[float], int]
    take_tokens: Callable[[Charge, float], OverLimit | None]
    refund_tokens: Callable[[str, float], None]
    send: Callable[[ClientState, str], None]
    record: Record


class SlotClient:
    """Acquires and releases the slots of this instance.

    Args:
        context: what the client needs.
    """

    def __init__(self, context: SlotClientContext) -> None:
        self._context = context
        self._waiting: dict[str, WaitingRequest] = {}
        self._held: dict[str, tuple[str, Slot]] = {}
        self._arbiter: Candidate | None = None
        self._suspect_until_s: dict[str, float] = {}
        self._sequence = 0
        self._sent_s = 0.0
        self._unanswered_since_s: float | None = None
        self._sends_left = 0
        self._wake_event = asyncio.Event()
        self._send_timer: asyncio.TimerHandle | None = None

    @property
    def arbiter(self) -> str:
        """Name of the arbiter in use, '' for none."""
        return self._arbiter.name if self._arbiter else ''

    @property
    def arbiter_address(self) -> str:
        """Address of the arbiter in use, '' for none."""
        return self._arbiter.address if self._arbiter else ''

    async def acquire(
        self, service: str, pending: PendingRequest, charge: Charge | None
    ) -> AcquireResult:
        """Wait for a slot.

        Returns:
            A slot, which the caller must release; the quota that the customer
            exceeded; or the refusal if no target had a free slot in time.
        """
        result: AcquireResult | NoArbiter = NoArbiter()
        if self._arbiter is not None:
            result = await self._acquire_remotely(service, pending, charge)
        if isinstance(result, NoArbiter):
            result = await self._acquire_locally(service, pending, charge)
        if isinstance(result, Slot):
            self._held[result.id] = (service, result)
        return result

    def mark_prompt_read(self, slot: Slot) -> None:
        """Mark the prompt of a request as processed, or as cancelled."""
        self._context.scheduler.mark_prompt_read(slot)

    def release(self, service: str, slot: Slot) -> None:
        """Release a slot."""
        self._held.pop(slot.id, None)
        self._context.scheduler.release(service, slot)
        self._send_soon()

    def refund_tokens(self, charge: Charge) -> None:
        """Refund the tokens of a request that did not run."""
        if self._arbiter is None:
            self._context.refund_tokens(charge.customer, charge.tokens)
        else:
            self._context.observations.report_refund(
                charge.customer, charge.tokens
            )

    def receive(self, message: ArbiterDecisions) -> None:
        """Apply decisions of the arbiter."""
        if self._arbiter is None or message.name != self._arbiter.name:
            return
        if message.incarnation != self._context.incarnation:
            return
        self._unanswered_since_s = None
        for grant in message.grants:
            waiting = self._waiting.get(grant.id)
            if waiting is not None and not waiting.future.done():
                self._accept_grant(waiting, grant)
        for denial in message.denials:
            waiting = self._waiting.get(denial.id)
            if waiting is None or waiting.future.done():
                continue
            waiting.future.set_result(
                OverLimit(
                    denial.delay_s, denial.used_tokens, denial.limit_tokens
                )
                if denial.over_limit
                else NoRoom(denial.delay_s or None)
            )

    async def run(self) -> None:
        """Choose the arbiter and resend the state, until cancelled."""
        while True:
            self.tick(time.monotonic())
            period_s = TICK_S if self._waiting else IDLE_TICK_S
            try:
                async with asyncio.timeout(period_s):
                    await self._wake_event.wait()
            except TimeoutError:
                pass
            self._wake_event.clear()

    def tick(self, now_s: float) -> None:
        """Choose the arbiter, and resend the state if it is due."""
        unanswered_s = self._unanswered_since_s
        if (
            unanswered_s is not None
            and now_s - unanswered_s > ARBITER_TIMEOUT_S
        ):
            self._suspect_until_s[self.arbiter] = now_s + ARBITER_SUSPECT_S
            self._unanswered_since_s = None
        self._choose_arbiter(now_s)
        if self._arbiter is None:
            return
        unanswered = self._unanswered_since_s is not None
        period_s = RESEND_INTERVAL_S if unanswered else REFRESH_INTERVAL_S
        if now_s - self._sent_s >= period_s and self._sends_left:
            self._send_state(now_s)

    def _choose_arbiter(self, now_s: float) -> None:
        arbiter = self._first_candidate(now_s)
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
        self._unanswered_since_s = None
        self._sends_left = FINAL_SENDS
        self._context.observations.set_reporting(arbiter is not None)
        if arbiter is None:
            for waiting in self._waiting.values():
                if not waiting.future.done():
                    waiting.future.set_result(NoArbiter())
        else:
            self._send_state(now_s)

    def _first_candidate(self, now_s: float) -> Candidate | None:
        """Return the arbiter to use, None for the local scheduler."""
        if self._context.fleet_size(now_s) <= arbiters.MESH_MAX_INSTANCES:
            return None
        self._suspect_until_s = {
            name: until_s
            for name, until_s in self._suspect_until_s.items()
            if until_s > now_s
        }
        for candidate in self._context.hubs(now_s):
            if candidate.name == self._context.name:
                return None
            if candidate.name not in self._suspect_until_s:
                return candidate
        return None

    async def _acquire_remotely(
        self, service: str, pending: PendingRequest, charge: Charge | None
    ) -> AcquireResult | NoArbiter:
        loop = asyncio.get_running_loop()
        waiting = WaitingRequest(
            service,
            pending,
            charge,
            self._context.ineligible(service, pending),
            loop.create_future(),
        )
        self._waiting[pending.id] = waiting
        self._wake_event.set()
        self._send_soon()
        try:
            return await waiting.future
        except asyncio.CancelledError:
            if waiting.future.done() and not waiting.future.cancelled():
                result = waiting.future.result()
                if isinstance(result, Slot):
                    self.release(service, result)
            raise
        finally:
            self._waiting.pop(waiting.pending.id, None)
            self._send_soon()

    async def _acquire_locally(
        self, service: str, pending: PendingRequest, charge: Charge | None
    ) -> AcquireResult:
        context = self._context
        if charge is not None:
            has_room = context.scheduler.has_room(service)
            over = context.take_tokens(
                attrs.evolve(charge, has_room=has_room), time.monotonic()
            )
            if over is not None:
                return over
        decision: Decision | None = None
        try:
            decision = await context.scheduler.acquire(service, pending)
        finally:
            if charge is not None and not isinstance(decision, Slot):
                context.refund_tokens(charge.customer, charge.tokens)
        return decision

    def _accept_grant(self, waiting: WaitingRequest, grant: Grant) -> None:
        pending = waiting.pending
        balancer = self._context.scheduler.balancer
        known = balancer.stats_of((grant.target,))
        if not known or not pending.is_eligible(grant.target):
            # The target list here is older than the arbiter's, or the target
            # has said that it wants no requests. A new identifier makes the
            # arbiter release the slot.
            del self._waiting[pending.id]
            waiting.pending = attrs.evolve(pending, id=f'{pending.id}+')
            waiting.ineligible.add(grant.target)
            self._waiting[waiting.pending.id] = waiting
            self._send_soon()
            return
        size = pending.size.without(grant.kept_tokens)
        balancer.request_sent(grant.target, size)
        slot = Slot(
            pending.id,
            known[0].target,
            time.monotonic() - pending.arrived_s,
            grant.prefill_tokens,
            grant.outstanding,
            0,
            size,
            arbiter=self.arbiter,
            kept_tokens=grant.kept_tokens,
        )
        self._held[slot.id] = (waiting.service, slot)
        waiting.future.set_result(slot)

    def _send_soon(self) -> None:
        if self._arbiter is not None and self._send_timer is None:
            loop = asyncio.get_running_loop()
            self._send_timer = loop.call_later(
                SEND_DELAY_S, self._on_send_timer
            )

    def _on_send_timer(self) -> None:
        self._send_timer = None
        if self._arbiter is not None:
            self._send_state(time.monotonic())

    def _send_state(self, now_s: float) -> None:
        """Send the waiting requests and held slots to the arbiter."""
        if self._arbiter is None:
            return
        requests = tuple(
            slot_request(waiting, now_s)
            for waiting in self._waiting.values()
            if not waiting.future.done()
        )
        self._sequence += 1
        sends_left = max(0, self._sends_left - 1)
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
        self._sends_left = (
            FINAL_SENDS if requests or self._held else sends_left
        )
        if requests and self._unanswered_since_s is None:
            self._unanswered_since_s = now_s
        self._context.send(message, self._arbiter.address)
