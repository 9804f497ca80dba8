"""Tests against repeated refusals, errors within streams and cut heads."""

import asyncio

import pytest

from tests.fakes.forwarding import Harness

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
