"""Waits of requests for targets, on the event loop."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import time

import attrs

from ..model.target import Target
from ..policy.load_balancer import LoadBalancer
from ..policy.load_balancer import PeerLoad
from ..policy.load_balancer import RequestSize
from ..policy.waiting import PendingRequest
from ..policy.waiting import RequestQueue

TICK_S = 0.02  # shorter than what a caller notices
CROWD = 16  # waiting requests that are not gone through at each event
CROWD_PUMP_S = 0.005  # far below the goals of callers
TOGETHER_S = 0.002  # requests of this time are placed together


@attrs.define
class Slot:
    """Leave to send one request to one target.

    Attributes:
        id: identifier of the request.
        target: the target.
        waited_s: time that the request waited.
        prefill_tokens: prompts that the target reads first, this included.
        outstanding: requests of all instances there, this included.
        peers: instances whose load there is known.
        size: what the request asks of the target.
        reading: whether the prompt is not known to be read.
        arbiter: instance that gave it, '' for this one.
    """

    id: str
    target: Target
    waited_s: float
    prefill_tokens: float
    outstanding: int
    peers: int
    size: RequestSize
    prefilling: bool = True
    arbiter: str = ''


class Scheduler:
    """The waits of one instance for the targets of all services.

    Args:
        balancer: load balancer over the targets.
        names_of: returns the targets of a service that may get work.
        peers: returns what peers have outstanding and waiting.
        changed: called when the load of this instance changed.
    """

    def __init__(
        self,
        balancer: LoadBalancer,
        targets_of: Callable[[str], tuple[str, ...]],
        peers: Callable[[], Iterable[PeerLoad]],
        on_load_change: Callable[[], None],
    ) -> None:
        self.balancer = balancer
        self._targets_of = targets_of
        self._peers = peers
        self._on_load_change = on_load_change
        self._queues: dict[str, RequestQueue] = {}
        self._futures: dict[str, asyncio.Future[Slot | None]] = {}
        self._dispatch_timers: dict[str, asyncio.TimerHandle] = {}
        self._busy = asyncio.Event()

    def waiting(self) -> dict[str, dict[int, int]]:
        """Return the number of waiting requests by service and class."""
        return {
            service: queue.counts_by_class()
            for service, queue in self._queues.items()
            if len(queue)
        }

    def pressure(self, service: str) -> float:
        """Return the waiting requests for each place of a service."""
        names = self._targets_of(service)
        places = sum(stats.limit for stats in self.balancer.stats_of(names))
        own = self._queues.get(service)
        count = len(own) if own is not None else 0
        for load in self._peers():
            count += sum(load.waiting.get(service, {}).values())
        return count / max(1.0, places)

    def submit(
        self, service: str, pending: PendingRequest, soon: bool = False
    ) -> 'asyncio.Future[Slot | None]':
        """Let a request wait for a target.

        Args:
            service: service of the target.
            wish: the request.
            soon: place it in a short while, together with others.

        Returns:
            What becomes of it: a place, which must be returned by release,
            or None if no target had room in time. Who cancels it must
            withdraw the request.
        """
        queue = self._queues.setdefault(service, RequestQueue(self.balancer))
        future = asyncio.get_running_loop().create_future()
        self._futures[pending.id] = future
        future.add_done_callback(lambda _: self._futures.pop(pending.id, None))
        queue.add(pending)
        self._busy.set()
        if soon or len(queue) > CROWD:
            self._dispatch_soon(service, TOGETHER_S if soon else CROWD_PUMP_S)
        else:
            self.dispatch(service)
        if not future.done():
            self._on_load_change()
        return future

    def withdraw(self, service: str, pending_id: str) -> None:
        """Let a request wait no more; unknown ones are fine."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.remove(pending_id)
            self._on_load_change()

    async def acquire(
        self, service: str, pending: PendingRequest
    ) -> Slot | None:
        """Wait for a target; None if none had room in time.

        A place that was given must be returned by release.
        """
        future = self.submit(service, pending)
        try:
            return await future
        except asyncio.CancelledError:
            self.withdraw(service, pending.id)
            if future.done() and not future.cancelled():
                slot = future.result()
                if slot is not None:
                    self.release(service, slot)
            raise

    def mark_prompt_read(self, slot: Slot) -> None:
        """Note that the prompt of a request was read, or given up."""
        if slot.prefilling:
            slot.prefilling = False
            self.balancer.mark_prompt_read(slot.target.name, slot.size)

    def release(self, service: str, slot: Slot) -> None:
        """Return a place."""
        self.mark_prompt_read(slot)
        self.balancer.request_ended(slot.target.name)
        queue = self._queues.get(service)
        if queue is not None and len(queue):
            queue.slot_freed()
            if len(queue) > CROWD:
                self._dispatch_soon(service, CROWD_PUMP_S)
            else:
                self.dispatch(service)
        self._on_load_change()

    def dispatch(self, service: str) -> None:
        """Place and refuse what waits for a service, as of now."""
        queue = self._queues.get(service)
        if queue is None or not len(queue):
            return
        now_s = time.monotonic()
        placed = False
        peers_waiting = self._peers_waiting(service)
        names = self._targets_of(service)
        for pending, stats in queue.dispatch(names, peers_waiting, now_s):
            placed = True
            slot = Slot(
                pending.id,
                stats.target,
                now_s - pending.arrived_s,
                stats.prefill_tokens(),
                stats.outstanding,
                len(stats.peers),
                pending.size,
            )
            future = self._futures.get(pending.id)
            if future is None or future.done():
                self.mark_prompt_read(slot)
                self.balancer.request_ended(stats.target.name)
            else:
                future.set_result(slot)
        for pending in queue.pop_expired(now_s):
            future = self._futures.get(pending.id)
            if future is not None and not future.done():
                future.set_result(None)
        if placed:
            self._on_load_change()

    def dispatch_all(self) -> None:
        """Place and refuse what waits for any service, as of now."""
        for service in tuple(self._queues):
            self.dispatch(service)

    async def run(self) -> None:
        """Pump again and again while anything waits, until cancelled."""
        while True:
            await self._busy.wait()
            await asyncio.sleep(TICK_S)
            self.dispatch_all()
            if not any(len(queue) for queue in self._queues.values()):
                self._busy.clear()

    def _dispatch_soon(self, service: str, delay_s: float) -> None:
        """Place what waits in a short while, once for all that comes."""
        if service not in self._dispatch_timers:
            loop = asyncio.get_running_loop()
            self._dispatch_timers[service] = loop.call_later(
                delay_s, self._dispatch_delayed, service
            )

    def _dispatch_delayed(self, service: str) -> None:
        del self._dispatch_timers[service]
        self.dispatch(service)

    def _peers_waiting(self, service: str) -> dict[int, int]:
        counts: dict[int, int] = {}
        for load in self._peers():
            for rank, number in load.waiting.get(service, {}).items():
                counts[rank] = counts.get(rank, 0) + number
        return counts
