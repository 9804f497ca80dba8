"""Tests of processes whose callers keep to no convention.

Each crowd is small and the machine's limits are lowered with it. Only what
does not depend on the speed of the machine is checked: that the process lives,
the peak of its memory, its descriptors, and that it answers afterwards.
"""

import asyncio
import contextlib
import fcntl
import pathlib
import socket
import tempfile

import pytest

from tests.fakes.forwarding import read_answer
from tests.fakes.forwarding import ScriptedTarget
from tests.fakes.metadata_store import MetadataStore
from tests.fakes.users_platform import Instance

MEMORY_MB = 80  # of a process that takes 35 to 40 without calls
DESCRIPTORS = 400
CROWD_S = 6.0  # for what the crowd can send
BODY_BYTES = 4 << 20
PIECE_BYTES = 64 << 10
STAMP = b'X-Wigeonfall-Server-Stamp: s\r\n'
SMALL_ANSWER = (
    b'HTTP/1.1 200 OK\r\n' + STAMP + b'%sContent-Length: 2\r\n\r\nok'
)


def head(path=b'held', *lines):
    first = (
        b'POST /%s/x HTTP/1.1' % path,
        b'Host: h.example',
        b'X-Wigeonfall-Request-Id: c%d',
    )
    return b'\r\n'.join((*first, *lines, b'', b''))


def whole(size, path=b'held'):
    body = b'p' * size
    return head(path, b'Content-Length: %d' % size) % 1 + body


def in_pieces(end):
    chunk = b'%x\r\n%s\r\n' % (PIECE_BYTES, b'p' * PIECE_BYTES)
    chunks = chunk * (BODY_BYTES // PIECE_BYTES)
    return head(b'held', b'Transfer-Encoding: chunked') % 1 + chunks + end


def short_lines(count):
    return head(b'held', *[b'a:b'] * count) % 1


def odd_lines(count):
    names = (b'~%03x:' % number for number in range(count))
    return head(b'held', *names) % 1


HEAD = head()[: -len(b'\r\n')] % 1
PAD = b'p' * (2 << 20)

# What each caller of a crowd sends, and how many there are.
CROWDS = {
    'whole bodies': (24, whole(BODY_BYTES)),
    'bodies in pieces': (24, in_pieces(b'0\r\n\r\n')),
    'bodies short of their end': (24, whole(BODY_BYTES)[:-1]),
    'bodies in pieces without end': (24, in_pieces(b'')),
    'short header lines': (24, short_lines(1900) * 16),
    'odd header lines': (24, odd_lines(1500) * 16),
    'short header lines without end of head': (
        240,
        short_lines(1900)[: -len(b'\r\n')],
    ),
    'heads over the limit': (24, HEAD + b'X-Pad: ' + PAD + b'\r\n\r\n'),
    'heads without end': (24, HEAD + b'X-Pad: ' + PAD),
    'blank lines': (24, b'\r\n' * len(PAD)),
    'requests in a row': (24, whole(1 << 20) * 8),
    'unread answers': (80, whole(0, b'large')),
    'unread streams': (200, whole(0, b'stream')),
    'bodies for a target that reads nothing': (
        24,
        whole(BODY_BYTES, b'unread'),
    ),
}


@pytest.fixture(autouse=True)
def alone():
    """Run one of these tests at a time, whatever the number of workers."""
    path = pathlib.Path(tempfile.gettempdir()) / 'wigeonfall-crowds.lock'
    with path.open('w') as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


async def answer(served):
    name = 'x-wigeonfall-request-id'
    request_id = f'{name}: {served.headers[name]}\r\n'.encode()
    served.write(SMALL_ANSWER % request_id)


async def hold(served):
    await served.closed()


async def answer_large(served):
    name = 'x-wigeonfall-request-id'
    served.write(
        b'HTTP/1.1 200 OK\r\n%s%s: %s\r\nContent-Length: %d\r\n\r\n%s'
        % (
            STAMP,
            name.encode(),
            served.headers[name].encode(),
            1 << 20,
            b'p' * (1 << 20),
        )
    )


async def stream(served):
    served.write(
        b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        b'Transfer-Encoding: chunked\r\n%s\r\n' % STAMP
    )
    number = 0
    while not served.writer.is_closing():
        number += 1
        served.chunk(b'id: %d\ndata: %s\n\n' % (number, b'p' * 8000))
        await served.writer.drain()


class _UnreadTarget(ScriptedTarget):
    """A target that accepts connections and reads nothing."""

    async def _serve(self, reader, writer):
        writer.transport.pause_reading()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.Event().wait()


TARGETS = {
    'sound': ('idempotent', answer),
    'held': ('non_idempotent', hold),
    'large': ('idempotent', answer_large),
    'stream': ('streaming', stream),
    'unread': ('non_idempotent', None),
}


def make_route(name, kind):
    return {
        'Name': name,
        'Host': 'h.example',
        'PathPrefix': f'/{name}/',
        'Kind': kind,
        'TimeoutMs': 20_000,
        'TargetLatencyMs': 10_000,
        'Service': name,
        'AllowAnonymous': True,
    }


@contextlib.asynccontextmanager
async def started(directory, instances):
    """Start instances on small machines, and targets of each kind."""
    manifest = {
        'Version': 1,
        'Routes': [make_route(n, kind) for n, (kind, _) in TARGETS.items()],
        'Services': [{'Name': name} for name in TARGETS],
        'Limits': {'MaxBodyBytes': BODY_BYTES, 'MaxHeaderBytes': 16 << 10},
        'Tenants': [],
    }
    async with contextlib.AsyncExitStack() as stack:
        store = stack.enter_context(MetadataStore())
        store.objects.put('config', 'main', manifest)
        for name, (_, script) in TARGETS.items():
            kind = ScriptedTarget if script else _UnreadTarget
            target = kind(f't-{name}', script)
            await target.start()
            stack.callback(target.stop)
            entry = {
                'Service': name,
                'Address': target.address,
                'Zone': 'z',
                'Version': 'v1',
                'Slots': 250,
                'State': 'ready',
            }
            store.objects.put('servers', target.name, entry)
        running = []
        for number in range(1, instances + 1):
            instance = Instance(directory, store, f'i{number}')
            instance.machine = {
                'memory_mb': MEMORY_MB,
                'descriptors': DESCRIPTORS,
            }
            instance.peers_host = f'127.0.0.{number}'
            if running:
                instance.ports['peers'] = running[0].ports['peers']
                instance.seeds = f'127.0.0.1:{instance.ports["peers"]}'
            instance.write_settings()
            running.append(await stack.enter_async_context(instance))
        yield running


def memory_mb(instance, field):
    path = pathlib.Path(f'/proc/{instance.process.pid}/status')
    for line in path.read_text().splitlines():
        if line.startswith(f'{field}:'):
            return int(line.split()[1]) / 1024
    raise AssertionError(f'no {field} of {instance.name}')


def descriptors(instance):
    path = pathlib.Path(f'/proc/{instance.process.pid}/fd')
    return len(list(path.iterdir()))


async def send(instance, data, writers):
    """Connect with a small window, and send what the instance takes."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        address = ('127.0.0.1', instance.ports['callers'])
        await loop.sock_connect(sock, address)
        writers.append(sock)
        await loop.sock_sendall(sock, data)


async def crowd(instances, size, data, sockets):
    """Send the same from many connections, which stay open and unread."""
    tasks = [
        asyncio.create_task(send(instance, data, sockets))
        for _ in range(size)
        for instance in instances
    ]
    await asyncio.wait(tasks, timeout=CROWD_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    # What the instance has received is answered or held by now.
    await asyncio.sleep(1.0)


async def ask(instance, size):
    """Return the status of an ordinary request, sent again after refusals."""
    for _ in range(60):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await instance.connect()
            try:
                writer.write(whole(size, b'sound'))
                status = (await read_answer(reader))[0]
                if status != 503:
                    return status
            finally:
                writer.close()
        await asyncio.sleep(0.25)
    return 0


async def check(instance, seen):
    assert instance.process.returncode is None
    seen['peak'] = memory_mb(instance, 'VmHWM')
    seen['descriptors'] = descriptors(instance)
    seen['small'] = await ask(instance, 800)
    assert instance.process.returncode is None


def run(directory, size, data, instances=1):
    """Let a crowd send, check each instance, then again in calm."""

    async def scenario():
        async with started(directory, instances) as running:
            sockets = []
            idle = [memory_mb(instance, 'VmRSS') for instance in running]
            await crowd(running, size, data, sockets)
            results = []
            for instance in running:
                results.append({})
                await check(instance, results[-1])
            for sock in sockets:
                sock.close()
            for instance, seen in zip(running, results, strict=True):
                seen['body'] = await ask(instance, BODY_BYTES)
                seen['after'] = memory_mb(instance, 'VmHWM')
            print('idle', idle, results)
            for seen in results:
                assert seen['after'] < MEMORY_MB
                assert seen['descriptors'] < DESCRIPTORS
                assert seen['small'] == 200
                assert seen['body'] == 200

    asyncio.run(asyncio.wait_for(scenario(), 150.0))


@pytest.mark.parametrize('kind', CROWDS)
def test_a_crowd_leaves_the_process_within_its_memory(kind, tmp_path):
    """Each crowd held more memory than the smallest machine has."""
    run(tmp_path, *CROWDS[kind])


@pytest.mark.parametrize(
    'kind', ['whole bodies', 'requests in a row', 'odd header lines']
)
def test_a_crowd_at_two_instances(kind, tmp_path):
    """One of them passes its requests to the other for room."""
    run(tmp_path, *CROWDS[kind], instances=2)


@pytest.mark.parametrize(
    'data', [b'', b'POST /held/x HTTP/1.1\r\nHost: h'], ids=['idle', 'head']
)
def test_connections_up_to_the_limit_of_descriptors(data, tmp_path):
    """A process took as many as it could open, and then none for others."""
    run(tmp_path, DESCRIPTORS + 50, data)
