"""Measures the size and cost of one state that instances exchange.

One process builds an instance that knows the counts of many others: two
versions on three routes with seeded outcomes.
"""

import json
import pathlib
import random
import sys
import time
from typing import Any

import typer

from bench import rollout_cases as cases
from tests.fakes import rollout_nodes
from wigeonfall.policy.versions import outcome_counts
from wigeonfall.serving import rollout_exchange as exchange
from wigeonfall.serving import rollouts

INSTANCES = (3, 9, 30, 90, 500)
OUTCOMES = 200
REPEATS = 20


def _report(
    name: str, rollout: str, rng: random.Random
) -> outcome_counts.InstanceCounts:
    counts = {}
    for version in ('old', 'new'):
        for route, _ in cases.ROUTES:
            part = outcome_counts.Counts()
            for _ in range(OUTCOMES):
                outcome = cases.outcome(cases.Condition(), rng)
                outcome_counts.count(part, outcome)
            counts[outcome_counts.CountsKey(rollout, version, route)] = part
    return outcome_counts.InstanceCounts(name, 1, counts)


def measure(number: int, seed: int) -> dict[str, Any]:
    """Return bytes and processor time for a number of instances."""
    rng = random.Random(seed)
    world = rollout_nodes.World()
    names = tuple(f'instance-{n}' for n in range(number))
    node = rollout_nodes.Node(names[0], names, world, 0.0)
    world.operate('start', rollout_nodes.new_rollout(world))
    node.step()
    known = node.rollouts.known()
    now_unix_s = world.now_unix_s
    for name in names[1:]:
        state = exchange.State(
            now_unix_s,
            known,
            lives_unix_s={name: now_unix_s},
            reports=(_report(name, known[0].rollout.id, rng),),
        )
        node.rollouts.merge(exchange.encode(state), name, now_unix_s)
    begun_s = time.process_time()
    encoded = [node.rollouts.snapshot(now_unix_s) for _ in range(REPEATS)]
    encoded_s = time.process_time()
    other = rollouts.Rollouts('other', 1, lambda: names, lambda *a, **k: None)
    for data in encoded:
        other.merge(data, names[0], now_unix_s)
    merged_s = time.process_time()
    return {
        'instances': number,
        'bytes': max(len(data) for data in encoded),
        'snapshot_ms': round(1e3 * (encoded_s - begun_s) / REPEATS, 2),
        'merge_ms': round(1e3 * (merged_s - encoded_s) / REPEATS, 2),
    }


def main(seed: int = 1, output: pathlib.Path | None = None) -> None:
    """Measure all sizes and write the figures as JSON."""
    results = [measure(number, seed) for number in INSTANCES]
    report = {
        'command': ' '.join(
            ['python -m bench.rollout_exchange', *sys.argv[1:]]
        ),
        'seed': seed,
        'counts_per_state': exchange.COUNTS_PER_STATE,
        'results': results,
    }
    print(json.dumps(report, indent=1))
    if output is not None:
        output.write_text(json.dumps(report, indent=1) + '\n')


if __name__ == '__main__':
    typer.run(main)
