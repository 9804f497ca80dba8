"""The ledger of orders at one instance.

Changes go to the owner of their slice, which is the instance that a
rendezvous hash of the live ones gives. If it cannot be reached, or is this
instance, they are written from here. Two instances that both write a slice
cost each other conflicts, nothing else.
"""

from collections.abc import Callable
from collections.abc import Sequence
import functools
import threading
import time

import attrs
from result import Err
from result import Ok

from . import batching
from ..events import Event
from ..model import instance
from ..model import order
from ..policy import ledger
from ..policy import rendezvous
from ..ports.ledger import Decisions
from ..ports.ledger import LedgerError
from ..ports.ledger import LedgerPeers
from ..ports.platform import Platform
from ..recorder import Record
from . import slices

COMMITS_PER_S = 8.0
COMMITS_BURST = 3.0
FORWARDS_PER_S = 200.0
FORWARDS_BURST = 50.0
OWNER_SUSPECT_S = 2.0
LAYOUT_PAUSE_S = 0.5
SLICES = 16


@attrs.frozen
class Clocks:
    """Reads the time.

    Attributes:
        now_s: reads the monotonic clock.
        now_unix_s: reads the seconds since the epoch.
    """

    now_s: Callable[[], float] = time.monotonic
    now_unix_s: Callable[[], float] = time.time


class Ledger:
    """The slices that this instance has had to do with."""

    def __init__(
        self,
        name: str,
        platform: Platform,
        peers: LedgerPeers,
        record: Record,
        clocks: Clocks,
        slice_count: int,
    ) -> None:
        self._name = name
        self._platform = platform
        self._peers = peers
        self._record = record
        self._clocks = clocks
        self._wanted_slices = slice_count
        self._slice_count: int | None = None
        self._layout_lock = threading.Lock()
        self._next_read_s = 0.0
        self._lock = threading.Lock()
        self._slices: dict[int, slices.SliceWriter] = {}
        self._writers: dict[int, batching.Batcher] = {}
        self._forwarders: dict[int, batching.Batcher] = {}
        self._suspect_until_s: dict[str, float] = {}

    def submit(self, change: order.Change) -> batching.DecisionFuture:
        """Hand a change to the ledger.

        Outcomes are tried again until they are recorded; claims are not. A
        claim whose future can be cancelled never reached the ledger.
        """
        claim = change if isinstance(change, order.Claim) else change.claim
        waiting = batching.QueuedChange(change)
        slice_count = self._read_slice_count()
        if slice_count is None:
            waiting.fail(LedgerError('the platform cannot be reached'))
            return waiting.future
        number = ledger.slice_number(claim.key, slice_count)
        if self._remote_owner(number) is None:
            self._writer(number).put(waiting)
        else:
            self._forwarder(number).put(waiting)
        return waiting.future

    def accept(
        self, number: int, changes: Sequence[order.Change]
    ) -> list[batching.DecisionFuture]:
        """Write changes that another instance forwarded.

        Raises:
            ValueError: there is no slice of this number.
        """
        slice_count = self._read_slice_count()
        if slice_count is None or not 0 <= number < slice_count:
            raise ValueError(f'no slice {number}')
        taken = [batching.QueuedChange(change) for change in changes]
        writer = self._writer(number)
        for waiting in taken:
            writer.put(waiting)
        return [waiting.future for waiting in taken]

    def known(self, claim: order.Claim) -> order.Decision | None:
        """Return the decision on a claim if its order is known to be done."""
        if self._slice_count is None:
            return None
        number = ledger.slice_number(claim.key, self._slice_count)
        with self._lock:
            known_slice = self._slices.get(number)
        return known_slice.known(claim) if known_slice else None

    def close(self, timeout_s: float) -> None:
        """Write what waits, then end the threads.

        Args:
            timeout_s: longest time to wait for the end.
        """
        until_s = self._clocks.now_s() + timeout_s
        with self._lock:
            running = [*self._forwarders.values(), *self._writers.values()]
        for batcher in running:
            batcher.close(max(0.0, until_s - self._clocks.now_s()))

    def _read_slice_count(self) -> int | None:
        if self._slice_count is not None:
            return self._slice_count
        with self._layout_lock:
            now_s = self._clocks.now_s()
            if self._slice_count is None and now_s >= self._next_read_s:
                read = slices.read_slice_count(
                    self._platform, self._wanted_slices
                )
                self._slice_count = read.ok()
                self._next_read_s = self._clocks.now_s() + LAYOUT_PAUSE_S
            return self._slice_count

    def _remote_owner(self, number: int) -> instance.Instance | None:
        live = {peer.name: peer for peer in self._peers.live()}
        owner = rendezvous.owner(_slice_name(number), {*live, self._name})
        if owner is None or owner == self._name:
            return None
        if self._clocks.now_s() < self._suspect_until_s.get(owner, 0.0):
            return None
        return live[owner]

    def _forward(
        self, number: int, changes: Sequence[order.Change]
    ) -> Decisions:
        owner = self._remote_owner(number)
        if owner is None:
            return Err(LedgerError('the owner changed'))
        decisions = self._peers.forward(owner, number, changes)
        if isinstance(decisions, Ok):
            return decisions
        until_s = self._clocks.now_s() + OWNER_SUSPECT_S
        self._suspect_until_s[owner.name] = until_s
        self._record(
            Event.SLICE_OWNER_UNREACHABLE,
            slice=_slice_name(number),
            owner=owner.name,
            detail=decisions.err_value.message,
        )
        return decisions

    def _writer(self, number: int) -> batching.Batcher:
        with self._lock:
            if number not in self._writers:
                writer = slices.SliceWriter(
                    _slice_name(number),
                    self._platform,
                    self._record,
                    self._clocks.now_unix_s,
                )
                self._slices[number] = writer
                self._writers[number] = self._batcher(
                    f'write-{writer.name}',
                    writer.commit,
                    _give_up_claim,
                    COMMITS_PER_S,
                    COMMITS_BURST,
                )
            return self._writers[number]

    def _forwarder(self, number: int) -> batching.Batcher:
        writer = self._writer(number)
        with self._lock:
            if number not in self._forwarders:
                self._forwarders[number] = self._batcher(
                    f'forward-{_slice_name(number)}',
                    functools.partial(self._forward, number),
                    lambda _, waiting, __: writer.put(waiting),
                    FORWARDS_PER_S,
                    FORWARDS_BURST,
                )
            return self._forwarders[number]

    def _batcher(
        self,
        name: str,
        run: Callable[[Sequence[order.Change]], Decisions],
        failed: Callable[
            [batching.Batcher, batching.QueuedChange, LedgerError], None
        ],
        runs_per_s: float,
        burst_runs: float,
    ) -> batching.Batcher:
        limiter = batching.BatchRateLimiter(
            runs_per_s, burst_runs, self._clocks.now_s()
        )
        return batching.Batcher(name, run, failed, limiter, self._clocks.now_s)


def make_ledger(
    name: str,
    platform: Platform,
    peers: LedgerPeers,
    record: Record,
    clocks: Clocks | None = None,
    slice_count: int = SLICES,
) -> Ledger:
    """Return the ledger of an instance.

    Args:
        name: name of this instance.
        platform: calls to the platform.
        peers: calls to the other instances.
        record: records events.
        clocks: reads the time.
        slice_count: number of slices to make if the ledger has none yet.
    """
    return Ledger(
        name, platform, peers, record, clocks or Clocks(), slice_count
    )


def _give_up_claim(
    batcher: batching.Batcher,
    waiting: batching.QueuedChange,
    error: LedgerError,
) -> None:
    if isinstance(waiting.change, order.Claim):
        waiting.fail(error)
    else:
        batcher.put(waiting)


def _slice_name(number: int) -> str:
    return f'slice-{number:04}'
