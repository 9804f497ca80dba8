"""Queues requests and assigns them to free slots at targets."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import time
from typing import TypeAlias

import attrs

from ..events import Event
from ..model.target import Target
from ..policy.room.order import Precedence
from ..policy.room.pending import PendingRequest
from ..policy.room.rehearsal import Rehearsal
from ..policy.room.rehearsal import rehearse
from ..policy.room.terms import RoomTerms
from ..policy.room.waiting import RequestQueue
from ..policy.targets.kept_parts import KeptParts
from ..policy.targets.load_balancer import LoadBalancer
from ..policy.targets.target_stats import PeerLoad
from ..policy.targets.target_stats import RequestSize
from ..recorder import Record

TICK_S = 0.02  # too short for callers to notice
# A longer queue is not scanned at each event, but after a delay.
LONG_QUEUE_REQUESTS = 16
LONG_QUEUE_DELAY_S = 0.005  # far below the goals of callers
RECORD_PERIOD_S = 1.0
BATCH_DELAY_S = 0.002  # requests submitted within it are dispatched together


@attrs.define
class Slot:
    """Permission to have one request outstanding at one target.

    Attributes:
        id: identifier of the request.
        target: the target.
        waited_s: time that the request waited in the queue.
        prefill_tokens: prompt tokens that the target has yet to process,
            those of this request included.
        outstanding: requests of all instances there, this one included.
        peers: number of peers whose load there is known.
        size: size of the request, without the tokens that the target holds.
        prefilling: whether the target may still be processing the prompt.
        arbiter: name of the arbiter that granted it, '' for the local
            scheduler.
        kept_tokens: tokens of the prompt that the target is believed to hold.
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
    kept_tokens: float = 0.0


@attrs.frozen
class NoRoom:
    """The refusal of a slot, as none was free in time.

    Attributes:
        retry_after_s: delay after which the caller should return, None if it
            has too little time.
    """

    retry_after_s: float | None = None


Decision: TypeAlias = Slot | NoRoom


class Scheduler:
    """Queues requests by service and gives them slots at targets.

    Args:
        balancer: load balancer over the targets.
        targets_of: returns the names of the targets that serve a service.
        peers: returns the outstanding and waiting requests of peers.
        on_load_change: called when the load of this instance changes.
        kept: parts of prompts that targets hold.
        terms: returns the terms on which requests share scarce room.
        record: records events.
    """

    def __init__(
        self,
        balancer: LoadBalancer,
        targets_of: Callable[[str], tuple[str, ...]],
        peers: Callable[[], Iterable[PeerLoad]],
        on_load_change: Callable[[], None],
        kept: KeptParts | None = None,
        terms: Callable[[], RoomTerms] = RoomTerms,
        record: Record = lambda event, **fields: None,
    ) -> None:
        self.balancer = balancer
        self._kept = kept or KeptParts()
        self._targets_of = targets_of
        self._peers = peers
        self._on_load_change = on_load_change
        self._terms = terms
        self._record = record
        self._below_floor: dict[
            str, tuple[Collection[str], Collection[str]]
        ] = {}
        self._recorded_s = 0.0
        self._queues: dict[str, RequestQueue] = {}
        self._futures: dict[str, asyncio.Future[Decision]] = {}
        self._dispatch_timers: dict[str, asyncio.TimerHandle] = {}
        self._has_waiting = asyncio.Event()

    def waiting(self) -> dict[str, dict[int, int]]:
        """Return the number of waiting requests by service and class."""
        return {
            service: queue.counts_by_class()
            for service, queue in self._queues.items()
            if len(queue)
        }

    def has_room(self, service: str) -> bool:
        """Return whether a target is open that no request waits for."""
        queue = self._queues.get(service)
        if queue is not None and len(queue):
            return False
        if any(self._peers_waiting(service).values()):
            return False
        now_s = time.monotonic()
        names = self._targets_of(service)
        return any(
            e.free_slots >= 1 and e.is_open(now_s)
            for e in self.balancer.estimates(names, now_s)
        )

    def submit(
        self, service: str, pending: PendingRequest, soon: bool = False
    ) -> 'asyncio.Future[Decision]':
        """Queue a request for a slot.

        Args:
            service: service of the target.
            pending: the request.
            soon: dispatch it after a short delay, together with others.

        Returns:
            A future of a slot, which must be released, or of the refusal. If
            it is cancelled, the request must be withdrawn.
        """
        queue = self._queues.get(service)
        if queue is None:
            queue = RequestQueue(
                self.balancer, kept=self._kept, terms=self._terms
            )
            self._queues[service] = queue
        future = asyncio.get_running_loop().create_future()
        self._futures[pending.id] = future
        future.add_done_callback(lambda _: self._futures.pop(pending.id, None))
        queue.add(pending)
        self._has_waiting.set()
        if soon or len(queue) > LONG_QUEUE_REQUESTS:
            self._dispatch_soon(
                service, BATCH_DELAY_S if soon else LONG_QUEUE_DELAY_S
            )
        else:
            self.dispatch(service)
        if not future.done():
            self._on_load_change()
        return future

    def withdraw(self, service: str, pending_id: str) -> None:
        """Remove a request from the queue, if it is there."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.remove(pending_id)
            self._on_load_change()

    async def acquire(self, service: str, pending: PendingRequest) -> Decision:
        """Wait for a slot, which must be released, or for the refusal."""
        future = self.submit(service, pending)
        try:
            return await future
        except asyncio.CancelledError:
            self.withdraw(service, pending.id)
            if future.done() and not future.cancelled():
                decision = future.result()
                if isinstance(decision, Slot):
                    self.release(service, decision)
            raise

    def mark_prompt_read(self, slot: Slot) -> None:
        """Mark the prompt of a request as processed, or as cancelled."""
        if slot.prefilling:
            slot.prefilling = False
            self.balancer.mark_prompt_read(slot.target.name, slot.size)

    def release(self, service: str, slot: Slot) -> None:
        """Release a slot."""
        self.mark_prompt_read(slot)
        self.balancer.request_ended(slot.target.name)
        self._kept.ended(slot.target.name, slot.size)
        queue = self._queues.get(service)
        if queue is not None and len(queue):
            queue.slot_freed()
            if len(queue) > LONG_QUEUE_REQUESTS:
                self._dispatch_soon(service, LONG_QUEUE_DELAY_S)
            else:
                self.dispatch(service)
        self._on_load_change()

    def dispatch(self, service: str) -> None:
        """Give free slots of a service to its queue; end expired requests."""
        queue = self._queues.get(service)
        if queue is None or not len(queue):
            return
        now_s = time.monotonic()
        dispatched = False
        peers_waiting = self._peers_waiting(service)
        names = self._targets_of(service)
        for pending, stats in queue.dispatch(names, peers_waiting, now_s):
            dispatched = True
            slot = Slot(
                pending.id,
                stats.target,
                now_s - pending.arrived_s,
                stats.prefill_tokens(),
                stats.outstanding,
                len(stats.peers),
                pending.size.without(pending.kept_tokens),
                kept_tokens=pending.kept_tokens,
            )
            future = self._futures.get(pending.id)
            if future is None or future.done():
                self.mark_prompt_read(slot)
                self.balancer.request_ended(stats.target.name)
                self._kept.ended(stats.target.name, slot.size)
            else:
                future.set_result(slot)
        for pending in queue.pop_expired(now_s):
            future = self._futures.get(pending.id)
            if future is not None and not future.done():
                future.set_result(NoRoom(queue.retry_after_s(pending, now_s)))
        if dispatched:
            self._on_load_change()

    def rehearse(
        self, service: str, pending: PendingRequest, now_s: float
    ) -> Rehearsal:
        """Return what would become of a request now; nothing changes."""
        queue = self._queues.get(service)
        if queue is None:
            queue = RequestQueue(
                self.balancer, kept=self._kept, terms=self._terms
            )
        return rehearse(
            queue,
            pending,
            self._targets_of(service),
            self._peers_waiting(service),
            now_s,
        )

    def update_kept(self, names: Iterable[str], places_all: bool) -> None:
        """Forget what targets hold that are gone or that others send to.

        Args:
            names: targets that there are.
            places_all: whether this instance places all requests there.
        """
        self._kept.set_learning(places_all)
        self._kept.keep_targets(names)

    def dispatch_all(self) -> None:
        """Dispatch the queues of all services."""
        for service in tuple(self._queues):
            self.dispatch(service)

    async def run(self) -> None:
        """Dispatch periodically while requests wait, until cancelled."""
        while True:
            await self._has_waiting.wait()
            await asyncio.sleep(TICK_S)
            self.dispatch_all()
            self._record_shares()
            if not any(len(queue) for queue in self._queues.values()):
                self._has_waiting.clear()

    def _record_shares(self) -> None:
        """Record the services whose kinds below their floor changed."""
        now_s = time.monotonic()
        if now_s - self._recorded_s < RECORD_PERIOD_S:
            return
        self._recorded_s = now_s
        for service, queue in self._queues.items():
            precedence = queue.precedence if len(queue) else Precedence()
            below = precedence.below_floor, precedence.large_below_floor
            if below == self._below_floor.get(service, (set(), set())):
                continue
            self._below_floor[service] = below
            self._record(
                Event.SHARES_CHANGED,
                service=service,
                below_floor=sorted(precedence.below_floor),
                large_below_floor=sorted(precedence.large_below_floor),
                customers_over=sorted({c for _, c in precedence.over}),
                waiting=len(queue),
            )

    def _dispatch_soon(self, service: str, delay_s: float) -> None:
        """Dispatch a service after a delay, unless that is due already."""
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
