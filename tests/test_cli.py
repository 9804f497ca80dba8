"""The command line: its shape, its faults and its exit codes."""

import json
import pathlib
from typing import Any

import pytest
import syrupy
import typer.main
import typer.testing

from wigeonfall import cli
from wigeonfall import clock
from wigeonfall import recorder
from wigeonfall import VERSION

FAULTY_BASE = """\
[tier orders]
rank = first

[customer empacadora]
key_sha256 = ABC
tier = gold
rate_requests_per_s = 0
burst_requests = 400
colour = red

[service pedidos-app]
kind = plain
deadline_s = soon

[queue extra]
length = 3
"""
FAULTY_SITE = """\
[site]
data_center = sal-b

[tier late]
rank = 9
"""
FAULTY_SETTINGS = """\
[instance]
name = zac a 1

[listen]
callers_address = localhost:8080
operators_address = 127.0.0.1:8081

[platform]
address = 127.0.0.1

[limits]
callers_threads = 0

[log]
level = LOUD

[colours]
"""


@pytest.fixture(autouse=True)
def directory(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> pathlib.Path:
    """Return the working directory, so that messages name short paths."""
    monkeypatch.chdir(tmp_path)
    return tmp_path


def _run(*arguments: str, **env: str) -> typer.testing.Result:
    return typer.testing.CliRunner().invoke(cli.app, arguments, env=env)


def _shape(command: Any) -> dict[str, Any]:
    shape: dict[str, Any] = {
        'help': command.help,
        'parameters': [
            f'{" ".join(parameter.opts)}: {parameter.help or ""}'
            for parameter in command.params
            if parameter.name not in ('install_completion', 'show_completion')
        ],
    }
    for name, inner in getattr(command, 'commands', {}).items():
        shape[name] = _shape(inner)
    return shape


def test_commands_and_options(snapshot: syrupy.SnapshotAssertion) -> None:
    assert _shape(typer.main.get_command(cli.app)) == snapshot


def test_each_command_has_help() -> None:
    shape = _shape(typer.main.get_command(cli.app))
    assert _run('--help').exit_code == 0
    for name, inner in shape.items():
        if isinstance(inner, dict):
            assert inner['help'], name
            assert _run(name, '--help').exit_code == 0


def test_version() -> None:
    shown = _run('version')
    assert (shown.exit_code, shown.stdout) == (0, f'{VERSION}\n')


def test_faults_of_fleet_files(
    directory: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    (directory / 'base.ini').write_text(FAULTY_BASE)
    (directory / 'zac-a.ini').write_text(FAULTY_SITE)
    shown = _run('check', 'base.ini', '--site=zac-a=zac-a.ini')
    assert shown.exit_code == 2
    assert shown.stdout == snapshot
    for line in ('base.ini:2: [tier orders] rank', 'zac-a.ini:2: [site]'):
        assert line in shown.stdout


def test_faults_of_process_settings(
    directory: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    (directory / 'zac-a-1.ini').write_text(FAULTY_SETTINGS)
    shown = _run('check', '--settings=zac-a-1.ini')
    assert shown.exit_code == 2
    assert shown.stdout == snapshot
    served = _run('serve', '--settings=zac-a-1.ini')
    assert (served.exit_code, served.stdout) == (2, '')
    assert served.stderr == shown.stdout


@pytest.mark.parametrize(
    'text',
    ('rank = 0\n', '[a\n', '[tier a]\nrank = 0\nrank = 1\n', '[a]\n[a]\n'),
)
def test_syntax_faults_name_their_line(
    text: str, directory: pathlib.Path, snapshot: syrupy.SnapshotAssertion
) -> None:
    (directory / 'base.ini').write_text(text)
    shown = _run('check', 'base.ini')
    assert shown.exit_code == 2
    assert shown.stdout == snapshot


@pytest.mark.parametrize(
    'arguments, code',
    (
        (('check',), 2),
        (('check', '--no-such-option'), 2),
        (('check', 'missing.ini'), 2),
        (('diff', 'missing.ini', '--platform=127.0.0.1:1'), 2),
        (('apply', 'missing.ini', '--site=a', '--platform=127.0.0.1:1'), 2),
        (('serve', '--settings=missing.ini'), 2),
        (('timeline', 'missing.log'), 3),
        (('rollout', 'start', 'lm'), 2),
    ),
)
def test_exit_codes(arguments: tuple[str, ...], code: int) -> None:
    assert _run(*arguments).exit_code == code


def _write_log(path: pathlib.Path, *entries: recorder.Entry) -> None:
    lines = [json.dumps(recorder.to_json(entry)) for entry in entries]
    path.write_text('\n'.join(lines) + '\n')


def test_timeline_merges_files_in_causal_order(
    directory: pathlib.Path,
) -> None:
    def entry(instance: str, time_ms: int, counter: int) -> recorder.Entry:
        stamp = clock.Stamp(time_ms, counter)
        fields = {'peer': f'{time_ms}+{counter}'}
        return recorder.Entry(stamp, instance, 704, 'peer reachable', fields)

    first, second, third, fourth = (
        entry('z1', 1000, 0),
        entry('z2', 1000, 1),
        entry('z1', 1000, 2),
        entry('z2', 1001, 0),
    )
    _write_log(directory / 'z1.log', third, first)
    _write_log(directory / 'z2.log', second, fourth)
    sources = ('z1.log', 'z2.log', 'z1.log')
    shown = _run('timeline', *sources).stdout.splitlines()
    assert [line.rpartition('=')[2] for line in shown] == [
        '1000+0',
        '1000+1',
        '1000+2',
        '1001+0',
    ]
    lines = _run('timeline', *sources, '--output=json').stdout.splitlines()
    assert [recorder.from_json(json.loads(line)) for line in lines] == [
        first,
        second,
        third,
        fourth,
    ]


@pytest.mark.parametrize('shell', ('bash', 'zsh', 'fish'))
def test_shells_complete_commands(shell: str) -> None:
    env = {
        '_WIGEONFALL_COMPLETE': f'complete_{shell}',
        'COMP_WORDS': 'wigeonfall ta',
        'COMP_CWORD': '1',
        '_TYPER_COMPLETE_ARGS': 'wigeonfall ta',
        '_TYPER_COMPLETE_FISH_ACTION': 'get-args',
    }
    shown = typer.testing.CliRunner().invoke(
        cli.app, [], env=env, prog_name='wigeonfall'
    )
    assert 'targets' in shown.stdout
    assert 'timeline' not in shown.stdout


@pytest.mark.parametrize('command', ('status', 'targets', 'rollout status x'))
def test_all_commands_take_the_platform_from_one_variable(
    command: str,
) -> None:
    shown = _run(*command.split(), WIGEONFALL_PLATFORM='127.0.0.1:1')
    assert shown.exit_code != 0
    assert 'port=1' in shown.stderr
