"""Requests that wait for a decision of the arbiter, and what it is told."""

import asyncio
from typing import TypeAlias

import attrs

from ..policy.room.pending import PendingRequest
from ..policy.room.token_quota import Charge
from ..policy.room.token_quota import OverLimit
from .arbiter_messages import SlotRequest
from .scheduler import Decision


AcquireResult: TypeAlias = Decision | OverLimit


@attrs.frozen
class NoArbiter:
    """The result of a request that no arbiter can decide on."""


@attrs.define
class WaitingRequest:
    """A request that waits for a decision of the arbiter."""

    service: str
    pending: PendingRequest
    charge: Charge | None
    ineligible: set[str]
    future: 'asyncio.Future[AcquireResult | NoArbiter]'


def slot_request(waiting: WaitingRequest, now_s: float) -> SlotRequest:
    """Return what the arbiter is told of a request."""
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
        wait_left_s=round(pending.queue_deadline_s - now_s, 3),
        prompt_tokens=pending.size.prompt_tokens,
        answer_tokens=pending.size.answer_tokens,
        ineligible=tuple(waiting.ineligible),
        customer=charge.customer if charge else '',
        tokens=charge.tokens if charge else 0.0,
        charge_is_retry=charge.is_retry if charge else False,
        most_wait_s=round(charge.most_wait_s, 3) if charge else 0.0,
        kind=pending.kind,
        holder=pending.customer,
        parts=pending.parts,
    )
