"""Tests of the process library and the TCP proxy."""

from collections.abc import Iterator

import pytest
import urllib3

from . import plain_service
from . import processes
from . import tcp_proxy


@pytest.fixture
def proxy() -> Iterator[tcp_proxy.TcpProxy]:
    service = plain_service.start()
    link = tcp_proxy.TcpProxy(service.address)
    yield link
    link.close()
    service.stop()


def _stock(pool: urllib3.HTTPConnectionPool, timeout_s: float = 20) -> int:
    return pool.request('GET', '/stock/ham', timeout=timeout_s).status


def _pool(address: str) -> urllib3.HTTPConnectionPool:
    host, _, port = address.partition(':')
    return urllib3.HTTPConnectionPool(host, int(port), retries=False)


def test_process_prints_its_address_and_ends() -> None:
    process = processes.start('service', 'tests.fakes.plain_service')
    address = process.address()
    assert processes.records(address)['by_key'] == {}
    assert process.usage().memory_bytes > 1 << 20
    process.pause()
    assert not processes.answers(f'http://{address}/load')
    process.resume()
    processes.wait_until_answers(f'http://{address}/load')
    process.kill()
    assert not process.running()


def test_a_disconnected_link_is_restored(proxy: tcp_proxy.TcpProxy) -> None:
    url = f'http://{proxy.address}/stock/ham'
    states = [processes.answers(url)]
    proxy.disconnect()
    states.append(processes.answers(url))
    proxy.restore()
    states.append(processes.answers(url))
    assert states == [True, False, True]


def test_a_stalled_link_is_restored(proxy: tcp_proxy.TcpProxy) -> None:
    pool = _pool(proxy.address)
    assert _stock(pool) == 200
    proxy.stall()
    with pytest.raises(urllib3.exceptions.TimeoutError):
        _stock(pool, 0.5)
    proxy.restore()
    assert _stock(pool) == 200


def test_stalled_connections_stay_stalled(proxy: tcp_proxy.TcpProxy) -> None:
    pool = _pool(proxy.address)
    assert _stock(pool) == 200
    proxy.stall_open_connections()
    with pytest.raises(urllib3.exceptions.TimeoutError):
        _stock(pool, 0.5)
    assert _stock(pool) == 200
