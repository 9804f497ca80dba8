"""Runs seeds of the soak of tables: python -m tests.soak.run_tables 1 5."""

import asyncio
import pathlib
import statistics
import tempfile

import typer

from tests.soak.tables import Plan
from tests.soak.tables import TableSoak


def main(
    first: int,
    last: int,
    duration_s: float = 12.0,
    instances: int = 18,
    faults: int = 1,
    link_mbit_per_s: float = 10.0,
) -> None:
    """Run some seeds; print what they broke and how long changes took."""
    failed = 0
    for seed in range(first, last + 1):
        plan = Plan(
            seed,
            instances=instances,
            duration_s=duration_s,
            faults=faults,
            link_bytes_per_s=link_mbit_per_s * 1e6 / 8,
        )
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f'tables-{seed}-'))
        soak = TableSoak(plan, directory)
        asyncio.run(soak.run())
        # The first table is that of the start.
        times_s = sorted(soak.in_force_s.items())[1:]
        slowest = max(times_s, key=lambda item: max(item[1]))
        print(
            f'seed {seed}: {len(soak.caused)} changes and faults,'
            f' {soak.probes} probes, {len(soak.broken)} broken; slowest:'
            f' version {slowest[0]},'
            f' median {statistics.median(slowest[1]):.2f} s,'
            f' last {max(slowest[1]):.2f} s',
            flush=True,
        )
        for breach in soak.broken:
            print(f'  {breach} (logs in {directory})', flush=True)
        failed += bool(soak.broken)
    raise typer.Exit(min(failed, 1))


if __name__ == '__main__':
    typer.run(main)
