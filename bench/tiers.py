"""Measures admission: its cost, fairness under a burst, and tiers.

The fairness and tier runs drive one pool in virtual time: engines with a
fixed token rate and independent slots, seeded open-loop arrivals. They show
what the decisions do, not how fast engines are.
"""

import asyncio
from collections.abc import Iterator
import heapq
import json
import pathlib
import random
import time
from typing import Any

import attrs
import typer

from bench import tiers_link
from wigeonfall.model.target import Target
from wigeonfall.policy.room import admission
from wigeonfall.policy.room import grants
from wigeonfall.policy.room import rate_limits

TARGETS = 3
SLOTS = 8
TOKENS_PER_S = 100.0
DURATION_S = 60.0
BURST_BEGIN_S = 20.0
BURST_END_S = 40.0
DEADLINE_S = 10.0
TICK_S = 0.05
YIELD_S = 0.5
LIMITS = grants.PoolLimits(SLOTS, 100_000, 500)
SHORT_QUEUE = grants.PoolLimits(SLOTS, 100_000, 20)


@attrs.frozen
class Stream:
    """A customer's open-loop arrivals.

    Attributes:
        customer: name of the customer.
        rank: rank of the tier.
        rate_per_s: mean rate.
        begin_s: first arrival.
        end_s: last arrival.
        limit: the customer's limit, or None.
    """

    customer: str
    rank: int
    rate_per_s: float
    begin_s: float = 0.0
    end_s: float = DURATION_S
    limit: rate_limits.RateLimit | None = None


@attrs.define
class Count:
    """What became of one customer's requests."""

    offered: int = 0
    good: int = 0
    limited: int = 0
    shed: int = 0
    revoked: int = 0


def _arrivals(
    streams: tuple[Stream, ...], seed: int
) -> Iterator[tuple[float, Stream, int]]:
    events = []
    for stream in streams:
        source = random.Random(f'{seed} {stream.customer}')
        now_s = stream.begin_s
        while (now_s := now_s + source.expovariate(stream.rate_per_s)) < (
            stream.end_s
        ):
            tokens = source.choice([20, 50, 100, 400])
            events.append((now_s, stream, tokens))
    yield from sorted(events, key=lambda e: (e[0], e[1].customer))


class Run:
    """One run of a pool in virtual time."""

    def __init__(
        self,
        streams: tuple[Stream, ...],
        bounds: grants.PoolLimits,
        fair: bool,
    ) -> None:
        self.counts = {stream.customer: Count() for stream in streams}
        self.shed_above_lower = 0
        self._fair = fair
        self._pool = admission.Pool(bounds)
        self._pool.configure(
            bounds,
            [Target(f't{n}', 's', 'dc', '') for n in range(TARGETS)],
        )
        self._buckets: dict[str, rate_limits.TokenBucket] = {}
        self._waiting: dict[str, tuple[Stream, grants.PendingRequest]] = {}
        self._running: dict[str, tuple[Stream, grants.PendingRequest]] = {}
        self._ends: list[tuple[float, str]] = []
        self._yields: dict[str, float] = {}

    def run(self, streams: tuple[Stream, ...], seed: int) -> None:
        """Carry out all arrivals and what follows from them."""
        arrivals = list(_arrivals(streams, seed))
        arrivals.reverse()
        now_s = 0.0
        while now_s < DURATION_S + DEADLINE_S:
            while arrivals and arrivals[-1][0] <= now_s:
                at_s, stream, tokens = arrivals.pop()
                self._arrive(f'{len(arrivals)}', at_s, stream, tokens)
            self._finish(now_s)
            self._decide(now_s)
            times = [now_s + TICK_S]
            if arrivals:
                times.append(arrivals[-1][0])
            if self._ends:
                times.append(self._ends[0][0])
            now_s = max(now_s + 1e-6, min(times))

    def _arrive(
        self, name: str, at_s: float, stream: Stream, tokens: int
    ) -> None:
        count = self.counts[stream.customer]
        count.offered += 1
        if stream.limit is not None:
            bucket = self._buckets.setdefault(
                stream.customer, rate_limits.TokenBucket(at_s)
            )
            if bucket.take(1, stream.limit, at_s) > 0:
                count.limited += 1
                return
        pending = grants.PendingRequest(
            name,
            'i/1',
            stream.customer if self._fair else 'all',
            1.0,
            stream.rank,
            tokens,
            at_s,
            at_s + DEADLINE_S,
            True,
        )
        self._enqueue(stream, pending)

    def _enqueue(self, stream: Stream, pending: grants.PendingRequest) -> None:
        self._waiting[pending.id] = (stream, pending)
        self._pool.enqueue(pending)

    def _finish(self, now_s: float) -> None:
        while self._ends and self._ends[0][0] <= now_s:
            at_s, name = heapq.heappop(self._ends)
            if name not in self._running:
                continue
            stream, pending = self._running.pop(name)
            self._pool.release(name)
            end_s = self._yields.pop(name, at_s)
            if end_s > at_s:
                self._wait_again(stream, pending, at_s, end_s)
            elif end_s <= pending.deadline_s:
                self.counts[stream.customer].good += 1

    def _decide(self, now_s: float) -> None:
        for decision in self._pool.decide(now_s):
            match decision:
                case grants.Granted():
                    item = self._waiting.pop(decision.id)
                    self._running[decision.id] = item
                    end_s = now_s + item[1].cost_tokens / TOKENS_PER_S
                    heapq.heappush(self._ends, (end_s, decision.id))
                case grants.Shed():
                    stream, _ = self._waiting.pop(decision.id)
                    self.counts[stream.customer].shed += 1
                    self._check(stream, decision)
                case grants.Revoked():
                    self._yield(decision.id, now_s)

    def _check(self, stream: Stream, decision: grants.Shed) -> None:
        if decision.reason is grants.ShedReason.OVERLOADED:
            running = (item[0].rank for item in self._running.values())
            self.shed_above_lower += any(r > stream.rank for r in running)

    def _yield(self, name: str, now_s: float) -> None:
        """Let a revoked stream give its room back a little later."""
        if name in self._yields:
            return
        stream, _ = self._running[name]
        self.counts[stream.customer].revoked += 1
        self._yields[name] = next(e for e, n in self._ends if n == name)
        heapq.heappush(self._ends, (now_s + YIELD_S, name))

    def _wait_again(
        self,
        stream: Stream,
        pending: grants.PendingRequest,
        now_s: float,
        end_s: float,
    ) -> None:
        left_tokens = max(1, round((end_s - now_s) * TOKENS_PER_S))
        rest = attrs.evolve(
            pending,
            id=f'{pending.id}+',
            cost_tokens=left_tokens,
            arrived_s=now_s,
        )
        self._enqueue(stream, rest)


def _run(
    streams: tuple[Stream, ...],
    seed: int,
    bounds: grants.PoolLimits = LIMITS,
    fair: bool = True,
) -> dict[str, Any]:
    run = Run(streams, bounds, fair)
    run.run(streams, seed)
    return {
        'customers': {k: attrs.asdict(v) for k, v in run.counts.items()},
        'shed_above_lower_tier': run.shed_above_lower,
    }


def burst(seed: int) -> dict[str, Any]:
    """Return runs with and without one customer's burst, in three ways."""
    steady = tuple(Stream(f'steady{n}', 1, 2.0) for n in range(4))
    large = Stream('large', 1, 150.0, BURST_BEGIN_S, BURST_END_S)
    limit = rate_limits.RateLimit(10.0, 20.0)
    limited = attrs.evolve(large, limit=limit)
    return {
        'no burst': _run(steady, seed),
        'burst, one queue': _run((*steady, large), seed, fair=False),
        'burst, fair': _run((*steady, large), seed),
        'burst, fair and limited': _run((*steady, limited), seed),
    }


def tiers(seed: int) -> dict[str, Any]:
    """Return a run whose high tier alone exceeds the capacity for a time."""
    streams = (
        Stream('orders', 0, 4.0),
        Stream('orders-burst', 0, 150.0, BURST_BEGIN_S, BURST_END_S),
        Stream('questions', 1, 8.0),
        Stream('reports', 3, 20.0),
    )
    return _run(streams, seed, SHORT_QUEUE)


def cost(targets: int, waiting: int, requests: int) -> dict[str, float]:
    """Return the processor time of one request in the pool's decisions."""
    bounds = attrs.evolve(LIMITS, queued_requests=10 * waiting + 10)
    pool = admission.Pool(bounds)
    pool.configure(
        bounds, [Target(f't{n}', 's', 'dc', '') for n in range(targets)]
    )
    running: list[str] = []

    def step(number: int) -> None:
        pool.enqueue(
            grants.PendingRequest(
                f'{number}',
                'i/1',
                f'c{number % 50}',
                1.0,
                number % 4,
                100,
                0,
                1e9,
                False,
                number % 97,
            )
        )
        for decision in pool.decide(1.0):
            running.append(decision.id)

    for number in range(targets * SLOTS + waiting):
        step(number)
    began_s = time.process_time()
    for number in range(requests):
        if waiting or len(running) >= targets * SLOTS // 2:
            pool.release(running.pop(0))
        step(10**6 + number)
    used_s = time.process_time() - began_s
    return {
        'targets': targets,
        'waiting': waiting,
        'requests': requests,
        'us_per_request': round(used_s / requests * 1e6, 1),
    }


def main(
    seed: int = 1,
    output: pathlib.Path = pathlib.Path('bench/results/tiers.json'),
) -> None:
    """Run all measurements and write them as JSON."""
    results = {
        'command': f'python -m bench.tiers --seed {seed}',
        'seed': seed,
        'burst': burst(seed),
        'tiers': tiers(seed),
        'pool': [
            cost(targets, waiting, 5000)
            for targets in (5, 32)
            for waiting in (0, 1000)
        ],
        'link': [
            asyncio.run(tiers_link.measure(batch, 5000)) for batch in (1, 20)
        ],
    }
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(results, indent=1) + '\n')
    typer.echo(json.dumps(results, indent=1))


if __name__ == '__main__':
    typer.run(main)
