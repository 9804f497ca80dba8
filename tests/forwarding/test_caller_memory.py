"""Tests of callers within the memory of their process."""

import asyncio
import contextlib
import time

from wigeonfall.forwarding import caller_server
from wigeonfall.forwarding.caller_server import ServerContext
from wigeonfall.model.routing import CallerLimits
from wigeonfall.policy.memory import Cause
from wigeonfall.policy.memory import Kind
from wigeonfall.policy.memory import MemoryAccount

from tests.fakes.forwarding import Harness
from tests.fakes.forwarding import make_table
from tests.fakes.forwarding import read_answer

BODY = b'p' * 600_000  # two of them exceed the account of a server
EXPECT = b'Expect: 100-continue\r\n'


def request(body=BODY, lines=b''):
    head = b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n'
    return head % (len(body), lines) + body


class Server:
    """A server that answers when it is told to."""

    def __init__(self):
        self.calls = []
        self.closed = []
        self.answers = asyncio.Event()
        self.context = ServerContext(
            self._handle,
            CallerLimits,
            lambda: False,
            account=MemoryAccount(2 << 20),
            on_closed=lambda *closed: self.closed.append(closed[1]),
        )

    async def _handle(self, call, reply):
        self.calls.append(call)
        await self.answers.wait()
        reply.send(200, (), b'%d' % call.body.size)

    @property
    def used(self):
        return self.context.account.used_bytes


@contextlib.asynccontextmanager
async def served():
    site = Server()
    server = await caller_server.serve('127.0.0.1:0', site.context, 100)
    address = server.sockets[0].getsockname()
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(server.close)

        async def connect():
            reader, writer = await asyncio.open_connection(*address)
            stack.callback(writer.close)
            return reader, writer

        yield site, connect


async def wait_for(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


def run(scenario):
    async def with_server():
        async with served() as (site, connect):
            await scenario(site, connect)

    asyncio.run(asyncio.wait_for(with_server(), 30))


def test_a_body_without_room_is_refused_before_it_is_sent():
    async def scenario(site, connect):
        first, writer = await connect()
        writer.write(request())
        await wait_for(lambda: site.calls)
        second, writer = await connect()
        writer.write(request(lines=EXPECT)[: -len(BODY)])
        status, headers, _ = await read_answer(second)
        assert status == 503
        assert float(headers['retry-after']) > 0
        assert site.closed == [Cause.NO_MEMORY]
        site.answers.set()
        assert (await read_answer(first))[0] == 200
        third, writer = await connect()
        writer.write(request())
        assert (await read_answer(third))[2] == b'%d' % len(BODY)
        assert len(site.calls) == 2
        assert site.used[Kind.REQUESTS] == site.used[Kind.BODIES] == 0

    run(scenario)


def test_a_caller_that_goes_on_sending_can_read_its_refusal():
    async def scenario(site, connect):
        _, writer = await connect()
        writer.write(request())
        await wait_for(lambda: site.calls)
        for _ in range(10):
            reader, writer = await connect()
            writer.write(request())
            assert (await read_answer(reader))[0] == 503
        assert len(site.calls) == 1

    run(scenario)


def test_requests_in_a_row_are_read_one_after_the_other():
    """All that a connection sent ahead was kept."""

    async def scenario(site, connect):
        reader, writer = await connect()
        writer.write(request() * 5)
        await wait_for(lambda: site.calls)
        await asyncio.sleep(0.2)
        held = site.used[Kind.REQUESTS] + site.used[Kind.BODIES]
        assert held <= len(BODY) + 100_000 and len(site.calls) == 1
        site.answers.set()
        for _ in range(5):
            assert (await read_answer(reader))[2] == b'%d' % len(BODY)
        assert not site.closed

    run(scenario)


def test_a_body_without_progress_is_given_up():
    """It was kept for as long as its caller stayed."""

    async def scenario(site, connect):
        reader, writer = await connect()
        writer.write(request()[:-1])
        await wait_for(lambda: site.used[Kind.BODIES])
        account = site.context.account
        await asyncio.sleep(0.2)
        account.sweep(time.monotonic(), 15.0)
        assert site.used[Kind.BODIES] == len(BODY)
        account.sweep(time.monotonic() + 16.0, 15.0)
        assert (await read_answer(reader))[0] == 408
        assert site.used[Kind.BODIES] == 0 and not site.calls

    run(scenario)


def test_short_parts_of_a_body_are_held_together():
    async def scenario(site, connect):
        reader, writer = await connect()
        writer.write(
            b'POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n'
            b'\r\n' + b'2\r\nab\r\n' * 20_000 + b'0\r\n\r\n'
        )
        await wait_for(lambda: site.calls)
        parts = site.calls[0].body.parts
        assert b''.join(parts) == b'ab' * 20_000
        assert len(parts) <= 4
        site.answers.set()
        assert (await read_answer(reader))[0] == 200

    run(scenario)


def test_a_long_body_is_sent_whole_to_each_target():
    """One that refuses before it has read all gets no second copy."""
    body = bytes(range(256)) * 2000
    received = []

    async def script(served):
        received.append(served.body)
        if len(received) == 1:
            headers = ('Not-Run: full',)
            served.answer(status='503 No', headers=headers, receipt=False)
        else:
            served.answer()

    async def scenario():
        limits = CallerLimits(body_bytes=1 << 20)
        async with Harness(
            script, script, table=make_table(limits=limits)
        ) as site:
            status, *_ = await site.ask('/safe/x', method='POST', body=body)
            assert status == 200

    asyncio.run(asyncio.wait_for(scenario(), 10))
    assert received == [body, body]
