"""Placement baselines: one idealised balancer straight before the targets.

A baseline knows all calls of the run at once, needs no relay and retries
nothing but failed connections, which flatters it against a fleet of
instances.
"""

from collections.abc import Callable
import itertools
import random
import threading
import time

import attrs
import urllib3

from .arrivals import Arrival
from .caller import Choose

POLL_PERIOD_S = 0.25


@attrs.frozen
class Place:
    """A target that a baseline may choose."""

    service: str
    address: str


@attrs.define
class LoadReports:
    """The targets' own load reports, read on a period."""

    places: tuple[Place, ...]
    loads: dict[str, int] = attrs.field(factory=dict)
    stopped: threading.Event = attrs.field(factory=threading.Event)

    def start(self) -> None:
        """Read reports in a thread until stopped."""
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        pool = urllib3.PoolManager(retries=False, timeout=1.0)
        while not self.stopped.is_set():
            for place in self.places:
                try:
                    report = pool.request(
                        'GET', f'http://{place.address}/load'
                    ).json()
                except urllib3.exceptions.HTTPError:
                    continue
                load = report['queued'] + report['running']
                self.loads[place.address] = load
            time.sleep(POLL_PERIOD_S)


def round_robin(model_service: str, places: tuple[Place, ...]) -> Choose:
    """Return a baseline that takes targets in turn."""
    turns = {
        service: itertools.cycle(addresses)
        for service, addresses in _by_service(places).items()
    }

    def choose(arrival: Arrival, _: int) -> tuple[str, Callable[[], None]]:
        return next(turns[arrival.service or model_service]), lambda: None

    return choose


def least_outstanding(model_service: str, places: tuple[Place, ...]) -> Choose:
    """Return a baseline that takes the target with the fewest calls."""
    by_service = _by_service(places)
    outstanding = {place.address: 0 for place in places}

    def choose(arrival: Arrival, _: int) -> tuple[str, Callable[[], None]]:
        addresses = by_service[arrival.service or model_service]
        address = min(addresses, key=outstanding.__getitem__)
        outstanding[address] += 1

        def done() -> None:
            outstanding[address] -= 1

        return address, done

    return choose


def two_choices(
    model_service: str, places: tuple[Place, ...], reports: LoadReports
) -> Choose:
    """Return a baseline that takes the less loaded of two by their reports."""
    by_service = _by_service(places)
    chance = random.Random(1)

    def choose(arrival: Arrival, _: int) -> tuple[str, Callable[[], None]]:
        pair = chance.sample(by_service[arrival.service or model_service], 2)
        address = min(pair, key=lambda each: reports.loads.get(each, 0))
        return address, lambda: None

    return choose


def _by_service(places: tuple[Place, ...]) -> dict[str, list[str]]:
    grouped: dict[str, list[str]] = {}
    for place in places:
        grouped.setdefault(place.service, []).append(place.address)
    return grouped
