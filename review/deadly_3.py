"""Traffic with a prompt part that crashes engines, for cases 12 and 13."""

import asyncio
import itertools
import os
import pathlib
from typing import Any

from deployment_3 import Deployment
from deployment_3 import Instance
from deployment_3 import Record
from engines_3 import Engines
from manifests_3 import manifest
from store_3 import Store
from wire_3 import Caller

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CHUNKED = os.environ.get('CHUNKED', '0') != '0'
SERVICE = 'huvo11a'
ROUTE = {'PathPrefix': '/lohu930/'}
SHARED = '5c1e07a2:60'  # the first part of all requests
DEADLY = 'dead0001'
CRASHES = 5
STABILITY_S = 3.0


class Sent:
    """A request, and what has become of it.

    Attributes:
        deadly: whether it holds the part that crashes engines.
        sent_s: when it was sent.
        status: status of the answer, 0 if there was none.
        events: events received.
    """

    def __init__(self, deadly: bool, sent_s: float) -> None:
        self.deadly = deadly
        self.sent_s = sent_s
        self.status = 0
        self.events = 0


class Traffic:
    """Sends requests, and keeps what engines and requesters saw.

    Args:
        record: takes a line for each thing that was seen.
        sound_per_s: sound requests a second.
        deadly_per_s: requests a second with the part that crashes engines.
    """

    def __init__(
        self, record: Record, sound_per_s: float, deadly_per_s: float
    ) -> None:
        self.record = record
        self.crashes_s: list[float] = []
        self.reached_s: list[float] = []  # when the part reached engines
        self.requests: list[Sent] = []
        self._numbers = itertools.count(1)
        self._step_s = 1.0 / sound_per_s
        self._every = round(sound_per_s / deadly_per_s)

    def on_line(self, engine: str, line: dict[str, Any]) -> None:
        """Take a line that an engine has printed."""
        self.record.line(f'engine {engine}: {line}')
        if line['what'] == 'crashes':
            self.crashes_s.append(self.record.now_s())
        elif line['what'] == 'runs' and f'{DEADLY}:' in str(line['parts']):
            self.reached_s.append(self.record.now_s())

    async def send(
        self, instances: list[Instance], calm_s: float, run_s: float
    ) -> None:
        """Send sound requests, and after a calm time the others too."""
        turns = itertools.cycle(instances)
        tasks = []
        from_s = self.record.now_s() + calm_s
        until_s = from_s + run_s
        for tick in itertools.count(1):
            now_s = self.record.now_s()
            if now_s >= until_s:
                break
            tasks.append(asyncio.create_task(self._ask(next(turns), False)))
            if now_s >= from_s and tick % self._every == 0:
                tasks.append(asyncio.create_task(self._ask(next(turns), True)))
            await asyncio.sleep(self._step_s)
        await asyncio.gather(*tasks)

    async def _ask(self, instance: Instance, deadly: bool) -> None:
        number = next(self._numbers)
        run = f'{number:016x}'
        second = DEADLY if deadly else f'91bd{number % 40:04x}'
        parts = f'{SHARED},{second}:410,{number:08x}:250'
        headers = {
            'Host': 'ficu95.example',
            'X-Wigeonfall-Request-Id': run,
            'X-Wigeonfall-Model': 'm',
            'X-Wigeonfall-Token-Counts': '720,80',
            'X-Wigeonfall-Prefix-Hash': parts,
            'X-Wigeonfall-Deadline-Ms': '15000',
        }
        sent = Sent(deadly, self.record.now_s())
        self.requests.append(sent)
        self.record.line(f'{run} sent to {instance.name}, parts {parts}')
        caller = Caller(instance.front)
        try:
            await caller.open()
            caller.send('POST', '/lohu930/2f', headers, b'{}')
            answer = await caller.answer()
        except OSError as error:
            self.record.line(f'{run} not connected: {error}')
            return
        finally:
            caller.close()
        sent.status = answer.status
        sent.events = answer.body.count(b'data:')
        self.record.line(
            f'{run} gets {answer.status}, {sent.events} events'
            f' {answer.problem}'
        )


async def play(
    traffic: Traffic, options: dict[str, Any], calm_s: float, run_s: float
) -> None:
    """Run the deployment with this traffic.

    Args:
        traffic: the traffic.
        options: ways of the engines.
        calm_s: time before the first request with the deadly part.
        run_s: time after it.
    """
    store = Store()
    await store.start()
    store.put('config', 'main', manifest(SERVICE, ROUTE))
    ways = {
        'deadly': DEADLY if TROUBLE else '',
        'chunked': CHUNKED,
        **options,
    }
    engines = Engines(store, SERVICE, ways, traffic.on_line)
    try:
        await engines.start(4)
        async with Deployment(3, store) as deployment:
            await asyncio.sleep(1.0)
            await traffic.send(deployment.instances, calm_s, run_s)
    finally:
        await engines.stop()
        store.stop()


def record_in(folder: pathlib.Path) -> Record:
    """Return the record of a case."""
    return Record(folder / 'record.txt')
