"""Answers of targets that leave or want a pause."""

import asyncio

import attrs
import pytest

from tests.fakes.forwarding import answer_ok
from tests.fakes.forwarding import Harness
from tests.fakes.forwarding import make_table
from tests.fakes.virtual_time import in_virtual_time
from tests.forwarding import test_arbiter
from tests.policy.test_routing import make_customer

REQUESTS = 20
UNLIMITED = make_customer(tokens_per_s=1e6, burst_tokens=1e6)
TABLE = make_table(customers=(UNLIMITED,))


async def _ask_often(site, path='/safe/x', **fields):
    statuses = []
    for number in range(REQUESTS):
        status, _, _ = await site.ask(
            path, request_id=f'id-{number}', **fields
        )
        statuses.append(status)
    return statuses


def _leaving(**answer):
    async def answer_leaving(served):
        served.answer(headers=['Leaving: 1'], **answer)

    return answer_leaving


@pytest.mark.parametrize(
    'script',
    [_leaving(), _leaving(status='500 Failed'), _leaving(status='404 None')],
)
def test_a_target_that_says_it_leaves_gets_nothing_more(script):
    async def scenario():
        async with Harness(script, answer_ok, table=TABLE) as site:
            leaving, other = site.targets
            while not leaving.served:
                await site.ask()
            served = len(leaving.served)
            assert await _ask_often(site) == [200] * REQUESTS
            # An entry that still says the contrary does not bring it back.
            site.leave(leaving, state=site.entry_of(leaving.name).state)
            await asyncio.sleep(0.1)
            assert await _ask_often(site) == [200] * REQUESTS
            assert len(leaving.served) == served
            names = [
                fields['target']
                for name, fields in site.events
                if name == 'TARGET_LEAVING'
            ]
            assert names == [leaving.name]

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_a_target_that_wants_a_pause_gets_nothing_until_it_is_over():
    async def refuse(served):
        served.answer(
            status='503 Full', headers=['Not-Run: 1', 'Retry-After: 600']
        )

    async def scenario():
        async with Harness(refuse, answer_ok, table=TABLE) as site:
            pausing, other = site.targets
            assert await _ask_often(site, '/once/x') == [200] * REQUESTS
            assert len(pausing.served) <= 1
            assert len(other.served) == REQUESTS

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_a_stream_goes_on_at_a_target_that_leaves():
    async def stream(served):
        served.write(
            b'HTTP/1.1 200 OK\r\nReceipt: r1\r\nLeaving: 1\r\n'
            b'Request-Id: %s\r\nContent-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
            % served.headers['request-id'].encode()
        )
        served.event(1)
        await asyncio.sleep(0.05)
        served.event(2)
        served.chunk(b'')

    async def scenario():
        async with Harness(stream) as site:
            status, _, body = await site.ask('/stream/x')
            assert status == 200
            assert body.count(b'data:') == 2

    asyncio.run(asyncio.wait_for(scenario(), 30))


@in_virtual_time
async def test_a_granted_target_that_has_left_meanwhile_is_not_used():
    async with test_arbiter.Network(20) as net:
        left = set()
        pending = attrs.evolve(
            test_arbiter.make_request('r1'),
            is_eligible=lambda name: name not in left,
        )
        waiting = asyncio.create_task(test_arbiter.ask(net[5], pending))
        await asyncio.sleep(0)
        left.update(target.name for target in test_arbiter.TARGETS[:2])
        slot = await waiting
        assert slot.target == test_arbiter.TARGETS[2]
