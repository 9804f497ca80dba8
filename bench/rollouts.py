"""Measures rollout decisions over seeded synthetic rollouts.

The decisions of all instances run in one process with a simulated clock; no
network and no real target takes part. Instances exchange their state with one
random peer at a time and reach a platform in memory. The same traffic goes
through a fixed-step baseline, which checks proportions at fixed times.
"""

import collections
from collections.abc import Callable
import concurrent.futures
import heapq
import itertools
import json
import pathlib
import random
import sys
import time
from typing import Any

import attrs
import cattrs
import typer

from bench import rollout_cases as cases
from tests.fakes import memory_platform
from wigeonfall.model.rollout import Outcome
from wigeonfall.model.rollout import Rollout
from wigeonfall.policy.versions import rollout as policy
from wigeonfall.serving import leases
from wigeonfall.serving import rollout_changes as changes
from wigeonfall.serving import rollout_control
from wigeonfall.serving import rollouts
from wigeonfall.serving import target_orders

SERVICE = 'lm'
TICK_S = 0.25
EXCHANGE_EVERY_S = 1.0
CONTROL_EVERY_S = 1.0
TOKENS_PER_ANSWER = 60
ERROR_AFTER_S = 0.2
INSTANCE_COUNTS = (3, 5, 9)
START_UNIX_S = 1_000_000.0
BASELINE_SHARES = (0.1, 0.25, 0.5, 1.0)
BASELINE_CHECK_EVERY_S = 10.0
BASELINE_ERROR_SHARE = 0.05
BASELINE_SLOW_FACTOR = 1.5


@attrs.frozen
class Settings:
    """Settings of a run.

    Attributes:
        length_s: time from start to deadline.
        bake_s: time under full load.
    """

    length_s: float = 420.0
    bake_s: float = 60.0


@attrs.define
class Tally:
    """What one rollout came to.

    Attributes:
        seed: seed of the rollout.
        end: phase at the end.
        end_s: time of the end, or None.
        why: reason of the end.
        requests: all requests while the rollout ran.
        bad_requests: requests that were sent to a version while it was bad.
        first_bad_s: when the first request met badness.
        last_bad_s: when the last request met badness.
    """

    seed: int
    end: str = ''
    end_s: float | None = None
    why: str = ''
    requests: int = 0
    bad_requests: int = 0
    first_bad_s: float | None = None
    last_bad_s: float | None = None

    def note_bad(self, at_s: float) -> None:
        """Count a request that went to a bad version."""
        self.bad_requests += 1
        if self.first_bad_s is None:
            self.first_bad_s = at_s
        self.last_bad_s = at_s


@attrs.define
class _World:
    """The simulated time and the answers under way."""

    now_s: float = 0.0
    answers: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    order: Any = attrs.field(factory=itertools.count)

    def later(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.answers, (at_s, next(self.order), act))

    def deliver(self) -> None:
        while self.answers and self.answers[0][0] <= self.now_s:
            heapq.heappop(self.answers)[2]()


def _ignore(event: Any, **fields: Any) -> None:
    """Record nothing."""


class _Node:
    """One instance."""

    def __init__(
        self, name: str, names: tuple[str, ...], world: _World, platform: Any
    ) -> None:
        def members() -> tuple[str, ...]:
            return names

        def monotonic() -> float:
            return world.now_s

        self.rollouts = rollouts.Rollouts(name, 1, members, _ignore)
        lease = leases.ControlLease(
            platform, 'rollouts', name, _ignore, monotonic
        )
        sender = target_orders.OrderSender(
            None,  # type: ignore[arg-type]
            lease.held,
            _ignore,
            lambda work: work(),
            monotonic,
        )
        self.control = rollout_control.Control(
            name,
            platform,
            self.rollouts,
            lease,
            members,
            lambda service: (),
            sender,
            _ignore,
        )


def _rollout(settings: Settings) -> Rollout:
    return Rollout(
        SERVICE,
        0,
        'old',
        'new',
        START_UNIX_S,
        START_UNIX_S + settings.length_s,
        settings.bake_s,
    )


def _answered_s(outcome: Outcome) -> float:
    if outcome.first_token_s is None or outcome.pace_s is None:
        return ERROR_AFTER_S
    return outcome.first_token_s + TOKENS_PER_ANSWER * outcome.pace_s


def measure(name: str, seed: int, settings: Settings) -> Tally:
    """Run one rollout with the project's decisions."""
    case = cases.new_case(name, seed, settings.length_s)
    rng = random.Random(f'traffic/{name}/{seed}')
    world = _World()
    platform = memory_platform.MemoryPlatform()
    count = rng.choice(INSTANCE_COUNTS)
    names = tuple(f'instance-{n}' for n in range(count))
    nodes = [_Node(n, names, world, platform.port()) for n in names]
    move = changes.new_move('start', 'operator', 'measure', START_UNIX_S)
    wanted = _rollout(settings)
    changes.apply_change(platform.port(), SERVICE, move, changes.start(wanted))
    tally = Tally(seed)
    ticks = int((settings.length_s + 10) / TICK_S)
    for tick in range(ticks):
        world.now_s = tick * TICK_S
        world.deliver()
        _run_nodes(nodes, tick, world.now_s, rng)
        _send(case, nodes, world, tally, rng)
        if tick % 4 == 0 and _ended(platform, tally):
            break
    return tally


def _run_nodes(
    nodes: list[_Node], tick: int, now_s: float, rng: random.Random
) -> None:
    unix_s = START_UNIX_S + now_s
    for index, node in enumerate(nodes):
        node.rollouts.evaluate(now_s, unix_s)
        if (tick + index) % round(CONTROL_EVERY_S / TICK_S) == 0:
            node.control.step(now_s, unix_s)
        if (tick + index) % round(EXCHANGE_EVERY_S / TICK_S) == 0:
            peer = rng.choice([n for n in nodes if n is not node])
            peer.rollouts.merge(node.rollouts.snapshot(unix_s), '', unix_s)
            node.rollouts.merge(peer.rollouts.snapshot(unix_s), '', unix_s)


def _arrivals(case: cases.Case, rng: random.Random) -> int:
    """Return a random number of requests in one tick."""
    mean = case.requests_per_s * TICK_S
    whole = 0
    left = rng.expovariate(1.0)
    while left < mean:
        whole += 1
        left += rng.expovariate(1.0)
    return whole


def _send(
    case: cases.Case,
    nodes: list[_Node],
    world: _World,
    tally: Tally,
    rng: random.Random,
) -> None:
    now_s = world.now_s
    for _ in range(_arrivals(case, rng)):
        node = rng.choice(nodes)
        route = cases.route(rng)
        identifier = f'{tally.seed}-{tally.requests}'
        version = node.rollouts.choose_version(
            SERVICE, route, identifier, now_s
        )
        tally.requests += 1
        condition = cases.Condition()
        if version == 'new':
            active = node.rollouts.active()
            share = active[0].rollout.share if active else 1.0
            condition = case.behaviour(now_s, share, route)
            if condition.bad:
                tally.note_bad(now_s)
        condition = cases.combined(condition, case.noise(now_s))
        outcome = cases.outcome(condition, rng)
        at_s = now_s + _answered_s(outcome)

        def observe(
            node: _Node = node,
            version: str | None = version,
            route: str = route,
            outcome: Outcome = outcome,
            at_s: float = at_s,
        ) -> None:
            node.rollouts.observe(
                SERVICE, version or 'old', route, outcome, at_s
            )

        world.later(at_s, observe)


def _ended(platform: memory_platform.MemoryPlatform, tally: Tally) -> bool:
    stored = next(o for o in platform.history[::-1] if o.name == SERVICE)
    if stored.value['phase'] not in ('completed', 'taken-back'):
        return False
    rollout = cattrs.structure(stored.value, Rollout)
    tally.end = rollout.phase.value
    tally.end_s = rollout.moves[-1].at_unix_s - START_UNIX_S
    tally.why = rollout.moves[-1].why
    return True


@attrs.define
class _Window:
    """Outcomes of one version since the last check of the baseline."""

    requests: int = 0
    errors: int = 0
    first_s: list[float] = attrs.field(factory=list)

    def add(self, outcome: Outcome) -> None:
        self.requests += 1
        self.errors += not outcome.ok
        if outcome.first_token_s is not None:
            self.first_s.append(outcome.first_token_s)

    def slow_s(self) -> float:
        ordered = sorted(self.first_s)
        return ordered[int(0.95 * len(ordered))] if ordered else 0.0


def measure_baseline(name: str, seed: int, settings: Settings) -> Tally:
    """Run one rollout with fixed steps and checks at fixed times."""
    case = cases.new_case(name, seed, settings.length_s)
    rng = random.Random(f'traffic/{name}/{seed}')
    rng.choice(INSTANCE_COUNTS)
    world = _World()
    tally = Tally(seed)
    steps_s = (settings.length_s - settings.bake_s) / len(BASELINE_SHARES)
    windows = collections.defaultdict[str, _Window](_Window)
    slow_s = 0.0
    for tick in range(int(settings.length_s / TICK_S)):
        now_s = world.now_s = tick * TICK_S
        world.deliver()
        step = min(int(now_s / steps_s), len(BASELINE_SHARES) - 1)
        if tick and now_s % BASELINE_CHECK_EVERY_S == 0:
            slow_s = windows['old'].slow_s() or slow_s
            if _baseline_fails(windows['new'], slow_s):
                tally.end, tally.end_s = 'taken-back', now_s
                return tally
            windows.clear()
        _send_baseline(case, BASELINE_SHARES[step], windows, world, tally, rng)
    tally.end, tally.end_s = 'completed', settings.length_s
    return tally


def _baseline_fails(window: _Window, slow_s: float) -> bool:
    if not window.requests:
        return False
    if window.errors / window.requests > BASELINE_ERROR_SHARE:
        return True
    return slow_s > 0 and window.slow_s() > BASELINE_SLOW_FACTOR * slow_s


def _send_baseline(
    case: cases.Case,
    share: float,
    windows: dict[str, _Window],
    world: _World,
    tally: Tally,
    rng: random.Random,
) -> None:
    now_s = world.now_s
    for _ in range(_arrivals(case, rng)):
        route = cases.route(rng)
        tally.requests += 1
        identifier = f'{tally.seed}-{tally.requests}'
        version = 'old'
        condition = cases.Condition()
        if policy.split_position(SERVICE, identifier) < share:
            version = 'new'
            condition = case.behaviour(now_s, share, route)
            if condition.bad:
                tally.note_bad(now_s)
        condition = cases.combined(condition, case.noise(now_s))
        outcome = cases.outcome(condition, rng)

        def observe(
            version: str = version, outcome: Outcome = outcome
        ) -> None:
            windows[version].add(outcome)

        world.later(now_s + _answered_s(outcome), observe)


def _quantile(values: list[float], share: float) -> float | None:
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summary(good: bool, tallies: list[Tally]) -> dict[str, Any]:
    """Return the figures of one case as JSON values."""
    ends = collections.Counter(tally.end for tally in tallies)
    bad = [tally for tally in tallies if tally.first_bad_s is not None]
    counts = [float(t.bad_requests) for t in bad]
    shares = [t.bad_requests / max(1, t.requests) for t in bad]
    times_s = [(t.last_bad_s or 0) - (t.first_bad_s or 0) for t in bad]
    ends_s = [t.end_s for t in tallies if t.end_s is not None]
    figures: dict[str, Any] = {
        'rollouts': len(tallies),
        'good_version': good,
        'completed': ends['completed'],
        'taken_back': ends['taken-back'],
        'not_ended': ends[''],
        'end_s_median': _quantile(ends_s, 0.5),
        'whys': dict(collections.Counter(_kind(t.why) for t in tallies)),
    }
    if not good:
        figures['rollouts_that_met_badness'] = len(bad)
        for label, values in (
            ('bad_requests', counts),
            ('bad_share', shares),
            ('first_to_last_bad_s', times_s),
        ):
            figures[f'{label}_median'] = _quantile(values, 0.5)
            figures[f'{label}_p95'] = _quantile(values, 0.95)
            figures[f'{label}_max'] = max(values, default=None)
    return figures


def _kind(why: str) -> str:
    return why.split(' on route')[0].split(':')[0]


def _one(task: tuple[str, int, Settings, bool]) -> Tally:
    name, seed, settings, baseline = task
    run = measure_baseline if baseline else measure
    return run(name, seed, settings)


def main(
    seed: int = 1,
    rollouts_per_case: int = 200,
    case: list[str] = typer.Option(list(cases.NAMES)),
    processes: int = 3,
    output: pathlib.Path | None = None,
) -> None:
    """Measure all cases and write the figures as JSON."""
    settings = Settings()
    begun_s = time.monotonic()
    results: dict[str, Any] = {}
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        for name in case:
            good = cases.new_case(name, seed, settings.length_s).good
            results[name] = {}
            for label, baseline in (('wigeonfall', 0), ('fixed-steps', 1)):
                tasks = [
                    (name, seed * 100_000 + n, settings, bool(baseline))
                    for n in range(rollouts_per_case)
                ]
                tallies = list(pool.map(_one, tasks, chunksize=4))
                results[name][label] = summary(good, tallies)
                print(name, label, json.dumps(results[name][label]))
    report = {
        'command': ' '.join(['python -m bench.rollouts', *sys.argv[1:]]),
        'seed': seed,
        'what': 'decisions in one process, simulated clock, no network',
        'settings': attrs.asdict(settings),
        'requests_per_s': cases.REQUESTS_PER_S,
        'exchange_every_s': EXCHANGE_EVERY_S,
        'instances': INSTANCE_COUNTS,
        'took_s': round(time.monotonic() - begun_s, 1),
        'results': results,
    }
    if output is not None:
        output.write_text(json.dumps(report, indent=1) + '\n')


if __name__ == '__main__':
    typer.run(main)
