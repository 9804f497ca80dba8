"""Tests of the watches of the store."""

import threading
import time

from tests.fakes.object_store import make_store_view
from tests.fakes.object_store import MemoryObjects
from wigeonfall.forwarding import store_watcher


class _Watch:
    """A watch of one kind that updates a view."""

    def __init__(self, settle_s=0.0):
        self.store = MemoryObjects()
        self.view = make_store_view(('k',))
        self.reachable = []
        self.enabled = True
        self.settle_s = settle_s
        self.stopping = threading.Event()
        store_watcher.start(
            store_watcher.StoreWatcher(
                kind='k',
                get_store=self.store.port,
                on_listing=self.view.apply_listing,
                on_changes=self.view.apply_changes,
                on_reachable=self.reachable.append,
                is_enabled=lambda: self.enabled,
                settle_s=lambda: self.settle_s,
                record=lambda *_args, **_fields: None,
                stopping=self.stopping,
            )
        )

    def wait_for(self, names):
        deadline_s = time.monotonic() + 5
        while time.monotonic() < deadline_s:
            if {item.name for item in self.view.objects('k')} == names:
                return
            time.sleep(0.01)
        raise AssertionError(self.view.objects('k'))


def test_changes_arrive_after_thousands_of_failures(monkeypatch):
    """The thread ended when the store was away for over ten minutes."""
    monkeypatch.setattr(store_watcher, 'RETRY_MIN_S', 0.00001)
    monkeypatch.setattr(store_watcher, 'RETRY_MAX_S', 0.00002)
    watch = _Watch()
    try:
        watch.wait_for(set())
        watch.store.away = True
        until_s = time.monotonic() + 30
        while watch.store.calls < 3000 and time.monotonic() < until_s:
            time.sleep(0.01)
        watch.store.put('k', 'a', {})
        watch.store.away = False
        watch.wait_for({'a'})
    finally:
        watch.stopping.set()


def test_changes_arrive_after_outages_and_compacted_history():
    watch = _Watch()
    try:
        watch.store.put('k', 'a', {})
        watch.wait_for({'a'})
        watch.store.put('other', 'x', {})
        watch.store.put('k', 'b', {})
        watch.wait_for({'a', 'b'})
        watch.store.away = True
        time.sleep(0.3)
        watch.store.remove('k', 'a')
        watch.store.forget_history()
        watch.store.put('k', 'c', {})
        watch.store.away = False
        watch.wait_for({'b', 'c'})
        assert False in watch.reachable
        assert watch.reachable[-1] is True
    finally:
        watch.stopping.set()


def test_a_single_lost_watch_is_not_an_outage():
    """Targets that vanish in an outage are kept, after a lost watch not."""
    watch = _Watch()
    try:
        watch.store.put('k', 'a', {})
        watch.wait_for({'a'})
        watch.store.lose_next = 1
        watch.store.put('other', 'x', {})
        time.sleep(0.5)
        assert watch.store.lose_next == 0
        assert False not in watch.reachable
    finally:
        watch.stopping.set()


def test_a_watch_without_changes_makes_few_calls():
    watch = _Watch()
    try:
        watch.store.put('k', 'a', {})
        watch.wait_for({'a'})
        before = watch.store.calls
        time.sleep(0.5)
        assert watch.store.calls - before <= 1
    finally:
        watch.stopping.set()


def test_a_disabled_watch_makes_no_calls():
    """Calls to the store are expensive with dozens of instances."""
    watch = _Watch()
    try:
        watch.store.put('k', 'a', {})
        watch.wait_for({'a'})
        watch.enabled = False
        watch.store.put('k', 'b', {})
        watch.wait_for({'a', 'b'})
        time.sleep(0.1)
        calls = watch.store.calls
        watch.store.put('k', 'c', {})
        time.sleep(0.6)
        assert watch.store.calls == calls
        watch.enabled = True
        watch.wait_for({'a', 'b', 'c'})
    finally:
        watch.stopping.set()


def test_no_watch_starts_while_it_may_turn_out_that_peers_watch():
    """Each change of the store ended a watch of each of 195 instances."""
    watch = _Watch(settle_s=1.0)
    try:
        time.sleep(0.3)
        watch.store.put('k', 'a', {})
        time.sleep(0.2)
        assert watch.store.calls == 1
        assert not watch.view.objects('k')
        watch.settle_s = 0.0
        watch.wait_for({'a'})
    finally:
        watch.stopping.set()


def test_a_watch_that_goes_on_in_another_era_lists_again():
    """Revisions had passed its own by then, so that it was not refused."""
    watch = _Watch()
    try:
        copy = watch.store.copy()
        watch.store.put('k', 'a', {})
        watch.wait_for({'a'})
        watch.store.restore_unseen(copy)
        watch.store.put('k', 'b', {})
        watch.store.put('k', 'c', {})
        watch.wait_for({'b', 'c'})
    finally:
        watch.stopping.set()
