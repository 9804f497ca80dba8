"""Measures the control traffic of an instance against the fleet's size.

Run with `python -m bench.membership --sizes 3,9,30,90 --seed 1`. Instances
run through the code of the product, several in one process, over loopback.
"""

import asyncio
import json
import pathlib
import random
import sys
import time
from typing import Any

import attrs
import grpclib.protocol
import grpclib.server
import numpy
import typer

from tests.fakes.ports import free_ports
from tests.fakes import processes
from wigeonfall.adapters import configuration_topic
from wigeonfall.adapters import membership_topic
from wigeonfall.adapters import peers
from wigeonfall import clock
from wigeonfall.events import Event
from wigeonfall.model.configuration import Configuration
from wigeonfall.model.instance import Instance
from wigeonfall.policy import membership as policy
from wigeonfall.ports.platform import LiveList
from wigeonfall.recorder import Recorder
from wigeonfall.serving.configuration import ConfigurationState
from wigeonfall.serving import exchange as exchange_module
from wigeonfall.serving.exchange import Exchange
from wigeonfall.serving.membership import Membership

INSTANCES_PER_PROCESS = 10
SITES = 3
WARM_UP_S = 15.0
SAMPLE_S = 1.0
SEEDS = 3

app = typer.Typer()


@attrs.define
class Meter:
    """Bytes that this process received and swaps that it served."""

    received_bytes: int = 0
    swaps: int = 0


METER = Meter()


class CountingProtocol:
    """Counts the bytes of all HTTP/2 connections of this process."""

    @staticmethod
    def install() -> None:
        """Count from now on."""
        original = grpclib.protocol.H2Protocol.data_received

        def data_received(self: Any, data: bytes) -> None:
            METER.received_bytes += len(data)
            original(self, data)

        setattr(grpclib.protocol.H2Protocol, 'data_received', data_received)


@attrs.frozen
class Node:
    """One instance of the fleet."""

    membership: Membership
    configuration: ConfigurationState
    exchange: Exchange


def _make_node(own: Instance, seeds: list[str]) -> Node:
    recorder = Recorder(own.name, clock.HybridClock())
    exchange = Exchange(own, recorder)

    def record(event: Event, **fields: Any) -> None:
        recorder.record(event, **fields)

    membership = Membership(
        own, seeds, record, time.monotonic(), exchange.trigger_exchange
    )
    configuration = ConfigurationState(
        own.name,
        own.data_center,
        Configuration(0, (), (), ()),
        record,
        exchange.trigger_exchange,
    )
    exchange.topics = (
        membership_topic.make_topic(membership),
        configuration_topic.make_topic(
            configuration, own.data_center, membership.data_center_of
        ),
    )
    return Node(membership, configuration, exchange)


async def _serve(node: Node) -> grpclib.server.Server:
    def swap(state: Any) -> Any:
        METER.swaps += 1
        return node.exchange.swap(state)

    server = grpclib.server.Server([peers.ExchangeServer(swap)])
    host, _, port = node.membership.own.peers_address.rpartition(':')
    await server.start(host, int(port))
    return server


async def _swap(node: Node) -> None:
    def addresses(_now_unix_s: float) -> tuple[str, ...]:
        return node.membership.peer_addresses(time.monotonic())

    await exchange_module.run(node.exchange, addresses, None)


async def _work(
    instances: list[Instance], first: int, count: int, seconds: float
) -> dict[str, Any]:
    seeds = [one.peers_address for one in instances[:SEEDS]]
    nodes = [
        _make_node(own, seeds) for own in instances[first : first + count]
    ]
    servers = [await _serve(node) for node in nodes]
    listed = LiveList(tuple(instances), ())
    for node in nodes:
        node.membership.apply_live_list(listed, time.monotonic())
    tasks = [asyncio.create_task(_swap(node)) for node in nodes]
    await asyncio.sleep(WARM_UP_S)
    begun = (time.process_time(), METER.received_bytes, METER.swaps)
    began_s = time.monotonic()
    live: list[int] = []
    while time.monotonic() - began_s < seconds:
        await asyncio.sleep(SAMPLE_S)
        now_s = time.monotonic()
        live += [len(n.membership.live_instances(now_s)) for n in nodes]
    spent_s = time.monotonic() - began_s
    value = {
        'instances': count,
        'seconds': spent_s,
        'cpu_s': time.process_time() - begun[0],
        'received_bytes': METER.received_bytes - begun[1],
        'swaps': METER.swaps - begun[2],
        'live_min': min(live),
    }
    for task in tasks:
        task.cancel()
    for server in servers:
        server.close()
    return value


@app.command()
def worker(ports: str, first: int, count: int, seconds: float) -> None:
    """Run some of the instances and print what they used."""
    instances = [
        Instance(f'i{n}', f'site-{n % SITES}', f'127.0.0.1:{port}', 1)
        for n, port in enumerate(ports.split(','))
    ]
    CountingProtocol.install()
    value = asyncio.run(_work(instances, first, count, seconds))
    print(json.dumps(value), flush=True)


def _measure(size: int, seconds: float) -> dict[str, Any]:
    ports = ','.join(str(port) for port in free_ports(size))
    workers = [
        processes.start(
            f'worker-{first}',
            'bench.membership',
            'worker',
            ports,
            str(first),
            str(min(INSTANCES_PER_PROCESS, size - first)),
            str(seconds),
        )
        for first in range(0, size, INSTANCES_PER_PROCESS)
    ]
    limit_s = 4 * (WARM_UP_S + seconds)
    processes.wait_for(lambda: not any(w.running() for w in workers), limit_s)
    time.sleep(SAMPLE_S)
    values = [one for w in workers for one in w.log() if 'cpu_s' in one]
    if len(values) != len(workers):
        raise RuntimeError('\n'.join(w.errors() for w in workers))
    spent_s = sum(v['seconds'] for v in values) / len(values)

    def per_instance(name: str) -> float:
        return sum(v[name] for v in values) / size / spent_s

    return {
        'instances': size,
        'received_bytes_per_s': round(per_instance('received_bytes'), 1),
        'cpu_percent': round(100 * per_instance('cpu_s'), 3),
        'swaps_served_per_s': round(per_instance('swaps'), 3),
        'live_seen_min': min(v['live_min'] for v in values),
    }


def _slope(rows: list[dict[str, Any]], name: str) -> dict[str, float]:
    """Return the least-squares line of a figure over the size."""
    sizes = [row['instances'] for row in rows]
    slope, start = numpy.polyfit(sizes, [row[name] for row in rows], 1)
    return {'at_0': round(float(start), 3), 'slope': round(float(slope), 4)}


@app.command()
def measure(
    sizes: str = '3,9,30,90',
    seconds: float = 20.0,
    seed: int = 1,
    output: pathlib.Path = pathlib.Path('bench/results/membership-size.json'),
) -> None:
    """Measure each size and write the figures with their slopes."""
    rows = []
    order = [int(size) for size in sizes.split(',')]
    random.Random(seed).shuffle(order)
    for size in order:
        rows.append(_measure(size, seconds))
        print(json.dumps(rows[-1]), file=sys.stderr, flush=True)
    rows.sort(key=lambda row: row['instances'])
    value = {
        'command': f'python -m bench.membership measure --sizes {sizes} '
        f'--seconds {seconds:g} --seed {seed}',
        'seed': seed,
        'fanout': policy.FANOUT,
        'period_s': exchange_module.PERIOD_S,
        'rows': rows,
        'slopes': {
            name: _slope(rows, name)
            for name in ('received_bytes_per_s', 'cpu_percent')
        },
    }
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(value, indent=2) + '\n')
    print(json.dumps(value, indent=2))


if __name__ == '__main__':
    app()
