"""Settings of processes and configuration files."""

import pathlib

import pytest
from result import Err

from wigeonfall import settings

ETC = pathlib.Path(__file__).parent.parent / 'etc'
SITES = {
    'co-op': ('zac-a', 'sal-b', 'mty-c'),
    'agency': ('talca-a', 'talca-b', 'curico-c'),
}


@pytest.mark.parametrize('user', SITES)
def test_example_files_have_no_fault(user: str) -> None:
    for site in SITES[user]:
        outcome = settings.read_configuration(
            ETC / user / 'base.ini', ETC / user / f'{site}.ini', site
        )
        configuration = outcome.unwrap()
        assert len(configuration.tiers) == 4
        assert len(configuration.customers) == 5
        assert len(configuration.services) == 2


def test_process_settings_name_files_beside_them() -> None:
    outcome = settings.read_process_settings(ETC / 'co-op' / 'instance.ini')
    read = outcome.unwrap()
    assert read.instance.name == 'zac-a-1'
    assert read.peers.addresses == ('127.0.0.1:8092', '127.0.0.1:8102')
    assert read.configuration.base_file == str(ETC / 'co-op' / 'base.ini')


def test_process_settings_collect_all_faults(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'instance.ini'
    path.write_text(
        '[instance]\nname = a b\n[listen]\ncallers_address = host:1\n'
        'operators_address = 127.0.0.1:1\npeers_address = 127.0.0.1:2\n'
        '[platform]\naddress = 127.0.0.1:3\ntimeout = 1\n[other]\n'
    )
    outcome = settings.read_process_settings(path)
    assert isinstance(outcome, Err)
    places = [(f.section, f.option, f.line) for f in outcome.err_value]
    assert places == [
        ('other', '', 10),
        ('instance', 'name', 2),
        ('instance', 'data_center', 1),
        ('listen', 'callers_address', 4),
        ('platform', 'timeout', 9),
        ('configuration', 'base_file', 0),
    ]


def test_secret_comes_from_the_environment_before_its_file(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / 'key'
    path.write_text('from-file\n')
    assert settings.read_secret('operators_key', str(path)) == 'from-file'
    monkeypatch.setenv('WIGEONFALL_OPERATORS_KEY', 'from-environment')
    assert (
        settings.read_secret('operators_key', str(path)) == 'from-environment'
    )
