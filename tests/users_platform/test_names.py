"""Tests that the adapter keeps its names and those of the platform apart."""

import pathlib
import platform
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent.parent
PLATFORM_NAMES = re.compile(
    r'X-Wigeonfall-|MaxAttempts|PathPrefix|DeadlineMs|TimeoutMs|HeartbeatMs'
    r'|/api/(objects|report|ready)'
)


def test_the_standard_module_platform_can_be_imported():
    assert platform.python_version().startswith('3.')
    program = (
        'import sys; sys.argv = ["x"]; import runpy;'
        ' runpy.run_path("platform/run.py", run_name="x");'
        ' import platform; print(platform.python_version())'
    )
    completed = subprocess.run(
        [sys.executable, '-c', program],
        cwd=ROOT,
        capture_output=True,
        check=True,
        text=True,
    )
    assert completed.stdout.strip() == platform.python_version()


def test_only_the_adapter_uses_names_of_the_platform():
    matches = [
        f'{path.relative_to(ROOT)}: {line.strip()}'
        for path in sorted((ROOT / 'wigeonfall').rglob('*.py'))
        for line in path.read_text('utf-8').splitlines()
        if PLATFORM_NAMES.search(line)
    ]
    assert matches == []


def test_the_adapter_has_less_than_800_lines():
    lines = [
        line
        for path in (ROOT / 'platform').rglob('*.py')
        for line in path.read_text('utf-8').splitlines()
    ]
    assert len(lines) < 800
