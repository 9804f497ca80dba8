"""Measures what an arbiter costs, by instances, targets and waiting requests.

Run with `python -m bench.arbiter --output bench/results/arbiter.json`. The
messages of all instances are made and read by the product's code in one
process, without a network.
"""

import asyncio
import itertools
import json
import pathlib
import time
from typing import Any

import attrs
import typer

from wigeonfall.forwarding.arbiter import Arbiter
from wigeonfall.forwarding import arbiter_messages
from wigeonfall.forwarding.scheduler import Scheduler
from wigeonfall.model.target import Target
from wigeonfall.policy.targets.load_balancer import LoadBalancer

REQUESTS = 3000
WARM_UP = 500

app = typer.Typer()


@attrs.define
class _Client:
    """An instance that requests slots and releases them."""

    name: str
    sequence: int = 0
    waiting: dict[str, arbiter_messages.SlotRequest] = attrs.field(
        factory=dict
    )
    held: dict[str, arbiter_messages.HeldSlot] = attrs.field(factory=dict)

    def message(self) -> arbiter_messages.ClientState:
        """Return all that is open."""
        self.sequence += 1
        return arbiter_messages.ClientState(
            self.name,
            1,
            self.sequence,
            self.name,
            tuple(self.waiting.values()),
            tuple(self.held.values()),
            (),
        )


def _make_request(number: int) -> arbiter_messages.SlotRequest:
    return arbiter_messages.SlotRequest(
        id=f'{number:016x}/1',
        service='s',
        rank=number % 3,
        is_retry=False,
        age_s=0.01,
        goal_s=0.6,
        patience_s=3.0,
        time_left_s=12.0,
        wait_left_s=1000.0,
        prompt_tokens=1800.0,
        answer_tokens=200.0,
        ineligible=(),
        customer='',
        tokens=0.0,
        charge_is_retry=False,
        most_wait_s=0.0,
    )


class _Bench:
    """One arbiter, and instances that keep so many requests waiting."""

    def __init__(self, instances: int, targets: int, waiting: int) -> None:
        names = tuple(f'i-{number:010x}' for number in range(targets))
        balancer = LoadBalancer('dc')
        balancer.set_targets(
            Target(name, 's', 'dc', f'10.0.0.1:{number}', slots=7)
            for number, name in enumerate(names, 1)
        )
        for name in names:
            balancer.record_first_event(name, 0, 0.05, time.monotonic())
        self.clients = {
            f'n{number}': _Client(f'n{number}') for number in range(instances)
        }
        self._turns = itertools.cycle(self.clients.values())
        self._numbers = itertools.count()
        self._arbiter = Arbiter(
            name='arbiter',
            balancer=balancer,
            scheduler=Scheduler(
                balancer, lambda _: names, lambda: (), lambda: None
            ),
            take_tokens=lambda _charge, _now_s: None,
            refund_tokens=lambda _customer, _tokens: None,
            send=self._apply,
            record=lambda *_args, **_fields: None,
        )
        self._most = targets * 7 + waiting
        self._order: list[tuple[_Client, str]] = []
        self.placed = 0
        self.bytes = 0

    def _apply(
        self, message: arbiter_messages.ArbiterDecisions, address: str
    ) -> None:
        self.bytes += len(arbiter_messages.encode(message))
        client = self.clients[address]
        for grant in message.grants:
            request = client.waiting.pop(grant.id, None)
            if request is not None:
                client.held[grant.id] = arbiter_messages.HeldSlot(
                    grant.id, 's', grant.target, request.prompt_tokens, True
                )
                self._order.append((client, grant.id))
                self.placed += 1

    def open(self) -> int:
        """Return the requests that wait or run."""
        return sum(len(c.waiting) + len(c.held) for c in self.clients.values())

    def _send(self, client: _Client) -> None:
        data = arbiter_messages.encode(client.message())
        self.bytes += len(data)
        message = arbiter_messages.decode(data)
        assert isinstance(message, arbiter_messages.ClientState)
        self._arbiter.receive(message, time.monotonic())

    async def run(self, requests: int) -> None:
        """Let so many requests be placed."""
        until = self.placed + requests
        while self.placed < until:
            while self.open() < self._most:
                client = next(self._turns)
                request = _make_request(next(self._numbers))
                client.waiting[request.id] = request
                self._send(client)
            await asyncio.sleep(0.008)
            ended, self._order = self._order[:20], self._order[20:]
            for client, request_id in ended:
                del client.held[request_id]
                self._send(client)


async def _measure(
    instances: int, targets: int, waiting: int
) -> dict[str, Any]:
    bench = _Bench(instances, targets, waiting)
    await bench.run(WARM_UP)
    began_s = time.process_time()
    bench.placed, bench.bytes = 0, 0
    await bench.run(REQUESTS)
    # The bench itself makes the messages; what it takes is counted too.
    spent_s = time.process_time() - began_s
    return {
        'instances': instances,
        'targets': targets,
        'waiting': waiting,
        'processor_us_a_request': round(spent_s / bench.placed * 1e6),
        'bytes_a_request': round(bench.bytes / bench.placed),
    }


@app.command()
def main(output: pathlib.Path) -> None:
    """Measure some sizes and write the results as JSON."""
    results = [
        asyncio.run(_measure(instances, targets, waiting))
        for instances, targets, waiting in (
            (20, 15, 0),
            (75, 45, 0),
            (75, 45, 50),
            (75, 45, 200),
            (195, 100, 0),
            (195, 100, 200),
            (195, 100, 1000),
            (300, 180, 200),
            (500, 300, 1000),
        )
    ]
    output.write_text(json.dumps(results, indent=1) + '\n', 'utf-8')
    for result in results:
        print(result)


if __name__ == '__main__':
    app()
