"""Writes slices of the ledger to the platform's store.

A commit decides a batch of changes on the cached state of a slice and writes
the result with one conditional update. After a conflict or a write of unknown
effect the slice is reloaded and the batch decided again, which is safe because
changes are idempotent.
"""

import base64
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import TypeVar
import uuid

import attrs
import cattrs
import cattrs.preconf.json
from result import Err
from result import Ok
from result import Result

from ..events import Event
from ..model import order
from ..model.order import Verdict
from ..policy.orders import ledger
from ..policy.orders import retention
from ..ports.ledger import Decisions
from ..ports.ledger import LedgerError
from ..ports.platform import Platform
from ..ports.platform import PlatformError
from ..ports.platform import PlatformErrorKind
from ..ports.platform import StoredObject
from ..recorder import Record

KIND = 'orders'
LAYOUT_NAME = 'layout'
MAX_COMMIT_ATTEMPTS = 6

# Verdicts that are returned without a reload of the cached slice.
_FINAL_VERDICTS = frozenset(
    {
        Verdict.GRANTED,
        Verdict.DONE,
        Verdict.IN_DOUBT,
        Verdict.KEY_REUSED,
        Verdict.KEY_EXPIRED,
    }
)

_T = TypeVar('_T')


def _make_converter() -> cattrs.Converter:
    converter = cattrs.preconf.json.make_converter(omit_if_default=True)
    # The default encoding of bytes, base 85, is slow in Python.
    converter.register_unstructure_hook(
        bytes, lambda value: base64.b64encode(value).decode()
    )
    converter.register_structure_hook(
        bytes, lambda value, _: base64.b64decode(value)
    )
    return converter


_converter = _make_converter()


@attrs.frozen
class Layout:
    """How the ledger is divided into slices.

    Attributes:
        slices: number of slices.
    """

    slices: int


class SliceWriter:
    """Caches the state of one slice and commits changes of it.

    Only one thread at a time may commit.
    """

    def __init__(
        self,
        name: str,
        platform: Platform,
        record: Record,
        now_unix_s: Callable[[], float],
    ) -> None:
        self.name = name
        self._platform = platform
        self._record = record
        self._now_unix_s = now_unix_s
        self._object: StoredObject | None = None
        self._slice = order.Slice()
        self._is_current = False
        self._has_unwritten = False  # entries that the store has lost
        self._pages: dict[str, retention.Fingerprints] = {}

    def commit(self, changes: Sequence[order.Change]) -> Decisions:
        """Decide changes and write the resulting slice.

        Returns:
            One decision for each change, or an error if the store could not
            be reached or other writers kept changing the slice.
        """
        message = 'the slice keeps changing'
        maybe_written = False
        for _ in range(MAX_COMMIT_ATTEMPTS):
            reloaded = not self._is_current
            if reloaded:
                loaded = self._reload()
                if isinstance(loaded, Err):
                    message = loaded.err_value.message
                    break
            changed, decisions = self._decide(changes)
            if changed is self._slice and not self._has_unwritten:
                if reloaded or _are_final(decisions):
                    return self._look_up_all_in_pages(changes, decisions)
                self._is_current = False
                continue
            written = self._write(changed)
            if isinstance(written, Ok):
                self._compact()
                return self._look_up_all_in_pages(changes, decisions)
            error = written.err_value
            maybe_written = maybe_written or error.effect_unknown
            if not _is_retryable(error):
                message = error.message
                break
        return Err(LedgerError(message, maybe_written))

    def known_decision(self, change: order.Change) -> order.Decision | None:
        """Return the decision on a claim if its order is known as done."""
        if not isinstance(change, order.Claim):
            return None
        entry = self._slice.entries.get(change.key)
        if entry is None or entry.state is not order.OrderState.DONE:
            return None
        if entry.request != change.request:
            return order.Decision(Verdict.KEY_REUSED)
        return ledger.decision_for_repeat(entry)

    def _decide(
        self, changes: Sequence[order.Change]
    ) -> tuple[order.Slice, list[order.Decision]]:
        current = self._slice
        is_full = retention.is_full(current)
        now_unix_s = self._now_unix_s()
        decisions = []
        for change in changes:
            if isinstance(change, order.Settle):
                free_bytes = retention.free_bytes(current)
                change = retention.drop_answer_if_full(change, free_bytes)
            current, decision = ledger.decide(
                current, change, self._is_in_pages, is_full, now_unix_s
            )
            decisions.append(decision)
        return current, decisions

    def _is_in_pages(self, key: str) -> bool:
        return any(
            retention.contains_key(p, key) for p in self._pages.values()
        )

    def _reload(self) -> Result[None, PlatformError]:
        got = self._platform.get(KIND, self.name)
        if isinstance(got, Ok):
            stored = got.ok_value
            decoded = _decode(stored, order.Slice)
            if isinstance(decoded, Err):
                return decoded
            current = decoded.ok_value
        elif got.err_value.kind is PlatformErrorKind.NOT_FOUND:
            stored = None
            current = order.Slice()
        else:
            return Err(got.err_value)
        pages = self._load_pages(current)
        if isinstance(pages, Err):
            return pages
        self._pages = pages.ok_value
        whole = ledger.with_lost_entries(
            current, self._slice, self._is_in_pages, self._now_unix_s()
        )
        self._has_unwritten = whole is not current
        self._set_state(stored, whole)
        return Ok(None)

    def _load_pages(
        self, current: order.Slice
    ) -> Result[dict[str, retention.Fingerprints], PlatformError]:
        pages = {}
        for page in current.pages:
            if page.name in self._pages:
                pages[page.name] = self._pages[page.name]
                continue
            content = self._read_page(page.name)
            if isinstance(content, Err):
                return content
            pages[page.name] = retention.fingerprints_of(content.ok_value)
        return Ok(pages)

    def _read_page(
        self, name: str
    ) -> Result[retention.PageContent, PlatformError]:
        got = self._platform.get(KIND, name)
        return got.and_then(
            lambda stored: _decode(stored, retention.PageContent)
        )

    def _set_state(
        self, stored: StoredObject | None, current: order.Slice
    ) -> None:
        self._object = stored
        self._slice = current
        self._is_current = True

    def _write(self, changed: order.Slice) -> Result[None, PlatformError]:
        value = _converter.unstructure(changed)
        if self._object is None:
            written = self._platform.create(KIND, self.name, value)
        else:
            written = self._platform.update(
                StoredObject(KIND, self.name, self._object.version, value)
            )
        if isinstance(written, Err):
            # The stored state is unknown until the next read.
            self._is_current = False
            self._record(
                Event.SLICE_NOT_WRITTEN,
                slice=self.name,
                kind=written.err_value.kind.value,
                effect_unknown=written.err_value.effect_unknown,
            )
            return Err(written.err_value)
        self._has_unwritten = False
        self._set_state(written.ok_value, changed)
        return Ok(None)

    def _look_up_all_in_pages(
        self,
        changes: Sequence[order.Change],
        decisions: Sequence[order.Decision],
    ) -> Decisions:
        return Ok(
            [
                self._look_up_in_pages(change, decision)
                for change, decision in zip(changes, decisions, strict=True)
            ]
        )

    def _look_up_in_pages(
        self, change: order.Change, decision: order.Decision
    ) -> order.Decision:
        """Return the stored outcome of an order that was moved to a page.

        Other decisions are returned unchanged.
        """
        if not isinstance(change, order.Claim):
            return decision
        if decision.verdict is not Verdict.KEY_EXPIRED:
            return decision
        for page in self._slice.pages:
            fingerprints = self._pages[page.name]
            if not page.with_answers:
                continue
            if not retention.contains_key(fingerprints, change.key):
                continue
            content = self._read_page(page.name)
            if isinstance(content, Err):
                return order.Decision(Verdict.IN_DOUBT)
            entry = content.ok_value.entries.get(change.key)
            if entry is not None:
                return _decision_from_page(change, entry)
        return decision

    def _compact(self) -> None:
        compaction = retention.compact(
            self._slice,
            lambda name: self._read_page(name).ok(),
            lambda: f'{self.name}-{uuid.uuid4().hex}',
            self._now_unix_s(),
        )
        if compaction is None:
            return
        for name, content in compaction.created.items():
            created = self._platform.create(
                KIND, name, _converter.unstructure(content)
            )
            if isinstance(created, Err):
                self._delete_pages(compaction.created)
                return
            self._pages[name] = retention.fingerprints_of(content)
        written = self._write(compaction.slice)
        if isinstance(written, Ok):
            self._delete_pages(compaction.obsolete)
            self._record(
                Event.SLICE_COMPACTED,
                slice=self.name,
                entries=len(self._slice.entries),
                pages=len(self._slice.pages),
            )
        elif not written.err_value.effect_unknown:
            self._delete_pages(compaction.created)

    def _delete_pages(self, names: Iterable[str]) -> None:
        for name in names:
            self._platform.delete(KIND, name)
            self._pages.pop(name, None)


def read_slice_count(
    platform: Platform, default: int
) -> Result[int, PlatformError]:
    """Return the number of slices of the ledger.

    A key must belong to the same slice at all instances and at all times, so
    the number is written once and never changed.

    Args:
        platform: calls to the platform.
        default: the number to write if there is none yet.
    """
    layout = _read_layout(platform)
    if isinstance(layout, Ok):
        return Ok(layout.ok_value.slices)
    if layout.err_value.kind is not PlatformErrorKind.NOT_FOUND:
        return Err(layout.err_value)
    value = _converter.unstructure(Layout(default))
    created = platform.create(KIND, LAYOUT_NAME, value)
    if isinstance(created, Ok):
        return Ok(default)
    # Another instance may have written it, or the answer was lost.
    return _read_layout(platform).map(lambda layout: layout.slices)


def _read_layout(platform: Platform) -> Result[Layout, PlatformError]:
    return platform.get(KIND, LAYOUT_NAME).and_then(
        lambda stored: _decode(stored, Layout)
    )


def _decode(
    stored: StoredObject, object_type: type[_T]
) -> Result[_T, PlatformError]:
    try:
        return Ok(_converter.structure(stored.value, object_type))
    except (cattrs.BaseValidationError, ValueError) as error:
        message = f'{stored.kind}/{stored.name}: {error}'
        return Err(PlatformError(PlatformErrorKind.INVALID, message))


def _are_final(decisions: Sequence[order.Decision]) -> bool:
    return all(decision.verdict in _FINAL_VERDICTS for decision in decisions)


def _is_retryable(error: PlatformError) -> bool:
    if error.kind is PlatformErrorKind.CONFLICT:
        return True
    return error.effect_unknown


def _decision_from_page(
    claim: order.Claim, entry: order.Entry
) -> order.Decision:
    if entry.request != claim.request:
        return order.Decision(Verdict.KEY_REUSED)
    if entry.state is order.OrderState.DONE:
        return ledger.decision_for_repeat(entry)
    return order.Decision(Verdict.IN_DOUBT)
