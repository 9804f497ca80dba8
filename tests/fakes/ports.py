"""Ports for stand-ins and processes of tests."""

from collections.abc import Iterator
import itertools
import os
import socket

# Below those from which the system takes ports of outgoing connections.
FIRST_PORT = 10_000
RANGE_COUNT = 22
PORTS_PER_RANGE = 1000


def free_ports(count: int) -> tuple[int, ...]:
    """Return ports of the loopback address that are free now.

    No call of this process gives one twice before all were given. Other test
    processes give others, also while what listened on one is down.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_PORTS)
        if _is_free(port):
            ports.append(port)
    return tuple(ports)


def _port_numbers() -> Iterator[int]:
    claim = _claim_range()
    first = claim.getsockname()[1]
    while True:
        yield from range(first + 1, first + PORTS_PER_RANGE)


def _claim_range() -> socket.socket:
    """Return a socket at the first port of a range that no other has."""
    for number in itertools.count(os.getpid()):
        claim = socket.socket()
        try:
            first = FIRST_PORT + number % RANGE_COUNT * PORTS_PER_RANGE
            claim.bind(('127.0.0.1', first))
            return claim
        except OSError:
            claim.close()
            if number >= os.getpid() + RANGE_COUNT:
                raise
    raise AssertionError


def _is_free(port: int) -> bool:
    try:
        socket.create_server(('127.0.0.1', port)).close()
    except OSError:
        return False
    return True


_PORTS = _port_numbers()
