"""Tests of the operators' commands on rollouts."""

import json

import pytest
from typer import testing

from tests.fakes import memory_platform
from wigeonfall.commands.common import ExitCode
from wigeonfall.commands import rollout

START = (
    'start lm --from v1 --to v2 --deadline-s 3600'
    ' --reason better --operator ana'
).split()


@pytest.fixture
def platform():
    """Return an empty platform."""
    return memory_platform.MemoryPlatform()


@pytest.fixture
def run(platform):
    """Return a function that runs one command."""
    app = rollout.make_app(lambda address: platform.port())
    env = {'WIGEONFALL_PLATFORM_ADDRESS': '127.0.0.1:1'}

    def run_one(*args):
        return testing.CliRunner().invoke(app, args, env=env)

    return run_one


def test_moves_carry_who_when_and_why(run):
    """The status tells the whole story of a rollout."""
    assert run(*START).exit_code == 0
    for what in ('pause', 'resume', 'take-back'):
        done = run(what, 'lm', '--reason', f'{what} it', '--operator', 'ben')
        assert done.exit_code == 0, done.output
    status = json.loads(run('status', 'lm', '--output', 'json').stdout)
    assert status['phase'] == 'taken-back'
    told = [(m['what'], m['who'], m['why']) for m in status['moves']]
    assert told == [
        ('start', 'ana', 'better'),
        ('pause', 'ben', 'pause it'),
        ('resume', 'ben', 'resume it'),
        ('take-back', 'ben', 'take-back it'),
    ]
    assert all(m['at_unix_s'] > 0 for m in status['moves'])
    assert 'ben: take-back it' in run('status', 'lm').stdout


def test_refusals_have_their_exit_code(run):
    """A move that does not apply is told from one of unknown effect."""
    assert run('status', 'lm').exit_code == ExitCode.CONFLICT
    assert run(*START).exit_code == 0
    second = run(*START)
    assert second.exit_code == ExitCode.CONFLICT
    assert 'has not ended' in second.stderr


def test_an_outage_is_told_apart(run, platform):
    """Nothing was changed, and a later try may succeed."""
    platform.down = True
    for command in (START, ['status', 'lm']):
        assert run(*command).exit_code == ExitCode.UNREACHABLE


def test_unknown_effect_is_told(run, platform):
    """A lost answer in an outage leaves the operator to look again."""
    platform.lose_writes = 1
    write = platform._write

    def write_then_fail(stored):
        answer = write(stored)
        platform.down = True
        return answer

    platform._write = write_then_fail
    done = run(*START)
    assert done.exit_code == ExitCode.UNKNOWN
    assert 'look at the status' in done.stderr
