"""The platform's balancer before the entry instances, in small."""

from collections.abc import Callable
import itertools
import threading

import attrs

from tests.fakes import fleet as fleet_module
from tests.fakes import processes

from .arrivals import Arrival

CHECK_PERIOD_S = 0.25


@attrs.define
class Balancer:
    """Takes ready instances in turn.

    Attributes:
        fleet: the fleet whose instances it stands before.
        ready: names of the instances that said they are ready.
        stopped: set when the checks should end.
    """

    fleet: fleet_module.Fleet
    ready: tuple[str, ...] = ()
    stopped: threading.Event = attrs.field(factory=threading.Event)
    _turns: itertools.count = attrs.field(factory=itertools.count)

    def start(self) -> None:
        """Check the readiness of all instances in threads until stopped."""
        self.ready = tuple(self.fleet.instances)
        for name in self.fleet.instances:
            thread = threading.Thread(
                target=self._check, args=(name,), daemon=True
            )
            thread.start()

    def choose(self, _: Arrival, __: int) -> tuple[str, Callable[[], None]]:
        """Return the callers' address of the next ready instance."""
        names = self.ready or tuple(self.fleet.instances)
        name = names[next(self._turns) % len(names)]
        return self.fleet.instances[name].callers_address, lambda: None

    def _check(self, name: str) -> None:
        address = self.fleet.instances[name].operators_address
        while not self.stopped.wait(CHECK_PERIOD_S):
            up = processes.answers(f'http://{address}/ready')
            self.ready = tuple(
                each
                for each in self.fleet.instances
                if (up if each == name else each in self.ready)
            )
