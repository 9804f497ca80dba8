"""Tests of cold targets in a fleet with an arbiter, and of their marks."""

import asyncio

import attrs
import pytest

from tests.fakes.forwarding import Harness
from tests.fakes.virtual_time import in_virtual_time
from tests.forwarding import test_arbiter
from wigeonfall.forwarding.cluster_state import ClusterState
from wigeonfall.forwarding.scheduler import Slot
from wigeonfall.forwarding.settings import ColdSettings
from wigeonfall.model.routing import ColdService
from wigeonfall.model.target import Target
from wigeonfall.policy.targets import cold_targets
from wigeonfall.policy.targets.cold_targets import PacedShare
from wigeonfall.policy.targets.load_balancer import LoadBalancer
from wigeonfall.policy.versions.version_trial import Trials
from wigeonfall.ports.objects import Listing
from wigeonfall.ports.platform import StoredObject

COUNT = 20
TERMS = cold_targets.make_terms(16.0, 1.5, 5.0, 3.0)
MOST = 29


def make_share_of(node, number):
    """Return what the topology answers while hubs are heard."""

    def share_of(now_s):
        clients = node.arbiter.client_count(now_s)
        return PacedShare((1 + clients) / COUNT, {}, number)

    return share_of


@pytest.mark.parametrize('lost_s', [1.0, 1.4, None])
@pytest.mark.parametrize('cold_s', [0.0, 9.0])
@in_virtual_time
async def test_an_arbiter_paces_cold_targets_also_when_it_is_lost(
    cold_s, lost_s
):
    """The queue is full all the while, with slots free at each target."""
    async with test_arbiter.Network(COUNT) as net:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        for number, node in enumerate(net.nodes.values()):
            cold = node.balancer.cold
            cold.set_terms({'s': TERMS})
            cold.share_of = make_share_of(node, number)
            cold.update(
                [attrs.evolve(t, cold_s=cold_s) for t in test_arbiter.TARGETS],
                begun_s,
            )
        sent = {target.name: [] for target in test_arbiter.TARGETS}

        async def call(number):
            node = net[2 + number % (COUNT - 2)]
            request = test_arbiter.make_request(f'r{number}', wait_s=2.0)
            slot = await test_arbiter.ask(node, request)
            if isinstance(slot, Slot):
                sent[slot.target.name].append(loop.time())
                await asyncio.sleep(0.03)
                node.slot_client.release('s', slot)

        calls = []
        while loop.time() < begun_s + 4.0:
            if lost_s is not None and loop.time() >= begun_s + lost_s:
                net.silent.add('i00')
            calls.append(asyncio.create_task(call(len(calls))))
            await asyncio.sleep(0.005)
        await asyncio.gather(*calls)
        for times_s in sent.values():
            assert len(times_s) >= 3.0 * TERMS.per_s
            assert MOST >= max(
                sum(first <= at_s < first + 1.0 for at_s in times_s)
                for first in times_s
            )


class State:
    """What an instance makes of the store."""

    def __init__(self, monkeypatch, overage=1.5):
        self.now_s = 100.0
        module = 'wigeonfall.forwarding.cluster_state.time.monotonic'
        monkeypatch.setattr(module, lambda: self.now_s)
        self.events = []
        self.balancer = LoadBalancer('dc')
        self.cluster = ClusterState(
            attrs.evolve(
                Harness()._adapter(),
                decode_target=lambda item: Target(
                    item.name,
                    's',
                    item.value['place'],
                    '10.0.0.1:1',
                    cold_s=item.value['cold_s'],
                    entry_version=item.version,
                ),
            ),
            self.balancer,
            Trials(),
            lambda event, **fields: self.events.append((event.name, fields)),
            evacuates=True,
            cold_bound=lambda: ColdSettings(overage, 5.0),
        )
        table = attrs.evolve(
            Harness().table, cold_services=(ColdService('s', 16.0, 3.0),)
        )
        self.list('table', 1, main={'table': table})

    def list(self, kind, revision, **values):
        objects = tuple(
            StoredObject(kind, name, revision, value)
            for name, value in values.items()
        )
        self.cluster.view.apply_listing(kind, Listing(objects, revision, 1))

    def cold(self):
        """Return the names of the targets that count as cold."""
        self.cluster.refresh(self.now_s)
        cold = self.balancer.cold
        names = (t.target.name for t in self.balancer.all_stats())
        paces = {name: cold.pace_of(name) for name in names}
        for pace in paces.values():
            pace.room(self.now_s)
        return {name for name, pace in paces.items() if pace.is_cold}


def test_entries_mark_targets_until_their_time_is_over(monkeypatch):
    state = State(monkeypatch)
    state.list(
        'targets',
        2,
        a={'place': 'east', 'cold_s': 2.0},
        b={'place': 'west', 'cold_s': 0.0},
    )
    assert state.cold() == {'a'}
    state.now_s += 2.1
    assert not state.cold()
    names = [name for name, _ in state.events]
    assert names.count('TARGET_COLD') == names.count('TARGET_WARM') == 1


def test_targets_are_cold_after_their_evacuation(monkeypatch):
    state = State(monkeypatch)
    state.list(
        'targets',
        2,
        a={'place': 'east', 'cold_s': 0.0},
        b={'place': 'west', 'cold_s': 0.0},
    )
    state.list('evacuations', 3, east={})
    assert not state.cold()
    assert state.cluster.target_names == {'s': ('b',)}
    state.now_s += 8.0
    state.list('evacuations', 4)
    assert state.cluster.target_names == {'s': ('a', 'b')}
    assert state.cold() == {'a'}
    state.now_s += 3.1
    assert not state.cold()


def test_a_broken_connection_makes_a_target_cold(monkeypatch):
    state = State(monkeypatch)
    state.list('targets', 2, a={'place': 'east', 'cold_s': 0.0})
    state.balancer.record_broken_connection('a', state.now_s)
    assert state.cold() == {'a'}


def test_without_a_published_bound_no_target_has_a_pace(monkeypatch):
    state = State(monkeypatch, overage=0.0)
    state.list('targets', 2, a={'place': 'east', 'cold_s': 2.0})
    assert state.balancer.cold.pace_of('a') is None
