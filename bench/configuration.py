"""Measures how fast changes come into force, and what they cost.

Run with `python -m bench.configuration --changes 200 --seed 1`.
"""

import json
import pathlib
import random
import statistics
import sys
import tempfile
import time
from typing import Any

import attrs
import typer

from tests.fakes.fleet import Fleet
from tests.fakes.fleet import Plan
from tests.fakes import processes
from wigeonfall.adapters import configuration_store
from wigeonfall.adapters import platform as platform_adapter
from wigeonfall.model.revision import Change
from wigeonfall.model.revision import Texts
from wigeonfall import operations
from wigeonfall.ports.configuration import ConfigurationStore

SITES: dict[str, tuple[str, ...]] = {
    'zac-a': ('z1', 'z2', 'z3'),
    'sal-b': ('s1', 's2', 's3'),
    'mty-c': ('m1', 'm2', 'm3'),
}
ETC = processes.REPOSITORY / 'etc' / 'co-op'
IN_FORCE_EVENT = 501
REPORTED_TIMEOUT_S = 30.0
SETTLE_S = 5.0
GAP_S = (0.3, 0.7)


@attrs.frozen
class Cost:
    """What a span of time cost."""

    seconds: float
    reads: int
    writes: int
    platform_bytes: int
    cpu_s: float

    def per(self, count: float) -> dict[str, float]:
        """Return the cost of one unit out of a count."""
        values = attrs.asdict(self)
        return {name: round(v / count, 4) for name, v in values.items()}


@attrs.frozen
class Counts:
    """Counters at one moment."""

    at_s: float
    records: dict[str, int]
    cpu_s: float

    def until(self, later: 'Counts') -> Cost:
        """Return what was spent until a later moment."""

        def grew(*names: str) -> int:
            return sum(
                later.records.get(n, 0) - self.records.get(n, 0) for n in names
            )

        return Cost(
            later.at_s - self.at_s,
            grew('reads'),
            grew('writes'),
            grew('received_bytes', 'sent_bytes'),
            later.cpu_s - self.cpu_s,
        )


def _counts(fleet: Fleet) -> Counts:
    records = processes.records(fleet.platform_address)
    cpu_s = sum(i.process.usage().cpu_s for i in fleet.instances.values())
    return Counts(time.monotonic(), records['counts'], cpu_s)


def _texts(weight: int) -> Texts:
    base = (ETC / 'base.ini').read_text()
    sites = {site: (ETC / f'{site}.ini').read_text() for site in SITES}
    return Texts(base.replace('weight = 4', f'weight = {weight}'), sites)


def _apply(store: ConfigurationStore, number: int) -> int:
    draft = operations.draft(store, _texts(1 + number % 900)).unwrap()
    change = Change(0, f'bench-{number}', 'bench', '', int(time.time() * 1000))
    return operations.apply(store, draft, change).unwrap().version


def _in_force_ms(fleet: Fleet) -> dict[int, list[int]]:
    """Return the delays of each version over all instances."""
    delays: dict[int, list[int]] = {}
    for instance in fleet.instances.values():
        for line in instance.process.log():
            if line.get('event') == IN_FORCE_EVENT:
                fields = line['fields']
                delays.setdefault(fields['version'], []).append(
                    fields['after_ms']
                )
    return delays


def _wait_reported(store: ConfigurationStore, version: int) -> None:
    def reported() -> bool:
        statuses = store.statuses().unwrap_or(())
        done = [s for s in statuses if s.version >= version and not s.missing]
        return len({status.data_center for status in done}) == len(SITES)

    processes.wait_for(reported, REPORTED_TIMEOUT_S)


def _percentiles(values: list[int]) -> dict[str, float]:
    ordered = sorted(values)
    return {
        'median': statistics.median(ordered),
        'p99': ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))],
        'max': ordered[-1],
    }


def _measure(
    fleet: Fleet, changes: int, idle_s: float, seed: int
) -> dict[str, Any]:
    gaps = random.Random(seed)
    store = configuration_store.make_store(
        platform_adapter.make_platform(fleet.platform_address)
    )
    processes.wait_for(
        lambda: all(
            len(fleet.show(name, '/control')['live_instances']) == 9
            for name in fleet.instances
        )
    )
    begun = _counts(fleet)
    time.sleep(idle_s)
    idle = begun.until(_counts(fleet))
    begun = _counts(fleet)
    for number in range(changes):
        last = _apply(store, number)
        time.sleep(gaps.uniform(*GAP_S))
        if number % 20 == 0:
            print(f'{number} of {changes} changes', file=sys.stderr)
    time.sleep(SETTLE_S)
    spent = begun.until(_counts(fleet))
    _wait_reported(store, last)
    delays = _in_force_ms(fleet)
    whole = [max(d) for d in delays.values() if len(d) == len(fleet.instances)]
    return {
        'changes': changes,
        'in_force_at_all_instances': len(whole),
        'in_force_everywhere_ms': _percentiles(whole),
        'in_force_at_one_instance_ms': _percentiles(
            [one for d in delays.values() for one in d]
        ),
        'idle_per_minute': idle.per(idle.seconds / 60),
        'per_change': spent.per(changes),
    }


def main(
    changes: int = 200,
    idle_s: float = 60.0,
    seed: int = 1,
    output: pathlib.Path = pathlib.Path('bench/results/config-spread.json'),
) -> None:
    """Measure over 9 instances in 3 data centres."""
    plan = Plan('co-op', SITES)
    with tempfile.TemporaryDirectory() as directory:
        with Fleet(plan, pathlib.Path(directory)) as fleet:
            measured = _measure(fleet, changes, idle_s, seed)
    command = (
        f'python -m bench.configuration --changes {changes} '
        f'--idle-s {idle_s:g} --seed {seed}'
    )
    value = {'command': command, 'seed': seed, **measured}
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(value, indent=2) + '\n')
    print(json.dumps(value, indent=2))


if __name__ == '__main__':
    typer.run(main)
