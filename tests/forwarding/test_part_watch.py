"""Tests of keeping prompt parts that crash targets from targets."""

import asyncio

import pytest

from tests.fakes.forwarding import Harness
from wigeonfall.policy.targets import quarantine
from wigeonfall.policy.targets.quarantine import QUARANTINE_S

SETTLE_S = 0.05


@pytest.fixture(autouse=True)
def short_settling(monkeypatch):
    monkeypatch.setattr(quarantine, 'SETTLE_S', SETTLE_S)


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


async def crash_on_bad(served):
    if 'bad' in served.headers['parts']:
        served.reset()
    else:
        served.answer()


async def unframed_or_crash(served):
    if served.headers['request-id'].startswith('good'):
        served.write(
            b'HTTP/1.1 200 OK\r\nReceipt: r\r\nRequest-Id: %s\r\n\r\n'
            b'id: 1\ndata: 1\n\n' % served.headers['request-id'].encode()
        )
        served.writer.close()
    else:
        served.reset()


def bad_count(site):
    return sum(
        'bad' in served.headers['parts']
        for target in site.targets
        for served in target.served
    )


async def ask(site, number, parts, path='/once/x'):
    return await site.ask(
        path, f'id-{number}', 'POST', Parts=f'{parts},own{number}:5'
    )


async def crash_three(site, parts='first:9,bad:9'):
    for number in range(3):
        status, _, _ = await ask(site, number, parts)
        assert status == 502


def test_requests_with_a_crashing_part_stop_reaching_targets():
    async def scenario():
        async with Harness(*[crash_on_bad] * 5) as site:
            assert (await ask(site, 9, 'first:9'))[0] == 200
            await crash_three(site)
            await asyncio.sleep(SETTLE_S + 0.4)
            for number in range(10, 13):
                status, headers, _ = await ask(site, number, 'new:9,bad:9')
                assert status == 503
                assert 0 < float(headers['retry-after']) <= QUARANTINE_S
                assert (await ask(site, number, 'first:9'))[0] == 200
            assert bad_count(site) == 3
            assert 'PART_QUARANTINED' in [name for name, _ in site.events]

    run(scenario)


def test_a_request_that_waited_is_refused_when_its_part_is_quarantined():
    async def scenario():
        async with Harness(*[crash_on_bad] * 3) as site:
            await crash_three(site)
            # All targets are backed off, so that it waits.
            assert (await ask(site, 4, 'first:9,bad:9'))[0] == 503
            assert bad_count(site) == 3

    run(scenario)


def test_repeats_of_a_request_crash_target_after_target():
    async def scenario():
        async with Harness(*[crash_on_bad] * 5) as site:
            assert (await ask(site, 9, 'first:9'))[0] == 200
            for number in range(6):
                status, _, _ = await site.ask(
                    '/once/x', f'id-{number}', 'POST', Parts='first:9,bad:9'
                )
                if number == 2:
                    # It begins when the next state for peers is made.
                    await asyncio.sleep(SETTLE_S + 0.4)
                assert status == (502 if number < 3 else 503)
            assert bad_count(site) == 3

    run(scenario)


def test_an_answer_that_ends_with_its_connection_is_no_proof():
    async def scenario():
        async with Harness(*[unframed_or_crash] * 4) as site:
            status, _, _ = await site.ask(
                '/stream/x', 'good', 'POST', Parts='bad:9,own:5'
            )
            assert status == 200
            await crash_three(site, 'bad:9')
            await asyncio.sleep(SETTLE_S + 0.4)
            assert (await ask(site, 4, 'bad:9'))[0] == 503

    run(scenario)
