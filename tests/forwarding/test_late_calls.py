"""Tests of calls that come late in the grace of a planned stop."""

import asyncio
import contextlib
import time

import attrs
import pytest

from tests.fakes.forwarding import Harness
from wigeonfall.forwarding.stop_deadline import AnswerTimes
from wigeonfall.forwarding.stop_deadline import StopDeadline

GRACE_S = 0.8


def answer_after(seconds):
    async def script(served):
        await asyncio.sleep(seconds)
        if served.line.split()[1].startswith(('/stream/', '/resumed/')):
            served.begin_stream()
            served.event(1)
            served.write(b'0\r\n\r\n')
        else:
            served.answer()

    return script


def stop(site, grace_s=GRACE_S):
    site.instance.stop_by(time.monotonic() + grace_s)


async def ask_some(site, path, count):
    """Let the instance learn how long answers take."""
    method = 'GET' if path.startswith('/safe/') else 'POST'
    for number in range(count):
        await site.ask(path, request_id=f'known-{number}', method=method)


@pytest.mark.parametrize('path', ['/once/x', '/safe/x', '/stream/x'])
def test_a_waiting_call_is_refused_with_a_promise_before_the_end(path):
    """It was cut off, or sent to a target that was cut off after it."""

    async def scenario():
        async with Harness(answer_after(3.0)) as site:
            occupy(site)
            stop(site)
            started_s = time.monotonic()
            status, headers, _ = await site.ask(path, method='POST')
            assert status == 503
            assert float(headers['retry-after']) < 1.0
            assert time.monotonic() - started_s <= GRACE_S + 0.2
            assert not site.targets[0].served

    asyncio.run(asyncio.wait_for(scenario(), 5.0))


def occupy(site):
    """Leave no room at the only target."""
    target = site.entry_of('t0')
    site.instance._balancer.set_targets([attrs.evolve(target, slots=1)])
    site.instance._balancer.record_broken_connection('t0', time.monotonic())


@pytest.mark.parametrize('path', ['/once/x', '/stream/x'])
def test_a_call_that_may_not_be_repeated_is_not_sent_without_time(path):
    async def scenario():
        async with Harness(answer_after(0.5)) as site:
            await ask_some(site, path, 3)
            stop(site, 0.3)
            status, headers, _ = await site.ask(path, method='POST')
            assert (status, len(site.targets[0].served)) == (503, 3)
            assert 'retry-after' in headers

    asyncio.run(asyncio.wait_for(scenario(), 5.0))


def test_calls_with_enough_time_are_served_during_a_stop():
    async def scenario():
        async with Harness(answer_after(0.1)) as site:
            await ask_some(site, '/once/x', 3)
            await ask_some(site, '/safe/x', 3)
            stop(site)
            assert (await site.ask('/once/x', method='POST'))[0] == 200
            assert (await site.ask('/safe/x'))[0] == 200

    asyncio.run(asyncio.wait_for(scenario(), 5.0))


def test_calls_that_may_be_repeated_are_refused_later_than_others():
    times = AnswerTimes()
    for number in range(20):
        times.record('r', 0.1 * number)
    once_s = times.expected_s('r', False, 1.0)
    repeatable_s = times.expected_s('r', True, 1.0)
    assert repeatable_s < once_s <= 1.9
    assert times.expected_s('unknown', False, 1.0) == 1.0


def test_a_call_at_a_target_at_the_end_gets_an_answer():
    """Its channel was closed without one."""

    async def scenario():
        async with Harness(answer_after(2.0)) as site:
            call = asyncio.create_task(site.ask('/once/x', method='POST'))
            await asyncio.sleep(0.1)
            stop(site)
            status, headers, _ = await call
            # The target may have run it, so that nothing is promised.
            assert status == 504
            assert 'retry-after' not in headers

    asyncio.run(asyncio.wait_for(scenario(), 5.0))


def test_a_deadline_set_later_holds_for_limits_in_progress():
    async def scenario():
        stop_deadline = StopDeadline()
        ended = []

        async def wait(reserve_s):
            with contextlib.suppress(TimeoutError):
                async with stop_deadline.limit(float('inf'), reserve_s):
                    await asyncio.sleep(5)
            ended.append(reserve_s)

        waits = [asyncio.create_task(wait(r)) for r in (0.0, 0.2, 9.0)]
        await asyncio.sleep(0.01)
        stop_deadline.set(time.monotonic() + 0.3)
        await asyncio.gather(*waits)
        assert ended == [9.0, 0.2, 0.0]
        assert not stop_deadline.allows(0.1, time.monotonic())
        assert not stop_deadline._limits

    asyncio.run(asyncio.wait_for(scenario(), 2.0))
