"""Tests of the plain service stand-in."""

from collections.abc import Iterator
from typing import Any

import pytest
import urllib3

from . import plain_service


@pytest.fixture
def url() -> Iterator[str]:
    handle = plain_service.start(latency_ms=1)
    yield f'http://{handle.address}'
    handle.stop()


def _order(url: str, key: str) -> urllib3.BaseHTTPResponse:
    headers = {'Idempotency-Key': key, 'X-Attempt-Id': 'a'}
    return urllib3.request(
        'POST',
        url + '/member-orders',
        headers=headers,
        retries=False,
        timeout=30,
    )


def _control(url: str, **switches: Any) -> Any:
    return urllib3.request('POST', url + '/control', json=switches).json()


def test_counts_executions_by_key(url: str) -> None:
    for key in ('k', 'k', 'l'):
        assert _order(url, key).status == 200
    assert _control(url)['by_key'] == {'k': 2, 'l': 1}


@pytest.mark.parametrize(
    'switch, runs',
    [('cut_before_run_next', 0), ('cut_after_run_next', 1)],
)
def test_cut_answers(url: str, switch: str, runs: int) -> None:
    _control(url, **{switch: 1})
    with pytest.raises(urllib3.exceptions.HTTPError):
        _order(url, 'k')
    assert _control(url)['by_key'].get('k', 0) == runs


def test_refused_call_does_not_run(url: str) -> None:
    _control(url, refuse_next=1)
    assert _order(url, 'k').headers['X-Run'] == 'not-run'
    assert _control(url)['by_key'] == {}


def test_used_connection_is_cut_without_a_run(url: str) -> None:
    _control(url, cut_reused_next=1)
    host, _, port = url.removeprefix('http://').partition(':')
    with urllib3.HTTPConnectionPool(host, int(port), retries=False) as pool:
        assert pool.request('GET', '/stock/ham').json()['count'] == 1000
        with pytest.raises(urllib3.exceptions.HTTPError):
            pool.request('POST', '/member-orders')
    assert len(_control(url)['by_request']) == 1
    assert sum(_control(url)['by_request'].values()) == 1
