"""Orders: non-idempotent calls and their records in the ledger.

The ledger is partitioned into slices. Each slice is one object in the
platform's store and is changed by conditional updates only.
"""

from collections.abc import Mapping
import enum

import attrs

from .answer import WholeAnswer


class OrderState(enum.Enum):
    """Progress of the order with a key."""

    CLAIMED = 'claimed'
    RELEASED = 'released'
    DONE = 'done'
    IN_DOUBT = 'in-doubt'


@attrs.frozen
class Entry:
    """The record of one key in a slice.

    Attributes:
        request: digest of the request that the key was sent with.
        claim: id of the claim that created or last changed the entry.
        instance: name of the instance that made the claim.
        state: progress of the order.
        changed_unix_s: time of the last change.
        deadline_unix_s: time after which the holder of the claim no longer
            sends the order.
        key_unix_s: time that the key carries, or 0.
        answer: the stored answer, or None if it was not stored.
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
    """An immutable object with entries moved out of the slice's object.

    Attributes:
        name: name of the object.
        with_answers: whether it holds entries, rather than only fingerprints.
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
        pages: the objects that hold older entries.
        forgotten_unix_s: records of keys that carry this time or an
            earlier one may have been deleted.
    """

    entries: Mapping[str, Entry] = attrs.field(factory=dict)
    pages: tuple[Page, ...] = ()
    forgotten_unix_s: float = 0.0


@attrs.frozen
class Claim:
    """Request for the right to dispatch the order with a key.

    Attributes:
        key: digest of customer and key.
        request: digest of the request.
        claim: unique id of this claim.
        instance: name of the instance that would dispatch.
        deadline_unix_s: time after which the claim is useless.
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
    """The outcome of a claim, to be recorded.

    Attributes:
        claim: the claim that was held.
        state: DONE, IN_DOUBT or RELEASED.
        answer: the answer to store, or None.
    """

    claim: Claim
    state: OrderState
    answer: WholeAnswer | None = None


Change = Claim | Settle


class Verdict(enum.Enum):
    """Result of a change of the ledger."""

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
    """The ledger's response to a change.

    Attributes:
        verdict: the result.
        answer: the stored answer of a completed order, or None.
        deadline_unix_s: time after which the holder of another claim no
            longer sends the order, or 0.
    """

    verdict: Verdict
    answer: WholeAnswer | None = None
    deadline_unix_s: float = 0.0
