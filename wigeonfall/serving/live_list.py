"""Reads the platform's live list periodically."""

from collections.abc import Callable
import threading
import time

from result import Err

from ..events import Event
from ..ports.platform import LiveList
from ..ports.platform import Platform
from ..recorder import Record


class LiveListReader:
    """Reads the live list periodically and passes it to a callback."""

    def __init__(
        self,
        platform: Platform,
        record: Record,
        on_list: Callable[[LiveList], None],
        period_s: Callable[[], float],
    ) -> None:
        """Prepare; nothing is read before start().

        Args:
            platform: calls to the platform.
            record: records events.
            on_list: called with each list that was read.
            period_s: returns the time until the next read.
        """
        self._platform = platform
        self._record = record
        self._on_list = on_list
        self._period_s = period_s
        self._reachable = True

    def start(self) -> None:
        """Read the list once, then periodically in a daemon thread."""
        self._read()
        thread = threading.Thread(
            target=self._run, name='live-list', daemon=True
        )
        thread.start()

    def _run(self) -> None:
        while True:
            time.sleep(self._period_s())
            self._read()

    def _read(self) -> None:
        listed = self._platform.live_list()
        if isinstance(listed, Err):
            if self._reachable:
                detail = listed.err_value.message
                self._record(Event.PLATFORM_UNREACHABLE, detail=detail)
            self._reachable = False
            return
        if not self._reachable:
            self._record(Event.PLATFORM_REACHABLE)
        self._reachable = True
        self._on_list(listed.ok_value)
