"""Tests against repeated refusals, errors within streams and cut heads."""

import asyncio
import time

import pytest

from tests.fakes.forwarding import answer_ok
from tests.fakes.forwarding import Harness
from tests.fakes.forwarding import make_table
from tests.fakes.forwarding import ONCE
from tests.fakes.forwarding import read_answer
from tests.fakes.forwarding import request
from wigeonfall.model.routing import CallerLimits

INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'

REFUSAL = (
    b'HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest-Id: %s\r\n'
    b'Content-Length: 4\r\n\r\nfull'
)
STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nReceipt: r2\r\nRequest-Id: %s\r\n'
    b'Content-Type: text/event-stream\r\n'
)
FIRST_EVENT = b'id: 1\ndata: 1\n\n'
TIME_LIMIT_S = 5.0


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), TIME_LIMIT_S))


@pytest.mark.parametrize('after_s', [None, 0.0, 0.05])
@pytest.mark.parametrize('path', ['/safe/x', '/once/x', '/resumed/x'])
def test_repeated_refusal_of_an_earlier_request_refuses_no_later_one(
    path, after_s
):
    """Callers were told to try again while a target ran the request."""

    async def script(served):
        request_id = served.headers['request-id'].encode()
        if request_id == b'id-1':
            served.write(REFUSAL % request_id)
            if after_s is None:
                served.write(REFUSAL % request_id)
            return
        if after_s is not None:
            await asyncio.sleep(after_s)
            served.write(REFUSAL % b'id-1')
        await asyncio.sleep(0.05)
        if path == '/resumed/x':
            served.begin_stream()
            served.event(1)
            served.write(b'0\r\n\r\n')
        else:
            served.answer(b'second')

    async def scenario():
        async with Harness(script) as site:
            (target,) = site.targets
            status, *_ = await site.ask(path, method='POST')
            assert status == 503
            async with asyncio.timeout(5):
                while status == 503 and len(target.served) < 2:
                    await asyncio.sleep(0.1)
                    status, _, body = await site.ask(
                        path, request_id='id-2', method='POST'
                    )
            assert status == 200
            assert body == (FIRST_EVENT if path == '/resumed/x' else b'second')
            runs = [
                s for s in target.served if s.headers['request-id'] != 'id-1'
            ]
            assert len(runs) == 1

    run(scenario)


def plain(status_line, body, *headers):
    """Return a script that answers with an error or another kind of body."""

    async def script(served):
        served.answer(body, status_line, headers)

    return script


def raw_stream(framing, body=b''):
    """Return a script that answers with the head of a stream and closes."""

    async def script(served):
        request_id = served.headers['request-id'].encode()
        served.write(STREAM_HEAD % request_id + framing + b'\r\n' + body)
        await served.writer.drain()
        served.writer.close()

    return script


ERROR_TEXT = b'<html>\n\noverloaded\n\n</html>\n\n'
ERRORS = {
    'server error': plain('500 Error', ERROR_TEXT),
    'server error as event': plain(
        '500 Error', b'data: error\n\n', 'Content-Type: text/event-stream'
    ),
    'not found': plain('404 Not Found', ERROR_TEXT),
    'refusal': plain('503 Full', ERROR_TEXT, 'Not-Run: 1'),
    'success that is no stream': plain('200 OK', ERROR_TEXT),
    'JSON with success': plain(
        '200 OK', b'{"error":"x"}\n\n', 'Content-Type: application/json'
    ),
    'no content': plain('204 No Content', b''),
    'empty page': plain('200 OK', b''),
    'end after the head': raw_stream(b''),
    'end within the chunks': raw_stream(b'Transfer-Encoding: chunked\r\n'),
}


@pytest.mark.parametrize('kind', ERRORS)
def test_error_of_the_next_target_does_not_get_into_a_begun_stream(kind):
    """Its text came in the middle, or the stream ended as if complete."""

    async def script(served):
        if 'last-event-id' in served.headers:
            await ERRORS[kind](served)
            return
        served.begin_stream()
        served.event(1)
        served.chunk(b'id: 2\nda')
        await served.writer.drain()
        await asyncio.sleep(0.05)
        served.reset()

    async def scenario():
        async with Harness(script, script, script) as site:
            reader, writer = await site.connect()
            writer.write(
                b'POST /resumed/x HTTP/1.1\r\nHost: shop.example\r\n'
                b'Key: k\r\nRequest-Id: id-1\r\nContent-Length: 0\r\n\r\n'
            )
            received = await reader.read()
            head, _, body = received.partition(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 200')
            assert b'chunked' in head.lower()
            assert body == b'%x\r\n%s\r\n' % (len(FIRST_EVENT), FIRST_EVENT)
            writer.close()
            assert sum(len(t.served) for t in site.targets) > 1

    run(scenario)


def test_stream_whose_last_event_had_come_ends_with_an_empty_rest():
    """The connection broke between its last event and its end."""

    async def script(served):
        served.begin_stream()
        if 'last-event-id' in served.headers:
            served.write(b'0\r\n\r\n')
            return
        served.event(1)
        await served.writer.drain()
        await asyncio.sleep(0.05)
        served.reset()

    async def scenario():
        async with Harness(script, script) as site:
            status, _, body = await site.ask('/resumed/x', method='POST')
            assert (status, body) == (200, FIRST_EVENT)

    run(scenario)


HEAD = (
    b'HTTP/1.1 200 OK\r\nReceipt: r1\r\nRequest-Id: id-1\r\n'
    b'Content-Type: text/event-stream\r\nContent-Length: 14\r\n\r\n'
)


@pytest.mark.parametrize('path', ['/safe/x', '/once/x', '/stream/x'])
@pytest.mark.parametrize('kept', range(5, len(HEAD), 9))
def test_answer_that_ends_within_its_head_is_not_taken_for_whole(path, kept):
    """Callers got a 200 with an empty body, framed as whole."""

    async def script(served):
        served.write(HEAD[:kept])
        await served.writer.drain()
        served.writer.close()

    async def scenario():
        async with Harness(script, script) as site:
            status, _, body = await site.ask(path, method='POST')
            assert status == 502
            assert body == b''

    run(scenario)


NO_STATUSES = (
    '000 X',
    '001 X',
    '099 X',
    '600 Status',
    '999 X',
    '20 X',
    '2000 X',
    '-20 X',
    '2x0 X',
    '0200 X',
    '101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: h2c',
)


def odd_answer(served, status, before=b''):
    """Write an answer and leave the connection open."""
    request_id = served.headers['request-id']
    served.write(
        before
        + f'HTTP/1.1 {status}\r\nReceipt: r1\r\nRequest-Id: {request_id}\r\n'
        'Content-Length: 4\r\n\r\nfine'.encode()
    )


@pytest.mark.parametrize('status', NO_STATUSES)
@pytest.mark.parametrize('before', [b'', INTERIM], ids=['alone', 'interim'])
def test_answer_without_a_status_is_a_failure_at_once(status, before):
    """It was taken for an interim one until the deadline, or passed on."""

    async def script(served):
        odd_answer(served, status, before)

    async def scenario():
        async with Harness(script) as site:
            started_s = time.monotonic()
            answer = await site.ask('/once/x', method='POST')
            taken_s = time.monotonic() - started_s
            assert answer[0] == 502
            assert taken_s < ONCE.timeout_s / 2
            assert any(name == 'TARGET_BACKED_OFF' for name, _ in site.events)

    run(scenario)


@pytest.mark.parametrize('status', NO_STATUSES)
@pytest.mark.parametrize('kept', [False, True])
@pytest.mark.parametrize('path', ['/safe/x', '/resumed/x'])
def test_another_target_is_asked_after_an_answer_without_a_status(
    status, kept, path
):
    async def script(served):
        if served.headers['request-id'] == 'first':
            served.answer(FIRST_EVENT)
        else:
            odd_answer(served, status)

    async def sound(served):
        served.answer(FIRST_EVENT)

    async def scenario():
        async with Harness(script, sound) as site:
            odd, other = site.targets
            if kept:
                # One connection to the odd target is kept for the next.
                while not odd.served:
                    await site.ask('/safe/x', request_id='first')
            statuses = [
                (await site.ask(path, request_id=f'id-{number}'))[0]
                for number in range(6)
            ]
            assert statuses == [200] * 6
            assert other.served

    run(scenario)


@pytest.mark.parametrize('pieces', [1, 40])
@pytest.mark.parametrize('closes', [False, True])
@pytest.mark.parametrize('path', ['/safe/x', '/once/x', '/stream/x'])
@pytest.mark.parametrize('read_bytes', [0, 200_000])
@pytest.mark.parametrize('ends_first', [False, True])
def test_early_answer_that_is_reset_during_an_upload_is_not_whole(
    pieces, closes, path, read_bytes, ends_first
):
    """It has no length, so that its end could be taken for that of the body.

    Callers get an error, or a chunked answer without its last chunk.
    """
    upload = b'u' * 3_000_000

    async def serve(reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        request_id = head.lower().partition(b'request-id: ')[2].split()[0]
        writer.write(STREAM_HEAD % request_id)
        writer.write(b'Connection: close\r\n' * closes + b'\r\n')
        await reader.read(read_bytes) if read_bytes else None
        for _ in range(pieces):
            writer.write(b'data: part\n\n')
            await writer.drain()
            await asyncio.sleep(0.002)
        if ends_first:
            writer.write_eof()
            await asyncio.sleep(0.05)
        # Unread bytes of the upload make this a reset.
        writer.transport.abort()

    async def scenario():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        table = make_table(limits=CallerLimits(body_bytes=4_000_000))
        async with Harness(answer_ok, table=table) as site:
            port = server.sockets[0].getsockname()[1]
            site.targets[0].address = f'127.0.0.1:{port}'
            site.store.put('targets', 't0', {'target': site.entry_of('t0')})
            await asyncio.sleep(0.1)
            reader, writer = await site.connect()
            writer.write(request(path, method='POST', body=upload))
            try:
                status, *_ = await read_answer(reader)
            except asyncio.IncompleteReadError:
                status = 0
            assert status in (0, 502)
            writer.close()
        server.close()

    run(scenario)
