"""Tests of the platform stand-in."""

from collections.abc import Iterator
import threading
import time
from typing import Any

import pytest
import urllib3

from . import platform

BASE = '/apis/wigeonfall/v1/'


@pytest.fixture
def url() -> Iterator[str]:
    handle = platform.start(live_lag_ms=50)
    yield f'http://{handle.address}'
    handle.stop()


def _post(url: str, path: str, value: Any) -> urllib3.BaseHTTPResponse:
    return urllib3.request('POST', url + path, json=value, retries=False)


def _get(url: str, path: str) -> Any:
    return urllib3.request('GET', url + path, retries=False, timeout=30).json()


def _object(name: str, version: int, spec: Any) -> dict[str, Any]:
    metadata = {'name': name, 'resourceVersion': version}
    return {'metadata': metadata, 'spec': spec}


def test_update_needs_the_current_version(url: str) -> None:
    created = _post(url, BASE + 'leases', _object('a', 0, {'n': 1}))
    version = created.json()['metadata']['resourceVersion']
    statuses = [
        urllib3.request(
            'PUT', url + BASE + 'leases/a', json=_object('a', version, {})
        ).status
        for _ in range(2)
    ]
    assert (created.status, statuses) == (201, [200, 409])


def test_watch_returns_when_an_object_is_written(url: str) -> None:
    writer = threading.Timer(
        0.2, _post, (url, BASE + 'rollouts', _object('r', 0, {}))
    )
    writer.start()
    path = BASE + 'rollouts?watch=1&resourceVersion=0&timeoutSeconds=20'
    items = _get(url, path)['items']
    assert [item['metadata']['name'] for item in items] == ['r']


def test_lost_answer_leaves_the_write_in_effect(url: str) -> None:
    _post(url, '/control', {'lose_answers': 1})
    with pytest.raises(urllib3.exceptions.HTTPError):
        _post(url, BASE + 'orders', _object('o', 0, {}))
    assert _get(url, BASE + 'orders/o')['metadata']['name'] == 'o'
    assert _get(url, '/control')['counts']['lost'] == 1


def test_outage_and_rate_limit_take_no_effect(url: str) -> None:
    _post(url, '/control', {'outage': True})
    down = _post(url, BASE + 'orders', _object('o', 0, {})).status
    _post(url, '/control', {'outage': False, 'writes_per_s': 0.001})
    _post(url, BASE + 'orders', _object('p', 0, {}))
    limited = _post(url, BASE + 'orders', _object('q', 0, {})).status
    assert (down, limited) == (503, 429)
    assert _get(url, '/control')['objects']['orders'] <= 1


def test_live_list_lags(url: str) -> None:
    _post(url, '/control', {'live_lag_ms': 60_000})
    _post(url, '/live/instances', {'name': 'i', 'state': 'ready'})
    time.sleep(0.3)
    assert _get(url, '/live')['instances'] == []
    _post(url, '/control', {'live_lag_ms': 0})
    deadline_s = time.monotonic() + 20
    while not _get(url, '/live')['instances']:
        assert time.monotonic() < deadline_s
        time.sleep(0.05)
