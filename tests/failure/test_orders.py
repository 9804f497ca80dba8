"""Tests of orders with real processes, checked by records of the service."""

from collections.abc import Iterator
from concurrent import futures
import pathlib
import time

import attrs
import pytest
import urllib3

from tests.fakes import fleet
from tests.fakes import processes

KEY = 'example-key-of-carniceros-norte'
DEADLINE_MS = 8000
PLAN = fleet.Plan(
    example='co-op',
    instances={'zac-a': ('zac-a-1',), 'sal-b': ('sal-b-1', 'sal-b-2')},
    services=(fleet.TargetPlan('pedidos-1', 'pedidos-app', 'zac-a'),),
    platform_options={'live_lag_ms': 50},
)
INSTANCES = ('zac-a-1', 'sal-b-1', 'sal-b-2')


@attrs.frozen
class CallResult:
    """Result of a call as its caller got it; status 0: connection broken."""

    status: int
    run: str
    body: bytes


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[fleet.Fleet]:
    with fleet.Fleet(PLAN, tmp_path) as started:
        processes.wait_for(
            lambda: _send_order(started, 0, 'ready').status == 200
        )
        yield started


def _send_order(
    site: fleet.Fleet, number: int, key: str, body: str = 'a'
) -> CallResult:
    headers = {'Idempotency-Key': key, 'X-Deadline-Ms': str(DEADLINE_MS)}
    path = '/services/pedidos-app/charges'
    try:
        answer = site.call(INSTANCES[number], 'POST', path, KEY, body, headers)
    except urllib3.exceptions.HTTPError:
        return CallResult(0, '', b'')
    return CallResult(
        answer.status, answer.headers.get('X-Run', ''), answer.data
    )


def _service_address(site: fleet.Fleet) -> str:
    return site.targets['pedidos-1'].address


def _runs_by_key(site: fleet.Fleet) -> dict[str, int]:
    by_key = processes.records(_service_address(site))['by_key']
    return {key: n for key, n in by_key.items() if key != 'ready'}


def _has_received(site: fleet.Fleet, key: str) -> bool:
    records = processes.records(_service_address(site))['records']
    return any(record['idempotency_key'] == key for record in records)


def test_concurrent_calls_with_the_same_key_run_once(
    site: fleet.Fleet,
) -> None:
    calls = [
        (site, instance, f'key-{number}')
        for number in range(10)
        for instance in range(3)
    ]
    with futures.ThreadPoolExecutor(len(calls)) as pool:
        results = list(pool.map(lambda call: _send_order(*call), calls))
    assert set(_runs_by_key(site).values()) == {1}
    assert {result.status for result in results} == {200}
    for number in range(10):
        same = results[3 * number : 3 * number + 3]
        assert len({result.body for result in same}) == 1


def test_lost_answers_of_the_platform_cause_no_second_run(
    site: fleet.Fleet,
) -> None:
    processes.set_switches(
        site.platform_address, lose_answers=0.5, lose_kind='orders'
    )
    results = {
        f'key-{number}': _send_order(site, number % 3, f'key-{number}')
        for number in range(12)
    }
    counts = processes.records(site.platform_address)['counts']
    processes.set_switches(site.platform_address, lose_answers=0)
    assert counts['lost'] > 0
    for key, result in results.items():
        assert _runs_by_key(site).get(key, 0) <= 1
        if result.status == 200:
            assert _send_order(site, 0, key).body == result.body
        if result.run == 'not-run':
            assert _runs_by_key(site).get(key, 0) == 0
    assert [r.status for r in results.values()].count(200) >= 6


def test_known_answers_are_returned_and_new_orders_refused_in_an_outage(
    site: fleet.Fleet,
) -> None:
    before = _send_order(site, 0, 'known')
    processes.set_switches(site.platform_address, outage=True)
    refused = [_send_order(site, i, 'new') for i in range(3)]
    known = [_send_order(site, i, 'known') for i in range(3)]
    processes.set_switches(site.platform_address, outage=False)
    assert {(r.status, r.run) for r in refused} == {(503, 'not-run')}
    assert _runs_by_key(site) == {'known': 1}
    assert before in known
    processes.wait_for(lambda: _send_order(site, 1, 'new').status == 200)
    assert _runs_by_key(site) == {'known': 1, 'new': 1}


@pytest.mark.parametrize('kill_after_ms', [0, 5, 20, 60, 150])
def test_a_killed_instance_causes_no_second_run(
    site: fleet.Fleet, kill_after_ms: int
) -> None:
    processes.set_switches(_service_address(site), latency_ms=100)
    with futures.ThreadPoolExecutor(5) as pool:
        calls = [pool.submit(_send_order, site, 0, f'k{n}') for n in range(5)]
        time.sleep(kill_after_ms / 1000)
        site.instances['zac-a-1'].process.kill()
        results = [call.result() for call in calls]
    # The service may still run calls that it has received.
    time.sleep(0.3)
    before = _runs_by_key(site)
    repeats = [_send_order(site, 1 + n % 2, f'k{n}') for n in range(5)]
    after = _runs_by_key(site)
    assert set(after.values()) <= {1}
    for number, (result, repeat) in enumerate(zip(results, repeats)):
        key = f'k{number}'
        if before.get(key):
            assert repeat.status == 200 or repeat.run == 'unknown'
        if repeat.status == 200 and result.status == 200:
            assert repeat.body == result.body


def test_a_paused_instance_does_not_cause_a_second_run(
    site: fleet.Fleet,
) -> None:
    processes.set_switches(_service_address(site), latency_ms=300)
    process = site.instances['zac-a-1'].process
    with futures.ThreadPoolExecutor(1) as pool:
        call = pool.submit(_send_order, site, 0, 'paused')
        processes.wait_for(lambda: _has_received(site, 'paused'))
        process.pause()
        repeat = _send_order(site, 1, 'paused')
        process.resume()
        result = call.result()
    assert _runs_by_key(site) == {'paused': 1}
    assert repeat.run == 'unknown'
    assert result.status == 200 or result.run == 'unknown'


def test_an_order_is_not_retried_after_its_connection_broke(
    site: fleet.Fleet,
) -> None:
    processes.set_switches(_service_address(site), cut_after_run_next=1)
    cut = _send_order(site, 0, 'cut')
    repeat = _send_order(site, 1, 'cut')
    assert (cut.run, repeat.run) == ('unknown', 'unknown')
    assert _runs_by_key(site) == {'cut': 1}


def test_closed_pooled_connections_do_not_break_orders(
    site: fleet.Fleet,
) -> None:
    results = []
    for number in range(4):
        results.append(_send_order(site, 0, f'key-{number}'))
        # The target closes the pooled connection while the next call is sent.
        processes.set_switches(_service_address(site), cut_reused_next=1)
    assert {result.status for result in results} == {200}
    assert set(_runs_by_key(site).values()) == {1}


def test_a_refusal_by_the_target_releases_the_key(site: fleet.Fleet) -> None:
    processes.set_switches(_service_address(site), refuse_rate=1.0)
    refused = _send_order(site, 0, 'refused')
    processes.set_switches(_service_address(site), refuse_rate=0.0)
    repeat = _send_order(site, 1, 'refused')
    assert (refused.run, repeat.status) == ('not-run', 200)
    assert _runs_by_key(site) == {'refused': 1}


def test_a_key_of_another_request_is_refused(site: fleet.Fleet) -> None:
    first = _send_order(site, 0, 'key', 'a')
    other = _send_order(site, 1, 'key', 'b')
    assert (first.status, other.status) == (200, 422)
    assert other.run == 'not-run'
    assert _runs_by_key(site) == {'key': 1}


def test_an_order_without_an_answer_is_in_doubt(
    site: fleet.Fleet,
) -> None:
    processes.set_switches(_service_address(site), late_ms=60_000)
    with futures.ThreadPoolExecutor(3) as pool:
        results = list(pool.map(lambda i: _send_order(site, i, 'k'), range(3)))
    assert {result.run for result in results} == {'unknown'}
    assert _runs_by_key(site) == {'k': 1}
