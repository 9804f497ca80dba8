"""Tests that the adapter's folder stands in nobody's way."""

import pathlib
import platform
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent.parent
FOREIGN = re.compile(
    r'X-Wigeonfall-|MaxAttempts|PathPrefix|DeadlineMs|TimeoutMs|HeartbeatMs'
    r'|/api/(objects|report|ready)'
)


def test_the_standard_module_of_the_same_name_still_loads():
    assert platform.python_version().startswith('3.')
    program = (
        'import sys; sys.argv = ["x"]; import runpy;'
        ' runpy.run_path("platform/run.py", run_name="x");'
        ' import platform; print(platform.python_version())'
    )
    done = subprocess.run(
        [sys.executable, '-c', program],
        cwd=ROOT,
        capture_output=True,
        check=True,
        text=True,
    )
    assert done.stdout.strip() == platform.python_version()


def test_nothing_outside_the_folder_knows_the_platforms_names():
    found = [
        f'{path.relative_to(ROOT)}: {line.strip()}'
        for path in sorted((ROOT / 'wigeonfall').rglob('*.py'))
        for line in path.read_text('utf-8').splitlines()
        if FOREIGN.search(line)
    ]
    assert found == []


def test_the_folder_stays_small():
    lines = [
        line
        for path in (ROOT / 'platform').rglob('*.py')
        for line in path.read_text('utf-8').splitlines()
    ]
    assert len(lines) < 800
