"""Batches ledger changes of the same slice into one write."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
from concurrent import futures
import threading

import attrs
from result import Err
from result import Ok
from result import Result

from ..model import order
from ..ports.ledger import Decisions
from ..ports.ledger import LedgerError

MAX_BATCH_CHANGES = 500
MAX_QUEUED_CHANGES = 2_000
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0

DecisionFuture = futures.Future[Result[order.Decision, LedgerError]]


@attrs.define(eq=False)
class QueuedChange:
    """A change in the queue of a batcher.

    Attributes:
        change: the change.
        future: gets the decision or an error.
        started: whether the change was part of a batch; it can no longer be
            cancelled then.
        maybe_written: whether the change may be in the ledger.
    """

    change: order.Change
    future: DecisionFuture = attrs.field(factory=futures.Future)
    started: bool = False
    maybe_written: bool = False

    def start(self) -> bool:
        """Mark the change as started; return False if it was cancelled."""
        if not self.started:
            self.started = True
            return self.future.set_running_or_notify_cancel()
        return True

    def fail(self, error: LedgerError) -> None:
        """Complete the change with an error."""
        if not self.start():
            return
        maybe_written = self.maybe_written or error.maybe_written
        self.future.set_result(Err(LedgerError(error.message, maybe_written)))


class BatchRateLimiter:
    """Limits the rate of batches with a token bucket.

    Args:
        runs_per_s: sustained rate.
        burst_runs: most runs that may follow each other at once.
        now_s: present time on the monotonic clock.
    """

    def __init__(
        self, runs_per_s: float, burst_runs: float, now_s: float
    ) -> None:
        self._runs_per_s = runs_per_s
        self._burst_runs = burst_runs
        self._runs = burst_runs
        self._updated_s = now_s

    def wait_s(self, now_s: float) -> float:
        """Return the seconds until the next run may start."""
        self._refill(now_s)
        return max(0.0, 1.0 - self._runs) / self._runs_per_s

    def take(self, now_s: float) -> None:
        """Count one run."""
        self._refill(now_s)
        self._runs -= 1.0

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        runs = self._runs + elapsed_s * self._runs_per_s
        self._runs = min(self._burst_runs, runs)
        self._updated_s = now_s


class Batcher:
    """A thread that runs batches of queued changes, one at a time.

    After a failed batch it backs off, twice as long each time.

    Args:
        name: name of the thread.
        run: decides a batch; must not raise.
        on_failure: called for each change of a failed batch, which it must
            complete or queue again.
        limiter: limits how often batches run.
        now_s: reads the monotonic clock.
    """

    def __init__(
        self,
        name: str,
        run: Callable[[Sequence[order.Change]], Decisions],
        on_failure: Callable[['Batcher', QueuedChange, LedgerError], None],
        limiter: BatchRateLimiter,
        now_s: Callable[[], float],
    ) -> None:
        self._run = run
        self._on_failure = on_failure
        self._limiter = limiter
        self._now_s = now_s
        self._backoff_s = 0.0
        self._closed = False
        self._queue: collections.deque[QueuedChange] = collections.deque()
        self._changed = threading.Condition()
        self._thread = threading.Thread(
            target=self._loop, name=name, daemon=True
        )
        self._thread.start()

    def put(self, queued: QueuedChange) -> None:
        """Queue a change, or fail it if the queue is full or closed."""
        with self._changed:
            accepted = len(self._queue) < MAX_QUEUED_CHANGES
            accepted = accepted and not self._closed
            if accepted:
                self._queue.append(queued)
                self._changed.notify_all()
        if not accepted:
            queued.fail(LedgerError('no room for another change'))

    def close(self, timeout_s: float) -> None:
        """Run the queued changes, then stop the thread.

        Args:
            timeout_s: longest time to wait for the thread.
        """
        with self._changed:
            self._closed = True
            self._changed.notify_all()
        self._thread.join(timeout_s)

    def _loop(self) -> None:
        while self._wait_for_batch():
            batch = self._take_batch()
            if not batch:
                continue
            decisions = self._run([queued.change for queued in batch])
            if isinstance(decisions, Ok):
                self._backoff_s = 0.0
                for queued, decision in zip(
                    batch, decisions.ok_value, strict=True
                ):
                    queued.future.set_result(Ok(decision))
                continue
            doubled_s = max(MIN_BACKOFF_S, 2 * self._backoff_s)
            self._backoff_s = min(MAX_BACKOFF_S, doubled_s)
            error = decisions.err_value
            for queued in batch:
                queued.maybe_written |= error.maybe_written
                self._on_failure(self, queued, error)

    def _wait_for_batch(self) -> bool:
        with self._changed:
            while not self._queue:
                if self._closed:
                    return False
                self._changed.wait()
            limit_wait_s = self._limiter.wait_s(self._now_s())
            until_s = self._now_s() + max(limit_wait_s, self._backoff_s)
            while not self._closed and self._now_s() < until_s:
                self._changed.wait(until_s - self._now_s())
            return True

    def _take_batch(self) -> list[QueuedChange]:
        batch: list[QueuedChange] = []
        with self._changed:
            while self._queue and len(batch) < MAX_BATCH_CHANGES:
                queued = self._queue.popleft()
                if queued.start():
                    batch.append(queued)
        if batch:
            self._limiter.take(self._now_s())
        return batch
