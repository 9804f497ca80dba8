"""Records claims and outcomes of orders in the ledger.

The ledger is divided into slices. Changes are forwarded to the owner of their
slice, which is chosen among the live instances by rendezvous hashing, so that
the changes of all instances share batches. If this instance is the owner or
the owner cannot be reached, this instance writes them itself. Two instances
that write the same slice cause write conflicts but no wrong decisions.
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
from ..policy.orders import ledger
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
OWNER_BACKOFF_S = 2.0
LAYOUT_RETRY_S = 0.5
DEFAULT_SLICE_COUNT = 16


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
    """The access of one instance to the ledger.

    Each slice gets one thread that writes its changes and, if another
    instance owns it, one that forwards them to the owner.
    """

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
        self._default_slice_count = slice_count
        self._slice_count: int | None = None
        self._layout_lock = threading.Lock()
        self._next_layout_read_s = 0.0
        self._lock = threading.Lock()
        self._slices: dict[int, slices.SliceWriter] = {}
        self._writers: dict[int, batching.Batcher] = {}
        self._forwarders: dict[int, batching.Batcher] = {}
        self._copiers: dict[int, batching.Batcher] = {}
        self._backoff_until_s: dict[str, float] = {}

    def submit(self, change: order.Change) -> batching.DecisionFuture:
        """Submit a change; the future gets the decision or an error.

        Outcomes are retried until they are recorded; claims are not. A claim
        whose future can be cancelled was never sent to the ledger.
        """
        claim = change if isinstance(change, order.Claim) else change.claim
        queued = batching.QueuedChange(change)
        slice_count = self._read_slice_count()
        if slice_count is None:
            queued.fail(LedgerError('the platform cannot be reached'))
            return queued.future
        number = ledger.slice_number(claim.key, slice_count)
        if self._remote_owner(number) is None:
            self._writer_of(number).put(queued)
        else:
            self._forwarder_of(number).put(queued)
        return queued.future

    def copy(self, settle: order.Settle) -> None:
        """Hand an outcome that is not stored yet to another instance as well.

        That one retries it until it is recorded, if this one stops before. To
        record an outcome twice has no effect.
        """
        slice_count = self._slice_count
        if slice_count is not None:
            number = ledger.slice_number(settle.claim.key, slice_count)
            self._copier_of(number).put(batching.QueuedChange(settle))

    def accept(
        self, number: int, changes: Sequence[order.Change]
    ) -> list[batching.DecisionFuture]:
        """Queue changes that another instance forwarded for writing.

        Raises:
            ValueError: there is no slice of this number.
        """
        slice_count = self._read_slice_count()
        if slice_count is None or not 0 <= number < slice_count:
            raise ValueError(f'no slice {number}')
        accepted = [batching.QueuedChange(change) for change in changes]
        writer = self._writer_of(number)
        for queued in accepted:
            writer.put(queued)
        return [queued.future for queued in accepted]

    def known_decision(self, claim: order.Claim) -> order.Decision | None:
        """Return the decision on a claim if its order is known as done."""
        if self._slice_count is None:
            return None
        number = ledger.slice_number(claim.key, self._slice_count)
        with self._lock:
            writer = self._slices.get(number)
        return writer.known_decision(claim) if writer else None

    def close(self, timeout_s: float) -> None:
        """Process the queued changes, then stop the threads.

        Args:
            timeout_s: longest time to wait for the threads.
        """
        until_s = self._clocks.now_s() + timeout_s
        with self._lock:
            batchers = [
                *self._copiers.values(),
                *self._forwarders.values(),
                *self._writers.values(),
            ]
        for batcher in batchers:
            batcher.close(max(0.0, until_s - self._clocks.now_s()))

    def _read_slice_count(self) -> int | None:
        if self._slice_count is not None:
            return self._slice_count
        with self._layout_lock:
            now_s = self._clocks.now_s()
            if self._slice_count is None and now_s >= self._next_layout_read_s:
                read = slices.read_slice_count(
                    self._platform, self._default_slice_count
                )
                self._slice_count = read.ok()
                self._next_layout_read_s = (
                    self._clocks.now_s() + LAYOUT_RETRY_S
                )
            return self._slice_count

    def _remote_owner(self, number: int) -> instance.Instance | None:
        live = {peer.name: peer for peer in self._peers.live()}
        owner = rendezvous.owner(_slice_name(number), {*live, self._name})
        if owner is None or owner == self._name:
            return None
        if self._clocks.now_s() < self._backoff_until_s.get(owner, 0.0):
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
        until_s = self._clocks.now_s() + OWNER_BACKOFF_S
        self._backoff_until_s[owner.name] = until_s
        self._record(
            Event.SLICE_OWNER_UNREACHABLE,
            slice=_slice_name(number),
            owner=owner.name,
            detail=decisions.err_value.message,
        )
        return decisions

    def _copy(self, number: int, changes: Sequence[order.Change]) -> Decisions:
        live = {peer.name: peer for peer in self._peers.live()}
        live.pop(self._name, None)
        owner = self._remote_owner(number)
        if owner is not None and len(live) > 1:
            live.pop(owner.name, None)  # has it already
        chosen = rendezvous.owner(_slice_name(number), live)
        if chosen is None:
            return Err(LedgerError('no other instance is live'))
        return self._peers.forward(live[chosen], number, changes)

    def _writer_of(self, number: int) -> batching.Batcher:
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
                    _fail_claim_or_retry,
                    COMMITS_PER_S,
                    COMMITS_BURST,
                )
            return self._writers[number]

    def _forwarder_of(self, number: int) -> batching.Batcher:
        writer = self._writer_of(number)
        with self._lock:
            if number not in self._forwarders:
                self._forwarders[number] = self._batcher(
                    f'forward-{_slice_name(number)}',
                    functools.partial(self._forward, number),
                    lambda _, queued, __: writer.put(queued),
                    FORWARDS_PER_S,
                    FORWARDS_BURST,
                )
            return self._forwarders[number]

    def _copier_of(self, number: int) -> batching.Batcher:
        with self._lock:
            if number not in self._copiers:
                self._copiers[number] = self._batcher(
                    f'copy-{_slice_name(number)}',
                    functools.partial(self._copy, number),
                    lambda _, queued, error: queued.fail(error),
                    FORWARDS_PER_S,
                    FORWARDS_BURST,
                )
            return self._copiers[number]

    def _batcher(
        self,
        name: str,
        run: Callable[[Sequence[order.Change]], Decisions],
        on_failure: Callable[
            [batching.Batcher, batching.QueuedChange, LedgerError], None
        ],
        runs_per_s: float,
        burst_runs: float,
    ) -> batching.Batcher:
        limiter = batching.BatchRateLimiter(
            runs_per_s, burst_runs, self._clocks.now_s()
        )
        return batching.Batcher(
            name, run, on_failure, limiter, self._clocks.now_s
        )


def make_ledger(
    name: str,
    platform: Platform,
    peers: LedgerPeers,
    record: Record,
    clocks: Clocks | None = None,
    slice_count: int = DEFAULT_SLICE_COUNT,
) -> Ledger:
    """Return the ledger of an instance.

    Args:
        name: name of this instance.
        platform: calls to the platform.
        peers: calls to the other instances.
        record: records events.
        clocks: reads the time.
        slice_count: number of slices to create if there are none yet.
    """
    return Ledger(
        name, platform, peers, record, clocks or Clocks(), slice_count
    )


def _fail_claim_or_retry(
    batcher: batching.Batcher,
    queued: batching.QueuedChange,
    error: LedgerError,
) -> None:
    if isinstance(queued.change, order.Claim):
        queued.fail(error)
    else:
        batcher.put(queued)


def _slice_name(number: int) -> str:
    return f'slice-{number:04}'
