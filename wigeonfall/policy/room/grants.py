"""Data types of admission: pending requests, grants and decisions."""

import enum
from typing import TypeAlias

import attrs


@attrs.frozen
class PendingRequest:
    """A request that waits for a target.

    Attributes:
        id: identifier of this wait, unique across all instances.
        holder: instance that the caller is connected to.
        customer: name of the customer.
        weight: the customer's weight within its tier.
        rank: rank of the tier; 0 has the highest priority.
        cost_tokens: estimated tokens of work that it causes at a target.
        arrived_s: time of arrival in the queue.
        deadline_s: time at which it is shed if no target was granted.
        revocable: whether a grant may be revoked after dispatch.
        prefix_hash: hash of the first block of the prompt, or 0.
        excluded_targets: names of targets that must not be chosen.
        version: version that the target must serve, or '' for any.
        prefix_hashes: sampled hashes of the prompt's prefixes.
        prompt_tokens: estimated tokens of the prompt.
        answer_tokens: maximum tokens to generate.
    """

    id: str
    holder: str
    customer: str
    weight: float
    rank: int
    cost_tokens: int
    arrived_s: float
    deadline_s: float
    revocable: bool
    prefix_hash: int = 0
    excluded_targets: frozenset[str] = frozenset()
    version: str = ''
    prefix_hashes: tuple[int, ...] = ()
    prompt_tokens: int = 0
    answer_tokens: int = 0


@attrs.frozen
class HeldGrant:
    """A grant that an instance holds.

    Attributes:
        id: identifier of the pending request that was granted.
        holder: instance that holds it.
        target: name of the target.
        rank: rank of the tier.
        cost_tokens: estimated tokens of work at the target.
        revocable: whether it may be revoked.
        granted_s: time of the grant.
        deadline_s: time by which the request has ended in any case.
    """

    id: str
    holder: str
    target: str
    rank: int
    cost_tokens: int
    revocable: bool
    granted_s: float
    deadline_s: float


@attrs.frozen
class AnswerReport:
    """What a holder reports on the answer to a granted request.

    Attributes:
        id: identifier of the pending request that was granted.
        cached_tokens: prompt tokens found in the target's cache, or None.
        pace_s: mean time between the tokens of a complete answer, or None
            while the answer is still running.
    """

    id: str
    cached_tokens: int | None = None
    pace_s: float | None = None


class ShedReason(enum.Enum):
    """Why a pending request was shed."""

    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline'
    NO_TARGET = 'no-target'


@attrs.frozen
class Granted:
    """Decision: a pending request is granted a target."""

    id: str
    holder: str
    target: str


@attrs.frozen
class Revoked:
    """Decision: a holder has to release a grant."""

    id: str
    holder: str


@attrs.frozen
class Shed:
    """Decision: a pending request ends without a target."""

    id: str
    holder: str
    reason: ShedReason


Decision: TypeAlias = Granted | Revoked | Shed


@attrs.frozen
class TargetLoad:
    """The outstanding work of a target that has room.

    Attributes:
        name: name of the target.
        requests: requests outstanding.
        tokens: tokens outstanding.
    """

    name: str
    requests: int
    tokens: int


@attrs.frozen
class PoolLimits:
    """Bounds of one pool.

    Attributes:
        outstanding_requests: maximum requests outstanding at one target.
        outstanding_tokens: maximum tokens outstanding at one target.
        queued_requests: queue length above which requests are shed.
    """

    outstanding_requests: int
    outstanding_tokens: int
    queued_requests: int
