"""Measures what orders cost the platform, by order rate.

The ledgers of all instances run in this process. The platform is a store in
memory with a fixed latency, and instances reach each other by direct calls
with a fixed latency; no network and no target processes take part.
"""

from concurrent import futures
import json
import pathlib
import random
import threading
import time
from typing import Annotated
from typing import Any

from hdrh import histogram
from result import Ok
import typer

from tests.fakes import memory_store
from tests.fakes import order_requests
from wigeonfall.model.answer import WholeAnswer
from wigeonfall.model import instance
from wigeonfall.ports.ledger import LedgerPeers
from wigeonfall.ports.platform import Platform
from wigeonfall.serving import ledger
from wigeonfall.serving import orders

RATES_PER_S = (1, 10, 100, 500)
INSTANCES = 8
PLATFORM_LATENCY_S = 0.005
PEER_LATENCY_S = 0.001
TARGET_LATENCY_S = 0.010
DEADLINE_S = 10.0
THREADS = 400
BODY_BYTES = 300
RESULTS = pathlib.Path(__file__).parent / 'results'


def _no_record(event: Any, **fields: Any) -> None:
    return None


def _make_ledgers(port: Platform) -> list[ledger.Ledger]:
    names = [f'i{number}' for number in range(INSTANCES)]
    live = [instance.Instance(name, 'zac-a', name) for name in names]
    ledgers: dict[str, ledger.Ledger] = {}

    def forward(owner: instance.Instance, number: int, changes: Any) -> Any:
        time.sleep(PEER_LATENCY_S)
        taken = ledgers[owner.name].accept(number, changes)
        return Ok([future.result().unwrap() for future in taken])

    peers = LedgerPeers(lambda: live, forward)
    for name in names:
        ledgers[name] = ledger.make_ledger(name, port, peers, _no_record)
    return list(ledgers.values())


def _dispatch(request: Any) -> orders.Outcome:
    time.sleep(TARGET_LATENCY_S)
    return Ok(WholeAnswer(201, (), bytes(BODY_BYTES)))


def measure(rate_per_s: float, duration_s: float, seed: int) -> dict[str, Any]:
    """Send orders at a rate and return what they cost.

    Args:
        rate_per_s: mean rate of Poisson arrivals over all instances.
        duration_s: time during which orders arrive.
        seed: seed of the arrivals.
    """

    def fate(call: str) -> memory_store.Fate:
        time.sleep(PLATFORM_LATENCY_S)
        return memory_store.Fate.SERVED

    store = memory_store.MemoryStore(fate)
    ledgers = _make_ledgers(store.port())
    runners = [
        orders.make_orders(f'i{number}', each, _no_record)
        for number, each in enumerate(ledgers)
    ]
    latency_us = histogram.HdrHistogram(1, 60_000_000, 3)
    sent, answered = _send_all(
        runners, rate_per_s, duration_s, seed, latency_us
    )
    for each in ledgers:
        each.close(DEADLINE_S)
    return {
        'rate_per_s': rate_per_s,
        'duration_s': duration_s,
        'orders': sent,
        'answered': answered,
        'writes': store.writes,
        'reads': store.reads,
        'writes_per_order': round(store.writes / sent, 3),
        'writes_per_s': round(store.writes / duration_s, 1),
        'reads_per_order': round(store.reads / sent, 3),
        'written_bytes_per_order': round(store.written_bytes / sent),
        'p50_ms': latency_us.get_value_at_percentile(50) / 1000,
        'p95_ms': latency_us.get_value_at_percentile(95) / 1000,
        'p99_ms': latency_us.get_value_at_percentile(99) / 1000,
    }


def _send_all(
    runners: list[orders.Orders],
    rate_per_s: float,
    duration_s: float,
    seed: int,
    latency_us: Any,
) -> tuple[int, int]:
    draw = random.Random(seed)
    lock = threading.Lock()
    answered = 0

    def send(number: int, due_s: float) -> None:
        nonlocal answered
        request = order_requests.make_request(
            str(number), f'{seed}-{number}', due_s + DEADLINE_S
        )
        outcome = runners[number % len(runners)].run(request, _dispatch)
        took_us = int((time.monotonic() - due_s) * 1e6)
        with lock:
            answered += isinstance(outcome, Ok)
            latency_us.record_value(took_us)

    number = 0
    start_s = time.monotonic()
    due_s = start_s
    with futures.ThreadPoolExecutor(THREADS) as pool:
        while True:
            due_s += draw.expovariate(rate_per_s)
            if due_s > start_s + duration_s and number:
                break
            time.sleep(max(0.0, due_s - time.monotonic()))
            pool.submit(send, number, due_s)
            number += 1
    return number, answered


def main(
    seed: Annotated[int, typer.Option(help='Seed of the arrivals.')] = 1,
    duration_s: Annotated[
        float, typer.Option(help='Time during which orders arrive.')
    ] = 15.0,
) -> None:
    """Measure all rates and write bench/results/orders-SEED.json."""
    runs = [measure(rate, duration_s, seed) for rate in RATES_PER_S]
    RESULTS.mkdir(exist_ok=True)
    command = f'python -m bench.orders --seed {seed} --duration-s {duration_s}'
    report = {
        'command': command,
        'seed': seed,
        'instances': INSTANCES,
        'slices': ledger.DEFAULT_SLICE_COUNT,
        'commits_per_s': ledger.COMMITS_PER_S,
        'platform_latency_ms': PLATFORM_LATENCY_S * 1000,
        'peer_latency_ms': PEER_LATENCY_S * 1000,
        'target_latency_ms': TARGET_LATENCY_S * 1000,
        'runs': runs,
    }
    text = json.dumps(report, indent=2)
    (RESULTS / f'orders-{seed}.json').write_text(text + '\n')
    typer.echo(text)


if __name__ == '__main__':
    typer.run(main)
