"""Moves of services to new versions, as this instance takes part in them."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import attrs

from ..events import Event
from ..model.target import Target
from ..policy.room import Rooms
from ..policy.room import Size
from ..policy.version_trial import Order
from ..policy.version_trial import State
from ..policy.version_trial import Trials
from ..ports.objects import ObjectStore
from ..ports.platform import StoredObject
from ..recorder import Record
from .work import Work

PERIOD_S = 0.5  # a verdict is written soon after the evidence


@attrs.frozen
class Moves:
    """What moves need.

    Attributes:
        trials: the moves and the evidence on them.
        rooms: what is known of targets.
        store: returns the calls to the store, as of now.
        entries: returns the stored orders.
        encode: returns the status of an order in a state.
        record: records events.
    """

    trials: Trials
    rooms: Rooms
    store: Callable[[], ObjectStore]
    entries: Callable[[], tuple[StoredObject, ...]]
    encode: Callable[[Order, State], dict[str, Any]]
    record: Record

    def suits(self, work: Work, name: str) -> bool:
        """Return whether a target may get a request, by its version."""
        rooms = self.rooms.of((name,))
        version = rooms[0].target.version if rooms else ''
        return self.trials.suits(work.service, version, work.id)

    def judged(
        self, work: Work, target: Target, ok: bool, first_s: float
    ) -> None:
        """Take an answer as evidence on the version of its target."""
        now_s = time.monotonic()
        slowest_old_s = max(
            (
                room.outlook(now_s).first_s(Size())
                for room in self.rooms.all()
                if room.target.service == work.service
                and room.target.version != target.version
            ),
            default=0.0,
        )
        self.trials.judged(
            work.service, target.version, ok, first_s, slowest_old_s
        )

    async def run(self) -> None:
        """Judge the moves and write how they end, until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            for order in self.trials.running():
                await self._decide(order)

    async def _decide(self, order: Order) -> None:
        verdict = self.trials.decide(
            order.service, self._old_busy(order), time.monotonic()
        )
        entry = next(
            (item for item in self.entries() if item.name == order.name), None
        )
        if verdict is None or entry is None:
            return
        entry = attrs.evolve(entry, status=self.encode(order, verdict))
        loop = asyncio.get_running_loop()
        written = await loop.run_in_executor(None, self.store().report, entry)
        self.record(
            Event.VERSION_JUDGED,
            service=order.service,
            version=order.version,
            verdict=verdict.value,
            written=written.is_ok(),
            at_version=entry.version,
        )

    def _old_busy(self, order: Order) -> bool:
        return any(
            room.outstanding
            for room in self.rooms.all()
            if room.target.service == order.service
            and room.target.version != order.version
        )
