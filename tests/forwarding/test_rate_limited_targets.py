"""Tests of targets that limit the requests of all instances, in virtual time.

One of two targets names a limit in its answers. Most requests go to it without
one, as the other is slower.
"""

import asyncio
import random

import pytest

from tests.fakes.forwarding import Harness
from tests.fakes.forwarding import make_table
from tests.fakes.virtual_time import in_virtual_time
from tests.forwarding import test_arbiter
from tests.policy.test_routing import make_customer
from wigeonfall.forwarding.scheduler import Scheduler
from wigeonfall.forwarding.scheduler import Slot
from wigeonfall.model.target import Target
from wigeonfall.policy.room.pending import PendingRequest
from wigeonfall.policy.targets.load_balancer import LoadBalancer
from wigeonfall.policy.targets.target_stats import PeerLoad
from wigeonfall.policy.targets.target_stats import RequestSize

STABILITY_S = 3.0  # published time after which a limit binds
WINDOW_S = 4.0  # published
CAPPED = Target('capped', 's', 'dc', '10.0.0.1:1', slots=14)
FREE = Target('free', 's', 'dc', '10.0.0.2:1', slots=50)
NAMES = (CAPPED.name, FREE.name)
ANSWER_S = 0.2


@pytest.fixture(autouse=True)
def fixed_seed():
    random.seed(1)


def allowed(per_s):
    """Return the published bound on the requests in a window."""
    return 1.5 * per_s * WINDOW_S + 5


def busiest(times_s):
    """Return the most requests in any window."""
    return max(
        sum(first <= at_s < first + WINDOW_S for at_s in times_s)
        for first in times_s
    )


def make_balancer():
    balancer = LoadBalancer('dc')
    balancer.set_targets((CAPPED, FREE))
    for target, first_s in ((CAPPED, 0.05), (FREE, 0.2)):
        balancer.record_first_event(target.name, 0, first_s, 0.0)
    return balancer


class Instance:
    """An instance of a small fleet, which hears all others."""

    def __init__(self, number, fleet):
        self.name = f'i{number}'
        self.heard = {}
        self.balancer = make_balancer()
        self.scheduler = Scheduler(
            self.balancer,
            lambda _: NAMES,
            lambda: tuple(self.heard.values()),
            lambda: None,
        )

    async def tell(self, fleet, loss, draw):
        while True:
            await asyncio.sleep(0.05 + 0.2 * draw.random())
            now_s = asyncio.get_running_loop().time()
            load = PeerLoad(
                self.balancer.own_load(now_s), self.scheduler.waiting()
            )
            news = self.balancer.rates.news(True, now_s)
            for peer in fleet:
                if peer is self or draw.random() < loss:
                    continue
                peer.heard[self.name] = load
                peer.balancer.set_peer_loads(peer.heard.values())
                peer.balancer.rates.merge(self.name, 1, news, now_s)


def make_request(number):
    now_s = asyncio.get_running_loop().time()
    return PendingRequest(
        f'r{number}',
        0,
        False,
        now_s,
        now_s + 1.0,
        now_s + 4.0,
        now_s + 8.0,
        now_s + 2.0,
        RequestSize(100, 10),
    )


@pytest.mark.parametrize('loss', (0.0, 0.2))
@pytest.mark.parametrize('per_s', (0.0, 1.5, 8.0))
@pytest.mark.parametrize('demand_per_s', (30.0, 300.0))
@in_virtual_time
async def test_a_limited_target_gets_too_much_from_many_instances(
    loss, per_s, demand_per_s
):
    draw = random.Random(1)
    fleet = [Instance(n, ()) for n in range(9)]
    tasks = [
        asyncio.create_task(loop)
        for i in fleet
        for loop in (i.scheduler.run(), i.tell(fleet, loss, draw))
    ]
    loop = asyncio.get_running_loop()
    first_s = loop.time() + ANSWER_S
    sent = []

    async def call(number):
        instance = draw.choice(fleet)
        slot = await instance.scheduler.acquire('s', make_request(number))
        if not isinstance(slot, Slot):
            return
        if slot.target is CAPPED and loop.time() > first_s + STABILITY_S:
            sent.append(loop.time())
        await asyncio.sleep(ANSWER_S)
        if slot.target is CAPPED:
            instance.balancer.record_rate_limit(
                CAPPED.name, per_s, loop.time()
            )
        instance.scheduler.release('s', slot)

    calls = []
    while loop.time() < first_s + 20.0:
        calls.append(asyncio.create_task(call(len(calls))))
        await asyncio.sleep(draw.expovariate(demand_per_s))
    await asyncio.gather(*calls)
    for task in tasks:
        task.cancel()
    assert busiest(sent) <= allowed(per_s)
    assert len(sent) >= 0.8 * per_s * (20.0 - STABILITY_S) - 1


@in_virtual_time
async def test_an_arbiter_keeps_to_the_limit_that_its_clients_were_told():
    async with test_arbiter.Network(20) as net:
        loop = asyncio.get_running_loop()
        per_s = 2.0
        first_s = loop.time() + ANSWER_S
        name = test_arbiter.TARGETS[0].name
        sent = []

        async def tell(client):
            while True:
                await asyncio.sleep(0.25)
                now_s = loop.time()
                news = client.balancer.rates.news(False, now_s)
                net[0].balancer.rates.merge(client.name, 1, news, now_s)

        async def call(number):
            client = net[1 + number % 19]
            pending = test_arbiter.make_request(f'r{number}')
            slot = await test_arbiter.ask(client, pending)
            if slot.target.name == name:
                if loop.time() > first_s + STABILITY_S:
                    sent.append(loop.time())
                await asyncio.sleep(ANSWER_S)
                client.balancer.record_rate_limit(name, per_s, loop.time())
            else:
                await asyncio.sleep(ANSWER_S)
            client.slot_client.release('s', slot)

        tellers = [asyncio.create_task(tell(net[n])) for n in range(1, 20)]
        calls = []
        while loop.time() < first_s + 15.0:
            calls.append(asyncio.create_task(call(len(calls))))
            await asyncio.sleep(0.04)
        await asyncio.gather(*calls)
        for teller in tellers:
            teller.cancel()
        assert busiest(sent) <= allowed(per_s)
        assert len(sent) >= 0.8 * per_s * (15.0 - STABILITY_S)


def test_a_target_gets_no_more_than_it_names_in_its_answers():
    async def limited(served):
        served.answer(headers=['Rate-Limit: 1.5'])

    async def plain(served):
        await asyncio.sleep(0.05)
        served.answer()

    async def scenario():
        customer = make_customer(tokens_per_s=1e6, burst_tokens=1e6)
        table = make_table(customers=(customer,))
        async with Harness(limited, plain, table=table) as site:
            for number in range(80):
                status, _, _ = await site.ask(request_id=f'id-{number}')
                assert status == 200
                await asyncio.sleep(0.02)
            limited_target, plain_target = site.targets
            assert len(limited_target.served) <= 1.5 * 1.5 * 4 + 5
            assert len(plain_target.served) > 60
            names = [name for name, _ in site.events]
            assert 'TARGET_RATE_LIMITED' in names
            limited_target.script = plain
            site.leave(plain_target)
            await asyncio.sleep(1.0)
            status, _, _ = await site.ask(request_id='last')
            assert status == 200
            names = [name for name, _ in site.events]
            assert 'TARGET_RATE_UNLIMITED' in names

    asyncio.run(asyncio.wait_for(scenario(), 30))
