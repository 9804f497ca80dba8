"""Tests of real processes with a fake of the platform."""

import asyncio
import os
import signal
import socket

import pytest

from tests.fakes.forwarding import ScriptedTarget
from tests.fakes.metadata_store import MetadataStore
from tests.fakes.users_platform import Instance
from tests.fakes.users_platform import REQUEST

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
    async def with_platform():
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

    async def with_timeout():
        async with asyncio.timeout(90):
            await with_platform()

    asyncio.run(with_timeout())


def test_a_graceful_stop_completes_all_requests(tmp_path):
    async def scenario(store, _target):
        async with Instance(tmp_path, store) as instance:
            idle = await instance.connect()
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
            # Its end tells the caller that no request was read.
            assert await idle[0].read() == b''
            assert await instance.process.wait() == 0
            numbers = [event['event'] for event in instance.events()]
            assert numbers[0] == 101 and numbers[-1] == 104

    run(scenario, tmp_path)


@pytest.mark.parametrize('kind', ['answer', 'stream', 'last answer'])
def test_a_stop_waits_until_answers_have_left(tmp_path, kind):
    """It cut off all answers that were still in write buffers."""
    body = b'p' * 1_040_000

    async def script(served):
        if kind == 'stream':
            served.write(
                b'HTTP/1.1 200 OK\r\nX-Wigeonfall-Server-Stamp: s\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n'
            )
            served.chunk(b'data: ' + body + b'\n\n')
            served.write(b'0\r\n\r\n')
            return
        name = 'x-wigeonfall-request-id'
        served.write(
            b'HTTP/1.1 200 OK\r\nX-Wigeonfall-Server-Stamp: s\r\n'
            + f'{name}: {served.headers[name]}\r\n'.encode()
            + b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
        )

    async def scenario(store, _target):
        route = MANIFEST['Routes'][0] | {
            'Kind': 'streaming' if kind == 'stream' else 'non_idempotent'
        }
        store.objects.put(
            'config', 'main', MANIFEST | {'Version': 4, 'Routes': [route]}
        )
        async with Instance(tmp_path, store) as instance:
            await asyncio.sleep(0.5)
            sock = socket.socket()
            # Small segments, so that the kernel takes a part of the answer.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(('127.0.0.1', instance.ports['callers']))
            reader, writer = await asyncio.open_connection(
                sock=sock, limit=4096
            )
            request = REQUEST % b'1'
            if kind == 'last answer':
                request = request.replace(
                    b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n'
                )
            writer.write(request)
            await asyncio.sleep(0.3)
            instance.process.send_signal(signal.SIGTERM)
            # Past the time in which callers may still come.
            await asyncio.sleep(2.5)
            answer = b''
            async with asyncio.timeout(4):
                while answer.count(b'p') < len(body):
                    part = await reader.read(1 << 16)
                    assert part, f'cut off after {len(answer)} bytes'
                    answer += part
            assert answer.startswith(b'HTTP/1.1 200')
            async with asyncio.timeout(3):
                await instance.process.wait()
            writer.close()

    run(scenario, tmp_path, script)


def test_no_call_is_cut_off_late_in_the_grace_of_a_stop(tmp_path):
    """Calls that may not be repeated were taken, and cut at its end."""

    async def script(served):
        await asyncio.sleep(1.5)
        name = 'x-wigeonfall-request-id'
        served.write(
            b'HTTP/1.1 200 OK\r\nX-Wigeonfall-Server-Stamp: s\r\n'
            + f'{name}: {served.headers[name]}\r\n'.encode()
            + b'Content-Length: 2\r\n\r\nok'
        )

    async def scenario(store, target):
        route = MANIFEST['Routes'][0] | {'Kind': 'non_idempotent'}
        store.objects.put(
            'config', 'main', MANIFEST | {'Version': 4, 'Routes': [route]}
        )
        async with Instance(tmp_path, store) as instance:
            await asyncio.sleep(0.5)
            assert (await instance.ask(1))[0] == 200
            calls = []
            loop = asyncio.get_running_loop()
            stopped_s = loop.time()
            instance.process.send_signal(signal.SIGTERM)
            # Twenty slots and more calls than they can answer in the grace.
            while loop.time() < stopped_s + 8:
                calls.append(asyncio.create_task(instance.ask(len(calls) + 2)))
                await asyncio.sleep(0.02)
                if instance.process.returncode is not None:
                    break
            outcomes = await asyncio.gather(*calls, return_exceptions=True)
            ran = {
                int(s.headers['x-wigeonfall-request-id'])
                for s in target.served
            }
            for number, outcome in enumerate(outcomes, 2):
                if number in ran:
                    assert not isinstance(outcome, Exception)
                    assert outcome[0] == 200
                elif not isinstance(outcome, Exception):
                    assert outcome[0] == 503
                else:
                    # Not connected, or closed before it was read.
                    assert loop.time() - stopped_s > 1.0
            assert len(ran) > 20

    run(scenario, tmp_path, script)


@pytest.mark.parametrize('kind', ['non_idempotent', 'streaming'])
def test_waiting_calls_are_refused_and_running_ones_answered(tmp_path, kind):
    """Calls that waited to the end of the grace were cut off."""

    async def script(served):
        await served.closed()

    async def scenario(store, target):
        route = MANIFEST['Routes'][0] | {
            'Kind': kind,
            'TimeoutMs': 30_000,
            'TargetLatencyMs': 10_000,
        }
        store.objects.put(
            'config', 'main', MANIFEST | {'Version': 4, 'Routes': [route]}
        )
        async with Instance(tmp_path, store) as instance:
            await asyncio.sleep(0.5)
            calls = []
            for number in range(60):
                if number == 40:
                    instance.process.send_signal(signal.SIGTERM)
                calls.append(asyncio.create_task(instance.ask(number)))
                await asyncio.sleep(0.01)
            answers = await asyncio.gather(*calls)
            names = 'x-wigeonfall-request-id'
            ran = {int(served.headers[names]) for served in target.served}
            assert 0 < len(ran) < 40
            for number, (status, headers, _) in enumerate(answers):
                assert status == (504 if number in ran else 503)
                assert ('retry-after' in headers) == (number not in ran)
            assert await instance.process.wait() == 0

    run(scenario, tmp_path, script)


def test_changed_settings_are_loaded_with_and_without_a_signal(tmp_path):
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


def test_an_instance_starts_from_a_peer_while_the_store_is_down(tmp_path):
    async def scenario(store, _target):
        async with Instance(tmp_path, store, 'i1') as first:
            await wait_for_registration(store, first)
            store.objects.away = True
            second = Instance(tmp_path, store, 'i2')
            # All instances have the same ports, on different hosts.
            second.peers_host = '127.0.0.2'
            second.ports['peers'] = first.ports['peers']
            second.write_settings()
            async with second:
                assert (await second.ask(7))[0] == 200
                numbers = [event['event'] for event in second.events()]
                assert 708 in numbers

    run(scenario, tmp_path)


@pytest.mark.parametrize('after_s', [0.1, 0.2, 0.3])
def test_changed_settings_during_a_start_do_not_end_the_process(
    tmp_path, after_s
):
    """SIGHUP ended a process in the first 0.3 s after its start."""

    async def scenario(store, _target):
        instance = Instance(tmp_path, store)

        async def signal_soon():
            while not hasattr(instance, 'process'):
                await asyncio.sleep(0.001)
            await asyncio.sleep(after_s)
            instance.process.send_signal(signal.SIGHUP)

        soon = asyncio.create_task(signal_soon())
        async with instance:
            await soon
            assert (await instance.ask(1))[0] == 200
            assert instance.process.returncode is None

    run(scenario, tmp_path, slow_stream(1, 0.0))


async def wait_for_registration(store, instance):
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


def test_a_stalled_log_reader_does_not_delay_requests(tmp_path):
    """About 800 bytes per request fill the pipe of 64 kB, then the queue."""
    read_end, write_end = os.pipe()

    async def scenario(store, _target):
        instance = Instance(tmp_path, store)
        instance.output = write_end
        loop = asyncio.get_running_loop()
        async with instance:
            slowest_s = 0.0
            for number in range(400):
                started_s = loop.time()
                status, *_ = await instance.ask(number)
                assert status == 200
                slowest_s = max(slowest_s, loop.time() - started_s)
            assert slowest_s < 1.0
            instance.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(8):
                await instance.process.wait()

    try:
        run(scenario, tmp_path, slow_stream(1, 0.0))
        size = 0
        os.set_blocking(read_end, False)
        while part := os.read(read_end, 65_536):
            size += len(part)
            if len(part) < 65_536:
                break
        assert size >= 60_000
    finally:
        os.close(read_end)
        os.close(write_end)
