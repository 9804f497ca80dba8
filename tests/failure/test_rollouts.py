"""Control of rollouts by real processes that are paused and cut off."""

from collections.abc import Iterator
import pathlib
import time

import pytest
from result import Ok

from tests.fakes import fleet
from tests.fakes import processes
from wigeonfall.adapters import platform as platform_adapter
from wigeonfall.model.rollout import Rollout
from wigeonfall.ports.platform import Platform
from wigeonfall.serving import leases
from wigeonfall.serving import rollout_changes as changes

SERVICE = 'wigeon-pool'
PLAN = fleet.Plan(
    example='co-op',
    instances={},
    engines=tuple(
        fleet.TargetPlan(f'engine-{n}', SERVICE, 'zac-a') for n in range(3)
    ),
    platform_options={'live_lag_ms': 50},
)


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[fleet.Fleet]:
    """Start a platform and targets that ignore fencing numbers."""
    with fleet.Fleet(PLAN, tmp_path) as started:
        yield started


def _start_instance(
    site: fleet.Fleet, name: str, list_s: float = 0.0
) -> processes.Process:
    started = site.start_process(
        name,
        'tests.fakes.rollout_instance',
        name,
        SERVICE,
        site.platform_address,
        f'--list-s={list_s}',
    )
    started.address()
    return started


def _change(port: Platform, what: str) -> None:
    now_unix_s = time.time()
    move = changes.new_move(what, 'ana', 'test', now_unix_s)
    change = changes.apply_to_existing
    if what == 'start':
        deadline_unix_s = now_unix_s + 600
        wanted = Rollout(
            SERVICE,
            0,
            'v1',
            'v2',
            now_unix_s,
            deadline_unix_s,
            60.0,
            orders=True,
        )
        change = changes.start(wanted)
    assert isinstance(changes.apply_change(port, SERVICE, move, change), Ok)


def _orders(site: fleet.Fleet) -> list[dict]:
    return [
        order
        for target in site.targets.values()
        for order in processes.records(target.address)['orders']
    ]


def _versions(site: fleet.Fleet) -> set[str]:
    port = platform_adapter.make_platform(site.platform_address)
    return {t.version for t in port.live_list().ok_value.targets}


def _events(process: processes.Process) -> list[str]:
    return [value.get('event', '') for value in process.log()]


def test_new_holder_takes_the_version_back_on_targets(
    site: fleet.Fleet,
) -> None:
    """Targets that an earlier holder loaded are ordered back."""
    port = platform_adapter.make_platform(site.platform_address)
    _change(port, 'start')
    first = _start_instance(site, 'first')
    processes.wait_for(lambda: _versions(site) == {'v1', 'v2'}, 60)
    second = _start_instance(site, 'second')
    first.kill()
    _change(port, 'take-back')
    processes.wait_for(lambda: _versions(site) == {'v1'}, 60)
    assert 'LEASE_HELD' in _events(second)
    assert {o['value'] for o in _orders(site) if o['fencing'] > 1} == {'v1'}


def test_holder_paused_before_an_order_does_not_send_it(
    site: fleet.Fleet,
) -> None:
    """The pause falls between the renewal of the lease and the order."""
    port = platform_adapter.make_platform(site.platform_address)
    _change(port, 'start')
    first = _start_instance(site, 'first', list_s=2.0)
    processes.wait_for(lambda: 'LISTED' in _events(first))
    first.pause()
    assert 'LEASE_HELD' in _events(first)
    second = _start_instance(site, 'second')
    _change(port, 'take-back')
    time.sleep(leases.DURATION_S)
    first.resume()
    processes.wait_for(lambda: 'LEASE_LOST' in _events(first))
    lapsed = [v for v in first.log() if v.get('answer') == 'lapsed']
    assert lapsed and lapsed[0]['value'] == 'v2'
    assert _orders(site) == []
    assert second.running()
