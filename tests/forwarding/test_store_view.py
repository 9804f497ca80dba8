"""Tests of the copy of the store's objects."""

import json

from tests.fakes.arbitration import ignore
from tests.fakes.object_store import make_store_view
from wigeonfall.forwarding import internal_pages
from wigeonfall.forwarding.store_position import Position
from wigeonfall.ports.objects import Change
from wigeonfall.ports.objects import Changes
from wigeonfall.ports.objects import Listing
from wigeonfall.ports.platform import StoredObject


def make_view():
    changed = []

    def on_change(kind):
        changed.append(kind)
        return True

    return make_store_view(('k', 'l'), on_change), changed


def stored(name, version, value=None):
    return StoredObject('k', name, version, value or {})


def names(view):
    return {item.name for item in view.objects('k')}


def test_changes_follow_a_listing():
    view, changed = make_view()
    view.apply_listing('k', Listing((stored('a', 3),), 9))
    added = Change(stored('b', 10), False)
    removed = Change(stored('a', 3), True)
    view.apply_changes('k', Changes((added, removed), 11))
    assert names(view) == {'b'}
    assert view.positions() == {'k': Position(0, 11), 'l': Position()}
    assert changed == ['k', 'k']


def test_an_unchanged_listing_is_no_change():
    view, changed = make_view()
    view.apply_listing('k', Listing((stored('a', 3),), 9))
    view.apply_listing('k', Listing((stored('a', 3),), 20))
    view.apply_changes('k', Changes((), 21))
    assert changed == ['k']


def test_a_snapshot_of_a_peer_is_applied_only_if_newer():
    ahead, _ = make_view()
    ahead.apply_listing('k', Listing((stored('a', 3), stored('b', 7)), 9))
    snapshot = json.loads(json.dumps(ahead.snapshot()))
    behind, changed = make_view()
    behind.apply_listing('k', Listing((stored('a', 3),), 5))
    assert behind.apply_snapshot(snapshot) == ['k']
    assert names(behind) == {'a', 'b'}
    assert behind.apply_snapshot(snapshot) == []
    later, _ = make_view()
    later.apply_listing('k', Listing((stored('c', 12),), 12))
    assert later.apply_snapshot(snapshot) == []
    assert names(later) == {'c'}


def test_only_relevant_changes_are_advertised_to_peers():
    """Targets update their entries several times a second."""
    relevant = [True, False, True]
    view = make_store_view(('k',), lambda _kind: relevant.pop(0))
    view.apply_listing('k', Listing((stored('a', 3),), 9))
    assert view.advertised_positions() == {'k': Position(0, 9)}
    for version in (10, 11):
        change = Change(stored('a', version, {'n': version}), False)
        view.apply_changes('k', Changes((change,), version))
    assert view.advertised_positions() == {'k': Position(0, 11)}
    assert relevant == []


def test_a_snapshot_of_one_kind_leaves_other_kinds_unchanged():
    view, _ = make_view()
    view.apply_listing('k', Listing((stored('a', 3),), 9))
    view.apply_listing('l', Listing((stored('b', 4),), 9))
    other, _ = make_view()
    assert other.apply_snapshot(view.snapshot(('l',))) == ['l']
    assert other.positions() == {'k': Position(), 'l': Position(0, 9)}


def test_snapshot_pages_follow_all_updates_of_the_objects():
    view, _ = make_view()
    page = internal_pages.snapshot_pages(view, ignore)[b'/snapshot/k']
    empty = page()
    view.apply_listing('k', Listing((stored('a', 1),), 1))
    listed = page()
    assert listed != empty
    assert page()[1] is listed[1]
    # A listing may leave an object out without a newer revision.
    view.apply_listing('k', Listing((), 1))
    assert page() != listed
