"""Tests of the roles of instances: full mesh, hubs and store watches."""

import pytest

from tests.fakes.forwarding import make_settings
from wigeonfall.forwarding.peer_state import PeerState
from wigeonfall.forwarding.peers import Peers
from wigeonfall.forwarding.topology import HUBS_PERIOD_S
from wigeonfall.forwarding.topology import Topology
from wigeonfall.policy import arbiters


def make_topology():
    return Topology(make_settings, Peers('10.0.0.0:1'), -60.0)


def make_state(name, **fields):
    values = {
        'name': name,
        'incarnation': 1,
        'sequence': 1,
        'address': f'{name}:1',
        'age_s': 60.0,
        'targets': {},
        'waiting': {},
        'taken': {},
        'used': {},
        'revisions': {},
        'data_center': 'dc',
    }
    return PeerState(**{**values, **fields})


def receive(topology, names, now_s=0.0, **fields):
    for name in names:
        topology.peers.receive(make_state(name, **fields), now_s)


def test_few_instances_form_a_full_mesh_and_watch_the_store():
    topology = make_topology()
    receive(topology, ('a', 'b', 'c', 'd', 'e'), capacity=2.0)
    assert not topology.uses_hubs(0.0)
    assert len(topology.state_recipients(0.0)) == 5
    assert topology.watches_store(0.0)


def test_many_instances_send_their_state_to_hubs_only():
    """The messages of a full mesh grow with the square of the fleet."""
    topology = make_topology()
    names = [f'n{n:02}' for n in range(30)]
    receive(topology, names, capacity=0.5)
    receive(topology, ('a', 'b', 'c', 'd'), capacity=2.0, store_reachable=True)
    assert topology.uses_hubs(0.0)
    assert set(topology.state_recipients(0.0)) == {'a:1', 'b:1', 'c:1', 'd:1'}
    assert topology.advertised_addresses(0.0) == ('a:1', 'b:1', 'c:1', 'd:1')
    assert not topology.watches_store(0.0)


@pytest.mark.parametrize(
    ('peers', 'capacity', 'expected'),
    [(0, 1.0, True), (5, 0.5, False), (30, 0.5, True), (30, 2.0, False)],
)
def test_one_instance_places_all_requests_alone_or_as_the_arbiter(
    peers, capacity, expected
):
    topology = make_topology()
    receive(topology, [f'n{n:02}' for n in range(peers)], capacity=capacity)
    assert topology.places_all(0.0) is expected


def test_the_fleet_size_is_learned_from_hubs():
    topology = make_topology()
    receive(topology, ('a', 'b', 'c', 'd'), capacity=2.0, instances=70)
    assert topology.uses_hubs(0.0)
    assert len(topology.state_recipients(0.0)) == arbiters.MIN_HUB_COUNT


def test_without_live_hubs_the_state_goes_to_all():
    """More than half of the machines lose power at once."""
    topology = make_topology()
    receive(topology, [f'n{n:02}' for n in range(30)])
    receive(topology, ('a', 'b', 'c', 'd'), capacity=2.0)
    receive(topology, ('n01',), 2.0, sequence=2)
    assert topology.uses_hubs(2.0)
    assert len(topology.state_recipients(2.0)) == 34


@pytest.mark.parametrize('hubs_live', (True, False))
def test_without_hubs_instances_start_watches_after_random_delays(hubs_live):
    """No hub reaches the store, or all hubs are gone."""
    began = []
    for _ in range(30):
        topology = make_topology()
        receive(topology, ('a', 'b', 'c', 'd'), capacity=2.0, instances=70)
        receive(topology, [f'n{n:02}' for n in range(30)], capacity=0.5)
        for step in range(100):
            now_s = 2.0 + step / 10
            if hubs_live:
                receive(
                    topology,
                    ('a', 'b', 'c', 'd'),
                    now_s,
                    sequence=2 + step,
                    capacity=2.0,
                    instances=70,
                )
            if topology.watches_store(now_s):
                began.append(now_s)
                break
    assert len(began) == 30
    assert min(began) >= 3.0
    assert max(began) <= 8.2
    assert len(set(began)) > 10


def test_a_partitioned_data_centre_uses_its_share_of_limits():
    """One data centre of three is partitioned and goes on serving."""
    topology = make_topology()
    receive(topology, ('a', 'd'), capacity=2.0, instances=70)
    receive(topology, ('b',), data_center='x')
    receive(topology, ('c',), data_center='y')
    assert topology.quota_visibility(0.0).limit_share == 1.0
    receive(topology, ('a', 'd'), 2.0, sequence=2, capacity=2.0, instances=70)
    assert topology.quota_visibility(2.0).limit_share == 1 / 3


def test_a_leaving_instance_is_not_a_hub():
    topology = make_topology()
    names = [f'n{n:02}' for n in range(30)]
    receive(topology, names, capacity=0.5)
    assert topology.is_hub(0.0)
    topology.leaving = True
    assert not topology.is_hub(HUBS_PERIOD_S)


def test_instances_of_a_large_fleet_settle_before_they_watch():
    topology = make_topology()
    topology.started_s = 10.0
    assert topology.settle_s(10.1) > 0
    assert topology.settle_s(10.4) == 0.0
    topology.registered_count = 8
    assert topology.settle_s(10.1) == 0.0
    topology.registered_count = 195
    assert topology.settle_s(10.4) > 0
    assert topology.settle_s(12.0) == 0.0


def test_an_instance_that_is_cut_off_uses_no_tolerance_of_limits():
    """Each of dozens that are cut off knows a few hubs alone."""
    topology = make_topology()
    assert topology.quota_visibility(0.0).heard_share == 1.0
    receive(topology, ('a', 'b', 'c', 'd'), capacity=2.0, instances=70)
    assert topology.quota_visibility(0.2).heard_share == 5 / 70
    assert topology.quota_visibility(2.0).heard_share == 0.0
