"""Configuration on real processes: outages, replacements, cut links."""

from collections.abc import Iterator
import pathlib
import socket

import pytest

from ..fakes.fleet import Fleet
from ..fakes.fleet import Plan
from ..fakes import processes
from wigeonfall.adapters import configuration_store
from wigeonfall.adapters import platform as platform_adapter
from wigeonfall.model.revision import Change
from wigeonfall.model.revision import Texts
from wigeonfall import operations

PLAN = Plan(
    example='co-op',
    instances={'zac-a': ('z1', 'z2'), 'sal-b': ('s1', 's2')},
)
ETC = processes.REPOSITORY / 'etc' / 'co-op'


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    with Fleet(PLAN, tmp_path) as started:
        processes.wait_for(
            lambda: all(len(_live(started, n)) == 4 for n in started.instances)
        )
        yield started


def _page(fleet: Fleet, name: str) -> dict:
    return fleet.show(name, '/control')


def _live(fleet: Fleet, name: str) -> list[str]:
    return _page(fleet, name)['live_instances']


def _store(fleet: Fleet):
    return configuration_store.make_store(
        platform_adapter.make_platform(fleet.platform_address)
    )


def _apply(fleet: Fleet, weight: int) -> int:
    base = (ETC / 'base.ini').read_text()
    sites = {s: (ETC / f'{s}.ini').read_text() for s in PLAN.instances}
    texts = Texts(base.replace('weight = 4', f'weight = {weight}'), sites)
    store = _store(fleet)
    draft = operations.draft(store, texts).unwrap()
    change = Change(0, f'change-{weight}', 'ana', 'test', 0)
    return operations.apply(store, draft, change).unwrap().version


def _wait_in_force(fleet: Fleet, version: int, *names: str) -> None:
    def reached() -> bool:
        wanted = names or tuple(fleet.instances)
        return all(_page(fleet, n)['version'] == version for n in wanted)

    processes.wait_for(reached)


def _start_again(fleet: Fleet, name: str) -> None:
    instance = fleet.instances[name]
    instance.process = fleet.start_process(
        name, 'wigeonfall', 'serve', '--settings', str(instance.settings_file)
    )


def _versions_in_log(fleet: Fleet, name: str) -> list[int]:
    return [
        line['fields']['version']
        for line in fleet.instances[name].process.log()
        if line.get('event') == 501
    ]


def test_a_change_is_in_force_and_reported_by_each_site(fleet: Fleet) -> None:
    for weight in (5, 6, 7):
        _wait_in_force(fleet, _apply(fleet, weight))
    processes.wait_for(
        lambda: (
            {
                (s.data_center, s.in_force)
                for s in _store(fleet).statuses().unwrap()
                if s.version == 3 and not s.missing
            }
            == {('zac-a', 2), ('sal-b', 2)}
        )
    )
    for name in fleet.instances:
        versions = _versions_in_log(fleet, name)
        assert versions == sorted(versions)


def test_all_replaced_during_an_outage_keep_the_version(fleet: Fleet) -> None:
    _wait_in_force(fleet, _apply(fleet, 5))
    processes.set_switches(fleet.platform_address, outage=True)
    for name in fleet.instances:
        fleet.instances[name].process.kill()
        fleet.restart_instance(name)
        assert _page(fleet, name)['version'] == 1
        assert _versions_in_log(fleet, name) == [1]


def test_nobody_serves_old_files_when_all_start_in_an_outage(
    fleet: Fleet,
) -> None:
    _wait_in_force(fleet, _apply(fleet, 5))
    for instance in fleet.instances.values():
        instance.process.kill()
    processes.set_switches(fleet.platform_address, outage=True)
    for name, instance in fleet.instances.items():
        _start_again(fleet, name)
        url = f'http://{instance.operators_address}/health'
        processes.wait_until_answers(url)
    for instance in fleet.instances.values():
        url = f'http://{instance.operators_address}/ready'
        assert processes.answers(url, 503)
        host, _, port = instance.callers_address.rpartition(':')
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((host, int(port)))
    processes.set_switches(fleet.platform_address, outage=False)
    for name, instance in fleet.instances.items():
        fleet.wait_until_ready(instance)
        assert _page(fleet, name)['version'] == 1


def test_instances_cut_from_the_platform_learn_from_peers(
    fleet: Fleet,
) -> None:
    _wait_in_force(fleet, _apply(fleet, 5))
    for name in ('z1', 'z2', 's1'):
        fleet.instances[name].platform_link.stall()
    _wait_in_force(fleet, _apply(fleet, 6))


def test_killed_watchers_are_replaced(fleet: Fleet) -> None:
    watchers = [
        n for n in ('z1', 'z2') if 'watcher' in _page(fleet, n)['duties']
    ]
    assert watchers
    fleet.instances['z1'].process.kill()
    fleet.instances['s1'].process.pause()
    _wait_in_force(fleet, _apply(fleet, 5), 'z2', 's2')
    fleet.instances['s1'].process.resume()
    _wait_in_force(fleet, 1, 's1')
