"""Planned stops of real processes under load cut nothing in progress."""

from concurrent import futures
import pathlib
import threading
import time

import attrs

from tests.fakes import fleet as fleet_module
from tests.fakes import processes

KEY = 'example-key-of-carniceros-norte'
RESTARTS = 10
CALLERS = 6
TOKENS = 40
BALANCER_PERIOD_S = 0.05

PLAN = fleet_module.Plan(
    example='co-op',
    instances={'zac-a': ('zac-a-1', 'zac-a-2')},
    engines=(
        fleet_module.TargetPlan(
            'engine-1',
            'wigeon-pool',
            'zac-a',
            {'slots': 16, 'decode_tokens_per_s': 100},
        ),
    ),
    services=(
        fleet_module.TargetPlan(
            'orders-1', 'pedidos-app', 'zac-a', {'latency_ms': 30}
        ),
    ),
    settings={'stop': {'settle_s': '0.3', 'quiet_s': '0.2'}},
)


@attrs.define
class Load:
    """Callers behind a balancer, and the answers that were not whole."""

    fleet: fleet_module.Fleet
    ready: frozenset[str] = frozenset()
    stopping: threading.Event = attrs.field(factory=threading.Event)
    whole: int = 0
    faults: list[str] = attrs.field(factory=list)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def balance(self) -> None:
        """Follow which instances are ready, as a balancer does."""
        while not self.stopping.is_set():
            self.ready = frozenset(
                name
                for name, instance in tuple(self.fleet.instances.items())
                if processes.answers(
                    f'http://{instance.operators_address}/ready'
                )
            )
            time.sleep(BALANCER_PERIOD_S)

    def call(self, number: int) -> None:
        """Send one call after the other until the load ends."""
        sent = 0
        while not self.stopping.is_set():
            ready = sorted(self.ready)
            if not ready:
                time.sleep(BALANCER_PERIOD_S)
                continue
            name = ready[(number + sent) % len(ready)]
            sent += 1
            fault = self._order(name, f'{number}-{sent}')
            if number % 2:
                fault = self._stream(name)
            with self.lock:
                if fault:
                    self.faults.append(f'{name}: {fault}')
                else:
                    self.whole += 1

    def _stream(self, name: str) -> str:
        body = {
            'model': 'recipes',
            'messages': [{'role': 'user', 'content': 'How long?'}],
            'max_tokens': TOKENS,
            'stream': True,
        }
        try:
            answer = self.fleet.call(
                name, 'POST', '/v1/chat/completions', KEY, body
            )
        except Exception as error:  # any failure is a fault of the stop
            return repr(error)
        events = answer.data.count(b'\n\n')
        if answer.data.endswith(b'data: [DONE]\n\n') and events == TOKENS + 1:
            return ''
        return f'{answer.status} {answer.data[-200:]!r}'

    def _order(self, name: str, key: str) -> str:
        try:
            answer = self.fleet.call(
                name,
                'POST',
                '/services/pedidos-app/member-orders',
                KEY,
                {'item': 'biltong'},
                {'Idempotency-Key': key},
            )
        except Exception as error:  # any failure is a fault of the stop
            return repr(error)
        if answer.status == 200:
            return ''
        return f'{answer.status} {answer.data[-200:]!r}'


def _wait_until_served(load: Load) -> None:
    def served() -> bool:
        return all(
            not load._stream(name) and not load._order(name, f'first-{name}')
            for name in load.fleet.instances
        )

    processes.wait_for(served)


def _restart_all(load: Load) -> list[int]:
    """Restart each instance in turn, and return their exit statuses."""
    fleet = load.fleet
    statuses = []
    for _ in range(RESTARTS):
        for name in tuple(fleet.instances):
            before = load.whole
            processes.wait_for(lambda: load.whole > before)
            statuses.append(fleet.instances[name].process.stop(60))
            fleet.restart_instance(name)
            processes.wait_for(lambda: name in load.ready)
    return statuses


def test_ten_restarts_of_every_instance_cut_nothing(
    tmp_path: pathlib.Path,
) -> None:
    with fleet_module.Fleet(PLAN, tmp_path) as fleet:
        load = Load(fleet)
        _wait_until_served(load)
        with futures.ThreadPoolExecutor(CALLERS + 1) as pool:
            works = [pool.submit(load.balance)]
            works += [pool.submit(load.call, i) for i in range(CALLERS)]
            try:
                statuses = _restart_all(load)
            finally:
                load.stopping.set()
            for work in works:
                work.result()
    assert load.faults == []
    assert statuses == [0] * RESTARTS * len(PLAN.instances['zac-a'])
    assert load.whole > RESTARTS
