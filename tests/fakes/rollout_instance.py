"""An instance that only controls rollouts, with steady good evidence.

It stands for an entry instance in tests of control leases: the platform and
the targets are reached through the real adapters.
"""

import json
import os
import signal
import sys
import threading
import time
from typing import Any

from result import Ok
import typer

from wigeonfall.adapters import platform as platform_adapter
from wigeonfall.adapters import targets as targets_adapter
from wigeonfall.model.rollout import Outcome
from wigeonfall.model.target import Target
from wigeonfall.serving import leases
from wigeonfall.serving import rollout_control
from wigeonfall.serving import rollouts
from wigeonfall.serving import target_orders

OUTCOMES_EVERY_S = 0.1
OUTCOMES = 10


def write_line(value: dict[str, Any]) -> None:
    """Write a value as one line; several threads may do so at once."""
    # One call of the system: print writes a line and its end apart.
    os.write(sys.stdout.fileno(), json.dumps(value).encode() + b'\n')


def _record(event: Any, **fields: Any) -> None:
    write_line({'event': event.name, 'at_s': time.monotonic(), **fields})


def main(name: str, service: str, platform: str, list_s: float = 0.0) -> None:
    """Control the rollouts of a platform until SIGTERM.

    Args:
        name: name of the instance.
        service: service that the evidence is on.
        platform: "host:port" of the platform.
        list_s: time that reading the live list takes in addition.
    """
    port = platform_adapter.make_platform(platform)

    # Each instance takes itself for the only one, so that all compete.
    def members() -> tuple[str, ...]:
        return (name,)

    def targets_of(wanted: str) -> tuple[Target, ...]:
        live = port.live_list()
        write_line({'event': 'LISTED'})
        time.sleep(list_s)
        if not isinstance(live, Ok):
            return ()
        return tuple(t for t in live.ok_value.targets if t.service == wanted)

    known = rollouts.Rollouts(name, 1, members, _record)
    lease = leases.ControlLease(
        port, 'rollouts', name, _record, time.monotonic
    )
    sender = target_orders.OrderSender(
        targets_adapter.make_targets(),
        lease.held,
        _record,
        target_orders.run_in_thread,
        time.monotonic,
    )
    control = rollout_control.Control(
        name, port, known, lease, members, targets_of, sender, _record
    )
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_args: stop.set())
    rollout_control.run(known, control, stop)
    write_line({'address': 'none'})
    while not stop.wait(OUTCOMES_EVERY_S):
        for version in ('v1', 'v2') * OUTCOMES:
            known.observe(
                service, version, 'a', Outcome(True, 0.1), time.monotonic()
            )


if __name__ == '__main__':
    typer.run(main)
