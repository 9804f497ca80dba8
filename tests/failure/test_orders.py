"""Orders through real processes, checked by the service's own records."""

from collections.abc import Iterator
from concurrent import futures
import pathlib
import time

import attrs
import pytest
import urllib3

from . import instances
from tests.fakes import processes

CALLER_TIMEOUT_S = 60.0
DEADLINE_MS = 8000


@attrs.frozen
class Reply:
    """What a caller got; status 0 stands for a broken connection."""

    status: int
    run: str
    body: bytes


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[instances.Site]:
    with instances.running(tmp_path, 3) as started:
        yield started


def _order(instance: instances.Instance, key: str, body: str = 'a') -> Reply:
    url = f'http://{instance.callers_address}/services/pedidos-app/orders'
    headers = {
        'Authorization': f'Bearer {instances.KEY}',
        'Idempotency-Key': key,
        'X-Deadline-Ms': str(DEADLINE_MS),
    }
    try:
        answer = urllib3.request(
            'POST',
            url,
            body=body,
            headers=headers,
            retries=False,
            timeout=CALLER_TIMEOUT_S,
        )
    except urllib3.exceptions.HTTPError:
        return Reply(0, '', b'')
    run = answer.headers.get('X-Run', '')
    return Reply(answer.status, run, answer.data)


def _is_claimed(site: instances.Site) -> bool:
    return bool(processes.records(site.service.address)['records'])


def test_repeats_at_the_same_moment_run_once(site: instances.Site) -> None:
    calls = [
        (instance, f'key-{number}')
        for number in range(10)
        for instance in site.instances
    ]
    with futures.ThreadPoolExecutor(len(calls)) as pool:
        replies = list(pool.map(lambda call: _order(*call), calls))
    assert set(site.runs().values()) == {1}
    assert {reply.status for reply in replies} == {200}
    for number in range(10):
        same = replies[3 * number : 3 * number + 3]
        assert len({reply.body for reply in same}) == 1


def test_lost_answers_of_the_platform_lead_to_one_run(
    site: instances.Site,
) -> None:
    processes.set_switches(
        site.platform.address, lose_answers=0.5, lose_kind='orders'
    )
    replies = {
        f'key-{number}': _order(site.instances[number % 3], f'key-{number}')
        for number in range(12)
    }
    counts = processes.records(site.platform.address)['counts']
    processes.set_switches(site.platform.address, lose_answers=0)
    assert counts['lost'] > 0
    for key, reply in replies.items():
        assert site.runs().get(key, 0) <= 1
        if reply.status == 200:
            assert _order(site.instances[0], key).body == reply.body
        if reply.run == 'not-run':
            assert site.runs().get(key, 0) == 0
    assert [r.status for r in replies.values()].count(200) >= 6


def test_an_outage_refuses_orders_and_keeps_known_answers(
    site: instances.Site,
) -> None:
    before = _order(site.instances[0], 'known')
    processes.set_switches(site.platform.address, outage=True)
    refused = [_order(i, 'new') for i in site.instances]
    known = [_order(i, 'known') for i in site.instances]
    processes.set_switches(site.platform.address, outage=False)
    assert {(r.status, r.run) for r in refused} == {(503, 'not-run')}
    assert site.runs() == {'known': 1}
    assert before in known
    processes.wait_for(lambda: _order(site.instances[1], 'new').status == 200)
    assert site.runs() == {'known': 1, 'new': 1}


@pytest.mark.parametrize('kill_after_ms', [0, 5, 20, 60, 150])
def test_a_killed_instance_leaves_no_second_run(
    site: instances.Site, kill_after_ms: int
) -> None:
    processes.set_switches(site.service.address, latency_ms=100)
    first, *others = site.instances
    with futures.ThreadPoolExecutor(5) as pool:
        calls = [pool.submit(_order, first, f'k{n}') for n in range(5)]
        time.sleep(kill_after_ms / 1000)
        first.process.kill()
        replies = [call.result() for call in calls]
    # The service may still run what it has received.
    time.sleep(0.3)
    before = site.runs()
    repeats = [_order(others[n % 2], f'k{n}') for n in range(5)]
    after = site.runs()
    assert set(after.values()) <= {1}
    for number, (reply, repeat) in enumerate(zip(replies, repeats)):
        key = f'k{number}'
        if before.get(key):
            assert repeat.status == 200 or repeat.run == 'unknown'
        if repeat.status == 200 and reply.status == 200:
            assert repeat.body == reply.body


def test_a_paused_instance_does_not_cause_a_second_run(
    site: instances.Site,
) -> None:
    processes.set_switches(site.service.address, latency_ms=300)
    first, second, _ = site.instances
    with futures.ThreadPoolExecutor(1) as pool:
        call = pool.submit(_order, first, 'paused')
        processes.wait_for(lambda: _is_claimed(site))
        first.process.pause()
        repeat = _order(second, 'paused')
        first.process.resume()
        reply = call.result()
    assert site.runs() == {'paused': 1}
    assert repeat.run == 'unknown'
    assert reply.status == 200 or reply.run == 'unknown'


def test_a_connection_that_is_cut_is_not_tried_again(
    site: instances.Site,
) -> None:
    processes.set_switches(site.service.address, cut_after_run_next=1)
    cut = _order(site.instances[0], 'cut')
    repeat = _order(site.instances[1], 'cut')
    assert (cut.run, repeat.run) == ('unknown', 'unknown')
    assert site.runs() == {'cut': 1}


def test_closed_pooled_connections_do_not_break_orders(
    site: instances.Site,
) -> None:
    replies = []
    for number in range(4):
        replies.append(_order(site.instances[0], f'key-{number}'))
        processes.set_switches(
            site.service.address, close_idle=True, cut_reused_next=1
        )
    assert {reply.status for reply in replies} == {200}
    assert set(site.runs().values()) == {1}


def test_a_refusing_target_releases_the_key(site: instances.Site) -> None:
    processes.set_switches(site.service.address, refuse_next=1)
    refused = _order(site.instances[0], 'refused')
    repeat = _order(site.instances[1], 'refused')
    assert (refused.run, repeat.status) == ('not-run', 200)
    assert site.runs() == {'refused': 1}


def test_a_key_is_refused_for_another_request(site: instances.Site) -> None:
    first = _order(site.instances[0], 'key', 'a')
    other = _order(site.instances[1], 'key', 'b')
    assert (first.status, other.status) == (200, 422)
    assert other.run == 'not-run'
    assert site.runs() == {'key': 1}


def test_a_service_that_fell_silent_leaves_the_order_in_doubt(
    site: instances.Site,
) -> None:
    processes.set_switches(site.service.address, late_ms=60_000)
    with futures.ThreadPoolExecutor(3) as pool:
        replies = list(pool.map(lambda i: _order(i, 'k'), site.instances))
    assert {reply.run for reply in replies} == {'unknown'}
    assert site.runs() == {'k': 1}
