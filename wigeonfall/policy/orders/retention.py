"""Retention and compaction of the entries of the ledger.

Entries move from the object of a slice to immutable pages. Pages first hold
the entries with their answers, later only fingerprints of the keys.
Fingerprints of keys with a timestamp are deleted after KEY_WINDOW_S; the slice
then refuses all keys up to that time. Fingerprints of other keys are kept.
"""

import array
import bisect
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from ...model.answer import WholeAnswer
from ...model import order
from ...model.order import OrderState

COMPACT_BYTES = 32 * 1024
SLICE_BYTES = 800 * 1024
RESERVED_BYTES = 200 * 1024
ANSWER_BYTES = 4 * 1024
ENTRY_BYTES = 400
PAGE_BYTES = 200
PAGE_KEYS = 40_000
SLICE_PAGES = 1_000
FOLD_PAGES = 16
MERGE_PAGES = 16
MERGE_BYTES = 48 * 1024

ANSWER_WINDOW_S = 900.0
KEY_WINDOW_S = 24 * 3600.0
RELEASED_WINDOW_S = 120.0
CLAIMED_WINDOW_S = 600.0

FINGERPRINT_HEX_DIGITS = 16

Fingerprints = array.array


@attrs.frozen
class PageContent:
    """Content of a page: entries by key digest, or sorted fingerprints."""

    entries: Mapping[str, order.Entry] = attrs.field(factory=dict)
    fingerprints: tuple[int, ...] = ()


@attrs.frozen
class Compaction:
    """The result of compacting a slice.

    Attributes:
        slice: the slice to write once the new pages exist.
        created: contents of the new pages, by name.
        obsolete: names of pages that the new slice no longer uses.
    """

    slice: order.Slice
    created: Mapping[str, PageContent]
    obsolete: tuple[str, ...]


def fingerprint(key: str) -> int:
    """Return the fingerprint of a key digest."""
    return int(key[:FINGERPRINT_HEX_DIGITS], 16)


def fingerprints_of(content: PageContent) -> Fingerprints:
    """Return the sorted fingerprints of the keys in a page."""
    if content.fingerprints:
        return array.array('Q', content.fingerprints)
    return array.array('Q', sorted(fingerprint(k) for k in content.entries))


def contains_key(fingerprints: Fingerprints, key: str) -> bool:
    """Return whether sorted fingerprints contain that of a key digest."""
    searched = fingerprint(key)
    position = bisect.bisect_left(fingerprints, searched)
    return position < len(fingerprints) and fingerprints[position] == searched


def storable_answer(answer: WholeAnswer) -> WholeAnswer | None:
    """Return the answer if it is small enough to be stored, else None."""
    return answer if _answer_bytes(answer) <= ANSWER_BYTES else None


def size_bytes(current: order.Slice) -> int:
    """Return an upper estimate of a slice's encoded size."""
    return len(current.pages) * PAGE_BYTES + _entries_bytes(current)


def drop_answer_if_full(change: order.Change, free_bytes: int) -> order.Change:
    """Return a change, without its answer if that does not fit."""
    if isinstance(change, order.Claim) or change.answer is None:
        return change
    if _answer_bytes(change.answer) <= free_bytes - ENTRY_BYTES:
        return change
    return attrs.evolve(change, answer=None)


def free_bytes(current: order.Slice) -> int:
    """Return how many bytes a slice may still grow."""
    return SLICE_BYTES - size_bytes(current)


def is_full(current: order.Slice) -> bool:
    """Return whether a slice has no space for another claim."""
    if len(current.pages) >= SLICE_PAGES:
        return True
    return free_bytes(current) < RESERVED_BYTES


def compact(
    current: order.Slice,
    load: Callable[[str], PageContent | None],
    new_name: Callable[[], str],
    now_unix_s: float,
) -> Compaction | None:
    """Return a compacted slice, or None if no compaction is due.

    Args:
        current: the slice.
        load: returns the content of a page, or None if it cannot be read.
        new_name: returns a page name that was never used.
        now_unix_s: present time in seconds since the epoch.
    """
    if _entries_bytes(current) <= COMPACT_BYTES:
        return None
    small, merged = _merge_small_pages(current, load, new_name)
    small, created = _move_entries(small, new_name, now_unix_s)
    created.update(merged)
    small = _drop_expired_key_pages(small, now_unix_s)
    small, folded = _replace_answers_by_fingerprints(
        small, load, new_name, now_unix_s
    )
    if small is current:
        return None
    created.update(folded)
    kept = {page.name for page in small.pages}
    created = {name: c for name, c in created.items() if name in kept}
    obsolete = tuple(p.name for p in current.pages if p.name not in kept)
    return Compaction(small, created, obsolete)


def _move_entries(
    current: order.Slice, new_name: Callable[[], str], now_unix_s: float
) -> tuple[order.Slice, dict[str, PageContent]]:
    dropped = {
        key
        for key, entry in current.entries.items()
        if _is_release_expired(entry, now_unix_s)
    }
    moved = {
        key: entry
        for key, entry in current.entries.items()
        if _may_move_to_page(entry, now_unix_s)
    }
    if not dropped and not moved:
        return current, {}
    kept = {
        key: entry
        for key, entry in current.entries.items()
        if key not in dropped and key not in moved
    }
    small = attrs.evolve(current, entries=kept)
    if not moved:
        return small, {}
    page = _answers_page(new_name(), moved)
    small = attrs.evolve(small, pages=(*small.pages, page))
    return small, {page.name: PageContent(entries=moved)}


def _answers_page(name: str, entries: Mapping[str, order.Entry]) -> order.Page:
    return order.Page(
        name=name,
        with_answers=True,
        entries=len(entries),
        newest_unix_s=max(e.changed_unix_s for e in entries.values()),
        timed=False,
        size_bytes=sum(_entry_bytes(e) for e in entries.values()),
    )


def _merge_small_pages(
    current: order.Slice,
    load: Callable[[str], PageContent | None],
    new_name: Callable[[], str],
) -> tuple[order.Slice, dict[str, PageContent]]:
    small = [
        page
        for page in current.pages
        if page.with_answers and page.size_bytes < MERGE_BYTES
    ][:MERGE_PAGES]
    if len(small) < MERGE_PAGES:
        return current, {}
    entries: dict[str, order.Entry] = {}
    for page in small:
        content = load(page.name)
        if content is None:
            return current, {}
        entries.update(content.entries)
    merged = _answers_page(new_name(), entries)
    rest = tuple(page for page in current.pages if page not in small)
    current = attrs.evolve(current, pages=(*rest, merged))
    return current, {merged.name: PageContent(entries=entries)}


def _is_release_expired(entry: order.Entry, now_unix_s: float) -> bool:
    if entry.state is not OrderState.RELEASED:
        return False
    return now_unix_s - entry.deadline_unix_s > RELEASED_WINDOW_S


def _may_move_to_page(entry: order.Entry, now_unix_s: float) -> bool:
    if entry.state is OrderState.CLAIMED:
        return now_unix_s - entry.deadline_unix_s > CLAIMED_WINDOW_S
    return entry.state in (OrderState.DONE, OrderState.IN_DOUBT)


def _drop_expired_key_pages(
    current: order.Slice, now_unix_s: float
) -> order.Slice:
    past = [
        page
        for page in current.pages
        if page.timed and now_unix_s - page.newest_unix_s > KEY_WINDOW_S
    ]
    if not past:
        return current
    newest_unix_s = max(page.newest_unix_s for page in past)
    return attrs.evolve(
        current,
        pages=tuple(p for p in current.pages if p not in past),
        forgotten_unix_s=max(current.forgotten_unix_s, newest_unix_s),
    )


def _replace_answers_by_fingerprints(
    current: order.Slice,
    load: Callable[[str], PageContent | None],
    new_name: Callable[[], str],
    now_unix_s: float,
) -> tuple[order.Slice, dict[str, PageContent]]:
    created: dict[str, PageContent] = {}
    old = [
        page
        for page in current.pages
        if page.with_answers
        and now_unix_s - page.newest_unix_s > ANSWER_WINDOW_S
    ]
    if len(old) < FOLD_PAGES:
        return current, created
    for page in old:
        content = load(page.name)
        if content is None:
            continue
        rest = tuple(p for p in current.pages if p is not page)
        current = attrs.evolve(current, pages=rest)
        for timed in (True, False):
            entries = {
                key: entry
                for key, entry in content.entries.items()
                if bool(entry.key_unix_s) is timed
            }
            if entries:
                current = _add_fingerprints(
                    current, entries, timed, load, new_name, created
                )
    return current, created


def _add_fingerprints(
    current: order.Slice,
    entries: Mapping[str, order.Entry],
    timed: bool,
    load: Callable[[str], PageContent | None],
    new_name: Callable[[], str],
    created: dict[str, PageContent],
) -> order.Slice:
    newest_unix_s = max(e.key_unix_s for e in entries.values())
    values = {fingerprint(key) for key in entries}
    pages = current.pages
    partial = _page_with_room(pages, timed, len(entries))
    if partial is not None:
        content = created.pop(partial.name, None) or load(partial.name)
        if content is not None:
            values.update(content.fingerprints)
            newest_unix_s = max(newest_unix_s, partial.newest_unix_s)
            pages = tuple(p for p in pages if p is not partial)
    page = order.Page(new_name(), False, len(values), newest_unix_s, timed)
    created[page.name] = PageContent(fingerprints=tuple(sorted(values)))
    return attrs.evolve(current, pages=(*pages, page))


def _page_with_room(
    pages: Iterable[order.Page], timed: bool, entries: int
) -> order.Page | None:
    for page in pages:
        if page.with_answers or page.timed is not timed:
            continue
        if page.entries + entries <= PAGE_KEYS:
            return page
    return None


def _entries_bytes(current: order.Slice) -> int:
    return sum(_entry_bytes(entry) for entry in current.entries.values())


def _entry_bytes(entry: order.Entry) -> int:
    if entry.answer is None:
        return ENTRY_BYTES
    return ENTRY_BYTES + _answer_bytes(entry.answer)


def _answer_bytes(answer: WholeAnswer) -> int:
    headers = sum(len(k) + len(v) + 8 for k, v in answer.headers)
    return headers + len(answer.body) * 5 // 4
