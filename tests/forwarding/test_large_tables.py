"""Tests that a large routing table does not hold up callers."""

import asyncio
import contextlib
import threading
import time

import attrs

from tests.fakes.forwarding import answer_ok
from tests.fakes.forwarding import Harness
from tests.fakes.forwarding import make_table
from tests.forwarding.test_snapshot_sync import follow

DECODE_S = 0.5
STALL_S = 0.25  # far below DECODE_S, and above what a busy machine adds


@contextlib.asynccontextmanager
async def no_stall():
    """Check that the event loop runs all the time."""
    longest_s = 0.0

    async def tick():
        nonlocal longest_s
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(0.01)
            longest_s = max(longest_s, time.monotonic() - before_s)

    task = asyncio.create_task(tick())
    try:
        yield
        await asyncio.sleep(0.05)  # it may have stood still until now
    finally:
        task.cancel()
    assert longest_s < STALL_S


class _SlowHarness(Harness):
    """Decodes tables of many routes slowly."""

    def _adapter(self):
        def decode(value):
            if value['table'].version > 1:
                time.sleep(DECODE_S)
            return value['table']

        return attrs.evolve(super()._adapter(), decode_table=decode)


def test_a_table_from_the_store_is_decoded_beside_callers():
    """Requests waited until a table of thousands of routes was decoded."""

    async def run():
        async with _SlowHarness(answer_ok) as harness, no_stall():
            table = make_table(2)
            harness.store.put('table', 'main', {'table': table})
            async with asyncio.timeout(5):
                while (2, len(table.routes)) not in [
                    (fields['version'], fields['routes'])
                    for name, fields in harness.events
                    if name == 'TABLE_IN_FORCE'
                ]:
                    await asyncio.sleep(0.02)

    asyncio.run(run())


def test_a_table_from_a_peer_is_decoded_beside_callers():
    names = {f'{n * 7919 % 100003:x}': n for n in range(3000)}
    threads = []

    def decode_ahead(_objects):
        threads.append(threading.current_thread())
        time.sleep(DECODE_S)

    async def scenario(follower, stack):
        follower.context = attrs.evolve(
            follower.context, decode_ahead=decode_ahead
        )
        await follower.add_peer(stack, 'a')
        async with no_stall():
            await follower.follow(stack)
            await follower.wait_for('big')

    follow(scenario, big=names)
    assert threading.main_thread() not in threads
