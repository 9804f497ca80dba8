"""Decides claims on orders, by idempotency key, in one slice of the ledger.

Three rules ensure that an order is dispatched at most once. A key is granted
only if its entry is missing or released. An entry is released only by the
holder of its claim, which then never dispatches. An entry that may have been
dispatched is deleted only if the slice refuses its key from then on.
"""

from collections.abc import Callable
import hashlib
import uuid

import attrs
import xxhash

from ...model import order
from ...model.order import OrderState
from ...model.order import Verdict

KEY_DIGEST_BYTES = 16
MAX_KEY_TIME_AHEAD_S = 300.0
RESTORED_COPY_AGE_S = 60.0  # stores are restored from younger copies

IsInPages = Callable[[str], bool]


def key_digest(customer: str, key: str) -> str:
    """Return the digest under which a key of a customer is stored."""
    return _digest(customer.encode(), key.encode())


def request_digest(service: str, method: str, path: str, body: bytes) -> str:
    """Return a digest that identifies the content of a request."""
    return _digest(service.encode(), method.encode(), path.encode(), body)


def slice_number(key: str, slices: int) -> int:
    """Return the number of the slice that a key digest belongs to."""
    return xxhash.xxh3_64_intdigest(key.encode()) % slices


def key_time_unix_s(key: str, now_unix_s: float) -> float:
    """Return the timestamp in a caller's key.

    Args:
        key: the key as sent by the caller.
        now_unix_s: present time in seconds since the epoch.

    Returns:
        The time in a version 7 UUID, or 0 if the key has none or one too far
        in the future.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return 0.0
    if parsed.version != 7:
        return 0.0
    key_time_s = (parsed.int >> 80) / 1000
    if key_time_s > now_unix_s + MAX_KEY_TIME_AHEAD_S:
        return 0.0
    return key_time_s


def decide(
    current: order.Slice,
    change: order.Change,
    is_in_pages: IsInPages,
    is_full: bool,
    now_unix_s: float,
) -> tuple[order.Slice, order.Decision]:
    """Decide one change of a slice.

    A change that is repeated after it took effect gets the same decision and
    has no further effect.

    Args:
        current: the slice before the change.
        change: the claim or outcome.
        is_in_pages: whether a page of the slice holds a key digest.
        is_full: whether the slice has no space for another entry.
        now_unix_s: present time in seconds since the epoch.

    Returns:
        The slice after the change, which is the same object if nothing
        changed, and the decision.
    """
    if isinstance(change, order.Claim):
        return _decide_claim(current, change, is_in_pages, is_full, now_unix_s)
    return _decide_outcome(current, change, is_in_pages, now_unix_s)


def with_lost_entries(
    stored: order.Slice,
    known: order.Slice,
    is_in_pages: IsInPages,
    now_unix_s: float,
) -> order.Slice:
    """Return a slice with the recent entries that its store has lost.

    A store that was restored from an older copy lacks the newest claims and
    outcomes. Without them an order could run a second time.

    Args:
        stored: the slice as it is stored.
        known: the slice as it was known before.
        is_in_pages: whether a page has a key.
        now_unix_s: present time in seconds since the epoch.
    """
    lost = {
        key: entry
        for key, entry in known.entries.items()
        if now_unix_s - entry.changed_unix_s <= RESTORED_COPY_AGE_S
        and _is_lost(stored.entries.get(key), entry)
        and not is_in_pages(key)
    }
    if not lost:
        return stored
    return attrs.evolve(stored, entries={**stored.entries, **lost})


def _is_lost(stored: order.Entry | None, known: order.Entry) -> bool:
    if stored is None:
        return known.state is not OrderState.RELEASED
    if known.state is OrderState.DONE:
        return stored.state is not OrderState.DONE
    return (
        known.state is OrderState.IN_DOUBT
        and stored.state is OrderState.CLAIMED
        and stored.claim == known.claim
    )


def _decide_claim(
    current: order.Slice,
    claim: order.Claim,
    is_in_pages: IsInPages,
    is_full: bool,
    now_unix_s: float,
) -> tuple[order.Slice, order.Decision]:
    entry = current.entries.get(claim.key)
    if entry is not None and entry.request != claim.request:
        return current, order.Decision(Verdict.KEY_REUSED)
    if entry is not None and entry.claim == claim.claim:
        return current, _decision_for_own(entry)
    if entry is not None and entry.state is not OrderState.RELEASED:
        return current, decision_for_repeat(entry)
    if entry is None and _is_expired(current, claim, is_in_pages):
        return current, order.Decision(Verdict.KEY_EXPIRED)
    if now_unix_s > claim.deadline_unix_s:
        return current, order.Decision(Verdict.ABANDONED)
    if entry is None and is_full:
        return current, order.Decision(Verdict.FULL)
    granted = _entry(claim, OrderState.CLAIMED, now_unix_s)
    return (
        with_entry(current, claim.key, granted),
        order.Decision(Verdict.GRANTED),
    )


def _decision_for_own(entry: order.Entry) -> order.Decision:
    if entry.state is OrderState.CLAIMED:
        return order.Decision(Verdict.GRANTED)
    if entry.state is OrderState.RELEASED:
        return order.Decision(Verdict.ABANDONED)
    return decision_for_repeat(entry)


def decision_for_repeat(entry: order.Entry) -> order.Decision:
    """Return the decision on a repeated key whose order may have run."""
    if entry.state is OrderState.DONE:
        return order.Decision(Verdict.DONE, entry.answer)
    if entry.state is OrderState.IN_DOUBT:
        return order.Decision(Verdict.IN_DOUBT)
    return order.Decision(
        Verdict.CLAIMED, deadline_unix_s=entry.deadline_unix_s
    )


def _decide_outcome(
    current: order.Slice,
    change: order.Settle,
    is_in_pages: IsInPages,
    now_unix_s: float,
) -> tuple[order.Slice, order.Decision]:
    claim = change.claim
    recorded = order.Decision(Verdict.RECORDED)
    entry = current.entries.get(claim.key)
    if entry is None:
        if change.state is not OrderState.RELEASED:
            return current, recorded
        if _is_expired(current, claim, is_in_pages):
            return current, recorded
        # The released entry voids a claim that is still in transit.
    elif entry.claim != claim.claim or entry.state is not OrderState.CLAIMED:
        return current, recorded
    settled = _entry(claim, change.state, now_unix_s, change.answer)
    return with_entry(current, claim.key, settled), recorded


def _is_expired(
    current: order.Slice, claim: order.Claim, is_in_pages: IsInPages
) -> bool:
    if claim.key_unix_s and claim.key_unix_s <= current.forgotten_unix_s:
        return True
    return is_in_pages(claim.key)


def _entry(
    claim: order.Claim,
    state: OrderState,
    now_unix_s: float,
    answer: order.WholeAnswer | None = None,
) -> order.Entry:
    return order.Entry(
        request=claim.request,
        claim=claim.claim,
        instance=claim.instance,
        state=state,
        changed_unix_s=now_unix_s,
        deadline_unix_s=claim.deadline_unix_s,
        key_unix_s=claim.key_unix_s,
        answer=answer,
    )


def with_entry(
    current: order.Slice, key: str, entry: order.Entry
) -> order.Slice:
    """Return a slice with one entry set."""
    return attrs.evolve(current, entries={**current.entries, key: entry})


def _digest(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=KEY_DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()
