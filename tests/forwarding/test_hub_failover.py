"""Tests of a large fleet that exchanges states while hubs fail."""

import attrs
import pytest

from tests.fakes.forwarding import make_settings
from wigeonfall.forwarding.peer_state import PeerState
from wigeonfall.forwarding.peers import Peers
from wigeonfall.forwarding.topology import Topology
from wigeonfall.policy import arbiters

PERIOD_S = 0.25
DATA_CENTERS = 'abcde'
SIZE = 100


class Fleet:
    """Instances that hear what the others send, without sockets."""

    def __init__(self):
        self.now_s = 100.0
        self.down = set()
        self.cut = set()  # data centres that hear only themselves
        self.sequence = 0
        self.messages = 0
        self.topologies = {}
        for number in range(SIZE):
            name = f'n{number:03}'
            data_center = DATA_CENTERS[number % len(DATA_CENTERS)]
            capacity = 2.0 if number < 2 * len(DATA_CENTERS) else 0.5
            settings = self._settings(name, data_center, capacity)
            topology = Topology(
                lambda settings=settings: settings, Peers(f'{name}:1'), 0.0
            )
            self.topologies[f'{name}:1'] = topology
        for topology in self.topologies.values():
            topology.peers.add_addresses(tuple(self.topologies))

    def _settings(self, name, data_center, capacity):
        settings = make_settings()
        return attrs.evolve(
            settings,
            instance=attrs.evolve(
                settings.instance, name=name, data_center=data_center
            ),
            listen=attrs.evolve(settings.listen, peers_address=f'{name}:1'),
            machine=attrs.evolve(settings.machine, processor_share=capacity),
        )

    def state(self, topology):
        self.sequence += 1
        return PeerState(
            name=topology.name,
            incarnation=1,
            sequence=self.sequence,
            address=topology.settings().listen.peers_address,
            age_s=60.0,
            targets={},
            waiting={},
            taken={},
            used={},
            revisions={},
            peers=topology.advertised_addresses(self.now_s),
            data_center=topology.data_center,
            capacity=topology.capacity,
            instances=topology.peers.known_count(self.now_s),
            store_reachable=True,
        )

    def step(self):
        """Let all instances send at once, then deliver their states."""
        self.now_s += PERIOD_S
        sent = [
            (topology, state, recipient)
            for topology, state in [(t, self.state(t)) for t in self.up()]
            for recipient in topology.state_recipients(self.now_s)
        ]
        self.messages = len(sent)
        for topology, state, recipient in sent:
            other = self.topologies[recipient]
            apart = topology.data_center != other.data_center and (
                {topology.data_center, other.data_center} & self.cut
            )
            if recipient not in self.down and not apart:
                other.peers.receive(state, self.now_s)

    def run(self, duration_s):
        """Let time pass; return the most messages and watchers at once."""
        most = watchers = 0
        for _ in range(int(duration_s / PERIOD_S)):
            self.step()
            most = max(most, self.messages)
            watchers = max(watchers, self.watchers())
        return most, watchers

    def up(self):
        return [t for a, t in self.topologies.items() if a not in self.down]

    def watchers(self):
        return sum(t.watches_store(self.now_s) for t in self.up())

    def arbiters_of(self, topologies):
        """Return the names of the arbiters that instances choose."""
        return {t.hubs(self.now_s)[0].name for t in topologies}


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.run(3.0)
    return fleet


def test_a_settled_fleet_has_one_arbiter_and_few_messages(fleet):
    most, watchers = fleet.run(2.0)
    assert fleet.arbiters_of(fleet.up()) == {'n000'}
    assert watchers == len(DATA_CENTERS)
    assert most <= 2 * len(DATA_CENTERS) * SIZE


@pytest.mark.parametrize('lost', ['n000:1', 'n001:1', 'n004:1'])
def test_the_loss_of_a_hub_starts_no_flood_of_messages_and_watches(
    fleet, lost
):
    """Each instance took the place of the hub: all told all and watched."""
    fleet.down = {lost}
    most, watchers = fleet.run(5.0)
    assert most <= 3 * len(DATA_CENTERS) * SIZE
    assert watchers <= 2 * len(DATA_CENTERS)
    assert len(fleet.arbiters_of(fleet.up())) == 1
    hubs = {t.data_center for t in fleet.up() if t.is_hub(fleet.now_s)}
    assert hubs == set(DATA_CENTERS)


@pytest.mark.parametrize('cut', DATA_CENTERS)
def test_a_data_centre_that_is_cut_off_agrees_on_one_arbiter(fleet, cut):
    """The one without a hub placed requests at forty instances, alone."""
    fleet.cut = {cut}
    most, _ = fleet.run(5.0)
    inside = [t for t in fleet.up() if t.data_center == cut]
    outside = [t for t in fleet.up() if t.data_center != cut]
    assert len(fleet.arbiters_of(inside)) == 1
    assert len(fleet.arbiters_of(outside)) == 1
    assert most <= 4 * len(DATA_CENTERS) * SIZE
    fleet.cut = set()
    fleet.run(3.0)
    assert fleet.arbiters_of(fleet.up()) == {'n000'}


def test_hubs_are_found_again_when_all_of_them_fail_together(fleet):
    fleet.down = {
        t.settings().listen.peers_address
        for t in fleet.up()
        if t.is_hub(fleet.now_s)
    }
    fleet.run(4.0)
    assert len(fleet.arbiters_of(fleet.up())) == 1
    most, _ = fleet.run(1.0)
    assert most <= 2 * len(DATA_CENTERS) * SIZE
    assert arbiters.MIN_HUB_COUNT <= len(DATA_CENTERS)


def parts_of(fleet, data_center):
    """Return the parts of those that place requests, largest last."""
    shares = [
        topology.paced_share(0, fleet.now_s)
        for topology in fleet.up()
        if topology.is_hub(fleet.now_s) or not topology.peers.live(fleet.now_s)
    ]
    return sorted(s.parts.get(data_center, s.part) for s in shares)


@pytest.mark.parametrize(
    ('cut', 'down'),
    [('', 0), ('a', 0), ('abcde', 0), ('', 1), ('', 40), ('b', 30)],
)
def test_parts_of_paced_rates_are_taken_once(cut, down):
    """Halves of a fleet that do not hear each other keep a rate together."""
    fleet = Fleet()
    fleet.run(4.0)
    assert parts_of(fleet, 'a')[-1] == 1.0
    fleet.cut = set(cut)
    fleet.down = set(list(fleet.topologies)[:down])
    fleet.run(4.0)
    for data_center in DATA_CENTERS:
        parts = parts_of(fleet, data_center)
        # Other hubs have a part of their own, in case that they are asked.
        assert 0.9 * (SIZE - down) / SIZE <= sum(parts) <= 1.2
        assert parts[-1] >= 0.75 * (SIZE - down) / SIZE


def test_an_instance_that_hears_nobody_has_its_own_part():
    fleet = Fleet()
    fleet.run(4.0)
    alone = fleet.topologies['n050:1']
    for after_s in (2.0, 20.0, 100.0):
        share = alone.paced_share(0, fleet.now_s + after_s)
        assert (share.part, share.position) == (1 / SIZE, 50)
        # Most of the rate of a target belongs to its data centre.
        most = 0.75 / (SIZE / len(DATA_CENTERS)) + 0.25 / SIZE
        assert all(part <= most + 1e-9 for part in share.parts.values())


def test_a_new_instance_assumes_many_others_until_it_is_told():
    topology = Topology(make_settings, Peers('10.0.0.0:1'), 100.0)
    assert topology.paced_share(0, 100.1).part <= 0.01
    topology.registered_count = 20
    assert topology.paced_share(0, 300.2).part == 1.0
    topology = Topology(make_settings, Peers('10.0.0.0:1'), 100.0)
    topology.registered_count = 20
    assert topology.paced_share(0, 100.1).part == 1 / 20
