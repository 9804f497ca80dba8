"""Tests of the exchange of state between peers."""

import attrs
from hypothesis import given
from hypothesis import strategies as st
import pytest

from wigeonfall.forwarding import peer_state
from wigeonfall.forwarding.peer_state import PeerState
from wigeonfall.forwarding import peers as peers_module
from wigeonfall.forwarding.peers import Peers
from wigeonfall.policy.targets.moving_average import PeerAverage
from wigeonfall.policy.targets.target_stats import TargetLoad

STATE = PeerState(
    name='i2',
    incarnation=5,
    sequence=1,
    address='10.0.0.2:7',
    age_s=3.5,
    targets={
        't': TargetLoad(
            3, 500.0, PeerAverage(0.1, 2.0), PeerAverage(0.01, 1.5)
        )
    },
    waiting={'s': {0: 2, 17: 1}},
    taken={'c': 900},
    used={'c': 200},
    revisions={'k': 4},
    peers=('10.0.0.3:7',),
    evidence={'s/v2/good': 3},
)


def test_a_state_is_decoded_unchanged():
    assert peer_state.decode(peer_state.encode(STATE)) == STATE


@given(st.binary(max_size=60))
def test_invalid_bytes_raise_value_error(data):
    with pytest.raises(ValueError):
        peer_state.decode(data)


def test_late_and_repeated_states_are_ignored():
    peers = Peers('10.0.0.1:7')
    newer = attrs.evolve(STATE, sequence=2, taken={'c': 1000})
    assert peers.receive(newer, 0.0)
    assert not peers.receive(STATE, 0.1)
    assert not peers.receive(newer, 0.1)
    assert peers.live(0.2)[0].state.taken == {'c': 1000}


def test_a_new_incarnation_restarts_the_sequence():
    peers = Peers('10.0.0.1:7')
    peers.receive(attrs.evolve(STATE, sequence=50), 0.0)
    assert peers.receive(attrs.evolve(STATE, incarnation=6), 0.1)


def test_addresses_of_peers_are_added_except_the_own_one():
    peers = Peers('10.0.0.3:7')
    peers.receive(STATE, 0.0)
    assert set(peers.addresses()) == {'10.0.0.2:7'}


def test_a_silent_peer_is_not_live_but_known_for_a_while():
    peers = Peers('10.0.0.1:7')
    peers.receive(STATE, 0.0)
    assert peers.live_names(0.5) == {'i2'}
    assert peers.live_names(2.0) == frozenset()
    assert peers.known_names(2.0) == {'i2'}
    assert peers.loads(2.0) == []
    peers.drop_silent(peers_module.FORGET_AFTER_S + 1)
    assert peers.known_names(peers_module.FORGET_AFTER_S + 1) == frozenset()


def test_recently_started_share_counts_live_instances():
    peers = Peers('10.0.0.1:7')
    peers.receive(STATE, 0.0)
    assert peers.recently_started_share(8.0, 100.0, 0.5) == 0.5
    assert peers.recently_started_share(8.0, 1.0, 0.5) == 1.0
    assert peers.recently_started_share(8.0, 100.0, 5.0) == 0.0


def test_no_peer_is_live_after_all_are_marked_silent():
    peers = Peers('10.0.0.1:7')
    peers.receive(STATE, 0.0)
    peers.mark_all_silent()
    assert peers.loads(0.1) == []
