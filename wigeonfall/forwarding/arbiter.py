"""The arbiter's side: it places the requests of other instances.

What an instance asks for waits in the arbiter's own queue among its own
requests. What an instance holds counts as outstanding until it says otherwise
or falls silent.
"""

import asyncio
from collections.abc import Callable
import functools

import attrs

from ..events import Event
from ..policy.load_balancer import LoadBalancer
from ..policy.load_balancer import RequestSize
from ..policy.token_quota import Charge
from ..policy.token_quota import OverLimit
from ..policy.waiting import PendingRequest
from ..recorder import Record
from .arbiter_messages import ArbiterDecisions
from .arbiter_messages import ClientState
from .arbiter_messages import Denial
from .arbiter_messages import Grant
from .arbiter_messages import HeldSlot
from .arbiter_messages import SlotRequest
from .observations import apply_report
from .scheduler import Scheduler
from .scheduler import Slot

CLIENT_TIMEOUT_S = 1.2  # several messages of an instance that holds places
DECISIONS_DELAY_S = 0.002  # answers of this time go together


@attrs.define
class Client:
    """An instance that asks, and what is open with it.

    Attributes:
        address: where answers go.
        incarnation: its present start.
        sequence: its newest message.
        heard_s: when that came, on the monotonic clock.
        waiting: its requests that wait.
        charges: tokens that were taken for these, and whose.
        granted: its places, with their services.
        unconfirmed: those of them that it is not known to use yet.
        adopted: its places that another granted.
        denied: its requests that get no place.
    """

    address: str
    incarnation: int
    sequence: int = -1
    heard_s: float = 0.0
    waiting: dict[str, 'asyncio.Future[Slot | None]'] = attrs.field(
        factory=dict
    )
    charges: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    granted: dict[str, tuple[str, Slot]] = attrs.field(factory=dict)
    unconfirmed: set[str] = attrs.field(factory=set)
    adopted: dict[str, HeldSlot] = attrs.field(factory=dict)
    denied: dict[str, Denial] = attrs.field(factory=dict)


class Arbiter:
    """Places requests for other instances.

    Args:
        name: name of this instance.
        balancer: load balancer over the targets.
        placing: the waits of this instance.
        take: takes tokens of a customer; returns None if they may run.
        give_back: returns tokens of requests that did not run.
        send: sends a message to an address.
        record: records events.
    """

    def __init__(
        self,
        name: str,
        balancer: LoadBalancer,
        scheduler: Scheduler,
        take_tokens: Callable[[Charge, float], OverLimit | None],
        refund_tokens: Callable[[str, float], None],
        send: Callable[[ArbiterDecisions, str], None],
        record: Record,
    ) -> None:
        self._name = name
        self._balancer = balancer
        self._scheduler = scheduler
        self._take_tokens = take_tokens
        self._refund_tokens = refund_tokens
        self._send = send
        self._record = record
        self._clients: dict[str, Client] = {}
        self._due: set[str] = set()

    def receive(self, message: ClientState, now_s: float) -> None:
        """Take what an instance asks for and holds."""
        client = self._clients.get(message.name)
        if client is None or client.incarnation != message.incarnation:
            if client is not None:
                self._drop(client)
            client = Client(message.address, message.incarnation)
            self._clients[message.name] = client
        if message.sequence <= client.sequence:
            return
        client.sequence = message.sequence
        client.heard_s = now_s
        for report in message.reports:
            apply_report(report, self._balancer, self._refund_tokens, now_s)
        self._take_held(client, message.held)
        self._withdraw(client, message)
        self._add(message.name, client, message.requests, now_s)
        if message.requests:
            self._answer_soon(message.name)

    def drop_silent_clients(self, now_s: float) -> None:
        """Give up what silent instances hold and ask for."""
        for name, client in tuple(self._clients.items()):
            if now_s - client.heard_s > CLIENT_TIMEOUT_S:
                held = len(client.granted) + len(client.adopted)
                if held or client.waiting:
                    self._record(
                        Event.CLIENT_GIVEN_UP,
                        peer=name,
                        places=held,
                        waiting=len(client.waiting),
                    )
                self._drop(client)
                del self._clients[name]

    def _take_held(self, client: Client, held: tuple[HeldSlot, ...]) -> None:
        for slot in held:
            if slot.id in client.granted:
                if not slot.reading:
                    self._scheduler.mark_prompt_read(
                        client.granted[slot.id][1]
                    )
            elif slot.id in client.adopted:
                if client.adopted[slot.id].reading and not slot.reading:
                    self._balancer.mark_prompt_read(slot.target, _prompt(slot))
                    client.adopted[slot.id] = slot
            else:
                self._balancer.request_sent(slot.target, _prompt(slot))
                if not slot.reading:
                    self._balancer.mark_prompt_read(slot.target, _prompt(slot))
                client.adopted[slot.id] = slot

    def _withdraw(self, client: Client, message: ClientState) -> None:
        """End what the instance names no more."""
        held = {slot.id for slot in message.held}
        named = held | {ask.id for ask in message.requests}
        for pending_id in client.waiting.keys() - named:
            client.waiting.pop(pending_id).cancel()
            self._return_tokens(client, pending_id)
        for pending_id in client.granted.keys() - named:
            service, slot = client.granted.pop(pending_id)
            client.unconfirmed.discard(pending_id)
            self._return_tokens(client, pending_id)
            self._scheduler.release(service, slot)
        for pending_id in client.adopted.keys() - held:
            self._end_adopted(client.adopted.pop(pending_id))
        for pending_id in client.denied.keys() - named:
            del client.denied[pending_id]
        for pending_id in client.charges.keys() & held:
            del client.charges[pending_id]
        client.unconfirmed -= held

    def _add(
        self,
        name: str,
        client: Client,
        requests: tuple[SlotRequest, ...],
        now_s: float,
    ) -> None:
        for ask in requests:
            if (
                ask.id in client.waiting
                or ask.id in client.granted
                or ask.id in client.denied
            ):
                continue
            if ask.customer:
                over = self._take_tokens(_charge(ask), now_s)
                if over is not None:
                    client.denied[ask.id] = _over(ask.id, over)
                    continue
                client.charges[ask.id] = (ask.customer, ask.tokens)
            future = self._scheduler.submit(
                ask.service, _pending_request(name, ask, now_s), soon=True
            )
            client.waiting[ask.id] = future
            decided = functools.partial(self._decided, name, client, ask)
            future.add_done_callback(decided)

    def _decided(
        self,
        name: str,
        client: Client,
        ask: SlotRequest,
        done: 'asyncio.Future[Slot | None]',
    ) -> None:
        """Take what came of a request that waited."""
        known = client.waiting.pop(ask.id, None)
        if done.cancelled():
            self._scheduler.withdraw(ask.service, _pending_id(name, ask.id))
            return
        slot = done.result()
        if slot is None:
            client.denied[ask.id] = Denial(ask.id, False)
            self._return_tokens(client, ask.id)
        elif known is None:
            self._scheduler.release(ask.service, slot)
            return
        else:
            client.granted[ask.id] = (ask.service, slot)
            client.unconfirmed.add(ask.id)
        self._answer_soon(name)

    def _return_tokens(self, client: Client, pending_id: str) -> None:
        charge = client.charges.pop(pending_id, None)
        if charge is not None:
            self._refund_tokens(*charge)

    def _drop(self, client: Client) -> None:
        for pending_id in tuple(client.waiting):
            client.waiting.pop(pending_id).cancel()
            self._return_tokens(client, pending_id)
        for service, slot in client.granted.values():
            self._scheduler.release(service, slot)
        for held in client.adopted.values():
            self._end_adopted(held)
        client.granted.clear()
        client.adopted.clear()

    def _end_adopted(self, held: HeldSlot) -> None:
        if held.reading:
            self._balancer.mark_prompt_read(held.target, _prompt(held))
        self._balancer.request_ended(held.target)
        self._scheduler.dispatch(held.service)

    def _answer_soon(self, name: str) -> None:
        if not self._due:
            loop = asyncio.get_running_loop()
            loop.call_later(DECISIONS_DELAY_S, self._answer)
        self._due.add(name)

    def _answer(self) -> None:
        due, self._due = self._due, set()
        for name in due:
            client = self._clients.get(name)
            if client is None:
                continue
            grants = tuple(
                _grant(pending_id, client.granted[pending_id][1])
                for pending_id in client.unconfirmed
            )
            denials = tuple(client.denied.values())
            message = ArbiterDecisions(
                self._name, client.incarnation, grants, denials
            )
            self._send(message, client.address)


def _charge(ask: SlotRequest) -> Charge:
    return Charge(
        ask.customer, ask.tokens, ask.charge_is_retry, ask.most_wait_s
    )


def _grant(pending_id: str, slot: Slot) -> Grant:
    return Grant(
        pending_id,
        slot.target.name,
        round(slot.prefill_tokens),
        slot.outstanding,
    )


def _pending_id(name: str, pending_id: str) -> str:
    return f'{name}/{pending_id}'


def _pending_request(
    name: str, ask: SlotRequest, now_s: float
) -> PendingRequest:
    ineligible = frozenset(ask.ineligible)
    return PendingRequest(
        id=_pending_id(name, ask.id),
        rank=ask.rank,
        is_retry=ask.is_retry,
        arrived_s=now_s - ask.age_s,
        goal_s=now_s + ask.goal_s,
        patience_s=now_s + ask.patience_s,
        deadline_s=now_s + ask.time_left_s,
        give_up_s=now_s + ask.wait_left_s,
        size=RequestSize(ask.prompt_tokens, ask.answer_tokens),
        is_eligible=lambda target: target not in ineligible,
    )


def _prompt(held: HeldSlot) -> RequestSize:
    return RequestSize(held.prompt_tokens)


def _over(pending_id: str, over: OverLimit) -> Denial:
    return Denial(
        pending_id,
        True,
        round(over.delay_s, 3),
        round(over.used_tokens),
        round(over.limit_tokens),
    )
