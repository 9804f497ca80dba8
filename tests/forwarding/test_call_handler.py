"""Tests of handling calls, over sockets on loopback."""

import asyncio
import contextlib

import attrs
import pytest

from tests.fakes.forwarding import answer_ok
from tests.fakes.forwarding import Harness
from tests.fakes.forwarding import make_table
from tests.fakes.forwarding import read_answer
from tests.fakes.forwarding import request
from tests.policy.test_routing import make_customer


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


async def reset(served):
    served.reset()


async def silent(served):
    await served.closed()


async def not_run(served):
    served.answer(b'', '503 Full', ['Not-Run: 1'], receipt=False)


async def fails(served):
    served.answer(b'broken', '500 Error')


async def no_receipt(served):
    served.answer(receipt=False)


async def encoded(served):
    served.answer(headers=['Content-Encoding: gzip'])


async def garbage(served):
    served.write(b'\0\1 not http\r\n\r\n')
    await served.closed()


async def cut_body(served):
    served.write(
        b'HTTP/1.1 200 OK\r\nReceipt: r\r\nContent-Length: 99\r\n\r\nhalf'
    )
    served.writer.close()


async def three_events(served):
    served.begin_stream()
    for number in (1, 2, 3):
        served.event(number)
    served.write(b'0\r\n\r\n')


THREE = b''.join(b'id: %d\ndata: %d\n\n' % (n, n) for n in (1, 2, 3))


def test_an_answer_is_relayed_unchanged():
    async def scenario():
        async with Harness(answer_ok) as site:
            status, headers, body = await site.ask('/safe/x?y=%20z')
            assert (status, body) == (200, b'fine')
            assert headers['receipt'] == 'r1'
            (served,) = site.targets[0].served
            assert served.line == 'GET /safe/x?y=%20z HTTP/1.1'

    run(scenario)


def test_targets_get_headers_of_the_instance_and_none_forged_by_callers():
    async def scenario():
        async with Harness(answer_ok) as site:
            await site.ask(
                Left_Ms=1500,
                Customer='other',
                Expect='t9',
                Reserved='x',
                Keep_Alive='x',
                Own='kept',
            )
            headers = site.targets[0].served[0].headers
            assert headers['customer'] == 'c'
            assert headers['expect'] == 't0'
            assert 0 < int(headers['left-ms']) <= 1500
            assert headers['own'] == 'kept'
            assert not {'key', 'reserved', 'keep-alive'} & headers.keys()

    run(scenario)


@pytest.mark.parametrize(
    ('path', 'fields', 'status'),
    [
        ('/none/x', {}, 404),
        ('/safe/x', {'Key': 'unknown'}, 401),
        ('/safe/x', {'body': b'x' * 20_000, 'method': 'POST'}, 413),
        ('/safe/x', {'Long': 'x' * 20_000}, 431),
    ],
)
def test_invalid_calls_reach_no_target(path, fields, status):
    async def scenario():
        async with Harness(answer_ok) as site:
            data = request(path, **fields)
            if 'Key' in fields:
                data = data.replace(b'Key: k\r\n', b'')
            reader, writer = await site.connect()
            writer.write(data)
            answer = await read_answer(reader)
            assert answer[0] == status
            assert not site.targets[0].served

    run(scenario)


def test_a_request_smuggled_in_a_body_is_not_run():
    async def scenario():
        async with Harness(answer_ok) as site:
            inner = request('/once/x', 'inner', 'POST')
            both = request('/once/x', 'outer', 'POST', Content_Length=4)
            both = both.replace(
                b'\r\n\r\n', b'\r\nTransfer-Encoding: chunked\r\n\r\n', 1
            )
            reader, writer = await site.connect()
            writer.write(both + b'0\r\n\r\n' + inner)
            answer = await read_answer(reader)
            assert answer[0] == 400
            assert not site.targets[0].served

    run(scenario)


@pytest.mark.parametrize(
    'script', [reset, garbage, cut_body, no_receipt, encoded, fails, not_run]
)
def test_a_repeatable_request_is_retried_at_another_target(script):
    async def scenario():
        async with Harness(script, script, answer_ok) as site:
            site.targets[1].script = answer_ok
            results = [await site.ask(request_id=f'id-{n}') for n in range(6)]
            assert [status for status, _, _ in results] == [200] * 6

    run(scenario)


@pytest.mark.parametrize('script', [reset, garbage, cut_body, no_receipt])
def test_a_request_that_may_have_run_is_not_sent_again(script):
    """A request that may have run is answered with 502, never with 503."""

    async def scenario():
        async with Harness(script, script) as site:
            status, headers, _ = await site.ask('/once/x', method='POST')
            assert status == 502
            assert 'retry-after' not in headers
            assert sum(len(t.served) for t in site.targets) == 1

    run(scenario)


def test_a_request_that_a_target_did_not_run_goes_to_another():
    async def scenario():
        async with Harness(not_run, not_run) as site:
            site.targets[1].script = answer_ok
            for n in range(4):
                status, _, _ = await site.ask('/once/x', f'id-{n}', 'POST')
                assert status == 200

    run(scenario)


def test_a_request_whose_connection_is_refused_goes_to_another_target():
    """A refused connection proves that the request did not run."""

    async def scenario():
        async with Harness(answer_ok, answer_ok) as site:
            site.targets[0].stop()
            for n in range(4):
                status, _, _ = await site.ask('/once/x', f'id-{n}', 'POST')
                assert status == 200

    run(scenario)


def test_a_request_that_no_target_ran_is_answered_with_503():
    async def scenario():
        async with Harness(not_run) as site:
            status, headers, _ = await site.ask('/once/x', method='POST')
            assert status == 503
            assert 0 < float(headers['retry-after']) <= 1

    run(scenario)


def test_an_error_answer_keeps_the_status_and_receipt_of_its_target():
    async def scenario():
        async with Harness(fails) as site:
            status, headers, body = await site.ask('/once/x', method='POST')
            assert (status, body) == (500, b'broken')
            assert headers['receipt'] == 'r1'

    run(scenario)


def test_the_routes_time_limit_ends_a_request():
    async def scenario():
        async with Harness(silent) as site:
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            status, _, _ = await site.ask('/brief/x', method='POST')
            assert status == 504
            assert loop.time() - began_s < 0.3 + 0.5
            await asyncio.sleep(0.1)

    run(scenario)


@pytest.mark.parametrize('path', ['/safe/x', '/stream/x', '/once/x'])
def test_the_target_connection_closes_when_the_caller_disconnects(path):
    async def scenario():
        closed = asyncio.Event()

        async def script(served):
            await served.closed()
            closed.set()

        async with Harness(script) as site:
            _, writer = await site.connect()
            writer.write(request(path))
            while not site.targets[0].served:
                await asyncio.sleep(0.01)
            writer.close()
            await asyncio.wait_for(closed.wait(), 0.5)

    run(scenario)


def test_a_waiting_request_is_dropped_when_its_caller_disconnects():
    async def scenario():
        async with Harness(silent) as site:
            held = []
            for n in range(20):
                _, writer = await site.connect()
                writer.write(request('/stream/x', f'id-{n}'))
                held.append(writer)
            await asyncio.sleep(0.2)
            before = len(site.targets[0].served)
            for writer in held:
                writer.close()
            await asyncio.sleep(0.3)
            assert before < 20
            assert len(site.targets[0].served) == before

    run(scenario)


def test_events_are_relayed_as_they_arrive():
    async def scenario():
        go_on = asyncio.Event()

        async def script(served):
            served.begin_stream()
            served.event(1)
            await go_on.wait()
            served.event(2)
            served.event(3)
            served.write(b'0\r\n\r\n')

        async with Harness(script) as site:
            reader, writer = await site.connect()
            writer.write(request('/stream/x'))
            await reader.readuntil(b'data: 1\n\n')
            go_on.set()
            rest = await reader.readuntil(b'0\r\n\r\n')
            assert b'data: 3' in rest

    run(scenario)


def test_a_broken_stream_does_not_look_complete():
    async def scenario():
        async def script(served):
            served.begin_stream()
            served.event(1)
            served.chunk(b'id: 2\nda')
            await served.writer.drain()
            served.reset()

        async with Harness(script, script) as site:
            with pytest.raises((asyncio.IncompleteReadError, OSError)):
                await site.ask('/stream/x')
            assert sum(len(t.served) for t in site.targets) == 1

    run(scenario)


def test_a_broken_stream_is_resumed_without_a_gap():
    async def scenario():
        async def breaks(served):
            served.begin_stream()
            served.event(1)
            served.event(2)
            served.chunk(b'id: 3\nda')
            await served.writer.drain()
            await asyncio.sleep(0.05)
            served.reset()

        async def goes_on(served):
            served.begin_stream()
            last = int(served.headers['last-event-id'])
            for number in range(last, 4):
                served.event(number)
            served.write(b'0\r\n\r\n')

        async with Harness(breaks, breaks) as site:

            async def script(served):
                resumed = 'last-event-id' in served.headers
                await (goes_on if resumed else breaks)(served)

            for target in site.targets:
                target.script = script
            status, _, body = await site.ask('/resumed/x')
            assert (status, body) == (200, THREE)

    run(scenario)


def test_a_stalled_stream_is_resumed_at_another_target():
    async def scenario():
        async def script(served):
            if site.targets[0].served and site.targets[1].served:
                await three_events(served)
            else:
                await served.closed()

        async with Harness(script, script) as site:
            status, _, body = await site.ask('/resumed/x')
            assert (status, body) == (200, THREE)

    run(scenario)


def test_an_answer_to_a_head_request_has_no_body():
    async def scenario():
        async def script(served):
            served.write(
                b'HTTP/1.1 200 OK\r\nReceipt: r\r\nContent-Length: 800\r\n\r\n'
            )

        async with Harness(script) as site:
            status, _, body = await site.ask('/safe/x', method='HEAD')
            assert (status, body) == (200, b'')

    run(scenario)


def test_an_answer_without_a_length_ends_with_its_connection():
    async def scenario():
        async def script(served):
            served.write(b'HTTP/1.1 200 OK\r\nReceipt: r\r\n\r\nall of it')
            await served.writer.drain()
            served.writer.close()

        async with Harness(script) as site:
            status, _, body = await site.ask()
            assert (status, body) == (200, b'all of it')

    run(scenario)


def test_an_answer_without_a_length_that_is_reset_is_incomplete():
    async def scenario():
        async def script(served):
            served.write(b'HTTP/1.1 200 OK\r\nReceipt: r\r\n\r\nhalf')
            await served.writer.drain()
            await asyncio.sleep(0.05)
            served.reset()

        async with Harness(script) as site:
            with contextlib.suppress(asyncio.IncompleteReadError):
                status, _, _ = await site.ask('/once/x', method='POST')
                assert status == 502

    run(scenario)


def test_a_customer_over_its_quota_gets_429_with_retry_after():
    async def scenario():
        customer = make_customer(tokens_per_s=1.0, burst_tokens=100.0)
        table = make_table(customers=(customer,))
        async with Harness(answer_ok, table=table) as site:
            first = await site.ask(request_id='a', Tokens='60,40')
            second = await site.ask(request_id='b', Tokens='60,40')
            assert first[0] == 200
            assert second[0] == 429
            assert float(second[1]['retry-after']) > 0

    run(scenario)


def test_a_newer_table_is_applied_and_an_older_one_is_ignored():
    async def scenario():
        async with Harness(answer_ok) as site:
            site.store.put(
                'table', 'main', {'table': make_table(5, routes=())}
            )
            await asyncio.sleep(0.3)
            assert (await site.ask())[0] == 404
            site.store.put('table', 'main', {'table': make_table(4)})
            await asyncio.sleep(0.3)
            assert (await site.ask())[0] == 404

    run(scenario)


def test_calls_are_served_during_a_store_outage_and_changes_applied_after():
    async def scenario():
        async with Harness(answer_ok) as site:
            site.store.away = True
            await asyncio.sleep(0.3)
            assert (await site.ask())[0] == 200
            site.store.put(
                'table', 'main', {'table': make_table(5, routes=())}
            )
            site.store.forget_history()
            site.store.away = False
            await asyncio.sleep(1.5)
            assert (await site.ask())[0] == 404

    run(scenario)


def test_a_leaving_target_gets_no_new_requests():
    async def scenario():
        async with Harness(answer_ok, answer_ok) as site:
            site.leave(site.targets[0])
            await asyncio.sleep(0.3)
            site.targets[0].served.clear()
            for n in range(5):
                assert (await site.ask(request_id=f'id-{n}'))[0] == 200
            assert not site.targets[0].served

    run(scenario)


def test_an_instance_that_is_shutting_down_refuses_new_calls():
    """Streams that start during a shutdown are cut when the process ends."""

    async def scenario():
        async with Harness(answer_ok) as site:
            site.instance.reject_calls()
            status, headers, _ = await site.ask(request_id='late-1')
            assert status == 503
            assert float(headers['retry-after']) < 0.2
            assert not site.targets[0].served
            # Refused calls are logged with their identifier, so that a
            # request that a caller reports is found in the log.
            name, fields = site.events[-1]
            assert name == 'CALL_REJECTED'
            assert fields['request_id'] == 'late-1'

    run(scenario)


def test_a_bad_version_is_rolled_back_and_gets_no_more_requests():
    async def scenario():
        async with make_rollout_site(answer_ok, fails) as site:
            site.store.put('orders', 's', {'duration_s': 60.0})
            await asyncio.sleep(0.3)
            for n in range(200):
                await site.ask('/once/x', f'first-{n}', 'POST')
            await wait_for_state(site, 'taken-back')
            _, new = site.targets
            assert 0 < len(new.served) < 0.1 * 200
            before = len(new.served)
            for n in range(100):
                status, _, _ = await site.ask('/once/x', f'n-{n}', 'POST')
                assert status == 200
            assert len(new.served) == before

    run(scenario)


def test_a_good_version_takes_over_within_the_rollout():
    async def scenario():
        async with make_rollout_site(answer_ok, answer_ok) as site:
            site.store.put('orders', 's', {'duration_s': 6.0})
            await asyncio.sleep(0.3)
            for n in range(500):
                await site.ask('/once/x', f'first-{n}', 'POST')
            await wait_for_state(site, 'completed')
            old, _ = site.targets
            before = len(old.served)
            for n in range(50):
                await site.ask('/once/x', f'n-{n}', 'POST')
            assert len(old.served) == before

    run(scenario)


def make_rollout_site(*scripts):
    unlimited = make_customer(tokens_per_s=0.0)
    table = make_table(customers=(unlimited,))
    return Harness(*scripts, table=table, versions=('v1', 'v2'))


async def wait_for_state(site, state):
    async with asyncio.timeout(8):
        while site.store.get('orders', 's').status != {'state': state}:
            await asyncio.sleep(0.05)


def test_requests_on_one_connection_are_answered_in_turn():
    async def scenario():
        async with Harness(answer_ok) as site:
            reader, writer = await site.connect()
            writer.write(request(request_id='a') + request(request_id='b'))
            for name in ('a', 'b'):
                status, headers, _ = await read_answer(reader)
                assert (status, headers['request-id']) == (200, name)

    run(scenario)


def test_an_exception_while_handling_is_recorded_and_closes_the_connection():
    async def scenario():
        async with Harness(answer_ok) as site:

            async def handle(_call, _reply):
                raise KeyError('odd')

            site.instance._call_handler.handle = handle
            with pytest.raises(asyncio.IncompleteReadError):
                await site.ask('/safe/x')
            (fields,) = [
                fields
                for name, fields in site.events
                if name == 'HANDLING_FAILED'
            ]
            assert fields['detail'] == "KeyError('odd')"
            assert fields['request_id']

    run(scenario)


def test_a_resend_refused_by_the_budget_is_recorded():
    async def scenario():
        async with Harness(reset, reset) as site:
            site.instance._call_handler._context = attrs.evolve(
                site.instance._call_handler._context,
                allow_resend=lambda _service, _s: False,
            )
            status, _, _ = await site.ask('/safe/x')
            assert status == 502
            names = [name for name, _ in site.events]
            assert 'RESEND_REFUSED' in names
            assert 'TARGET_BACKED_OFF' in names

    run(scenario)
