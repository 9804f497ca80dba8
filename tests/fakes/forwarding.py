"""An in-process instance with scripted targets and a store in memory."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
import threading

from wigeonfall.forwarding import caller_server
from wigeonfall.forwarding.caller_server import ServerContext
from wigeonfall.forwarding.header_names import HeaderNames
from wigeonfall.forwarding.instance import Instance
from wigeonfall.forwarding.platform_adapter import PlatformAdapter
from wigeonfall.forwarding.settings import ForwardingSettings
from wigeonfall.forwarding.settings import ListenSettings
from wigeonfall.forwarding.settings import MachineSettings
from wigeonfall.forwarding.settings import PeersSettings
from wigeonfall.forwarding.settings import RetrySettings
from wigeonfall.forwarding.settings import StopSettings
from wigeonfall.model.routing import CallerLimits
from wigeonfall.model.routing import Repeat
from wigeonfall.model.routing import RoutingTable
from wigeonfall.model.target import Target
from wigeonfall.model.target import TargetState
from wigeonfall.policy.versions.version_trial import Order
from wigeonfall.policy.versions.version_trial import State
from wigeonfall.settings import InstanceSettings
from wigeonfall.settings import LogSettings
from wigeonfall.settings import PlatformSettings

from tests.fakes.object_store import MemoryObjects
from tests.policy.test_routing import make_customer
from tests.policy.test_routing import make_route

HEADER_NAMES = HeaderNames(
    request_id=b'Request-Id',
    time_left_ms=b'Left-Ms',
    key=b'Key',
    customer=b'Customer',
    expected_target=b'Expect',
    token_counts=b'Tokens',
    prompt_parts=b'Parts',
    not_run=b'Not-Run',
    receipt=b'Receipt',
    reserved=frozenset({b'reserved'}),
    rate_limit=b'Rate-Limit',
    leaving=b'Leaving',
)
SAFE = make_route(
    'safe', '/safe/', repeat=Repeat.SAFE, attempts_limit=2, timeout_s=2.0
)
ONCE = make_route('once', '/once/', repeat=Repeat.ONCE, timeout_s=2.0)
STREAM = make_route('stream', '/stream/', timeout_s=3.0)
RESUMED = make_route(
    'resumed',
    '/resumed/',
    resumable=True,
    attempts_limit=3,
    timeout_s=6.0,
    answer_goal_s=0.1,
    pace_goal_s=0.1,
)
BRIEF = make_route('brief', '/brief/', repeat=Repeat.ONCE, timeout_s=0.3)

Script = Callable[['TargetRequest'], Awaitable[None]]


def make_table(version=1, **fields):
    values = dict(
        routes=(SAFE, ONCE, STREAM, RESUMED, BRIEF),
        services=('s',),
        customers=(make_customer(),),
        limits=CallerLimits(body_bytes=10_000),
    )
    return RoutingTable(version=version, **(values | fields))


class TargetRequest:
    """A request that a scripted target received."""

    def __init__(self, head, body, reader, writer):
        lines = head.decode().split('\r\n')
        self.line = lines[0]
        self.headers = dict(
            line.lower().split(': ', 1) for line in lines[1:] if line
        )
        self.body = body
        self.reader = reader
        self.writer = writer

    def write(self, data):
        self.writer.write(data)

    def answer(self, body=b'fine', status='200 OK', headers=(), receipt=True):
        lines = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}']
        lines.append(f'Request-Id: {self.headers["request-id"]}')
        if receipt:
            lines.append('Receipt: r1')
        lines.extend(headers)
        self.write('\r\n'.join([*lines, '', '']).encode() + body)

    def begin_stream(self):
        self.write(
            b'HTTP/1.1 200 OK\r\nReceipt: r1\r\nRequest-Id: %s\r\n'
            b'Content-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
            % self.headers['request-id'].encode()
        )

    def chunk(self, data):
        self.write(b'%x\r\n%s\r\n' % (len(data), data))

    def event(self, number):
        self.chunk(b'id: %d\ndata: %d\n\n' % (number, number))

    def reset(self):
        sock = self.writer.get_extra_info('socket')
        linger = b'\1\0\0\0\0\0\0\0'
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()

    async def closed(self):
        """Wait until the instance closes the connection."""
        while await self.reader.read(1000):
            pass


class ScriptedTarget:
    """A target that answers by a script and keeps its requests."""

    def __init__(self, name, script):
        self.name = name
        self.script = script
        self.served: list[TargetRequest] = []
        self.connections = 0
        self.address = ''
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while True:
                try:
                    head = await reader.readuntil(b'\r\n\r\n')
                except asyncio.IncompleteReadError:
                    break
                length = 0
                for line in head.lower().split(b'\r\n'):
                    if line.startswith(b'content-length: '):
                        length = int(line[16:])
                body = await reader.readexactly(length)
                served = TargetRequest(head, body, reader, writer)
                self.served.append(served)
                await self.script(served)
                await writer.drain()
        writer.close()


async def answer_ok(served):
    served.answer()


def decode_target(entry):
    """Return the target of an entry, or raise what it tells to."""
    raise_if_told(entry)
    return entry.value['target']


def raise_if_told(entry):
    if 'raises' in entry.value:
        raise entry.value['raises']('odd')


def decode_order(entry):
    """Return the order of an entry, in the state of its status."""
    raise_if_told(entry)
    state = State((entry.status or {}).get('state', State.RUNNING.value))
    return Order(entry.name, 's', 'v2', entry.value['duration_s'], state)


class Harness:
    """One instance, its targets and its store."""

    def __init__(
        self,
        *scripts: Script,
        table=None,
        versions=(),
        data_centers=(),
        settings=None,
    ):
        self.versions = versions
        self.data_centers = data_centers
        self.settings = settings or make_settings()
        self.targets = [
            ScriptedTarget(f't{n}', script) for n, script in enumerate(scripts)
        ]
        self.store = MemoryObjects()
        self.events: list[tuple[str, dict]] = []
        self.table = table or make_table()
        self.closing = False  # connections, after their answers
        self._stop = threading.Event()

    async def __aenter__(self):
        for target in self.targets:
            await target.start()
        self.store.put('table', 'main', {'table': self.table})
        for target in self.targets:
            self.store.put('targets', target.name, self._entry(target))
        self.instance = Instance(self.settings, self._adapter(), self._record)
        self.port = ServerContext(
            handle=self.instance.handle,
            limits=self.instance.limits,
            closing=lambda: self.closing,
        )
        self._server = await caller_server.serve('127.0.0.1:0', self.port, 100)
        number = self._server.sockets[0].getsockname()[1]
        self.address = ('127.0.0.1', number)
        self.instance.start(asyncio.get_running_loop(), self._stop)
        self._tasks = [
            asyncio.create_task(loop) for loop in self.instance.loops()
        ]
        async with asyncio.timeout(5):
            while not self.instance.ready():
                await asyncio.sleep(0.01)
        return self

    async def __aexit__(self, *_exc):
        self._stop.set()
        for task in self._tasks:
            task.cancel()
        self._server.close()
        for target in self.targets:
            target.stop()
        await asyncio.sleep(0.01)

    def _record(self, event, **fields):
        self.events.append((event.name, fields))

    def entry_of(self, name):
        """Return the target of a name, as it is stored."""
        (target,) = (t for t in self.targets if t.name == name)
        return self._entry(target)['target']

    def _entry(self, target):
        number = self.targets.index(target)
        version = self.versions[number] if self.versions else ''
        place = self.data_centers[number] if self.data_centers else 'dc'
        entry = Target(
            target.name, 's', place, target.address, version=version
        )
        return {'target': entry}

    def _adapter(self):
        return PlatformAdapter(
            make_store=lambda _address: self.store.port(),
            header_names=HEADER_NAMES,
            table_kind='table',
            table_name='main',
            decode_table=lambda value: value['table'],
            targets_kind='targets',
            decode_target=decode_target,
            orders_kind='orders',
            decode_order=decode_order,
            encode_order=lambda _order, state: {'state': state.value},
            instances_kind='instances',
            writer_version=lambda entry: (
                entry.value['table'].version if 'table' in entry.value else 0
            ),
            ready_path=b'/ready',
            evacuations_kind='evacuations',
        )

    def leave(self, target, state=TargetState.LEAVING):
        """Store a target's entry in another state."""
        entry = Target(target.name, 's', 'dc', target.address, state=state)
        self.store.put('targets', target.name, {'target': entry})

    async def connect(self):
        return await asyncio.open_connection(*self.address)

    async def ask(self, path='/safe/x', *args, **fields):
        """Send a request on a new connection; return status and body."""
        reader, writer = await self.connect()
        writer.write(request(path, *args, **fields))
        try:
            return await read_answer(reader)
        finally:
            writer.close()


def request(
    path='/safe/x', request_id='id-1', method='GET', body=b'', **headers
):
    lines = [f'{method} {path} HTTP/1.1', 'Host: shop.example', 'Key: k']
    lines.append(f'Request-Id: {request_id}')
    if body:
        lines.append(f'Content-Length: {len(body)}')
    lines.extend(
        f'{name.replace("_", "-")}: {value}' for name, value in headers.items()
    )
    return '\r\n'.join([*lines, '', '']).encode() + body


async def read_answer(reader):
    """Return status, headers and body of an answer.

    Raises:
        asyncio.IncompleteReadError: the connection ended before.
    """
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    lines = head.split('\r\n')
    status = int(lines[0].split()[1])
    headers = dict(line.lower().split(': ', 1) for line in lines[1:] if line)
    if headers.get('transfer-encoding') == 'chunked':
        return status, headers, await _read_chunks(reader)
    length = int(headers.get('content-length', 0))
    return status, headers, await reader.readexactly(length)


async def _read_chunks(reader):
    parts = []
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b''.join(parts)
        parts.append(data[:-2])


def make_settings():
    return ForwardingSettings(
        instance=InstanceSettings('i1', 'dc'),
        listen=ListenSettings(
            '127.0.0.1:1', '127.0.0.1:1', '127.0.0.1:0', '127.0.0.1:1'
        ),
        platform=PlatformSettings('127.0.0.1:1'),
        peers=PeersSettings(),
        stop=StopSettings(),
        retry=RetrySettings(),
        machine=MachineSettings(),
        log=LogSettings(),
    )
