"""Tests of the server of callers."""

import asyncio
import contextlib
import socket

from wigeonfall.forwarding import caller_server
from wigeonfall.forwarding.caller_server import ServerContext
from wigeonfall.model.routing import CallerLimits

BODY = b'p' * (8 << 20)  # more than the buffers of the kernel
REQUEST = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'


@contextlib.asynccontextmanager
async def served(body=BODY, idle_timeout_s=15.0):
    """Start a server; yield its context, its calls and a connection."""
    calls = []

    async def handle(call, reply):
        calls.append(call)
        reply.send(200, (), body)

    limits = CallerLimits(idle_timeout_s=idle_timeout_s)
    context = ServerContext(handle, lambda: limits, lambda: False)
    server = await caller_server.serve('127.0.0.1:0', context, 100)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(server.sockets[0].getsockname())
    reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
    try:
        yield context, calls, reader, writer
    finally:
        writer.close()
        server.close()
        await asyncio.sleep(0.01)


async def wait_for(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


def test_a_connection_is_busy_until_its_answer_has_left():
    """A stop took it for idle once the answer was in the write buffer."""

    async def scenario():
        async with served() as (context, calls, reader, writer):
            writer.write(REQUEST)
            await wait_for(lambda: calls)
            await asyncio.sleep(0.1)
            (connection,) = context.connections
            assert connection.busy
            connection.close_idle()
            await reader.readuntil(b'\r\n\r\n')
            received = 0
            while received < len(BODY):
                received += len(await reader.read(1 << 20))
            await wait_for(lambda: not connection.busy)

    asyncio.run(scenario())


def test_a_call_waits_until_earlier_answers_have_left():
    """All answers to a caller that does not read were kept in memory."""

    async def scenario():
        async with served() as (_, calls, reader, writer):
            writer.write(REQUEST * 10)
            await wait_for(lambda: calls)
            await asyncio.sleep(0.2)
            assert len(calls) == 1
            received = 0
            while received < 10 * len(BODY):
                received += len(await reader.read(1 << 20))
            assert len(calls) == 10

    asyncio.run(scenario())


def test_a_caller_that_stops_reading_is_disconnected():
    async def scenario():
        async with served(idle_timeout_s=0.2) as (context, calls, *_, writer):
            writer.write(REQUEST)
            await wait_for(lambda: calls)
            await wait_for(lambda: not context.connections)

    asyncio.run(scenario())
