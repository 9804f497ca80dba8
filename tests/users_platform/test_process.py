"""Tests of real processes against a stand-in of the platform."""

import asyncio
import os
import signal

import pytest

from tests.fakes.forwarding import ScriptedTarget
from tests.fakes.metadata_store import MetadataStore
from tests.fakes.users_platform import Instance

MANIFEST = {
    'Version': 3,
    'Routes': [
        {
            'Name': 'r',
            'Host': 'meat.example',
            'PathPrefix': '/r/',
            'Kind': 'streaming',
            'TimeoutMs': 9000,
            'TargetLatencyMs': 500,
            'GapAimMs': 2000,
            'Service': 's',
            'AllowAnonymous': True,
        }
    ],
    'Services': [{'Name': 's'}],
    'Limits': {},
    'Tenants': [],
}


def slow_stream(events, pause_s):
    async def script(served):
        served.write(
            b'HTTP/1.1 200 OK\r\nX-Wigeonfall-Server-Stamp: s\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        for number in range(1, events + 1):
            served.event(number)
            await served.writer.drain()
            await asyncio.sleep(pause_s)
        served.write(b'0\r\n\r\n')

    return script


def run(scenario, directory, script=None):
    async def whole():
        target = ScriptedTarget('e1', script or slow_stream(5, 0.2))
        await target.start()
        with MetadataStore() as store:
            store.objects.put('config', 'main', MANIFEST)
            store.objects.put(
                'servers',
                'e1',
                {
                    'Service': 's',
                    'Address': target.address,
                    'Zone': 'z',
                    'Version': 'v1',
                    'Slots': 20,
                    'State': 'ready',
                },
            )
            await scenario(store, target)
        target.stop()

    async def limited():
        async with asyncio.timeout(90):
            await whole()

    asyncio.run(limited())


def test_a_planned_stop_cuts_nothing(tmp_path):
    async def scenario(store, _target):
        async with Instance(tmp_path, store) as instance:
            kept = await instance.connect()
            running = [asyncio.create_task(instance.ask(n)) for n in range(10)]
            await asyncio.sleep(0.3)
            instance.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            assert await instance.page('ready', '/api/ready') == 503
            late = await instance.ask(99)
            assert late[0] == 200
            assert late[1]['connection'] == 'close'
            answers = await asyncio.gather(*running)
            assert all(status == 200 for status, _, _ in answers)
            assert all(body.count(b'data:') == 5 for _, _, body in answers)
            # The end of an idle connection says that nothing was read.
            assert await kept[0].read() == b''
            assert await instance.process.wait() == 0
            numbers = [event['event'] for event in instance.events()]
            assert numbers[0] == 101 and numbers[-1] == 104

    run(scenario, tmp_path)


def test_changed_settings_are_read_with_and_without_a_signal(tmp_path):
    async def scenario(store, _target):
        async with Instance(tmp_path, store) as instance:
            instance.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.5)
            instance.write_settings(ratio=0.1)
            await asyncio.sleep(2.5)
            instance.path.write_text('[listen]\nbad', 'utf-8')
            await asyncio.sleep(2.5)
            assert (await instance.ask(1))[0] == 200
            numbers = [event['event'] for event in instance.events()]
            assert numbers.count(105) == 2
            assert 106 in numbers

    run(scenario, tmp_path)


def test_an_instance_starts_without_the_store_by_what_a_peer_knows(tmp_path):
    async def scenario(store, _target):
        async with Instance(tmp_path, store, 'i1') as first:
            await wait_for_address(store, first)
            store.objects.away = True
            second = Instance(tmp_path, store, 'i2')
            # Instances have the same ports on hosts of their own.
            second.peers_host = '127.0.0.2'
            second.ports['peers'] = first.ports['peers']
            second.write_settings()
            async with second:
                assert (await second.ask(7))[0] == 200
                numbers = [event['event'] for event in second.events()]
                assert 708 in numbers

    run(scenario, tmp_path)


async def wait_for_address(store, instance):
    async with asyncio.timeout(10):
        while store.objects.get('instances', instance.name) is None:
            await asyncio.sleep(0.05)


@pytest.mark.parametrize('path', ['/metrics', '/snapshot'])
def test_pages_for_metrics_and_peers(tmp_path, path):
    async def scenario(store, _target):
        async with Instance(tmp_path, store) as instance:
            assert await instance.page('metrics', path) == 200
            assert await instance.page('peers', path) == 200
            assert await instance.page('ready', path) == 404

    run(scenario, tmp_path)


def test_a_reader_of_the_log_that_stops_delays_no_request(tmp_path):
    """Some 800 bytes a request fill the pipe of 64 kB, and then the queue."""
    reading, writing = os.pipe()

    async def scenario(store, _target):
        instance = Instance(tmp_path, store)
        instance.output = writing
        loop = asyncio.get_running_loop()
        async with instance:
            slowest_s = 0.0
            for number in range(400):
                began_s = loop.time()
                status, *_ = await instance.ask(number)
                assert status == 200
                slowest_s = max(slowest_s, loop.time() - began_s)
            assert slowest_s < 1.0
            instance.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(8):
                await instance.process.wait()

    try:
        run(scenario, tmp_path, slow_stream(1, 0.0))
        size = 0
        os.set_blocking(reading, False)
        while part := os.read(reading, 65_536):
            size += len(part)
            if len(part) < 65_536:
                break
        assert size >= 60_000
    finally:
        os.close(reading)
        os.close(writing)
