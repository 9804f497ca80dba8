"""Orders through real processes, checked by the service's own records."""

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
class Reply:
    """What a caller got; status 0 stands for a broken connection."""

    status: int
    run: str
    body: bytes


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[fleet.Fleet]:
    with fleet.Fleet(PLAN, tmp_path) as started:
        processes.wait_for(lambda: _order(started, 0, 'ready').status == 200)
        yield started


def _order(site: fleet.Fleet, number: int, key: str, body: str = 'a') -> Reply:
    headers = {'Idempotency-Key': key, 'X-Deadline-Ms': str(DEADLINE_MS)}
    path = '/services/pedidos-app/charges'
    try:
        answer = site.call(INSTANCES[number], 'POST', path, KEY, body, headers)
    except urllib3.exceptions.HTTPError:
        return Reply(0, '', b'')
    return Reply(answer.status, answer.headers.get('X-Run', ''), answer.data)


def _service(site: fleet.Fleet) -> str:
    return site.targets['pedidos-1'].address


def _runs(site: fleet.Fleet) -> dict[str, int]:
    by_key = processes.records(_service(site))['by_key']
    return {key: n for key, n in by_key.items() if key != 'ready'}


def _received(site: fleet.Fleet, key: str) -> bool:
    records = processes.records(_service(site))['records']
    return any(record['idempotency_key'] == key for record in records)


def test_repeats_at_the_same_moment_run_once(site: fleet.Fleet) -> None:
    calls = [
        (site, instance, f'key-{number}')
        for number in range(10)
        for instance in range(3)
    ]
    with futures.ThreadPoolExecutor(len(calls)) as pool:
        replies = list(pool.map(lambda call: _order(*call), calls))
    assert set(_runs(site).values()) == {1}
    assert {reply.status for reply in replies} == {200}
    for number in range(10):
        same = replies[3 * number : 3 * number + 3]
        assert len({reply.body for reply in same}) == 1


def test_lost_answers_of_the_platform_lead_to_one_run(
    site: fleet.Fleet,
) -> None:
    processes.set_switches(
        site.platform_address, lose_answers=0.5, lose_kind='orders'
    )
    replies = {
        f'key-{number}': _order(site, number % 3, f'key-{number}')
        for number in range(12)
    }
    counts = processes.records(site.platform_address)['counts']
    processes.set_switches(site.platform_address, lose_answers=0)
    assert counts['lost'] > 0
    for key, reply in replies.items():
        assert _runs(site).get(key, 0) <= 1
        if reply.status == 200:
            assert _order(site, 0, key).body == reply.body
        if reply.run == 'not-run':
            assert _runs(site).get(key, 0) == 0
    assert [r.status for r in replies.values()].count(200) >= 6


def test_an_outage_refuses_orders_and_keeps_known_answers(
    site: fleet.Fleet,
) -> None:
    before = _order(site, 0, 'known')
    processes.set_switches(site.platform_address, outage=True)
    refused = [_order(site, i, 'new') for i in range(3)]
    known = [_order(site, i, 'known') for i in range(3)]
    processes.set_switches(site.platform_address, outage=False)
    assert {(r.status, r.run) for r in refused} == {(503, 'not-run')}
    assert _runs(site) == {'known': 1}
    assert before in known
    processes.wait_for(lambda: _order(site, 1, 'new').status == 200)
    assert _runs(site) == {'known': 1, 'new': 1}


@pytest.mark.parametrize('kill_after_ms', [0, 5, 20, 60, 150])
def test_a_killed_instance_leaves_no_second_run(
    site: fleet.Fleet, kill_after_ms: int
) -> None:
    processes.set_switches(_service(site), latency_ms=100)
    with futures.ThreadPoolExecutor(5) as pool:
        calls = [pool.submit(_order, site, 0, f'k{n}') for n in range(5)]
        time.sleep(kill_after_ms / 1000)
        site.instances['zac-a-1'].process.kill()
        replies = [call.result() for call in calls]
    # The service may still run what it has received.
    time.sleep(0.3)
    before = _runs(site)
    repeats = [_order(site, 1 + n % 2, f'k{n}') for n in range(5)]
    after = _runs(site)
    assert set(after.values()) <= {1}
    for number, (reply, repeat) in enumerate(zip(replies, repeats)):
        key = f'k{number}'
        if before.get(key):
            assert repeat.status == 200 or repeat.run == 'unknown'
        if repeat.status == 200 and reply.status == 200:
            assert repeat.body == reply.body


def test_a_paused_instance_does_not_cause_a_second_run(
    site: fleet.Fleet,
) -> None:
    processes.set_switches(_service(site), latency_ms=300)
    process = site.instances['zac-a-1'].process
    with futures.ThreadPoolExecutor(1) as pool:
        call = pool.submit(_order, site, 0, 'paused')
        processes.wait_for(lambda: _received(site, 'paused'))
        process.pause()
        repeat = _order(site, 1, 'paused')
        process.resume()
        reply = call.result()
    assert _runs(site) == {'paused': 1}
    assert repeat.run == 'unknown'
    assert reply.status == 200 or reply.run == 'unknown'


def test_a_connection_that_is_cut_is_not_tried_again(
    site: fleet.Fleet,
) -> None:
    processes.set_switches(_service(site), cut_after_run_next=1)
    cut = _order(site, 0, 'cut')
    repeat = _order(site, 1, 'cut')
    assert (cut.run, repeat.run) == ('unknown', 'unknown')
    assert _runs(site) == {'cut': 1}


def test_closed_pooled_connections_do_not_break_orders(
    site: fleet.Fleet,
) -> None:
    replies = []
    for number in range(4):
        replies.append(_order(site, 0, f'key-{number}'))
        # A target that closes a connection while the next call is on its way.
        processes.set_switches(_service(site), cut_reused_next=1)
    assert {reply.status for reply in replies} == {200}
    assert set(_runs(site).values()) == {1}


def test_a_refusing_target_releases_the_key(site: fleet.Fleet) -> None:
    processes.set_switches(_service(site), refuse_rate=1.0)
    refused = _order(site, 0, 'refused')
    processes.set_switches(_service(site), refuse_rate=0.0)
    repeat = _order(site, 1, 'refused')
    assert (refused.run, repeat.status) == ('not-run', 200)
    assert _runs(site) == {'refused': 1}


def test_a_key_is_refused_for_another_request(site: fleet.Fleet) -> None:
    first = _order(site, 0, 'key', 'a')
    other = _order(site, 1, 'key', 'b')
    assert (first.status, other.status) == (200, 422)
    assert other.run == 'not-run'
    assert _runs(site) == {'key': 1}


def test_a_service_that_fell_silent_leaves_the_order_in_doubt(
    site: fleet.Fleet,
) -> None:
    processes.set_switches(_service(site), late_ms=60_000)
    with futures.ThreadPoolExecutor(3) as pool:
        replies = list(pool.map(lambda i: _order(site, i, 'k'), range(3)))
    assert {reply.run for reply in replies} == {'unknown'}
    assert _runs(site) == {'k': 1}
