"""Tests of which peers' snapshots an instance fetches."""

import attrs
import pytest

from tests.fakes.object_store import make_store_view
from tests.forwarding.test_peers import STATE
from wigeonfall.forwarding.peers import Peers
from wigeonfall.forwarding import snapshot_sync
from wigeonfall.forwarding import store_position
from wigeonfall.forwarding.store_position import Position
from wigeonfall.ports.objects import Listing
from wigeonfall.ports.platform import StoredObject

OWN = Position(2, 20, 14)


def peers_ahead(positions, own=OWN, watches=False):
    """Return the names of peers that are ahead.

    Args:
        positions: positions of the peers by name.
        own: position of the instance.
        watches: whether it watches the store.
    """
    view = make_store_view(('k',))
    item = StoredObject('k', 'main', own.revision, {'v': own.writer_version})
    view.apply_listing('k', Listing((item,), own.revision, own.era))
    peers = Peers('10.0.0.1:7')
    for name, position in positions.items():
        numbers = store_position.encode({'k': position})
        peers.receive(attrs.evolve(STATE, name=name, revisions=numbers), 0.0)
    context = snapshot_sync.SnapshotSyncContext(
        peers=peers,
        view=view,
        connections=None,
        data_center='dc',
        watches_store=lambda: watches,
        store_reachable=lambda: True,
        record=None,
    )
    ahead = snapshot_sync._peers_ahead(context, 0.1)
    return {state.name for state in ahead}


@pytest.mark.parametrize(
    ('position', 'expected'),
    [
        (Position(3, 5, 3), True),  # a later era, with lower revisions
        (Position(1, 90, 14), False),  # an era that has ended
        (Position(2, 21, 14), True),
        (Position(2, 20, 14), False),
        (Position(2, 20, 16), True),  # what a restored store has lost
        (Position(1, 90, 16), True),
    ],
)
def test_peer_with_a_later_position_or_a_newer_version_is_ahead(
    position, expected
):
    assert peers_ahead({'a': position}) == ({'a'} if expected else set())


def test_peers_without_eras_are_followed_if_there_are_no_others():
    earlier = Position(0, 90, 0)
    assert peers_ahead({'a': earlier}) == {'a'}
    assert peers_ahead({'a': earlier}, watches=True) == set()
    assert peers_ahead({'a': earlier, 'b': OWN}) == set()
    newer = Position(2, 21, 14)
    assert peers_ahead({'a': earlier, 'b': newer}) == {'b'}


def test_revisions_order_positions_if_nobody_knows_eras():
    own = Position(0, 20, 14)
    positions = {'a': Position(0, 21), 'b': Position(0, 19)}
    assert peers_ahead(positions, own, watches=True) == {'a'}
