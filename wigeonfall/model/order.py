"""Orders: non-idempotent calls and what the ledger keeps of them.

The ledger is cut into slices. Each slice is one object in the platform's
store, which only conditional updates change.
"""

from collections.abc import Mapping
import enum

import attrs

from .answer import WholeAnswer


class OrderState(enum.Enum):
    """How far the order under a key came."""

    CLAIMED = 'claimed'
    RELEASED = 'released'
    DONE = 'done'
    IN_DOUBT = 'in-doubt'


@attrs.frozen
class Entry:
    """What a slice keeps of one key.

    Attributes:
        request: digest of the request that came with the key.
        claim: id of the claim that made or last changed the entry.
        instance: name of the instance that made the claim.
        state: how far the order came.
        changed_unix_s: time of the last change.
        deadline_unix_s: time after which the claim's holder does not send.
        key_unix_s: time that the key carries, or 0.
        answer: the stored answer, or None if it was not kept.
    """

    request: str
    claim: str
    instance: str
    state: OrderState
    changed_unix_s: float
    deadline_unix_s: float
    key_unix_s: float = 0.0
    answer: WholeAnswer | None = None


@attrs.frozen
class Page:
    """An immutable object with entries that left a slice's own object.

    Attributes:
        name: name of the object.
        with_answers: whether it holds entries, or only fingerprints.
        entries: number of keys.
        newest_unix_s: time of the last change of any entry; in a page of
            fingerprints, the latest time that a key carries.
        timed: whether all its keys carry a time.
        size_bytes: upper estimate of its size.
    """

    name: str
    with_answers: bool
    entries: int
    newest_unix_s: float
    timed: bool
    size_bytes: int = 0


@attrs.frozen
class Slice:
    """One slice of the ledger.

    Attributes:
        entries: the recent entries by key digest.
        pages: the objects that hold older ones.
        forgotten_unix_s: keys that carry this time or an earlier one may
            have been forgotten.
    """

    entries: Mapping[str, Entry] = attrs.field(factory=dict)
    pages: tuple[Page, ...] = ()
    forgotten_unix_s: float = 0.0


@attrs.frozen
class Claim:
    """Asks for the right to dispatch the order under a key.

    Attributes:
        key: digest of customer and key.
        request: digest of the request.
        claim: unique id of this claim.
        instance: name of the instance that would dispatch.
        deadline_unix_s: time after which the claim is of no use.
        key_unix_s: time that the key carries, or 0.
    """

    key: str
    request: str
    claim: str
    instance: str
    deadline_unix_s: float
    key_unix_s: float = 0.0


@attrs.frozen
class Settle:
    """Records the outcome of a claim.

    Attributes:
        claim: the claim that was held.
        state: DONE, IN_DOUBT or RELEASED.
        answer: the answer to keep, or None.
    """

    claim: Claim
    state: OrderState
    answer: WholeAnswer | None = None


Change = Claim | Settle


class Verdict(enum.Enum):
    """What the ledger says to a change."""

    GRANTED = 'granted'
    RECORDED = 'recorded'
    CLAIMED = 'claimed'
    DONE = 'done'
    IN_DOUBT = 'in-doubt'
    KEY_REUSED = 'key-reused'
    KEY_EXPIRED = 'key-expired'
    ABANDONED = 'abandoned'
    FULL = 'full'


@attrs.frozen
class Decision:
    """The ledger's answer to a change.

    Attributes:
        verdict: what it says.
        answer: the stored answer of an order that is done, or None.
        deadline_unix_s: time after which another claim's holder does not
            send, or 0.
    """

    verdict: Verdict
    answer: WholeAnswer | None = None
    deadline_unix_s: float = 0.0
