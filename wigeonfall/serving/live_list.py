"""The platform's live list, read on a period."""

import threading
import time

from result import Err

from ..events import Event
from ..model.target import Target
from ..model.target import TargetState
from ..ports.platform import LiveList
from ..ports.platform import Platform
from ..recorder import Record

PERIOD_S = 1.0


class LiveListReader:
    """The last live list that the platform gave."""

    def __init__(self, platform: Platform, record: Record) -> None:
        self._platform = platform
        self._record = record
        self._latest = LiveList((), ())
        self._reachable = True
        self._left: set[tuple[str, int]] = set()

    def start(self) -> None:
        """Read the list now and then on a period, in a thread."""
        self._read()
        thread = threading.Thread(
            target=self._run, name='live-list', daemon=True
        )
        thread.start()

    def peers_addresses(self, now_unix_s: float) -> tuple[str, ...]:
        """Return the addresses of all listed instances."""
        return tuple(item.peers_address for item in self._latest.instances)

    def live_targets(self, service: str, now_s: float) -> tuple[Target, ...]:
        """Return the ready targets of a service."""
        return tuple(
            target
            for target in self._latest.targets
            if target.service == service
            and target.state is TargetState.READY
            and (target.name, target.incarnation) not in self._left
        )

    def target_leaving(self, target: Target, now_s: float) -> None:
        """Take note that a target takes no new work."""
        self._left.add((target.name, target.incarnation))

    def _run(self) -> None:
        while True:
            time.sleep(PERIOD_S)
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
        self._latest = listed.ok_value
