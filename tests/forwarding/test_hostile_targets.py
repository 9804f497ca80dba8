"""Tests against targets and callers that send bytes that are no answer."""

import asyncio

import pytest

from tests.fakes.forwarding import answer_ok
from tests.fakes.forwarding import Harness
from wigeonfall.forwarding import caller_server
from wigeonfall.forwarding.caller_server import ServerContext
from wigeonfall.forwarding.framing import READ_BYTES
from wigeonfall.forwarding import relaying
from wigeonfall.forwarding import target_connection
from wigeonfall.forwarding.target_connection import TargetConnection
from wigeonfall.model.routing import CallerLimits

PART_BYTES = 64 << 10
HEAD = b'HTTP/1.1 200 OK\r\nReceipt: r\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
OTHER = b'HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: 0\r\n\r\n'

ENDLESS = {
    'header lines': (HEAD, b'X-Pad: ' + b'p' * 1000 + b'\r\n'),
    'one header line': (HEAD + b'X-Pad: ', b'p' * 1000),
    'status line': (b'HTTP/1.1 200 ', b'O' * 1000),
    'interim answers': (b'', INTERIM),
    'answers to others': (b'', OTHER),
    'trailers': (CHUNKED + b'0\r\n', b'X-Pad: ' + b'p' * 1000 + b'\r\n'),
    'chunk extension': (CHUNKED + b'5;x=', b'p' * 1000),
}


class Transport(asyncio.Transport):
    """A transport that keeps nothing."""

    def __init__(self):
        super().__init__()
        self.closed = False
        self.paused = False

    def get_extra_info(self, name, default=None):
        return default

    def is_closing(self):
        return self.closed

    def write(self, data):
        pass

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def close(self):
        self.closed = True

    abort = close


@pytest.mark.parametrize('kind', ENDLESS)
def test_bytes_without_end_close_the_connection(kind, monkeypatch):
    """An endless head took 236 MB and held the event loop for 0.5 s."""
    monkeypatch.setattr(target_connection, '_set_options', lambda _sock: None)
    connection = TargetConnection()
    connection.connection_made(Transport())
    start, part = ENDLESS[kind]
    connection.data_received(start)
    fed = 0
    while not connection.transport.closed:
        connection.data_received(part * (PART_BYTES // len(part)))
        fed += PART_BYTES
        assert fed <= 4 * target_connection.MAX_FRAMING_BYTES
    assert not connection.keep_alive
    kept = sum(
        len(n) + len(v) for r in connection.responses for n, v in r.headers
    )
    assert kept <= 4 * target_connection.MAX_FRAMING_BYTES


@pytest.mark.parametrize('kind', ENDLESS)
def test_a_caller_of_an_endless_answer_gets_an_error_soon(kind):
    start, part = ENDLESS[kind]

    async def endless(served):
        served.write(start)
        while not served.writer.is_closing():
            served.write(part * (PART_BYTES // len(part)))
            await served.writer.drain()

    async def scenario():
        async with Harness(endless) as site:
            if start.startswith(CHUNKED):
                # The head was passed on, so the answer breaks off.
                with pytest.raises(asyncio.IncompleteReadError):
                    await site.ask('/once/x', method='POST')
            else:
                status, _, _ = await site.ask('/once/x', method='POST')
                assert status == 502

    asyncio.run(asyncio.wait_for(scenario(), 1.5))


IDLE_STREAMS = {
    'newlines': b'\n',
    'blank lines': b'\r\n',
    'comments': b': wait\n\n',
    'small comments': b':\n\n',
    'repeated events': b'id: 1\ndata: 1\n\n',
}


@pytest.mark.parametrize('begun', [False, True])
@pytest.mark.parametrize('kind', IDLE_STREAMS)
def test_a_stream_without_events_does_not_hold_up_other_calls(kind, begun):
    """Machines that relayed newlines answered nobody for 10 s and more."""
    part = IDLE_STREAMS[kind]

    async def endless(served):
        if served.line.split()[1].startswith('/safe/'):
            served.answer()
            return
        served.begin_stream()
        if begun:
            served.event(1)
        while not served.writer.is_closing():
            served.chunk(part * (PART_BYTES // len(part)))
            await served.writer.drain()

    async def scenario():
        loop = asyncio.get_running_loop()
        async with Harness(endless) as site:
            streams = [
                asyncio.create_task(
                    site.ask('/stream/x', f's{n}', method='POST')
                )
                for n in range(4)
            ]
            slowest_s = 0.0
            while not all(stream.done() for stream in streams):
                started_s = loop.time()
                assert (await site.ask('/safe/x'))[0] == 200
                slowest_s = max(slowest_s, loop.time() - started_s)
            for stream in streams:
                if begun or kind == 'repeated events':
                    with pytest.raises(asyncio.IncompleteReadError):
                        await stream
                else:
                    assert (await stream)[0] == 502
            assert slowest_s < 0.5, (
                site.events
            )  # half a second past the time-out of calls
            closed = [
                fields['detail']
                for name, fields in site.events
                if name == 'ATTEMPT_FAILED'
            ]
            assert all('without a new event' in detail for detail in closed)
            assert len(closed) == 4

    asyncio.run(asyncio.wait_for(scenario(), 5.0))


def test_held_answers_are_bounded_together():
    """Events without end in many streams took the memory of a machine."""

    async def endless(served):
        served.begin_stream()
        while not served.writer.is_closing():
            served.chunk(b'data: ' + b'x' * PART_BYTES)
            await served.writer.drain()
            await asyncio.sleep(0.001)

    async def scenario():
        async with Harness(endless, endless) as site:
            buffers = site.instance._connections._buffers
            buffers.max_bytes = 256 << 10
            streams = [
                asyncio.create_task(
                    site.ask('/stream/x', f's{n}', method='POST')
                )
                for n in range(8)
            ]
            most_bytes = 0
            while not all(stream.done() for stream in streams):
                most_bytes = max(most_bytes, buffers.total_bytes)
                await asyncio.sleep(0.001)
            for stream in streams:
                assert (await stream)[0] == 502
            # One read may pass the limit before its answer is given up.
            assert most_bytes <= buffers.max_bytes + 8 * 2 * READ_BYTES
            assert buffers.total_bytes == 0

    asyncio.run(asyncio.wait_for(scenario(), 10.0))


def test_bytes_on_an_idle_connection_close_it_at_once():
    async def script(served):
        served.answer()
        await served.writer.drain()
        await asyncio.sleep(0.05)
        while not served.writer.is_closing():
            served.write(b'\n' * PART_BYTES)
            await served.writer.drain()

    async def scenario():
        async with Harness(script) as site:
            assert (await site.ask('/safe/x'))[0] == 200
            served = site.targets[0].served[0]
            async with asyncio.timeout(1.0):
                while not served.writer.is_closing():
                    await asyncio.sleep(0.01)

    asyncio.run(asyncio.wait_for(scenario(), 5.0))


def test_chunks_with_long_extensions_close_the_connection(monkeypatch):
    """Each body byte allowed another 64 KB of framing."""
    monkeypatch.setattr(target_connection, '_set_options', lambda _sock: None)
    connection = TargetConnection()
    connection.connection_made(Transport())
    connection.data_received(CHUNKED)
    fed = 0
    while not connection.transport.closed:
        chunk = b'1;x=' + b'p' * 10_000 + b'\r\nb\r\n'
        connection.data_received(chunk)
        fed += len(chunk)
        assert fed <= 4 * target_connection.MAX_FRAMING_BYTES


def test_chunks_of_one_byte_are_accepted(monkeypatch):
    monkeypatch.setattr(target_connection, '_set_options', lambda _sock: None)
    connection = TargetConnection()
    connection.connection_made(Transport())
    connection.data_received(CHUNKED)
    for _ in range(200):
        connection.data_received(b'1\r\nb\r\n' * 1000)
        connection.mark_consumed(len(connection.responses[0].body))
        connection.responses[0].body.clear()
    assert not connection.transport.closed


def test_a_caller_that_sends_calls_without_end_is_not_read_further():
    """All were parsed and kept while the first one was answered."""

    async def scenario():
        transport = Transport()
        context = ServerContext(
            lambda _call, _reply: asyncio.sleep(60),
            CallerLimits,
            lambda: False,
        )
        connection = caller_server.CallerConnection(context)
        connection.connection_made(transport)
        for _ in range(caller_server.MAX_PENDING_CALLS + 1):
            assert not transport.paused
            connection.data_received(b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n')
        assert transport.paused
        connection.connection_lost(None)

    asyncio.run(scenario())


def test_an_event_without_end_breaks_the_stream_off():
    async def endless(served):
        served.begin_stream()
        served.event(1)
        while not served.writer.is_closing():
            served.chunk(b'data: ' + b'x' * PART_BYTES)
            await served.writer.drain()

    async def scenario():
        async with Harness(endless) as site:
            with pytest.raises(asyncio.IncompleteReadError):
                await site.ask('/stream/x', method='POST')

    assert relaying.MAX_EVENT_BYTES <= 1 << 20
    asyncio.run(asyncio.wait_for(scenario(), 2.5))


def test_a_stream_that_trickles_bytes_without_events_goes_on_elsewhere():
    """A byte now and then kept a stalled stream alive to its deadline."""

    async def trickle(served):
        served.begin_stream()
        if 'last-event-id' in served.headers:
            served.event(2)
            served.write(b'0\r\n\r\n')
            return
        served.event(1)
        while not served.writer.is_closing():
            served.chunk(b':')
            await asyncio.sleep(0.1)

    async def scenario():
        async with Harness(trickle, trickle) as site:
            status, _, body = await site.ask('/resumed/x', method='POST')
            assert status == 200
            assert body == b'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n'

    asyncio.run(asyncio.wait_for(scenario(), 3.0))


@pytest.mark.parametrize(
    ('line', 'headers'),
    [
        ('HTTP/1.1 200 OK', ['Receipt: r0', 'Content-Length: 4']),
        ('HTTP/1.1 503 Full', ['Not-Run: 1', 'Content-Length: 4']),
    ],
)
def test_a_late_copy_without_id_is_not_taken_for_the_next_answer(
    line, headers
):
    """The next caller on the connection got the answer of the one before."""

    async def script(served):
        if served.headers['request-id'] == 'id-1':
            served.answer(b'first')
            return
        # The copy of the first answer comes before the second one.
        copy = '\r\n'.join([line, *headers, '', ''])
        served.write(copy.encode() + b'late')
        await asyncio.sleep(0.05)
        served.answer(b'second')

    async def scenario():
        async with Harness(script) as site:
            first = await site.ask('/safe/x')
            status, _, body = await site.ask('/safe/x', request_id='id-2')
            assert first[0] == 200
            assert site.targets[0].connections == 1
            assert status not in (429, 503)
            assert body != b'late'

    asyncio.run(asyncio.wait_for(scenario(), 5.0))


def test_an_answer_without_id_on_a_new_connection_is_that_of_its_request():
    async def anonymous(served):
        served.write(HEAD + b'Content-Length: 4\r\n\r\nfine')

    async def scenario():
        async with Harness(anonymous) as site:
            status, _, body = await site.ask('/safe/x')
            assert (status, body) == (200, b'fine')

    asyncio.run(asyncio.wait_for(scenario(), 5.0))


CALLER_HEAD = b'POST /x HTTP/1.1\r\nHost: h\r\n'
CALLER_CHUNKED = CALLER_HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


@pytest.mark.parametrize(
    ('start', 'part'),
    [
        (CALLER_HEAD + b'X-Pad: ', b'p' * 1000),
        (b'GET /', b'p' * 1000),
        (CALLER_HEAD, b'X-Pad: ' + b'p' * 1000 + b'\r\n'),
        (CALLER_CHUNKED + b'5;x=', b'p' * 1000),
        (CALLER_CHUNKED + b'0\r\n', b'X-Pad: ' + b'p' * 1000 + b'\r\n'),
    ],
)
def test_a_call_without_end_is_rejected(start, part):
    async def scenario():
        limits = CallerLimits(header_bytes=16_384)
        context = ServerContext(answer_ok, lambda: limits, lambda: False)
        connection = caller_server.CallerConnection(context)
        transport = Transport()
        connection.connection_made(transport)
        connection.data_received(start)
        fed = 0
        while not transport.closed:
            connection.data_received(part * 8)
            fed += 8 * len(part)
            assert fed <= 4 * limits.header_bytes
        connection.connection_lost(None)

    asyncio.run(scenario())
