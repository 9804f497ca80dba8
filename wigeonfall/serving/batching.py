"""Gathers changes that wait for the same slice, and runs them together."""

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

BATCH_CHANGES = 500
WAITING_CHANGES = 2_000
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 2.0

DecisionFuture = futures.Future[Result[order.Decision, LedgerError]]


@attrs.define(eq=False)
class QueuedChange:
    """A change that waits, and where its decision goes.

    Attributes:
        change: the change.
        future: gets the decision or an error.
        started: whether the change was part of a batch.
        maybe_written: whether the change may be in the ledger.
    """

    change: order.Change
    future: DecisionFuture = attrs.field(factory=futures.Future)
    started: bool = False
    maybe_written: bool = False

    def start(self) -> bool:
        """Return whether the change is still wanted, and forbid to cancel."""
        if not self.started:
            self.started = True
            return self.future.set_running_or_notify_cancel()
        return True

    def fail(self, error: LedgerError) -> None:
        """Give up the change."""
        if not self.start():
            return
        maybe_written = self.maybe_written or error.maybe_written
        self.future.set_result(Err(LedgerError(error.message, maybe_written)))


class BatchRateLimiter:
    """Runs allowed at present: a token bucket.

    Args:
        runs_per_s: sustained rate.
        burst_runs: runs that may follow each other at once.
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
        """Return the time until the next run may start."""
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
    """One thread that runs batches of waiting changes, one at a time.

    Args:
        name: name of the thread.
        run: decides a batch; must not raise.
        failed: takes over a change whose batch failed.
        pace: limits how often batches run.
        now_s: reads the monotonic clock.
    """

    def __init__(
        self,
        name: str,
        run: Callable[[Sequence[order.Change]], Decisions],
        failed: Callable[['Batcher', QueuedChange, LedgerError], None],
        pace: BatchRateLimiter,
        now_s: Callable[[], float],
    ) -> None:
        self._run = run
        self._failed = failed
        self._pace = pace
        self._now_s = now_s
        self._pause_s = 0.0
        self._closed = False
        self._waiting: collections.deque[QueuedChange] = collections.deque()
        self._changed = threading.Condition()
        self._thread = threading.Thread(
            target=self._loop, name=name, daemon=True
        )
        self._thread.start()

    def put(self, waiting: QueuedChange) -> None:
        """Add a change to the next batch."""
        with self._changed:
            accepted = len(self._waiting) < WAITING_CHANGES
            accepted = accepted and not self._closed
            if accepted:
                self._waiting.append(waiting)
                self._changed.notify_all()
        if not accepted:
            waiting.fail(LedgerError('no room for another change'))

    def close(self, timeout_s: float) -> None:
        """Run what waits, then end the thread.

        Args:
            timeout_s: longest time to wait for the end.
        """
        with self._changed:
            self._closed = True
            self._changed.notify_all()
        self._thread.join(timeout_s)

    def _loop(self) -> None:
        while self._wait_for_turn():
            batch = self._take()
            if not batch:
                continue
            decisions = self._run([waiting.change for waiting in batch])
            if isinstance(decisions, Ok):
                self._pause_s = 0.0
                for waiting, decision in zip(
                    batch, decisions.ok_value, strict=True
                ):
                    waiting.future.set_result(Ok(decision))
                continue
            longer_s = max(FIRST_PAUSE_S, 2 * self._pause_s)
            self._pause_s = min(LONGEST_PAUSE_S, longer_s)
            error = decisions.err_value
            for waiting in batch:
                waiting.maybe_written |= error.maybe_written
                self._failed(self, waiting, error)

    def _wait_for_turn(self) -> bool:
        with self._changed:
            while not self._waiting:
                if self._closed:
                    return False
                self._changed.wait()
            pace_s = self._pace.wait_s(self._now_s())
            until_s = self._now_s() + max(pace_s, self._pause_s)
            while not self._closed and self._now_s() < until_s:
                self._changed.wait(until_s - self._now_s())
            return True

    def _take(self) -> list[QueuedChange]:
        batch: list[QueuedChange] = []
        with self._changed:
            while self._waiting and len(batch) < BATCH_CHANGES:
                waiting = self._waiting.popleft()
                if waiting.start():
                    batch.append(waiting)
        if batch:
            self._pace.take(self._now_s())
        return batch
