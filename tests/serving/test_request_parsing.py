"""Tests of parsing and checking the calls of callers."""

import json

import pytest
from result import Err
from result import Ok

from wigeonfall.model import configuration
from wigeonfall.model import customer
from wigeonfall.model import service
from wigeonfall.model import tier
from wigeonfall.ports.callers import Call
from wigeonfall.serving import request_parsing

CUSTOMER = customer.Customer('norte', 'aa', 'middle', 10, 20)
CONFIGURATION = configuration.Configuration(
    version=1,
    tiers=(
        tier.Tier('high', 0),
        tier.Tier('middle', 1),
        tier.Tier('low', 2),
    ),
    customers=(CUSTOMER,),
    services=(
        service.Service('pool', service.ServiceKind.MODEL, ('drafts',)),
        service.Service('app', service.ServiceKind.PLAIN),
    ),
)
NOW_S = 100.0
DEEP = '[' * 600 + ']' * 600
GOOD = {'model': 'drafts', 'messages': [{'role': 'user', 'content': 'x' * 9}]}


def _check(path='/services/app/x', method='POST', body=b'', **headers):
    named = {name.replace('_', '-'): value for name, value in headers.items()}
    call = Call(method, path, named, body)
    return request_parsing.check_request(
        call, 'r1', CUSTOMER, CONFIGURATION, NOW_S
    )


@pytest.mark.parametrize(
    'path',
    [
        'manage/orders',
        'manage',
        'MANAGE/orders',
        '/manage/orders',
        './manage/orders',
        'x/../manage/orders',
        '%6danage/orders',
        'x%2f..%2fmanage/orders',
        'x\\..\\manage/orders',
        'manage/orders?a=b',
    ],
)
def test_a_caller_cannot_reach_the_management_interface_of_a_target(
    path: str,
) -> None:
    refused = _check(f'/services/app/{path}')
    assert isinstance(refused, Err)
    assert refused.err_value.run.value == 'not-run'


def test_other_paths_are_forwarded_unchanged() -> None:
    made = _check('/services/app/stock/manage%20d?x=%2f', 'GET')
    assert made.ok_value.path == '/stock/manage%20d?x=%2f'
    assert made.ok_value.route == 'GET /stock'


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{',
        b'{"model": 1}',
        b'{"model": "drafts"}',
        b'{"model": "drafts", "messages": []}',
        b'{"model": "drafts", "messages": ["x"]}',
        b'{"model": "none", "messages": [{}]}',
        json.dumps({**GOOD, 'max_tokens': 0}).encode(),
        json.dumps({**GOOD, 'max_tokens': True}).encode(),
    ],
)
def test_invalid_completions_are_refused_as_not_run(body: bytes) -> None:
    refused = _check(request_parsing.COMPLETIONS_PATH, body=body)
    assert refused.err_value.run.value == 'not-run'


@pytest.mark.parametrize('value', ['', '0', '-1', '1.5', '٣', '9' * 5000])
def test_invalid_deadlines_are_refused(value: str) -> None:
    assert isinstance(_check(x_deadline_ms=value), Err)


def test_a_deadline_counts_from_now() -> None:
    made = _check(x_deadline_ms='2500')
    assert isinstance(made, Ok)
    assert made.ok_value.deadline_s == NOW_S + 2.5


def test_a_customer_may_ask_only_for_its_tier_or_lower() -> None:
    assert _check(x_tier='low').ok_value.tier.name == 'low'
    assert _check(x_tier='high').err_value.code.label == 'tier-not-allowed'
    assert _check(x_tier='none').err_value.code.label == 'bad-request'


def test_connection_headers_are_not_forwarded() -> None:
    made = _check(connection='close', x_attempt_id='a', accept='text/plain')
    assert made.ok_value.headers == (('accept', 'text/plain'),)


@pytest.mark.parametrize(
    'content', [DEEP, '[' * 5000 + ']' * 5000, '"\\ud800%s"' % ('x' * 5000)]
)
def test_bodies_with_odd_contents_are_requests_or_refused(content):
    """Some ended the call without an answer."""
    message = '{"role": "user", "content": %s}' % content
    text = '{"model": "drafts", "messages": [%s]}' % message
    checked = _check('/v1/chat/completions', body=text.encode())
    assert isinstance(checked, Ok)
    assert checked.ok_value.body == text.encode()
