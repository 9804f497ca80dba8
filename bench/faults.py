"""Faults on a schedule: what breaks, when, and for how long."""

import asyncio
from collections.abc import Callable

import attrs

from tests.fakes import fleet as fleet_module
from tests.fakes import processes

BURST_FACTOR = 3.0
SLOW_FACTOR = 6.0
PLATFORM_DELAY_MS = 500
STOP_TIMEOUT_S = 150.0

Undo = Callable[[], None]
Cause = Callable[[fleet_module.Fleet], Undo]


@attrs.frozen
class Fault:
    """One fault of a run.

    Attributes:
        kind: name in CAUSES, or "burst".
        start_s: begin, after the start of the run.
        end_s: end, after the start of the run.
    """

    kind: str
    start_s: float
    end_s: float


def parse(text: str) -> Fault:
    """Return the fault that a text such as "engine-slow@10-20" names.

    Raises:
        ValueError: the text names no known fault.
    """
    kind, _, times = text.partition('@')
    start, _, end = times.partition('-')
    if kind not in CAUSES and kind != 'burst':
        known = ', '.join([*CAUSES, 'burst'])
        raise ValueError(f'no fault {kind!r}; there are {known}')
    return Fault(kind, float(start), float(end))


def rate(
    faults: tuple[Fault, ...], rate_per_s: float
) -> Callable[[float], float]:
    """Return the arrival rate over time, bursts included."""
    bursts = [fault for fault in faults if fault.kind == 'burst']

    def rate_at(at_s: float) -> float:
        within = any(b.start_s <= at_s < b.end_s for b in bursts)
        return rate_per_s * (BURST_FACTOR if within else 1.0)

    return rate_at


async def cause(faults: tuple[Fault, ...], fleet: fleet_module.Fleet) -> None:
    """Bring about all faults at their times, and end them."""
    await asyncio.gather(
        *(_cause(fault, fleet) for fault in faults if fault.kind in CAUSES)
    )


async def _cause(fault: Fault, fleet: fleet_module.Fleet) -> None:
    await asyncio.sleep(fault.start_s)
    undo = await asyncio.to_thread(CAUSES[fault.kind], fleet)
    await asyncio.sleep(fault.end_s - fault.start_s)
    await asyncio.to_thread(undo)


def _first_engine(fleet: fleet_module.Fleet) -> str:
    name = fleet.plan.engines[0].name
    return fleet.targets[name].address


def _switch(
    address: str, on: dict[str, object], off: dict[str, object]
) -> Undo:
    processes.set_switches(address, **on)
    return lambda: processes.set_switches(address, **off)


def _engine_slow(fleet: fleet_module.Fleet) -> Undo:
    return _switch(
        _first_engine(fleet), {'slow_down': SLOW_FACTOR}, {'slow_down': 1.0}
    )


def _engine_bad(fleet: fleet_module.Fleet) -> Undo:
    return _switch(
        _first_engine(fleet), {'error_rate': 0.5}, {'error_rate': 0.0}
    )


def _engine_silent(fleet: fleet_module.Fleet) -> Undo:
    return _switch(_first_engine(fleet), {'silent': True}, {'silent': False})


def _engine_leaving(fleet: fleet_module.Fleet) -> Undo:
    return _switch(_first_engine(fleet), {'leaving': True}, {'leaving': False})


def _reports_stale(fleet: fleet_module.Fleet) -> Undo:
    addresses = [
        fleet.targets[plan.name].address for plan in fleet.plan.engines
    ]
    undos = [
        _switch(address, {'report_lag_ms': 5000}, {'report_lag_ms': 500})
        for address in addresses
    ]

    def undo() -> None:
        for each in undos:
            each()

    return undo


def _instance_killed(fleet: fleet_module.Fleet) -> Undo:
    name = next(iter(fleet.instances))
    fleet.instances[name].process.kill()
    return lambda: _restart(fleet, name)


def _restart(fleet: fleet_module.Fleet, name: str) -> None:
    fleet.restart_instance(name)


def _instance_paused(fleet: fleet_module.Fleet) -> Undo:
    process = next(iter(fleet.instances.values())).process
    process.pause()
    return process.resume


def _instance_stopped(fleet: fleet_module.Fleet) -> Undo:
    name = next(iter(fleet.instances))
    process = fleet.instances[name].process
    process.terminate()

    def undo() -> None:
        # A planned stop lasts as long as the longest answer in progress.
        processes.wait_for(lambda: not process.running(), STOP_TIMEOUT_S)
        _restart(fleet, name)

    return undo


def _platform_away(fleet: fleet_module.Fleet) -> Undo:
    return _switch(fleet.platform_address, {'outage': True}, {'outage': False})


def _platform_slow(fleet: fleet_module.Fleet) -> Undo:
    return _switch(
        fleet.platform_address,
        {'delay_ms': PLATFORM_DELAY_MS},
        {'delay_ms': 0},
    )


def _platform_loses_answers(fleet: fleet_module.Fleet) -> Undo:
    return _switch(
        fleet.platform_address, {'lose_answers': 0.2}, {'lose_answers': 0}
    )


CAUSES: dict[str, Cause] = {
    'engine-slow': _engine_slow,
    'engine-bad': _engine_bad,
    'engine-silent': _engine_silent,
    'engine-leaving': _engine_leaving,
    'reports-stale': _reports_stale,
    'instance-killed': _instance_killed,
    'instance-paused': _instance_paused,
    'instance-stopped': _instance_stopped,
    'platform-away': _platform_away,
    'platform-slow': _platform_slow,
    'platform-loses-answers': _platform_loses_answers,
}
