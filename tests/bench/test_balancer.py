"""Tests of the balancer before the instances."""

from types import SimpleNamespace
from typing import Any

from bench import balancer
from tests.fakes import plain_service
from tests.fakes import processes


def test_instance_that_is_not_ready_gets_no_calls() -> None:
    up = plain_service.start()
    down = plain_service.start()
    fleet: Any = SimpleNamespace(
        instances={
            name: SimpleNamespace(
                operators_address=handle.address, callers_address=name
            )
            for name, handle in (('up', up), ('down', down))
        }
    )
    before: Any = balancer.Balancer(fleet)
    before.start()
    assert {before.choose(None, 0)[0] for _ in range(4)} == {'up', 'down'}
    processes.set_switches(down.address, refuse_rate=1.0)
    processes.wait_for(lambda: before.ready == ('up',))
    assert {before.choose(None, 0)[0] for _ in range(4)} == {'up'}
    before.stopped.set()
    up.stop()
    down.stop()
