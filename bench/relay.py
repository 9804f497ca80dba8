"""Measures what relaying streams costs one entry instance.

Run with `python -m bench.relay --out bench/results/relay.json`. Each case
sends a number of streams at once through one instance and reads the
instance's processor time from the kernel.
"""

import asyncio
import json
import os
import pathlib
import sys
import tempfile
import time
from typing import Annotated
from typing import Any

import attrs
import typer

from . import http_client
from tests.fakes import fleet as fleet_module
from tests.fakes import processes

KEY = 'example-key-of-carniceros-norte'
INSTANCE = 'zac-a-1'
ENGINES = 4
SLOTS = 64
DECODE_TOKENS_PER_S = 50
IDLE_S = 5.0
SHORT_REQUESTS = 400


@attrs.frozen
class Cost:
    """What one case cost the instance.

    Attributes:
        streams: streams at once.
        tokens: tokens that callers received.
        cpu_s: processor time of the instance.
        elapsed_s: time that the case took.
        cpu_us_per_token: processor time for each token.
        memory_bytes: resident memory of the instance at the end.
        whole: streams that ended with their final marker.
    """

    streams: int
    tokens: int
    cpu_s: float
    elapsed_s: float
    cpu_us_per_token: float
    memory_bytes: int
    whole: int


def _plan() -> fleet_module.Plan:
    options = {
        'decode_tokens_per_s': DECODE_TOKENS_PER_S,
        'prefill_tokens_per_s': 1_000_000,
        'slots': SLOTS,
    }
    engines = tuple(
        fleet_module.TargetPlan(f'engine-{i}', 'wigeon-pool', 'zac-a', options)
        for i in range(ENGINES)
    )
    return fleet_module.Plan(
        example='co-op',
        instances={'zac-a': (INSTANCE,)},
        engines=engines,
        settings={'log': {'level': 'WARNING'}},
        base={'service wigeon-pool': {'outstanding_requests': str(SLOTS)}},
    )


async def _stream(address: str, tokens: int) -> tuple[int, bool]:
    body = _body(tokens, stream=True)
    call = await http_client.send(
        address, 'POST', '/v1/chat/completions', _headers(), body
    )
    head = await call.head()
    received = bytearray()
    async for part in call.body(head):
        received += part
    call.close()
    events = received.count(b'\n\n')
    return events - 1, received.endswith(b'data: [DONE]\n\n')


async def _short(address: str) -> bool:
    body = _body(1, stream=False)
    call = await http_client.send(
        address, 'POST', '/v1/chat/completions', _headers(), body
    )
    head = await call.head()
    async for _part in call.body(head):
        pass
    call.close()
    return head.status == 200


def _headers() -> dict[str, str]:
    return {
        'Authorization': f'Bearer {KEY}',
        'Content-Type': 'application/json',
    }


def _body(tokens: int, stream: bool) -> bytes:
    value = {
        'model': 'recipes',
        'messages': [{'role': 'user', 'content': 'How long does it dry?'}],
        'max_tokens': tokens,
        'stream': stream,
    }
    return json.dumps(value).encode()


async def _streams(address: str, count: int, tokens: int) -> list[Any]:
    works = (_stream(address, tokens) for _ in range(count))
    return await asyncio.gather(*works)


async def _shorts(address: str, count: int) -> int:
    answered = 0
    for _ in range(count):
        answered += await _short(address)
    return answered


def _measure_streams(
    instance: fleet_module.RunningInstance, count: int, tokens: int
) -> Cost:
    before = instance.process.usage()
    began_s = time.monotonic()
    work = _streams(instance.callers_address, count, tokens)
    results = asyncio.run(work)
    elapsed_s = time.monotonic() - began_s
    after = instance.process.usage()
    received = sum(events for events, _ in results)
    cpu_s = after.cpu_s - before.cpu_s
    return Cost(
        streams=count,
        tokens=received,
        cpu_s=round(cpu_s, 3),
        elapsed_s=round(elapsed_s, 2),
        cpu_us_per_token=round(cpu_s / max(received, 1) * 1e6, 1),
        memory_bytes=after.memory_bytes,
        whole=sum(done for _, done in results),
    )


def _measure_requests(
    instance: fleet_module.RunningInstance,
) -> dict[str, float]:
    before_s = instance.process.usage().cpu_s
    work = _shorts(instance.callers_address, SHORT_REQUESTS)
    answered = asyncio.run(work)
    cpu_s = instance.process.usage().cpu_s - before_s
    return {
        'requests': SHORT_REQUESTS,
        'answered': answered,
        'cpu_us_per_request': round(cpu_s / SHORT_REQUESTS * 1e6, 1),
    }


def _measure_idle(instance: fleet_module.RunningInstance) -> dict[str, float]:
    before_s = instance.process.usage().cpu_s
    time.sleep(IDLE_S)
    usage = instance.process.usage()
    share = (usage.cpu_s - before_s) / IDLE_S
    return {
        'cpu_percent': round(share * 100, 2),
        'memory_bytes': usage.memory_bytes,
        'threads': usage.threads,
    }


def measure(streams: list[int], tokens: int) -> dict[str, Any]:
    """Run all cases and return their figures as JSON values."""
    with tempfile.TemporaryDirectory() as directory:
        with fleet_module.Fleet(_plan(), pathlib.Path(directory)) as fleet:
            instance = fleet.instances[INSTANCE]
            processes.wait_for(
                lambda: asyncio.run(_short(instance.callers_address))
            )
            idle = _measure_idle(instance)
            requests = _measure_requests(instance)
            costs = []
            for count in streams:
                cost = _measure_streams(instance, count, tokens)
                typer.echo(f'{cost}', err=True)
                costs.append(attrs.asdict(cost))
    return {
        'command': ' '.join(['python -m bench.relay', *sys.argv[1:]]),
        'cores': os.cpu_count(),
        'load_average': os.getloadavg()[0],
        'decode_tokens_per_s': DECODE_TOKENS_PER_S,
        'idle': idle,
        'short_requests': requests,
        'streams': costs,
    }


def main(
    out: Annotated[pathlib.Path | None, typer.Option()] = None,
    streams: str = '1,50,200',
    tokens: int = 400,
) -> None:
    """Measure the relay and write the figures as JSON."""
    result = measure([int(text) for text in streams.split(',')], tokens)
    text = json.dumps(result, indent=2)
    if out is not None:
        out.parent.mkdir(parents=True, exist_ok=True)
        out.write_text(text + '\n')
    typer.echo(text)


if __name__ == '__main__':
    typer.run(main)
