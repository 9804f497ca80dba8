"""Tests of the page and the command that tell where a request would go."""

import asyncio
import json
import time

import pytest
import typer.testing

from tests.fakes.forwarding import answer_ok
from tests.fakes.forwarding import Harness
from tests.fakes.forwarding import make_table
from tests.policy.test_rehearsal import state_of
from tests.policy.test_routing import make_customer
from wigeonfall import cli
from wigeonfall.forwarding import caller_server
from wigeonfall.forwarding.caller_server import ServerContext
from wigeonfall.forwarding.calls import Call
from wigeonfall.forwarding import internal_pages
from wigeonfall.policy.room.token_quota import Charge
from wigeonfall.policy.room.token_quota import PeerVisibility

LIMITED = make_customer(
    name='limited', keys=('lim',), tokens_per_s=1.0, burst_tokens=1.0
)


def page(harness, query, *headers):
    call = Call(b'GET', b'/place?' + query.encode(), headers, b'', 0.0)
    status, body = harness.instance.question_pages()[b'/place'](call)
    return status, json.loads(body)


def run(scripts, act, **fields):
    async def play():
        async with Harness(*scripts, **fields) as harness:
            return await act(harness)

    return asyncio.run(play())


def test_page_names_the_target_and_sends_nothing():
    async def act(harness):
        await harness.ask('/stream/x')
        instance = harness.instance
        kept_state = (instance._scheduler, instance._balancer)
        quotas = instance._quotas
        before = state_of(kept_state), state_of(quotas)
        served = [len(target.served) for target in harness.targets]
        query = 'route=stream&customer=shop&prompt_tokens=600&prefix=a:60'
        status, told = page(harness, query)
        assert (state_of(kept_state), state_of(quotas)) == before
        assert [len(target.served) for target in harness.targets] == served
        return status, told

    table = make_table(customers=(make_customer(name='shop'),))
    status, told = run((answer_ok, answer_ok), act, table=table)
    assert (status, told['outcome'], told['customer']) == (
        200,
        'target',
        'shop',
    )
    assert told['targets'][0]['target'] == told['target']
    assert len(told['targets']) == told['targets_known'] == 2
    assert told['inputs']['table_version'] == 1


@pytest.mark.parametrize(
    ('query', 'error'),
    [
        ('', 'name a route, or a host and a path'),
        ('route=none', "no route 'none'; there are brief, once"),
        ('route=safe&customer=none', "no customer 'none'"),
        ('route=safe&prompt_tokens=-1', 'not a whole number'),
        ('rout=safe', "unknown parameter 'rout'"),
        ('route=safe&data_center=far', 'no instance in data centre'),
        ('%', 'cannot be read'),
    ],
)
def test_faults_of_a_question_are_told(query, error):
    async def act(harness):
        return page(harness, query)

    status, told = run((answer_ok,), act)
    assert status == 400
    assert error in told['error']


@pytest.mark.parametrize(
    ('query', 'status', 'reason'),
    [
        ('route=safe', 401, 'unknown key'),
        ('host=shop.example&path=/none/', 404, 'no route'),
        (
            'route=stream&customer=limited&prompt_tokens=900&answer_tokens=9',
            429,
            'customer over its limit',
        ),
    ],
)
def test_refusals_are_told_with_their_reason(query, status, reason):
    async def act(harness):
        charge = Charge('limited', 8.0, False)
        now_s = time.monotonic()
        harness.instance._quotas.take(LIMITED, charge, PeerVisibility(), now_s)
        return page(harness, query)

    table = make_table(customers=(LIMITED,))
    _, told = run((answer_ok,), act, table=table)
    assert (told['outcome'], told['status']) == ('refused', status)
    assert reason in told['reason']


def test_quarantined_part_is_told_before_any_target():
    async def act(harness):
        quarantines = harness.instance._part_watch.quarantines
        now_s = time.monotonic()
        for number in range(3):
            quarantines.record_lost(['s/bad'], f't{number}', now_s - 2.0)
        quarantines.news(now_s)
        query = 'route=safe&customer=c&prefix=bad:60'
        return page(harness, query), page(harness, query.replace('bad', 'ok'))

    (_, told), (_, sound) = run((answer_ok,), act)
    assert (told['status'], 'targets' in told) == (503, False)
    assert 'prompt part s/bad crashed targets' in told['reason']
    assert told['retry_after_ms'] > 0
    assert sound['outcome'] == 'target'


def test_command_shows_the_page_of_an_instance():
    async def act(harness):
        handle = internal_pages.make_page_handler(
            harness.instance.record, {}, harness.instance.question_pages()
        )
        server = await caller_server.serve(
            '127.0.0.1:0',
            ServerContext(handle, harness.instance.limits, lambda: False),
            10,
        )
        port = server.sockets[0].getsockname()[1]
        shown = [
            await asyncio.to_thread(
                typer.testing.CliRunner().invoke,
                cli.app,
                ['place', f'127.0.0.1:{port}', *options],
            )
            for options in (
                ('--route=safe', '--key=k'),
                ('--route=safe', '--key=k', '--json'),
                ('--route=none',),
            )
        ]
        server.close()
        return shown

    text, as_json, fault = run((answer_ok,), act)
    assert 'it would go to t0 now' in text.stdout
    assert 'first event after' in text.stdout
    assert json.loads(as_json.stdout)['target'] == 't0'
    assert (fault.exit_code, 'no route' in fault.stderr) == (2, True)
