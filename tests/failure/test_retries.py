"""Retries through real processes, counted by the service's own records."""

from concurrent import futures
import pathlib
import time

from tests.failure import test_orders
from tests.fakes import fleet
from tests.fakes import processes
from wigeonfall.policy.room import retry

CALLS = 240
PATH = '/services/pedidos-app/stock/ham'


def test_refusing_targets_get_few_retries(tmp_path: pathlib.Path) -> None:
    with fleet.Fleet(test_orders.PLAN, tmp_path) as site:
        processes.wait_for(
            lambda: all(
                site.call(name, 'GET', PATH, test_orders.KEY).status == 200
                for name in test_orders.INSTANCES
            )
        )
        service = site.targets['pedidos-1'].address
        before = len(processes.records(service)['records'])
        processes.set_switches(service, refuse_rate=1.0)
        start_s = time.monotonic()
        with futures.ThreadPoolExecutor(16) as pool:
            replies = list(
                pool.map(
                    lambda n: site.call(
                        test_orders.INSTANCES[n % 3],
                        'GET',
                        PATH,
                        test_orders.KEY,
                    ),
                    range(CALLS),
                )
            )
        passed_s = time.monotonic() - start_s
        attempts = len(processes.records(service)['records']) - before
    assert {reply.headers['X-Run'] for reply in replies} == {'not-run'}
    per_instance = 1 + passed_s * retry.MIN_RETRIES_PER_S
    successes = before * retry.RETRIES_PER_SUCCESS
    assert attempts <= CALLS + 3 * per_instance + successes
    print(f'attempts per request: {attempts / CALLS:.3f}')
