"""Tests of what concerns one connection only, in requests and answers."""

import asyncio

import pytest

from tests.fakes.forwarding import answer_ok
from tests.fakes.forwarding import Harness
from tests.fakes.forwarding import read_answer
from tests.fakes.forwarding import request
from wigeonfall.forwarding.caller_server import MAX_PENDING_CALLS

OFFERS = {
    'h2c': (
        b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
        b'HTTP2-Settings: AAMAAABk\r\n'
    ),
    'websocket': b'connection: upgrade\r\nUPGRADE: websocket\r\n',
    'many': b'Upgrade: TLS/1.0\r\nUpgrade: x/1\r\nConnection: Upgrade\r\n',
    'beside others': b'Connection: keep-alive, upgrade\r\nUpgrade: h2c\r\n',
    'not named': b'Upgrade: h2c\r\n',
}
BODY = b'{"order": 17}'


def order(number, offer, framing):
    """Return the bytes of an order."""
    head = request(
        '/once/x', f'id-{number}', 'POST', Content_Type='application/json'
    )[:-2]
    body = b''
    if framing == 'length':
        head += b'Content-Length: %d\r\n' % len(BODY)
        body = BODY
    elif framing == 'chunks':
        head += b'Transfer-Encoding: chunked\r\n'
        body = b'5;x=1\r\n%s\r\n8\r\n%s\r\n0\r\n\r\n' % (
            BODY[:5],
            BODY[5:],
        )
    return head + offer + b'\r\n' + body


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 10.0))


@pytest.mark.parametrize('offer', OFFERS)
@pytest.mark.parametrize('framing', ['length', 'chunks', 'none'])
@pytest.mark.parametrize('piece', [1, 7, 10_000])
def test_an_offered_upgrade_leaves_the_request_as_it_is(offer, framing, piece):
    """Orders ran without their bodies, and the next ones got a 400."""

    async def scenario():
        async with Harness(answer_ok) as site:
            reader, writer = await site.connect()
            for number in range(3):
                data = order(number, OFFERS[offer], framing)
                for start in range(0, len(data), piece):
                    writer.write(data[start : start + piece])
                    await asyncio.sleep(0)
                status, headers, body = await read_answer(reader)
                assert (status, body) == (200, b'fine')
                assert headers['request-id'] == f'id-{number}'
            # Three at once, on the same connection.
            writer.write(
                b''.join(
                    order(number, OFFERS[offer], framing)
                    for number in range(3, 6)
                )
            )
            for number in range(3, 6):
                status, headers, _ = await read_answer(reader)
                assert headers['request-id'] == f'id-{number}'
                assert status == 200
            writer.close()
            (target,) = site.targets
            expected = b'' if framing == 'none' else BODY
            assert [s.body for s in target.served] == [expected] * 6
            for served in target.served:
                assert not served.headers.keys() & {
                    'upgrade',
                    'http2-settings',
                    'connection',
                }
                assert served.headers['content-type'] == 'application/json'

    run(scenario)


def test_a_request_of_an_earlier_version_may_offer_an_upgrade():
    async def scenario():
        async with Harness(answer_ok) as site:
            reader, writer = await site.connect()
            data = order(0, OFFERS['h2c'], 'length')
            writer.write(data.replace(b'HTTP/1.1', b'HTTP/1.0'))
            assert (await read_answer(reader))[0] == 200
            assert await reader.read() == b''
            assert site.targets[0].served[0].body == BODY

    run(scenario)


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'CONNECT a.example:1 HTTP/1.1\r\nHost: a.example\r\n\r\nx', 501),
        (b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n' + bytes(9), 400),
        (b'PRI * HTTP/1.1\r\nHost: a\r\n\r\n', 400),
    ],
)
def test_other_protocols_are_refused_and_reach_no_target(data, status):
    """A request to connect elsewhere was handled, and then got a 400."""

    async def scenario():
        async with Harness(answer_ok) as site:
            reader, writer = await site.connect()
            writer.write(request(request_id='id-0'))
            assert (await read_answer(reader))[0] == 200
            writer.write(data + request(request_id='id-1'))
            assert (await read_answer(reader))[0] == status
            assert await reader.read() == b''
            ran = [s.headers['request-id'] for s in site.targets[0].served]
            assert ran == ['id-0']

    run(scenario)


def test_limits_hold_for_requests_that_offer_an_upgrade():
    async def scenario():
        async with Harness(answer_ok) as site:
            for size, status in ((10_001, 413), (5000, 200)):
                reader, writer = await site.connect()
                data = request(
                    '/once/x',
                    'id-1',
                    'POST',
                    b'b' * size,
                    Connection='upgrade',
                    Upgrade='h2c',
                )
                writer.write(data)
                assert (await read_answer(reader))[0] == status
                writer.close()

    run(scenario)


def test_fields_that_an_answer_names_for_its_connection_are_not_passed_on():
    """But those that callers need, whatever a target names."""

    async def script(served):
        served.answer(
            headers=[
                'Connection: X-Hop, Receipt, Request-Id',
                'X-Hop: 1',
                'X-End: 2',
                'HTTP2-Settings: x',
            ]
        )

    async def scenario():
        async with Harness(script) as site:
            status, headers, _ = await site.ask('/safe/x')
            assert status == 200
            assert headers['receipt'] == 'r1'
            assert headers['request-id'] == 'id-1'
            assert headers['x-end'] == '2'
            assert not headers.keys() & {'x-hop', 'http2-settings'}

    run(scenario)


STREAM_PAUSE_S = 0.05


async def stream_slowly(served):
    served.begin_stream()
    for number in range(4):
        served.event(number)
        await served.writer.drain()
        await asyncio.sleep(STREAM_PAUSE_S)
    served.chunk(b'')


async def answer_by_path(served):
    if ' /stream/' in served.line:
        await stream_slowly(served)
    else:
        served.answer()


def test_a_body_is_asked_for_after_the_answer_before():
    """`100 Continue` came in the middle of the stream before."""

    async def scenario():
        async with Harness(answer_by_path) as site:
            reader, writer = await site.connect()
            writer.write(request('/stream/x', 'id-0', 'POST'))
            await reader.readuntil(b'\r\n\r\n')
            expecting = request(
                '/once/x', 'id-1', 'POST', BODY, Expect='100-continue'
            )
            writer.write(expecting[: -len(BODY)])
            stream = await reader.readuntil(b'\r\n0\r\n\r\n')
            assert b'HTTP/1.1' not in stream
            interim = await reader.readuntil(b'\r\n\r\n')
            assert interim == b'HTTP/1.1 100 Continue\r\n\r\n'
            writer.write(BODY)
            status, headers, _ = await read_answer(reader)
            assert (status, headers['request-id']) == (200, 'id-1')
            assert site.targets[0].served[1].body == BODY

    run(scenario)


def test_a_body_that_came_without_being_asked_for_is_not_asked_for():
    async def scenario():
        async with Harness(answer_by_path) as site:
            reader, writer = await site.connect()
            writer.write(request('/stream/x', 'id-0', 'POST'))
            await reader.readuntil(b'\r\n\r\n')
            writer.write(
                request('/once/x', 'id-1', 'POST', BODY, Expect='100-continue')
            )
            await reader.readuntil(b'\r\n0\r\n\r\n')
            status, headers, _ = await read_answer(reader)
            assert (status, headers['request-id']) == (200, 'id-1')

    run(scenario)


@pytest.mark.parametrize('count', [1, 3])
@pytest.mark.parametrize('partly', [False, True])
def test_requests_read_before_a_stop_are_answered(count, partly):
    """Those behind another one were dropped with its connection."""

    async def slow(served):
        await asyncio.sleep(0.2)
        served.answer()

    async def scenario():
        async with Harness(slow) as site:
            reader, writer = await site.connect()
            data = b''.join(
                request('/once/x', f'id-{number}', 'POST', BODY)
                for number in range(count + 1)
            )
            writer.write(data[:-5] if partly else data)
            await asyncio.sleep(0.1)
            site.closing = True
            await asyncio.sleep(0.2)
            writer.write(data[-5:] if partly else b'')
            for number in range(count + 1):
                status, headers, _ = await read_answer(reader)
                assert status in (200, 503)
                assert (headers.get('connection') == 'close') == (
                    number == count
                )
            assert await reader.read() == b''

    run(scenario)


def test_a_caller_that_sends_ahead_for_ever_does_not_hold_up_a_stop():
    """Each answer would leave the connection open for the next request."""

    async def scenario():
        async with Harness(answer_ok) as site:
            reader, writer = await site.connect()
            site.closing = True
            writer.write(request('/safe/x', 'id-0') * 3)
            answers = 0
            while True:
                _, headers, _ = await read_answer(reader)
                answers += 1
                if headers.get('connection') == 'close':
                    break
                writer.write(request('/safe/x', f'id-{answers}'))
            assert 3 <= answers <= 2 * MAX_PENDING_CALLS

    run(scenario)
