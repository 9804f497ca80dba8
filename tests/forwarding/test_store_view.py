"""Tests of what is known of the store."""

import json

from wigeonfall.forwarding.store_view import StoreView
from wigeonfall.ports.objects import Change
from wigeonfall.ports.objects import Changes
from wigeonfall.ports.objects import Listing
from wigeonfall.ports.platform import StoredObject


def make_view():
    changed = []
    return StoreView(('k', 'l'), changed.append), changed


def stored(name, version, value=None):
    return StoredObject('k', name, version, value or {})


def names(view):
    return {item.name for item in view.objects('k')}


def test_changes_follow_a_listing():
    view, changed = make_view()
    view.take_listing('k', Listing((stored('a', 3),), 9))
    added = Change(stored('b', 10), False)
    gone = Change(stored('a', 3), True)
    view.take_changes('k', Changes((added, gone), 11))
    assert names(view) == {'b'}
    assert view.revisions() == {'k': 11, 'l': 0}
    assert changed == ['k', 'k']


def test_nothing_new_is_no_change():
    view, changed = make_view()
    view.take_listing('k', Listing((stored('a', 3),), 9))
    view.take_listing('k', Listing((stored('a', 3),), 20))
    view.take_changes('k', Changes((), 21))
    assert changed == ['k']


def test_a_peers_snapshot_counts_only_where_it_is_newer():
    ahead, _ = make_view()
    ahead.take_listing('k', Listing((stored('a', 3), stored('b', 7)), 9))
    snapshot = json.loads(json.dumps(ahead.snapshot()))
    behind, changed = make_view()
    behind.take_listing('k', Listing((stored('a', 3),), 5))
    assert behind.take_snapshot(snapshot) == ['k']
    assert names(behind) == {'a', 'b'}
    assert behind.take_snapshot(snapshot) == []
    later, _ = make_view()
    later.take_listing('k', Listing((stored('c', 12),), 12))
    assert later.take_snapshot(snapshot) == []
    assert names(later) == {'c'}
