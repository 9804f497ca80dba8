"""Tests that what the store removed does not come back from a peer."""

import json
import random

import attrs
import pytest

from tests.fakes.arbitration import ignore
from tests.fakes.forwarding import Harness
from tests.fakes.object_store import make_store_view
from tests.fakes.object_store import MemoryObjects
from wigeonfall.forwarding.cluster_state import ClusterState
from wigeonfall.forwarding import store_position
from wigeonfall.model.target import Target
from wigeonfall.policy.targets.load_balancer import LoadBalancer
from wigeonfall.policy.versions.version_trial import Trials
from wigeonfall.ports.objects import Change
from wigeonfall.ports.objects import Changes
from wigeonfall.ports.objects import Listing
from wigeonfall.ports.platform import StoredObject

KIND = 'k'


def stored(name, version):
    return StoredObject(KIND, name, version, {})


def listed(revision, *objects, era=1):
    view = make_store_view((KIND,))
    view.apply_listing(KIND, Listing(objects, revision, era))
    return view


def names(view):
    return {item.name for item in view.objects(KIND)}


def told(view, earlier_release=False):
    """Return the numbers that an instance tells of its position."""
    numbers = store_position.encode(view.advertised_positions())
    if earlier_release:
        versions = [item.version for item in view.objects(KIND)]
        numbers = {
            KIND: max(versions, default=1),
            f'{KIND}.era': view.era(KIND),
        }
    return numbers


def is_behind(view, numbers):
    return view.is_behind(KIND, store_position.decode(numbers, KIND))


def fetch(view, peer, earlier_release=False):
    """Let an instance fetch the snapshot of a peer that is ahead."""
    numbers = told(peer, earlier_release)
    if is_behind(view, numbers):
        snapshot = json.loads(json.dumps(peer.snapshot()))
        if earlier_release:
            snapshot[KIND].pop('read_revision', None)
            snapshot[KIND]['revision'] = numbers[KIND]
        view.apply_snapshot(snapshot)


@pytest.mark.parametrize('earlier_release', [False, True])
def test_a_peer_cut_off_from_the_store_does_not_bring_back_a_target(
    earlier_release,
):
    """A restarted instance sent requests to a target that had left."""
    cut_off = listed(30, stored('stays', 3), stored('left', 28))
    restarted = listed(50, stored('stays', 3))
    fetch(restarted, cut_off, earlier_release)
    assert names(restarted) == {'stays'}
    assert restarted.apply_snapshot(cut_off.snapshot()) == []
    fetch(cut_off, restarted)
    assert names(cut_off) == {'stays'}


def test_the_last_object_that_is_removed_stays_removed():
    cut_off = listed(30, stored('left', 28))
    restarted = listed(50)
    assert restarted.is_loaded(KIND)
    fetch(restarted, cut_off)
    assert names(restarted) == set()
    fetch(cut_off, restarted)
    assert names(cut_off) == set()


def test_a_removal_that_only_a_listing_shows_reaches_instances_without_watch():
    """Followers of a hub whose watch was cut kept the target."""
    hub = listed(30, stored('stays', 3), stored('left', 28))
    follower = make_store_view((KIND,))
    fetch(follower, hub)
    assert names(follower) == {'stays', 'left'}
    hub.apply_listing(KIND, Listing((stored('stays', 3),), 50, 1))
    fetch(follower, hub)
    assert names(follower) == {'stays'}


def test_a_peer_with_the_same_objects_is_not_fetched():
    """Each start of an instance would make all others fetch all objects."""
    first = listed(30, stored('a', 3), stored('b', 28))
    later = listed(50, stored('b', 28), stored('a', 3))
    assert not is_behind(first, told(later))
    change = Changes((Change(stored('c', 60), False),), 60, 1)
    later.apply_changes(KIND, change)
    assert is_behind(first, told(later))
    first.apply_changes(KIND, change)
    assert not is_behind(first, told(later))


def test_answers_that_are_overtaken_by_a_peer_do_not_undo_its_changes():
    """A watch may deliver late what a snapshot already had."""
    view = listed(30, stored('a', 3), stored('b', 28))
    peer = listed(30, stored('a', 3), stored('b', 28))
    peer.apply_changes(KIND, Changes((Change(stored('b', 28), True),), 40, 1))
    fetch(view, peer)
    late = Changes((Change(stored('b', 28), False),), 35, 1)
    view.apply_changes(KIND, late)
    view.apply_listing(KIND, Listing((stored('a', 3), stored('b', 28)), 35, 1))
    assert names(view) == {'a'}


class Member:
    """An instance with a watch that may be cut, and its last answer."""

    def __init__(self, store, earlier_release):
        self.store = store
        self.earlier_release = earlier_release
        self.restart()

    def restart(self):
        self.view = make_store_view((KIND,))
        self.since = None

    def read_store(self):
        port = self.store.port()
        if self.since is not None:
            watched = port.watch(KIND, self.since, 0.001)
            if watched.is_ok():
                self.view.apply_changes(KIND, watched.ok_value)
                self.since = watched.ok_value.revision
                return
        listing = port.list(KIND, False).ok_value
        self.view.apply_listing(KIND, listing)
        self.since = listing.revision


@pytest.mark.parametrize('seed', range(30))
def test_removed_objects_stay_removed_in_any_series_of_cuts_and_starts(seed):
    """Some watch, some hear peers, some of which are of the last release."""
    chance = random.Random(seed)
    store = MemoryObjects()
    members = [Member(store, number % 3 == 2) for number in range(6)]
    incarnations = 0
    # By member, the entries that it knows to be gone.
    gone = {member: set() for member in members}
    for _ in range(150):
        step = chance.random()
        name = f'entry-{chance.randrange(5)}'
        member = chance.choice(members)
        if step < 0.2:
            incarnations += 1
            store.put(KIND, name, {'n': incarnations})
        elif step < 0.35:
            store.discard(KIND, name)
        elif step < 0.4:
            store.forget_history()
        elif step < 0.45:
            member.restart()
            gone[member] = set()
        elif step < 0.5:
            member.since = None
        elif step < 0.7:
            member.read_store()
            present = {o.name for o in member.view.objects(KIND)}
            listing = store.port().list(KIND, False).ok_value
            assert present == {o.name for o in listing.objects}
            gone[member] = {
                (o.name, o.version)
                for other in members
                for o in other.view.objects(KIND)
            } - {(o.name, o.version) for o in listing.objects}
        else:
            peer = chance.choice(members)
            fetch(member.view, peer.view, peer.earlier_release)
        for member in members:
            known = {(o.name, o.version) for o in member.view.objects(KIND)}
            assert not known & gone[member]
    current = [m for m in members if not m.earlier_release]
    current[0].since = None
    current[0].read_store()
    for member in members:
        fetch(member.view, current[0].view)
        assert {o.name for o in member.view.objects(KIND)} == {
            o.name for o in store.port().list(KIND, False).ok_value.objects
        }


@pytest.mark.parametrize('others_reach', [True, False])
def test_a_removal_holds_at_an_instance_that_the_store_turns_away(
    others_reach,
):
    """It kept the target as if the store were down, for all that it places."""
    adapter = attrs.evolve(
        Harness()._adapter(),
        decode_target=lambda item: Target(
            item.name, 's', 'dc', f'10.0.0.1:{item.name[1:]}'
        ),
    )
    state = ClusterState(
        adapter,
        LoadBalancer('dc'),
        Trials(),
        ignore,
        others_reach_store=lambda: others_reach,
    )
    before = tuple(
        StoredObject('targets', name, 1, {}) for name in ('t1', 't2')
    )
    state.view.apply_listing('targets', Listing(before, 1, 1))
    for _ in range(3):
        state.set_store_reachable('targets', False)
    # A peer that the store serves has seen the removal.
    peer = make_store_view(('targets',))
    peer.apply_listing('targets', Listing(before[:1], 5, 1))
    assert state.view.apply_snapshot(peer.snapshot()) == ['targets']
    kept = () if others_reach else ('t2',)
    assert set(state.target_names['s']) == {'t1', *kept}
    assert not state.store_reachable
