"""Tests of views of a store that is restored from an older copy."""

import json
import random

import pytest

from tests.fakes.object_store import make_store_view
from tests.fakes.object_store import MemoryObjects
from wigeonfall.forwarding import store_position
from wigeonfall.forwarding.store_position import Position
from wigeonfall.ports.objects import Change
from wigeonfall.ports.objects import Changes
from wigeonfall.ports.platform import StoredObject

KIND = 'k'


class Fleet:
    """Instances of which some hear changes from others alone."""

    def __init__(self, watchers=1, others=2):
        self.store = MemoryObjects()
        self.events = []
        self.watchers = [self.make_view() for _ in range(watchers)]
        self.others = [self.make_view() for _ in range(others)]

    def make_view(self):
        return make_store_view(
            (KIND,),
            record=lambda event, **fields: self.events.append(
                (event.name, fields)
            ),
        )

    def put(self, version, name='main'):
        return self.store.put(KIND, name, {'v': version})

    def watch(self):
        """Let the watchers list the store, as after a cut watch."""
        for view in self.watchers:
            listing = self.store.port().list(KIND, False).ok_value
            view.apply_listing(KIND, listing)

    def exchange(self):
        """Let every instance fetch from each other one that is ahead."""
        views = [*self.watchers, *self.others]
        for view in views:
            for peer in views:
                numbers = store_position.encode(peer.advertised_positions())
                if view.is_behind(KIND, store_position.decode(numbers, KIND)):
                    snapshot = json.loads(json.dumps(peer.snapshot()))
                    view.apply_snapshot(snapshot)

    def versions(self, views=None):
        """Return the versions of the main object that instances have."""
        return {
            item.value['v']
            for view in views or [*self.watchers, *self.others]
            for item in view.objects(KIND)
            if item.name == 'main'
        }


def restored_fleet(**sizes):
    """Return a fleet whose store has lost version 14 and what came before."""
    fleet = Fleet(**sizes)
    fleet.put(3)
    copy = fleet.store.copy()
    for number in range(20):
        fleet.put(0, f'entry-{number}')
    fleet.put(14)
    fleet.watch()
    fleet.exchange()
    assert fleet.versions() == {14}
    fleet.store.restore(copy)
    return fleet


def test_changes_after_a_restore_reach_instances_that_hear_peers_alone():
    """Sixty of 76 instances kept the earlier table for the rest of a day."""
    fleet = restored_fleet()
    fleet.watch()
    fleet.exchange()
    fleet.put(16)
    fleet.watch()
    fleet.exchange()
    assert fleet.versions() == {16}


def test_a_confirmed_version_stays_in_force_until_a_newer_one_is_written():
    fleet = restored_fleet()
    fleet.watch()
    fleet.exchange()
    assert fleet.versions() == {14}
    fleet.put(5)
    fleet.watch()
    fleet.exchange()
    assert fleet.versions() == {14}


def test_an_object_that_a_restored_store_has_not_at_all_stays_in_force():
    fleet = Fleet()
    copy = fleet.store.copy()
    fleet.put(14)
    fleet.watch()
    fleet.store.restore(copy)
    fleet.watch()
    assert fleet.versions(fleet.watchers) == {14}


def test_an_instance_started_after_a_restore_gets_the_version_from_peers():
    """The store has the older one, at a position that peers have as well."""
    fleet = restored_fleet()
    fleet.watch()
    fleet.watchers.append(fleet.make_view())
    fleet.watch()
    assert fleet.versions(fleet.watchers[-1:]) == {3}
    fleet.exchange()
    assert fleet.versions() == {14}


def test_a_watch_and_a_listing_of_an_era_that_ended_change_nothing():
    fleet = restored_fleet()
    late = fleet.store.port().list(KIND, False).ok_value
    fleet.store.restore(fleet.store.copy())
    fleet.put(16)
    fleet.watch()
    (view,) = fleet.watchers
    before = view.positions()
    view.apply_listing(KIND, late)
    assert view.positions() == before
    assert fleet.versions(fleet.watchers) == {16}


def test_objects_without_versions_follow_the_store_into_its_new_era():
    fleet = restored_fleet()
    fleet.watch()
    fleet.exchange()
    for view in [*fleet.watchers, *fleet.others]:
        assert {item.name for item in view.objects(KIND)} == {'main'}


def test_what_a_restored_store_lost_and_has_again_is_recorded():
    fleet = restored_fleet(others=0)
    fleet.events.clear()
    fleet.watch()
    ((name, fields),) = fleet.events
    assert name == 'OBJECTS_LOST'
    assert (fields['previous_era'], fields['era']) == (1, 2)
    assert fields['revision'] < fields['previous_revision']
    assert fields['lost'] == 21
    assert fields['objects'][0] == 'entry-0'
    fleet.watch()
    assert len(fleet.events) == 1
    fleet.put(14)
    fleet.watch()
    assert fleet.events[1][0] == 'OBJECT_WRITTEN_AGAIN'
    assert fleet.events[1][1]['missing'] == 20


def test_removed_object_does_not_hold_up_one_that_is_older():
    fleet = Fleet(others=0)
    (view,) = fleet.watchers
    fleet.put(14)
    fleet.watch()
    (item,) = view.objects(KIND)
    view.apply_changes(KIND, Changes((Change(item, True),), 9, 1))
    assert view.positions()[KIND] == Position(1, 9)
    older = StoredObject(KIND, 'main', 10, {'v': 3})
    view.apply_changes(KIND, Changes((Change(older, False),), 10, 1))
    assert fleet.versions() == {3}


def as_earlier_release(snapshot):
    """Return a snapshot as releases without eras send it."""
    for item in snapshot.values():
        del item['era']
    return snapshot


def test_a_peer_without_eras_is_followed_and_holds_up_none_that_has_them():
    """An upgrade begins with hubs of the earlier release."""
    fleet = restored_fleet()
    fleet.watch()
    fleet.exchange()
    (view, _) = fleet.others
    earlier = Position(0, 90)
    assert view.is_behind(KIND, earlier)
    fleet.put(15)
    fleet.watch()
    snapshot = as_earlier_release(fleet.watchers[0].snapshot())
    snapshot[KIND]['revision'] = 90
    assert view.apply_snapshot(snapshot) == [KIND]
    assert fleet.versions([view]) == {15}
    assert not view.is_behind(KIND, earlier)
    fleet.put(16)
    fleet.watch()
    fleet.exchange()
    assert fleet.versions() == {16}


def test_a_release_without_eras_reads_positions_and_snapshots():
    """It takes revisions by kind, and the fields of objects that it knows."""
    fleet = restored_fleet()
    fleet.watch()
    (view,) = fleet.watchers
    numbers = store_position.encode(view.positions())
    assert numbers[KIND] == view.positions()[KIND].revision
    item = view.snapshot()[KIND]
    assert item['revision'] == numbers[KIND]
    assert set(item['objects'][0]) == {
        'kind',
        'name',
        'version',
        'value',
        'status',
    }


@pytest.mark.parametrize('seed', range(20))
def test_all_instances_agree_after_any_series_of_restores(seed):
    """Some watch, some hear peers, some are cut off or have just started."""
    chance = random.Random(seed)
    fleet = Fleet(watchers=2, others=6)
    copies = [fleet.store.copy()]
    version = 0
    confirmed = 0
    for _ in range(60):
        step = chance.random()
        if step < 0.35:
            version += chance.randint(1, 3)
            fleet.put(version)
        elif step < 0.5:
            fleet.put(0, f'entry-{chance.randrange(9)}')
        elif step < 0.6:
            copies.append(fleet.store.copy())
        elif step < 0.7:
            fleet.store.restore(chance.choice(copies[-3:]))
            copies = [fleet.store.copy()]
        elif step < 0.75:
            fleet.others[chance.randrange(6)] = fleet.make_view()
        if chance.random() < 0.5:
            fleet.watch()
            confirmed = max({confirmed} | fleet.versions(fleet.watchers))
            assert fleet.versions(fleet.watchers) <= {confirmed}
        if chance.random() < 0.5:
            fleet.exchange()
    fleet.put(version + 1)
    fleet.watch()
    fleet.exchange()
    assert fleet.versions() == {version + 1}
    stored = {
        (item.name, item.version)
        for item in fleet.store.port().list(KIND, False).ok_value.objects
    }
    for view in [*fleet.watchers, *fleet.others]:
        assert {(o.name, o.version) for o in view.objects(KIND)} == stored
