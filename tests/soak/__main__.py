"""Runs seeds of the soak: python -m tests.soak 1 50."""

import asyncio
import collections
import pathlib
import tempfile
import time

import typer

from tests.soak.soak import Plan
from tests.soak.soak import Soak


def main(
    first: int,
    last: int,
    duration_s: float = 10.0,
    instances: int = 3,
    targets: int = 4,
    callers: int = 12,
) -> None:
    """Run some seeds and print what each of them broke."""
    failed = 0
    for seed in range(first, last + 1):
        plan = Plan(seed, duration_s, instances, targets, callers)
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        soak = Soak(plan, directory)
        began_s = time.monotonic()
        asyncio.run(soak.run())
        statuses = collections.Counter(o.status for o in soak.seen.outcomes)
        print(
            f'seed {seed}: {len(soak.caused)} faults, {dict(statuses)},'
            f' {time.monotonic() - began_s:.0f} s,'
            f' {len(soak.seen.broken)} broken',
            flush=True,
        )
        for breach in soak.seen.broken:
            print(f'  {breach} (logs in {directory})', flush=True)
        failed += bool(soak.seen.broken)
    raise typer.Exit(min(failed, 1))


if __name__ == '__main__':
    typer.run(main)
