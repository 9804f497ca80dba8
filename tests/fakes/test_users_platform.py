"""Tests of the processes that stand for instances."""

from tests.fakes import users_platform


def test_no_port_is_given_twice_or_to_a_connection() -> None:
    ports = [p for _ in range(50) for p in users_platform.free_ports(4)]
    assert len(set(ports)) == 200
    last = users_platform.FIRST_PORT + (
        users_platform.PORT_RANGE_COUNT * users_platform.PORTS_PER_RANGE
    )
    assert max(ports) < last <= 32_000
