"""Tests of the ports that stand-ins and processes of tests get."""

import subprocess
import sys

from tests.fakes import ports

PRINT_PORTS = """
from tests.fakes import ports
print(*ports.free_ports(300), flush=True)
input()
"""


def test_no_port_is_given_twice_or_to_a_connection() -> None:
    given = [p for _ in range(50) for p in ports.free_ports(4)]
    assert len(set(given)) == 200
    last = ports.FIRST_PORT + ports.RANGE_COUNT * ports.PORTS_PER_RANGE
    assert max(given) < last <= 32_000


def test_no_port_is_given_to_two_processes() -> None:
    """One took the port of a process that the other had just killed."""
    command = [sys.executable, '-c', PRINT_PORTS]
    others = [
        subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(6)
    ]
    given = list(ports.free_ports(300))
    for other in others:
        given.extend(map(int, other.stdout.readline().split()))
    for other in others:
        other.communicate('\n')
    assert len(given) == len(set(given)) == 2100
