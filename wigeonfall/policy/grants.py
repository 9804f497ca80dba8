"""Values that admission decides over: waiting requests and grants."""

import enum
from typing import TypeAlias

import attrs


@attrs.frozen
class PendingRequest:
    """A request that waits for a target.

    Attributes:
        id: identifier of this wait, unique over all instances.
        holder: the instance that the caller is connected to.
        customer: name of the customer.
        weight: the customer's weight within its tier.
        rank: rank of the tier; 0 is served first.
        cost_tokens: tokens that the request keeps a target busy with.
        arrived_s: when the wait began.
        deadline_s: when the wait ends.
        revocable: whether a grant may be revoked after dispatch.
        prefix_hash: hash of the leading block of the prompt, or 0.
        excluded_targets: names of targets that must not be chosen.
        version: version that the target must serve, or '' for any.
        prefix_hashes: sampled hashes of the prompt's leading blocks.
        prompt_tokens: estimated tokens to read.
        answer_tokens: most tokens to generate.
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
        id: identifier of the wait that it ended.
        holder: the instance that holds it.
        target: name of the target.
        rank: rank of the tier.
        cost_tokens: tokens that it keeps the target busy with.
        revocable: whether it may be revoked.
        granted_s: when it was granted.
        deadline_s: when the request has ended in any case.
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
    """What a holder tells of the answer to a granted request.

    Attributes:
        id: identifier of the wait that the grant ended.
        cached_tokens: prompt tokens that the target's cache held, or None.
        pace_s: mean time between the tokens of a whole answer, or None when
            the answer has only begun.
    """

    id: str
    cached_tokens: int | None = None
    pace_s: float | None = None


class ShedReason(enum.Enum):
    """Why a wait ended without a grant."""

    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline'
    NO_TARGET = 'no-target'


@attrs.frozen
class Granted:
    """Decision: a wait ends with a target."""

    id: str
    holder: str
    target: str


@attrs.frozen
class Revoked:
    """Decision: a holder has to give a grant back."""

    id: str
    holder: str


@attrs.frozen
class Shed:
    """Decision: a wait ends without a target."""

    id: str
    holder: str
    reason: ShedReason


Decision: TypeAlias = Granted | Revoked | Shed


@attrs.frozen
class TargetLoad:
    """What is outstanding at a target that has room.

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
        outstanding_requests: most requests outstanding at one target.
        outstanding_tokens: most tokens outstanding at one target.
        queued_requests: waiting requests above which some are shed.
    """

    outstanding_requests: int
    outstanding_tokens: int
    queued_requests: int
