"""Schedules the requests of other instances, as their arbiter.

Slot requests of clients wait in the scheduler of this instance, together with
its own requests. Slots that a client holds count as outstanding until the
client no longer lists them or times out.
"""

import asyncio
from collections.abc import Callable
import functools

import attrs

from ..events import Event
from ..policy.room.pending import PendingRequest
from ..policy.room.token_quota import Charge
from ..policy.room.token_quota import OverLimit
from ..policy.targets.load_balancer import LoadBalancer
from ..policy.targets.target_stats import RequestSize
from ..recorder import Record
from .arbiter_messages import ArbiterDecisions
from .arbiter_messages import ClientState
from .arbiter_messages import Denial
from .arbiter_messages import Grant
from .arbiter_messages import HeldSlot
from .arbiter_messages import SlotRequest
from .observations import apply_report
from .scheduler import Decision
from .scheduler import NoRoom
from .scheduler import Scheduler
from .scheduler import Slot

CLIENT_TIMEOUT_S = 1.2  # several messages of a client that holds slots
RECENT_CLIENT_S = 0.4  # a message of a client that holds slots
DECISIONS_DELAY_S = 0.002  # decisions made within it share a datagram


@attrs.define
class Client:
    """The state of an instance that this arbiter schedules for.

    Requests and slots are keyed by the identifier of the request.

    Attributes:
        address: "host:port" for decisions.
        incarnation: its present incarnation.
        sequence: number of its newest message.
        received_s: when that arrived, on the monotonic clock.
        waiting: requests that wait for a slot.
        charges: customers and tokens charged for them until they run.
        granted: slots granted by this arbiter, with their services.
        unconfirmed: granted slots that the client has not listed yet.
        adopted: slots that the client holds from another arbiter or from
            its own scheduler.
        denied: requests that were refused a slot.
    """

    address: str
    incarnation: int
    sequence: int = -1
    received_s: float = 0.0
    waiting: dict[str, 'asyncio.Future[Decision]'] = attrs.field(factory=dict)
    charges: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    granted: dict[str, tuple[str, Slot]] = attrs.field(factory=dict)
    unconfirmed: set[str] = attrs.field(factory=set)
    adopted: dict[str, HeldSlot] = attrs.field(factory=dict)
    denied: dict[str, Denial] = attrs.field(factory=dict)


class Arbiter:
    """Grants slots to other instances.

    Args:
        name: name of this instance.
        balancer: load balancer over the targets.
        scheduler: scheduler of this instance.
        take_tokens: charges a customer's quota; returns None if it allows
            the request.
        refund_tokens: refunds tokens of a request that did not run.
        send: sends decisions to an address.
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
        self._replies_due: set[str] = set()

    def receive(self, message: ClientState, now_s: float) -> None:
        """Update the state of a client from its message."""
        client = self._clients.get(message.name)
        if client is None or client.incarnation != message.incarnation:
            if client is not None:
                self._drop(client)
            client = Client(message.address, message.incarnation)
            self._clients[message.name] = client
        if message.sequence <= client.sequence:
            return
        client.sequence = message.sequence
        client.received_s = now_s
        for report in message.reports:
            apply_report(report, self._balancer, self._refund_tokens, now_s)
        self._update_held(client, message.held)
        self._end_unlisted(client, message)
        self._submit_new(message.name, client, message.requests, now_s)
        if message.requests:
            self._reply_soon(message.name)

    def client_count(self, now_s: float) -> int:
        """Return the number of clients that were heard in the last moment."""
        return sum(
            now_s - client.received_s <= RECENT_CLIENT_S
            for client in self._clients.values()
        )

    def drop_silent_clients(self, now_s: float) -> None:
        """Release the slots and requests of clients that timed out."""
        for name, client in tuple(self._clients.items()):
            if now_s - client.received_s > CLIENT_TIMEOUT_S:
                held = len(client.granted) + len(client.adopted)
                if held or client.waiting:
                    self._record(
                        Event.CLIENT_DROPPED,
                        peer=name,
                        places=held,
                        waiting=len(client.waiting),
                    )
                self._drop(client)
                del self._clients[name]

    def _update_held(self, client: Client, held: tuple[HeldSlot, ...]) -> None:
        for slot in held:
            if slot.id in client.granted:
                if not slot.prefilling:
                    self._scheduler.mark_prompt_read(
                        client.granted[slot.id][1]
                    )
            elif slot.id in client.adopted:
                if client.adopted[slot.id].prefilling and not slot.prefilling:
                    self._balancer.mark_prompt_read(
                        slot.target, _prompt_size(slot)
                    )
                    client.adopted[slot.id] = slot
            else:
                self._balancer.request_sent(
                    slot.target, _prompt_size(slot), placed=False
                )
                if not slot.prefilling:
                    self._balancer.mark_prompt_read(
                        slot.target, _prompt_size(slot)
                    )
                client.adopted[slot.id] = slot

    def _end_unlisted(self, client: Client, message: ClientState) -> None:
        """End the requests and slots that the client no longer lists."""
        held = {slot.id for slot in message.held}
        listed = held | {request.id for request in message.requests}
        for pending_id in client.waiting.keys() - listed:
            client.waiting.pop(pending_id).cancel()
            self._refund(client, pending_id)
        for pending_id in client.granted.keys() - listed:
            service, slot = client.granted.pop(pending_id)
            client.unconfirmed.discard(pending_id)
            self._refund(client, pending_id)
            self._scheduler.release(service, slot)
        for pending_id in client.adopted.keys() - held:
            self._release_adopted(client.adopted.pop(pending_id))
        for pending_id in client.denied.keys() - listed:
            del client.denied[pending_id]
        for pending_id in client.charges.keys() & held:
            del client.charges[pending_id]
        client.unconfirmed -= held

    def _submit_new(
        self,
        name: str,
        client: Client,
        requests: tuple[SlotRequest, ...],
        now_s: float,
    ) -> None:
        for request in requests:
            if (
                request.id in client.waiting
                or request.id in client.granted
                or request.id in client.denied
            ):
                continue
            if request.customer:
                has_room = self._scheduler.has_room(request.service)
                over = self._take_tokens(_charge(request, has_room), now_s)
                if over is not None:
                    client.denied[request.id] = _over_limit_denial(
                        request.id, over
                    )
                    continue
                client.charges[request.id] = (request.customer, request.tokens)
            future = self._scheduler.submit(
                request.service,
                _pending_request(name, request, now_s),
                soon=True,
            )
            client.waiting[request.id] = future
            on_decision = functools.partial(
                self._on_decision, name, client, request
            )
            future.add_done_callback(on_decision)

    def _on_decision(
        self,
        name: str,
        client: Client,
        request: SlotRequest,
        done: 'asyncio.Future[Decision]',
    ) -> None:
        """Grant or deny a slot, as the scheduler decided."""
        waiting = client.waiting.pop(request.id, None)
        if done.cancelled():
            self._scheduler.withdraw(
                request.service, _pending_id(name, request.id)
            )
            return
        slot = done.result()
        if isinstance(slot, NoRoom):
            client.denied[request.id] = Denial(
                request.id, False, round(slot.retry_after_s or 0.0, 3)
            )
            self._refund(client, request.id)
        elif waiting is None:
            self._scheduler.release(request.service, slot)
            return
        else:
            client.granted[request.id] = (request.service, slot)
            client.unconfirmed.add(request.id)
        self._reply_soon(name)

    def _refund(self, client: Client, pending_id: str) -> None:
        charge = client.charges.pop(pending_id, None)
        if charge is not None:
            self._refund_tokens(*charge)

    def _drop(self, client: Client) -> None:
        for pending_id in tuple(client.waiting):
            client.waiting.pop(pending_id).cancel()
            self._refund(client, pending_id)
        for service, slot in client.granted.values():
            self._scheduler.release(service, slot)
        for held in client.adopted.values():
            self._release_adopted(held)
        client.granted.clear()
        client.adopted.clear()

    def _release_adopted(self, held: HeldSlot) -> None:
        if held.prefilling:
            self._balancer.mark_prompt_read(held.target, _prompt_size(held))
        self._balancer.request_ended(held.target)
        self._scheduler.dispatch(held.service)

    def _reply_soon(self, name: str) -> None:
        if not self._replies_due:
            loop = asyncio.get_running_loop()
            loop.call_later(DECISIONS_DELAY_S, self._send_decisions)
        self._replies_due.add(name)

    def _send_decisions(self) -> None:
        due, self._replies_due = self._replies_due, set()
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


def _charge(request: SlotRequest, has_room: bool) -> Charge:
    return Charge(
        request.customer,
        request.tokens,
        request.charge_is_retry,
        request.most_wait_s,
        has_room,
    )


def _grant(pending_id: str, slot: Slot) -> Grant:
    return Grant(
        pending_id,
        slot.target.name,
        round(slot.prefill_tokens),
        slot.outstanding,
        round(slot.kept_tokens),
    )


def _pending_id(client_name: str, request_id: str) -> str:
    return f'{client_name}/{request_id}'


def _pending_request(
    name: str, request: SlotRequest, now_s: float
) -> PendingRequest:
    ineligible = frozenset(request.ineligible)
    return PendingRequest(
        id=_pending_id(name, request.id),
        rank=request.rank,
        is_retry=request.is_retry,
        arrived_s=now_s - request.age_s,
        goal_s=now_s + request.goal_s,
        patience_s=now_s + request.patience_s,
        deadline_s=now_s + request.time_left_s,
        queue_deadline_s=now_s + request.wait_left_s,
        size=RequestSize(request.prompt_tokens, request.answer_tokens),
        is_eligible=lambda target: target not in ineligible,
        kind=request.kind,
        customer=request.holder or request.customer,
        parts=request.parts,
    )


def _prompt_size(held: HeldSlot) -> RequestSize:
    return RequestSize(held.prompt_tokens)


def _over_limit_denial(pending_id: str, over: OverLimit) -> Denial:
    return Denial(
        pending_id,
        True,
        round(over.delay_s, 3),
        round(over.used_tokens),
        round(over.limit_tokens),
    )
