"""Tests of the exchange of topics between two instances on real sockets."""

import asyncio

import grpclib.server

from tests.fakes.ports import free_ports
from wigeonfall.adapters import peers
from wigeonfall import clock
from wigeonfall.model import instance
from wigeonfall import recorder
from wigeonfall.serving import exchange

ROUNDS_S = 4.5


def _make(name: str, port: int) -> exchange.Exchange:
    own = instance.Instance(name, 'dc', f'127.0.0.1:{port}', 1)
    return exchange.Exchange(own, recorder.Recorder(name, clock.HybridClock()))


async def _serve(made: exchange.Exchange) -> grpclib.server.Server:
    server = grpclib.server.Server([peers.ExchangeServer(made.swap)])
    host, _, port = made.own.peers_address.rpartition(':')
    await server.start(host, int(port))
    return server


async def _count_swaps(ports: tuple[int, int]) -> dict[str, int]:
    made = [_make('a', ports[0]), _make('b', ports[1])]
    merged = {'a': 0, 'b': 0}

    def count(name: str) -> None:
        merged[name] += 1

    for one in made:
        one.on_state = lambda peer, now_s, name=one.own.name: count(name)
    servers = [await _serve(one) for one in made]
    addresses = tuple(one.own.peers_address for one in made)
    tasks = [
        asyncio.create_task(exchange.run(one, lambda now_s: addresses, None))
        for one in made
    ]
    await asyncio.sleep(ROUNDS_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for server in servers:
        server.close()
        await server.wait_closed()
    return merged


def test_both_instances_merge_state_once_per_period() -> None:
    merged = asyncio.run(_count_swaps(free_ports(2)))
    periods = ROUNDS_S / exchange.PERIOD_S
    for count in merged.values():
        assert periods / 2 <= count <= periods + 2


def test_swap_is_due_unless_the_peer_began_one_recently() -> None:
    made = _make('a', 1)
    assert made.due('h:2', 100.0)
    made.inbound_swap_s['h:2'] = 100.0
    assert not made.due('h:2', 100.0 + exchange.RECENT_SWAP_S / 2)
    assert made.due('h:2', 100.0 + exchange.RECENT_SWAP_S)
