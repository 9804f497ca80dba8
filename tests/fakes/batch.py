"""The batch of the engine stand-in: its slots, its queue and its reports."""

import asyncio
import collections
import time
from typing import Any

from . import http_server

SNAPSHOT_PERIOD_S = 0.05


class Batch:
    """The slots of an engine and the requests that wait for one.

    Attributes:
        running: requests that hold a slot.
        prefill_tokens_queued: prompt tokens still to read.
        decode_tokens_left: answer tokens still to generate.
    """

    def __init__(self) -> None:
        self.running = 0
        self.prefill_tokens_queued = 0
        self.decode_tokens_left = 0
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._reports: collections.deque[dict[str, Any]] = collections.deque()

    async def enter(self, slots: int, to: http_server.Responder) -> None:
        """Wait for a slot; raises ConnectionError if the caller leaves."""
        if self.running < slots and not self._waiting:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        gone = asyncio.create_task(to.wait_until_gone())
        await asyncio.wait([turn, gone], return_when='FIRST_COMPLETED')
        gone.cancel()
        if not turn.done():
            self._waiting.remove(turn)
            raise ConnectionResetError('cancelled while queued')

    def leave(self, slots: int) -> None:
        """Give a slot back."""
        self.running -= 1
        self.admit(slots)

    def admit(self, slots: int) -> None:
        """Give the free slots to those that wait."""
        while self._waiting and self.running < slots:
            self.running += 1
            self._waiting.popleft().set_result(None)

    def report(self, slots: int) -> dict[str, Any]:
        """Return the present load."""
        return {
            'as_of_ms': int(time.time() * 1000),
            'queued': len(self._waiting),
            'running': self.running,
            'slots': slots,
            'prefill_tokens_queued': self.prefill_tokens_queued,
            'decode_tokens_left': self.decode_tokens_left,
        }

    def old_report(self, slots: int, lag_ms: float) -> dict[str, Any]:
        """Return the load as it was some time ago."""
        shown_ms = time.time() * 1000 - lag_ms
        reports = self._reports
        while len(reports) > 1 and reports[1]['as_of_ms'] <= shown_ms:
            reports.popleft()
        return reports[0] if reports else self.report(slots)

    def keep_report(self, slots: int) -> None:
        """Keep the present load for later reports."""
        self._reports.append(self.report(slots))
