"""The configuration commands against the platform stand-in."""

from collections.abc import Iterator
import json
import pathlib
import shutil

import pytest
import typer.testing

from .fakes import platform as fake_platform
from .fakes.ports import free_ports
from .fakes import processes
from wigeonfall.adapters import configuration_store
from wigeonfall.adapters import platform as platform_adapter
from wigeonfall import cli
from wigeonfall.model.site_status import SiteStatus

ETC = pathlib.Path(__file__).parent.parent / 'etc' / 'co-op'
SITES = ('zac-a', 'sal-b', 'mty-c')


@pytest.fixture
def address() -> Iterator[str]:
    handle = fake_platform.start()
    yield handle.address
    handle.stop()


@pytest.fixture
def files(tmp_path: pathlib.Path) -> list[str]:
    shutil.copytree(ETC, tmp_path, dirs_exist_ok=True)
    sites = [f'--site={site}={tmp_path}/{site}.ini' for site in SITES]
    return [str(tmp_path / 'base.ini'), *sites]


def _run(*arguments: str) -> typer.testing.Result:
    return typer.testing.CliRunner().invoke(cli.app, arguments)


def _apply(files: list[str], address: str, *more: str):
    return _run('apply', *files, f'--platform={address}', '--yes', *more)


def _set_weight(files: list[str], weight: str) -> None:
    path = pathlib.Path(files[0])
    path.write_text(path.read_text().replace('weight = 4', weight))


def test_check_prints_faults_and_exits_with_2(files: list[str]) -> None:
    assert _run('check', *files).exit_code == 0
    _set_weight(files, 'weight = none')
    found = _run('check', *files, '--output=json')
    assert found.exit_code == 2
    assert {fault['option'] for fault in json.loads(found.stdout)} == {
        'weight'
    }


def test_apply_diff_and_status(files: list[str], address: str) -> None:
    first = _apply(files, address, '--operator=ana', '--reason=start')
    assert 'accepted as version 1' in first.stdout
    assert 'nothing changes' in _apply(files, address).stderr
    _set_weight(files, 'weight = 5')
    shown = _run('diff', *files, f'--platform={address}', '--output=json')
    differences = json.loads(shown.stdout)['differences']
    assert [(d['before'], d['after']) for d in differences] == [
        ('4', '5'),
        ('4', '5'),
    ]
    assert _apply(files, address, '--expect=7').exit_code == 4
    second = _apply(files, address, '--expect=1', '--output=json')
    assert json.loads(second.stdout)['version'] == 2
    store = configuration_store.make_store(
        platform_adapter.make_platform(address)
    )
    accepted_ms = store.read().unwrap().revision.change.accepted_ms
    partly = SiteStatus('zac-a', 2, 2, ('z3',), 0, accepted_ms + 900)
    whole = SiteStatus('zac-a', 2, 3, (), 0, accepted_ms + 1250)
    later = SiteStatus('zac-a', 2, 3, (), 0, accepted_ms + 9999)
    for status in (partly, whole, later):
        assert store.report(status).is_ok()
    shown = _run('status', f'--platform={address}')
    assert '1.250' in shown.stdout
    value = _run('status', f'--platform={address}', '--output=json').stdout
    assert len(json.loads(value)['sites']) == 1


def test_an_unreachable_platform_exits_with_3(files: list[str]) -> None:
    (port,) = free_ports(1)
    address = f'127.0.0.1:{port}'
    assert _apply(files, address).exit_code == 3
    assert _run('status', f'--platform={address}').exit_code == 3
    assert _run('targets', f'--platform={address}').exit_code == 3


def test_a_lost_answer_is_found_again(files: list[str], address: str) -> None:
    processes.set_switches(address, lose_answers=1)
    assert 'accepted as version 1' in _apply(files, address).stdout
    assert processes.records(address)['counts']['lost'] == 1
