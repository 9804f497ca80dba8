"""Measures how long an instance takes to be ready, and its idle memory.

Run with `python -m bench.start --binary dist/wigeonfall`.
"""

import json
import pathlib
import sys
import tempfile
import time
from typing import Annotated

import attrs
import typer

from tests.fakes import fleet as fleet_module

INSTANCE = 'zac-a-1'
STARTS = 5
PLAN = fleet_module.Plan(
    example='co-op',
    instances={'zac-a': (INSTANCE,)},
    services=(fleet_module.TargetPlan('orders-1', 'pedidos-app', 'zac-a'),),
)


def _start_once(fleet: fleet_module.Fleet) -> float:
    fleet.instances[INSTANCE].process.stop()
    began_s = time.monotonic()
    fleet.restart_instance(INSTANCE)
    return time.monotonic() - began_s


def main(
    binary: Annotated[
        pathlib.Path | None, typer.Option(help='Zipapp to start.')
    ] = None,
) -> None:
    """Measure and print the figures as JSON."""
    plan = attrs.evolve(PLAN, binary=binary)
    with tempfile.TemporaryDirectory() as directory:
        with fleet_module.Fleet(plan, pathlib.Path(directory)) as fleet:
            starts_s = [_start_once(fleet) for _ in range(STARTS)]
            usage = fleet.instances[INSTANCE].process.usage()
    result = {
        'command': ' '.join(['python -m bench.start', *sys.argv[1:]]),
        'ready_after_s': sorted(round(value, 2) for value in starts_s),
        'memory_bytes': usage.memory_bytes,
        'threads': usage.threads,
    }
    typer.echo(json.dumps(result, indent=2))


if __name__ == '__main__':
    typer.run(main)
