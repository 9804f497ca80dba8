"""Tests of the process library and the forwarder."""

from collections.abc import Iterator

import pytest
import urllib3

from . import forwarder
from . import plain_service
from . import processes


@pytest.fixture
def through() -> Iterator[forwarder.Forwarder]:
    service = plain_service.start()
    link = forwarder.Forwarder(service.address)
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


def test_cut_link_heals(through: forwarder.Forwarder) -> None:
    url = f'http://{through.address}/stock/ham'
    states = [processes.answers(url)]
    through.cut()
    states.append(processes.answers(url))
    through.heal()
    states.append(processes.answers(url))
    assert states == [True, False, True]


def test_silent_link_heals(through: forwarder.Forwarder) -> None:
    pool = _pool(through.address)
    assert _stock(pool) == 200
    through.silence()
    with pytest.raises(urllib3.exceptions.TimeoutError):
        _stock(pool, 0.5)
    through.heal()
    assert _stock(pool) == 200


def test_lost_connections_stay_silent(through: forwarder.Forwarder) -> None:
    pool = _pool(through.address)
    assert _stock(pool) == 200
    through.lose_connections()
    with pytest.raises(urllib3.exceptions.TimeoutError):
        _stock(pool, 0.5)
    assert _stock(pool) == 200
