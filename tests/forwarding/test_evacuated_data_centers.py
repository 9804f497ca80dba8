"""Tests that nothing new is sent to targets of an evacuated data centre."""

import asyncio

import attrs
import pytest

from tests.fakes.forwarding import answer_ok
from tests.fakes.forwarding import Harness
from tests.fakes.forwarding import make_settings
from tests.fakes.forwarding import make_table
from tests.policy.test_routing import make_customer
from wigeonfall.forwarding.cluster_state import ClusterState
from wigeonfall.forwarding.settings import EvacuationSettings
from wigeonfall.model.target import Target
from wigeonfall.policy.targets.load_balancer import LoadBalancer
from wigeonfall.policy.versions.version_trial import Trials
from wigeonfall.ports.objects import Listing
from wigeonfall.ports.platform import StoredObject

KIND = 'evacuations'
SETTINGS = attrs.evolve(
    make_settings(), evacuation=EvacuationSettings(stop_ms=5000)
)


def make_site(*scripts, settings=SETTINGS):
    return Harness(
        *scripts,
        data_centers=('east', 'west'),
        settings=settings,
        table=make_table(customers=(make_customer(tokens_per_s=0.0),)),
    )


async def wait_for(site, event, count=1):
    async with asyncio.timeout(5):
        while [name for name, _ in site.events].count(event) < count:
            await asyncio.sleep(0.01)


async def ask_all(site, path='/safe/x', count=8):
    return {
        (await site.ask(path, request_id=f'{path}-{n}'))[0]
        for n in range(count)
    }


def test_new_requests_leave_an_evacuated_data_center_until_it_is_lifted():
    async def scenario():
        async with make_site(answer_ok, answer_ok) as site:
            site.store.put(KIND, 'east', {})
            await wait_for(site, 'EVACUATION_BEGUN')
            assert await ask_all(site) == {200}
            assert await ask_all(site, '/once/x') == {200}
            assert not site.targets[0].served
            site.store.remove(KIND, 'east')
            await wait_for(site, 'EVACUATION_LIFTED')
            site.store.put(KIND, 'west', {})
            await wait_for(site, 'EVACUATION_BEGUN', 2)
            served = len(site.targets[1].served)
            assert await ask_all(site) == {200}
            assert len(site.targets[1].served) == served

    asyncio.run(scenario())


def test_what_runs_in_an_evacuated_data_center_ends_in_peace():
    async def scenario():
        began, may_end = asyncio.Event(), asyncio.Event()

        async def slow(served):
            began.set()
            await may_end.wait()
            served.answer()

        async with make_site(slow) as site:
            asked = asyncio.create_task(site.ask('/once/x'))
            await began.wait()
            site.store.put(KIND, 'east', {})
            await wait_for(site, 'EVACUATION_BEGUN')
            site.instance.run_maintenance(1.0)
            assert 'EVACUATION_DRAINED' not in dict(site.events)
            may_end.set()
            assert (await asked)[0] == 200
            site.instance.run_maintenance(3.5)
            assert 'EVACUATION_DRAINED' in dict(site.events)

    asyncio.run(scenario())


@pytest.mark.parametrize('path', ['/safe/x', '/once/x'])
def test_a_request_waits_while_all_data_centers_are_evacuated(path):
    async def scenario():
        async with make_site(answer_ok, answer_ok) as site:
            for name in ('east', 'west'):
                site.store.put(KIND, name, {})
            await wait_for(site, 'EVACUATION_BEGUN', 2)
            asked = asyncio.create_task(site.ask(path))
            await asyncio.sleep(0.1)
            site.store.remove(KIND, 'west')
            assert (await asked)[0] == 200
            assert not site.targets[0].served

    asyncio.run(scenario())


def test_without_any_data_center_a_request_is_refused_as_not_run():
    async def scenario():
        async with make_site(answer_ok, answer_ok) as site:
            for name in ('east', 'west'):
                site.store.put(KIND, name, {})
            await wait_for(site, 'EVACUATION_BEGUN', 2)
            status, headers, _ = await site.ask('/once/x')
            assert status == 503
            assert float(headers['retry-after']) > 0
            assert not (site.targets[0].served or site.targets[1].served)

    asyncio.run(scenario())


def test_a_slot_granted_without_knowledge_of_the_evacuation_is_not_used():
    """Between a grant and its use an evacuation may become known."""

    async def scenario():
        async with make_site(answer_ok, answer_ok) as site:
            site.store.put(KIND, 'east', {})
            await wait_for(site, 'EVACUATION_BEGUN')
            site.instance._scheduler._targets_of = lambda _: ('t0', 't1')
            assert await ask_all(site) == {200}
            assert await ask_all(site, '/once/x') == {200}
            assert not site.targets[0].served

    asyncio.run(scenario())


def test_entries_are_not_read_where_no_data_center_is_evacuated():
    async def scenario():
        async with make_site(answer_ok, settings=make_settings()) as site:
            site.store.put(KIND, 'east', {})
            await asyncio.sleep(0.2)
            assert (await site.ask('/safe/x'))[0] == 200

    asyncio.run(scenario())


def test_an_instance_is_ready_once_it_knows_the_evacuations(monkeypatch):
    times_s = [0.0]
    module = 'wigeonfall.forwarding.cluster_state.time.monotonic'
    monkeypatch.setattr(module, lambda: times_s[0])
    adapter = attrs.evolve(
        Harness()._adapter(),
        decode_target=lambda item: Target(item.name, 's', 'dc', '10.0.0.1:1'),
    )

    def make_state():
        state = ClusterState(
            adapter,
            LoadBalancer('dc'),
            Trials(),
            lambda *_args, **_fields: None,
            evacuates=True,
        )
        table = {'table': Harness().table}
        for kind, item in (
            ('table', StoredObject('table', 'main', 1, table)),
            ('targets', StoredObject('targets', 't0', 2, {})),
        ):
            state.view.apply_listing(kind, Listing((item,), 2, 1))
        return state

    state = make_state()
    assert not state.ready()
    state.view.apply_listing(KIND, Listing((), 2, 1))
    assert state.ready()
    # Peers of earlier releases tell nothing while the store is away.
    state = make_state()
    assert not state.ready()
    times_s[0] = 3.0
    assert state.ready()
