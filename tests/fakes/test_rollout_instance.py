"""Tests of the stand-in of an instance that controls rollouts."""

import json
import subprocess
import sys

PROGRAM = """
import threading
from tests.fakes import rollout_instance

def write():
    for number in range(2000):
        rollout_instance.write_line({'number': number})

threads = [threading.Thread(target=write) for _ in range(4)]
for thread in threads:
    thread.start()
"""


def test_lines_of_several_threads_stay_apart() -> None:
    done = subprocess.run(
        [sys.executable, '-c', PROGRAM],
        capture_output=True,
        check=True,
        timeout=60,
    )
    lines = done.stdout.splitlines()
    assert len(lines) == 8000
    assert all('number' in json.loads(line) for line in lines)
