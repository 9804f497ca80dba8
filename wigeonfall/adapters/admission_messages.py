"""Messages between an arbiter and its instances, encoded and decoded.

Times go as differences, since the clocks of two processes differ.
"""

from collections.abc import Iterable

from ..policy.room.grants import AnswerReport
from ..policy.room.grants import Decision
from ..policy.room.grants import Granted
from ..policy.room.grants import HeldGrant
from ..policy.room.grants import PendingRequest
from ..policy.room.grants import Revoked
from ..policy.room.grants import Shed
from ..policy.room.grants import ShedReason
from .proto import admission_pb2

_REASONS = {
    ShedReason.OVERLOADED: admission_pb2.SHED_REASON_OVERLOADED,
    ShedReason.DEADLINE: admission_pb2.SHED_REASON_DEADLINE,
    ShedReason.NO_TARGET: admission_pb2.SHED_REASON_NO_TARGET,
}
_REASONS_BY_NUMBER = {number: reason for reason, number in _REASONS.items()}


def _to_ms(duration_s: float) -> int:
    return max(0, round(duration_s * 1000))


def encode_held(held: HeldGrant, now_s: float) -> admission_pb2.Held:
    """Return the message that carries a grant."""
    return admission_pb2.Held(
        id=held.id,
        target=held.target,
        rank=held.rank,
        cost_tokens=held.cost_tokens,
        revocable=held.revocable,
        granted_ms_ago=_to_ms(now_s - held.granted_s),
        deadline_in_ms=_to_ms(held.deadline_s - now_s),
    )


def decode_held(
    message: admission_pb2.Held, holder: str, now_s: float
) -> HeldGrant:
    """Return the grant that a message carries."""
    return HeldGrant(
        message.id,
        holder,
        message.target,
        message.rank,
        message.cost_tokens,
        message.revocable,
        now_s - message.granted_ms_ago / 1000,
        now_s + message.deadline_in_ms / 1000,
    )


def encode_pending(
    pending: PendingRequest, now_s: float
) -> admission_pb2.Pending:
    """Return the message that carries a wait."""
    return admission_pb2.Pending(
        id=pending.id,
        customer=pending.customer,
        weight=pending.weight,
        rank=pending.rank,
        cost_tokens=pending.cost_tokens,
        waited_ms=_to_ms(now_s - pending.arrived_s),
        deadline_in_ms=_to_ms(pending.deadline_s - now_s),
        revocable=pending.revocable,
        prefix_hash=pending.prefix_hash,
        excluded_targets=sorted(pending.excluded_targets),
        version=pending.version,
        prefix_hashes=pending.prefix_hashes,
        prompt_tokens=pending.prompt_tokens,
        answer_tokens=pending.answer_tokens,
    )


def decode_pending(
    message: admission_pb2.Pending, holder: str, now_s: float
) -> PendingRequest:
    """Return the wait that a message carries."""
    return PendingRequest(
        id=message.id,
        holder=holder,
        customer=message.customer,
        weight=message.weight,
        rank=message.rank,
        cost_tokens=message.cost_tokens,
        arrived_s=now_s - message.waited_ms / 1000,
        deadline_s=now_s + message.deadline_in_ms / 1000,
        revocable=message.revocable,
        prefix_hash=message.prefix_hash,
        excluded_targets=frozenset(message.excluded_targets),
        version=message.version,
        prefix_hashes=tuple(message.prefix_hashes),
        prompt_tokens=message.prompt_tokens,
        answer_tokens=message.answer_tokens,
    )


def encode_report(report: AnswerReport) -> admission_pb2.Report:
    """Return the message that carries a report on an answer."""
    pace_us = None
    if report.pace_s is not None:
        pace_us = max(0, round(report.pace_s * 1_000_000))
    return admission_pb2.Report(
        id=report.id, cached_tokens=report.cached_tokens, pace_us=pace_us
    )


def decode_report(message: admission_pb2.Report) -> AnswerReport:
    """Return the report that a message carries."""
    return AnswerReport(
        message.id,
        message.cached_tokens if message.HasField('cached_tokens') else None,
        message.pace_us / 1_000_000 if message.HasField('pace_us') else None,
    )


def encode_decisions(
    decisions: Iterable[Decision],
) -> admission_pb2.FromArbiter:
    """Return the message that carries decisions for one holder."""
    message = admission_pb2.FromArbiter()
    for decision in decisions:
        match decision:
            case Granted():
                message.granted.add(id=decision.id, target=decision.target)
            case Revoked():
                message.revoked.append(decision.id)
            case Shed():
                reason = _REASONS[decision.reason]
                message.shed.add(id=decision.id, reason=reason)
    return message


def decode_decisions(
    message: admission_pb2.FromArbiter, holder: str
) -> tuple[Decision, ...]:
    """Return the decisions that a message carries."""
    decisions: list[Decision] = [
        Revoked(wait_id, holder) for wait_id in message.revoked
    ]
    decisions.extend(
        Granted(item.id, holder, item.target) for item in message.granted
    )
    decisions.extend(
        Shed(
            item.id,
            holder,
            _REASONS_BY_NUMBER.get(item.reason, ShedReason.OVERLOADED),
        )
        for item in message.shed
    )
    return tuple(decisions)
