"""Load and experiment tool: a fleet of processes under a seeded mix.

Each placement gets the same arrivals on fresh processes. "wigeonfall" sends
them through the entry instances; the baselines straight to the targets.
"""

import asyncio
from collections.abc import Callable
import datetime
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Annotated
from typing import Any

import attrs
import typer

from tests.fakes import fleet as fleet_module
from tests.fakes import processes

from . import arrivals as arrivals_module
from . import balancer
from . import baselines
from . import faults as faults_module
from . import mixes
from . import plans
from . import report
from . import summary
from .arrivals import Arrival
from .caller import Callers
from .caller import Choose

RESULTS = pathlib.Path(__file__).parent / 'results'
PLACEMENTS = ('wigeonfall', 'round-robin', 'least-outstanding', 'two-choices')
PROGRESS_PERIOD_S = 5.0
SETTLE_S = 2.5


@attrs.frozen
class Case:
    """One case of the experiment.

    Attributes:
        mix: name of the mix.
        seed: seed of the arrivals.
        duration_s: length of the arrivals.
        rate_per_s: rate of the arrivals without bursts.
        instances: number of entry instances.
        faults: faults on a schedule.
    """

    mix: str
    seed: int
    duration_s: float
    rate_per_s: float
    instances: int
    faults: tuple[faults_module.Fault, ...] = ()


def run_case(case: Case, placement: str) -> dict[str, Any]:
    """Run a case with one placement and return its figures."""
    rate_at = faults_module.rate(case.faults, case.rate_per_s)
    arrivals = arrivals_module.arrivals(
        mixes.MIXES[case.mix],
        case.seed,
        case.duration_s,
        rate_at,
        case.rate_per_s * faults_module.BURST_FACTOR,
    )
    through = placement == 'wigeonfall'
    plan = plans.make_plan(case.mix, case.instances if through else 0)
    with tempfile.TemporaryDirectory() as directory:
        with fleet_module.Fleet(plan, pathlib.Path(directory)) as fleet:
            time.sleep(SETTLE_S)
            return _measure(case, placement, fleet, arrivals)


def _measure(
    case: Case,
    placement: str,
    fleet: fleet_module.Fleet,
    arrivals: list[Arrival],
) -> dict[str, Any]:
    choose, stop = _chooser(case.mix, placement, fleet)
    prefix = '/services/' if placement == 'wigeonfall' else ''
    callers = Callers(choose, prefix)
    before = _usages(fleet)
    own_before_s = time.process_time()
    started_s = time.monotonic()
    asyncio.run(_drive(case, placement, fleet, callers, arrivals))
    elapsed_s = time.monotonic() - started_s
    stop()
    observed = summary.Observed(
        engines={
            plan.name: processes.records(
                fleet.targets[plan.name].address, 'blocks=1'
            )
            for plan in fleet.plan.engines
        },
        services={
            plan.name: processes.records(fleet.targets[plan.name].address)
            for plan in fleet.plan.services
        },
        platform=processes.records(fleet.platform_address),
        instances=_used(before, _usages(fleet), elapsed_s),
        elapsed_s=elapsed_s,
    )
    figures = summary.summarize(callers.outcomes, observed)
    figures['load_tool'] = {
        'cpu_share': (time.process_time() - own_before_s) / elapsed_s,
        'worst_loop_lag_ms': callers.worst_lag_s * 1000,
    }
    return figures


async def _drive(
    case: Case,
    placement: str,
    fleet: fleet_module.Fleet,
    callers: Callers,
    arrivals: list[Arrival],
) -> None:
    progress = asyncio.create_task(_show_progress(placement, callers))
    through = placement == 'wigeonfall'
    faults = tuple(
        fault
        for fault in case.faults
        if through or not fault.kind.startswith('instance')
    )
    await asyncio.gather(
        callers.run(arrivals), faults_module.cause(faults, fleet)
    )
    progress.cancel()


async def _show_progress(placement: str, callers: Callers) -> None:
    started_s = time.monotonic()
    while True:
        await asyncio.sleep(PROGRESS_PERIOD_S)
        good = sum(outcome.good for outcome in callers.outcomes)
        print(
            f'{placement}: {time.monotonic() - started_s:.0f} s, '
            f'{len(callers.outcomes)} ended, {good} good, '
            f'{callers.waiting} under way',
            file=sys.stderr,
            flush=True,
        )


def _chooser(
    mix: str, placement: str, fleet: fleet_module.Fleet
) -> tuple[Choose, Callable[[], None]]:
    if placement == 'wigeonfall':
        before_instances = balancer.Balancer(fleet)
        before_instances.start()
        return before_instances.choose, before_instances.stopped.set
    places = tuple(
        baselines.Place(target.plan.service, target.address)
        for target in fleet.targets.values()
    )
    service = plans.MODEL_SERVICES[mix]
    if placement == 'round-robin':
        return baselines.round_robin(service, places), lambda: None
    if placement == 'least-outstanding':
        return baselines.least_outstanding(service, places), lambda: None
    reports = baselines.LoadReports(places)
    reports.start()
    choose = baselines.two_choices(service, places, reports)
    return choose, reports.stopped.set


def _usages(fleet: fleet_module.Fleet) -> dict[str, processes.Usage]:
    usages = {}
    for name, instance in fleet.instances.items():
        if instance.process.running():
            usages[name] = instance.process.usage()
    return usages


def _used(
    before: dict[str, processes.Usage],
    after: dict[str, processes.Usage],
    elapsed_s: float,
) -> dict[str, dict[str, float]]:
    used = {}
    for name, usage in after.items():
        earlier = before.get(name)
        cpu_s = usage.cpu_s - (earlier.cpu_s if earlier else 0.0)
        used[name] = {
            # A restarted instance counts from its own start.
            'cpu_share': (cpu_s if cpu_s > 0 else usage.cpu_s) / elapsed_s,
            'memory_mb': usage.memory_bytes / 2**20,
        }
    return used


def run(case: Case, placements: list[str], out: pathlib.Path) -> None:
    """Run a case with each placement; write JSON and a plot, print a table.

    Args:
        case: the case.
        placements: names of placements, in the order of their runs.
        out: path of the results without a suffix.
    """
    result: dict[str, Any] = {
        'command': 'python -m bench.load ' + ' '.join(sys.argv[1:]),
        'case': attrs.asdict(case),
        'started': datetime.datetime.now(datetime.UTC).isoformat(),
        'commit': _commit(),
        'machine': _machine(),
        'placements': {},
    }
    for placement in placements:
        result['placements'][placement] = run_case(case, placement)
    out.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps(result, indent=1, sort_keys=True)
    out.with_suffix('.json').write_text(text + '\n')
    report.plot(result, out.with_suffix('.png'))
    report.show(result)


def _commit() -> str:
    return subprocess.run(
        ('git', 'describe', '--always', '--dirty'),
        cwd=RESULTS.parent,
        capture_output=True,
        text=True,
        check=False,
    ).stdout.strip()


def _machine() -> dict[str, Any]:
    return {
        'cores': os.cpu_count(),
        'load_average': os.getloadavg()[0],
        'python': sys.version.split()[0],
    }


def main(
    mix: str = 'co-op',
    seed: int = 1,
    duration_s: float = 20.0,
    rate: Annotated[float, typer.Option(help='Requests per second.')] = 20.0,
    instances: int = 3,
    placement: Annotated[
        list[str], typer.Option(help=', '.join(PLACEMENTS) + '; repeatable.')
    ] = ['wigeonfall'],
    fault: Annotated[
        list[str],
        typer.Option(help='Such as engine-slow@10-20; repeatable.'),
    ] = [],
    name: Annotated[str, typer.Option(help='Name of the results.')] = '',
) -> None:
    """Measure a fleet under a seeded mix."""
    try:
        faults = tuple(faults_module.parse(text) for text in fault)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from error
    unknown = set(placement) - set(PLACEMENTS)
    if unknown or mix not in mixes.MIXES:
        raise typer.BadParameter(f'unknown mix or placement: {unknown or mix}')
    case = Case(mix, seed, duration_s, rate, instances, faults)
    run(case, placement, RESULTS / (name or f'load-{mix}-{seed}'))


if __name__ == '__main__':
    typer.run(main)
