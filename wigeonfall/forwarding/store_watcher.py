"""Watches the store's objects, with one thread for each kind."""

from collections.abc import Callable
from collections.abc import Iterable
import random
import threading

import attrs
from result import Err

from ..events import Event
from ..policy.backoff import doubled_s
from ..ports.objects import Changes
from ..ports.objects import Listing
from ..ports.objects import ObjectStore
from ..ports.platform import PlatformErrorKind
from ..recorder import Record

WATCH_TIMEOUT_S = 5.0  # a silent connection is detected after this time
OUTAGE_FAILURE_COUNT = 2  # a single lost watch is not an outage
SETTLE_POLL_S = 0.05
DISABLED_POLL_S = 0.25  # interval of the peer states that decide it
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8  # changes must be in force 2 s after the store is back


@attrs.frozen
class StoreWatcher:
    """What the watch of one kind needs.

    Attributes:
        kind: name of the kind.
        get_store: returns the client of the store.
        on_listing: called with all objects, in the watch's thread.
        on_changes: called with changes, in the watch's thread.
        on_reachable: called with whether the store answers.
        is_enabled: returns whether this instance watches the store itself.
        settle_s: returns for how long to wait between a listing and the watch
            that follows it, in which it may turn out that peers watch.
        record: records events.
        stopping: set when the process stops.
        is_listing_due: returns whether to list the objects once, though
            this instance does not watch the store.
        on_listed: called after that, with the error if there was one.
    """

    kind: str
    get_store: Callable[[], ObjectStore]
    on_listing: Callable[[str, Listing], None]
    on_changes: Callable[[str, Changes], None]
    on_reachable: Callable[[bool], None]
    is_enabled: Callable[[], bool]
    settle_s: Callable[[], float]
    record: Record
    stopping: threading.Event
    is_listing_due: Callable[[], bool] = lambda: False
    on_listed: Callable[[str | None], None] = lambda _error: None


def start(watcher: StoreWatcher) -> threading.Thread:
    """Start the thread of a watch."""
    thread = threading.Thread(
        target=_run, args=(watcher,), name=watcher.kind, daemon=True
    )
    thread.start()
    return thread


@attrs.define
class _Progress:
    """How far a watch has come.

    Attributes:
        era: era of the newest answer, 0 before any.
        revision: revision of the newest answer in it.
    """

    era: int = 0
    revision: int = 0


def _run(watcher: StoreWatcher) -> None:
    progress = _Progress()
    revision: int | None = None
    failures = 0
    while not watcher.stopping.is_set():
        if not watcher.is_enabled():
            # Peers send the changes meanwhile; a later watch lists all first.
            revision, failures = None, 0
            if watcher.is_listing_due():
                _, error = _ask(watcher, None, progress)
                watcher.on_listed(error)
            watcher.stopping.wait(DISABLED_POLL_S)
            continue
        before = revision
        revision, error = _ask(watcher, before, progress)
        if error is None:
            if before is None:
                _settle(watcher)
            if failures:
                watcher.record(Event.WATCH_REGAINED, kind=watcher.kind)
            failures = 0
            watcher.on_reachable(True)
            continue
        if not failures:
            watcher.record(Event.WATCH_LOST, kind=watcher.kind, detail=error)
        failures += 1
        if failures >= OUTAGE_FAILURE_COUNT:
            watcher.on_reachable(False)
        max_delay_s = doubled_s(RETRY_MIN_S, failures, RETRY_MAX_S)
        watcher.stopping.wait(max_delay_s * (0.5 + random.random() / 2))


def _ask(
    watcher: StoreWatcher, since: int | None, progress: _Progress
) -> tuple[int | None, str | None]:
    """List or watch the objects.

    Args:
        watcher: the watch.
        since: revision to watch from, None to list all objects.
        progress: how far the watch has come.

    Returns:
        The revision to watch from, None to list all; and the error, if any.
    """
    try:
        if since is None:
            return _list(watcher, progress)
        return _watch(watcher, since, progress)
    except Exception as unexpected:
        # The thread is the only one that watches the kind.
        return None, repr(unexpected)


def _settle(watcher: StoreWatcher) -> None:
    """Wait until it is known whether peers watch, or for the time limit."""
    while watcher.settle_s() > 0 and not watcher.stopping.is_set():
        watcher.stopping.wait(SETTLE_POLL_S)


def _list(
    watcher: StoreWatcher, progress: _Progress
) -> tuple[int | None, str | None]:
    outcome = watcher.get_store().list(watcher.kind, False)
    if isinstance(outcome, Err):
        return None, outcome.err_value.message
    listing = outcome.ok_value
    _record_restore(watcher, progress, listing)
    _record_unreadable(watcher, listing.unreadable)
    watcher.on_listing(watcher.kind, listing)
    return listing.revision, None


def _record_restore(
    watcher: StoreWatcher, progress: _Progress, listing: Listing
) -> None:
    """Record an event if the era of the store has changed."""
    if 0 < progress.era < listing.era:
        watcher.record(
            Event.STORE_RESTORED,
            kind=watcher.kind,
            era=listing.era,
            revision=listing.revision,
            previous_era=progress.era,
            previous_revision=progress.revision,
        )
    progress.era = max(progress.era, listing.era)
    progress.revision = listing.revision


def _record_unreadable(watcher: StoreWatcher, details: Iterable[str]) -> None:
    for detail in details:
        watcher.record(
            Event.OBJECT_UNREADABLE, kind=watcher.kind, detail=detail
        )


def _watch(
    watcher: StoreWatcher, since: int, progress: _Progress
) -> tuple[int | None, str | None]:
    outcome = watcher.get_store().watch(watcher.kind, since, WATCH_TIMEOUT_S)
    if isinstance(outcome, Err):
        error = outcome.err_value
        if error.kind is PlatformErrorKind.GONE:
            return None, None
        # Changes may be lost with the connection, so list all again.
        return None, error.message
    changes = outcome.ok_value
    if changes.era and changes.era != progress.era:
        # The revision that the watch began at is not one of this era.
        return None, None
    progress.revision = changes.revision
    _record_unreadable(watcher, changes.unreadable)
    watcher.on_changes(watcher.kind, changes)
    return changes.revision, None
