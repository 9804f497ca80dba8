"""Tests of a process while a target sends bytes without end."""

import asyncio
import contextlib
import itertools
import pathlib

import pytest

from tests.fakes.forwarding import ScriptedTarget
from tests.fakes.metadata_store import MetadataStore
from tests.fakes.users_platform import Instance

MACHINE_MEMORY_MB = 150  # of the smallest machine that is published
STREAMS = 60  # more than the slots of a target, so that some wait
RUN_S = 4.0
GAP_S = 0.5  # past their time-out, in which calls must be answered
PART = b'p' * (16 << 10)
HEAD = b'HTTP/1.1 200 OK\r\nX-Wigeonfall-Server-Stamp: s\r\n'
STREAM = HEAD + b'Content-Type: text/event-stream\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'%x\r\n%s\r\n'

# What the target sends at first, and then without end; the kind of route.
ENDLESS = {
    'head': (HEAD + b'X-Pad: ', PART, 'idempotent'),
    'chunk size': (HEAD + CHUNKED, b'0' * len(PART), 'idempotent'),
    'chunk extension': (HEAD + CHUNKED + b'5;x=', PART, 'idempotent'),
    'body with a length': (
        HEAD + b'Content-Length: 1000000000\r\n\r\n',
        PART,
        'idempotent',
    ),
    'body in chunks': (
        HEAD + CHUNKED,
        CHUNK % (len(PART), PART),
        'idempotent',
    ),
    'body to the end': (HEAD + b'\r\n', PART, 'idempotent'),
    'body once': (HEAD + b'\r\n', PART, 'non_idempotent'),
    'error': (
        HEAD.replace(b'200 OK', b'500 No') + b'\r\n',
        PART,
        'non_idempotent',
    ),
    'event': (
        STREAM + CHUNKED,
        CHUNK % (len(PART), PART),
        'streaming',
    ),
    'event to the end': (STREAM + b'\r\n', PART, 'streaming'),
    'small events': (STREAM + b'\r\n', b'data:\n\n' * 2000, 'streaming'),
    'newlines': (STREAM + b'\r\n', b'\n' * len(PART), 'streaming'),
}


def make_route(name, kind, timeout_ms):
    return {
        'Name': name,
        'Host': 'meat.example',
        'PathPrefix': f'/{name}/',
        'Kind': kind,
        'TimeoutMs': timeout_ms,
        'TargetLatencyMs': 500,
        'Service': name,
        'AllowAnonymous': True,
    }


def peak_memory_mb(pid):
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) / 1024
    raise AssertionError(f'no VmHWM of process {pid}')


async def answer(served):
    name = 'x-wigeonfall-request-id'
    request_id = f'{name}: {served.headers[name]}\r\n'.encode()
    served.write(HEAD + request_id + b'Content-Length: 2\r\n\r\nok')


@contextlib.asynccontextmanager
async def started(directory, kind, script):
    """Start an instance, a sound target and one with a script."""
    targets = {
        'r': ScriptedTarget('bad', script),
        'sound': ScriptedTarget('good', answer),
    }
    with MetadataStore() as store:
        routes = [
            make_route('r', kind, 3000),
            make_route('sound', 'idempotent', 1500),
        ]
        services = [{'Name': 'r'}, {'Name': 'sound'}]
        manifest = {
            'Version': 1,
            'Routes': routes,
            'Services': services,
            'Limits': {},
            'Tenants': [],
        }
        store.objects.put('config', 'main', manifest)
        for service, target in targets.items():
            await target.start()
            store.objects.put(
                'servers',
                target.name,
                {
                    'Service': service,
                    'Address': target.address,
                    'Zone': 'z',
                    'Version': 'v1',
                    'Slots': 20,
                    'State': 'ready',
                },
            )
        async with Instance(directory, store) as instance:
            yield instance
        for target in targets.values():
            target.stop()


async def read_some(instance, path, number):
    """Send a request and read what comes until the connection ends."""
    with contextlib.suppress(OSError):
        reader, writer = await instance.connect()
        writer.write(
            f'POST {path} HTTP/1.1\r\nHost: meat.example\r\n'
            f'X-Wigeonfall-Request-Id: {number}\r\n'
            'Connection: close\r\nContent-Length: 0\r\n\r\n'.encode()
        )
        try:
            first = await reader.readline()
            while await reader.read(1 << 16):
                pass
            return first
        finally:
            writer.close()
    return b''


@pytest.mark.parametrize('kind', ENDLESS)
def test_bytes_without_end_leave_memory_and_time_for_other_calls(
    kind, tmp_path
):
    """A machine kept all that a faulty target sent, and ran out of memory."""
    first, part, route_kind = ENDLESS[kind]
    numbers = itertools.count()

    async def endless(served):
        served.write(first)
        while not served.writer.is_closing():
            served.write(part)
            await served.writer.drain()

    async def call_again(instance):
        while True:
            await read_some(instance, '/r/x', f'bad-{next(numbers)}')
            await asyncio.sleep(0.05)

    async def scenario():
        async with started(tmp_path, route_kind, endless) as instance:
            callers = [
                asyncio.create_task(call_again(instance))
                for _ in range(STREAMS)
            ]
            loop = asyncio.get_running_loop()
            end_s = loop.time() + RUN_S
            answered = 0
            while loop.time() < end_s:
                asked_s = loop.time()
                number = f'good-{next(numbers)}'
                status = await read_some(instance, '/sound/x', number)
                assert b' 200 ' in status
                assert loop.time() - asked_s < 1.5 + GAP_S
                answered += 1
                await asyncio.sleep(0.05)
            assert answered >= RUN_S / (1.5 + GAP_S)
            assert peak_memory_mb(instance.process.pid) < MACHINE_MEMORY_MB
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)

    asyncio.run(asyncio.wait_for(scenario(), 60.0))
