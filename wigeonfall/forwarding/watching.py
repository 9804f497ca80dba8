"""Watches of the store: one thread for each kind."""

from collections.abc import Callable
import random
import threading

import attrs
from result import Err

from ..events import Event
from ..ports.objects import Changes
from ..ports.objects import Listing
from ..ports.objects import ObjectStore
from ..ports.platform import PlatformErrorKind
from ..recorder import Record

WATCH_S = 5.0  # a silent link is noticed after this time
OUTAGE_FAILURES = 2  # one lost watch is no outage
UNWANTED_S = 0.25  # heartbeat of peers, which decides anew
RETRY_FIRST_S = 0.1
RETRY_MOST_S = 0.8  # a change is in force two seconds after the store is back


@attrs.frozen
class Watcher:
    """A watch of one kind.

    Attributes:
        kind: name of the kind.
        store: calls to the store, as of now.
        listed: takes all objects; called in the watch's thread.
        changed: takes changes; called in the watch's thread.
        reachable: takes whether the store answered.
        wanted: whether this instance watches the store itself.
        record: records events.
        stopping: set when the process stops.
    """

    kind: str
    store: Callable[[], ObjectStore]
    listed: Callable[[str, Listing], None]
    changed: Callable[[str, Changes], None]
    reachable: Callable[[bool], None]
    wanted: Callable[[], bool]
    record: Record
    stopping: threading.Event


def start(watcher: Watcher) -> threading.Thread:
    """Start the thread of a watch."""
    thread = threading.Thread(
        target=_run, args=(watcher,), name=watcher.kind, daemon=True
    )
    thread.start()
    return thread


def _run(watcher: Watcher) -> None:
    revision: int | None = None
    failures = 0
    while not watcher.stopping.is_set():
        if not watcher.wanted():
            # What comes meanwhile is heard from peers; later all is read.
            revision, failures = None, 0
            watcher.stopping.wait(UNWANTED_S)
            continue
        if revision is None:
            revision, error = _list(watcher)
        else:
            revision, error = _watch(watcher, revision)
        if error is None:
            if failures:
                watcher.record(Event.WATCH_REGAINED, kind=watcher.kind)
            failures = 0
            watcher.reachable(True)
            continue
        if not failures:
            watcher.record(Event.WATCH_LOST, kind=watcher.kind, detail=error)
        failures += 1
        if failures >= OUTAGE_FAILURES:
            watcher.reachable(False)
        most_s = min(RETRY_MOST_S, RETRY_FIRST_S * 2**failures)
        watcher.stopping.wait(most_s * (0.5 + random.random() / 2))


def _list(watcher: Watcher) -> tuple[int | None, str | None]:
    outcome = watcher.store().list(watcher.kind, False)
    if isinstance(outcome, Err):
        return None, outcome.err_value.message
    watcher.listed(watcher.kind, outcome.ok_value)
    return outcome.ok_value.revision, None


def _watch(watcher: Watcher, since: int) -> tuple[int | None, str | None]:
    outcome = watcher.store().watch(watcher.kind, since, WATCH_S)
    if isinstance(outcome, Err):
        error = outcome.err_value
        if error.kind is PlatformErrorKind.GONE:
            return None, None
        # The link may have lost what came meanwhile, so all is read again.
        return None, error.message
    watcher.changed(watcher.kind, outcome.ok_value)
    return outcome.ok_value.revision, None
