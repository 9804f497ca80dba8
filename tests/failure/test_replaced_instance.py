"""An instance that is replaced while the platform is away."""

import pathlib

from tests.fakes import fleet
from tests.fakes import processes

LOOKUPS = 5


def test_replaced_instance_serves_while_the_platform_is_away(
    tmp_path: pathlib.Path,
) -> None:
    service = fleet.TargetPlan('plain-0', 'pedidos-app', 'zac-a')
    names = {'zac-a': ('zac-a-0',), 'sal-b': ('sal-b-0',)}
    plan = fleet.Plan(example='co-op', instances=names, services=(service,))
    with fleet.Fleet(plan, tmp_path) as running:
        processes.wait_for(lambda: _lookup(running, 'zac-a-0') == 200)
        processes.set_switches(running.platform_address, outage=True)
        running.instances['zac-a-0'].process.kill()
        running.restart_instance('zac-a-0')
        statuses = {
            name: [_lookup(running, name) for _ in range(LOOKUPS)]
            for name in running.instances
        }
    assert statuses == dict.fromkeys(statuses, [200] * LOOKUPS)


def _lookup(running: fleet.Fleet, instance: str) -> int:
    key = 'example-key-of-empacadora'
    path = '/services/pedidos-app/stock/ham'
    return running.call(instance, 'GET', path, key).status
