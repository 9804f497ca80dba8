"""Records when evacuations of data centres begin, end and are done."""

from collections.abc import Iterable

from ..events import Event
from ..policy.targets.target_stats import TargetStats
from ..recorder import Record


class EvacuationLog:
    """Follows the evacuations that are in force.

    Args:
        record: records events.

    Attributes:
        evacuated: names of the evacuated data centres.
    """

    def __init__(self, record: Record) -> None:
        self.evacuated: frozenset[str] = frozenset()
        self._record = record
        self._begun_s: dict[str, float] = {}
        self._busy: set[str] = set()

    def update(
        self, evacuated: frozenset[str], now_s: float
    ) -> frozenset[str]:
        """Set the evacuated data centres; return those taken back."""
        begun = evacuated - self.evacuated
        lifted = self.evacuated - evacuated
        self.evacuated = evacuated
        for data_center in sorted(begun):
            self._begun_s[data_center] = now_s
            self._busy.add(data_center)
            self._record(
                Event.EVACUATION_BEGUN,
                data_center=data_center,
                evacuated=len(evacuated),
            )
        for data_center in sorted(lifted):
            begun_s = self._begun_s.pop(data_center)
            self._record(
                Event.EVACUATION_LIFTED,
                data_center=data_center,
                lasted_s=round(now_s - begun_s, 1),
                drained=data_center not in self._busy,
                evacuated=len(evacuated),
            )
            self._busy.discard(data_center)
        return lifted

    def record_drained(
        self, stats: Iterable[TargetStats], now_s: float
    ) -> None:
        """Record the data centres in which no request runs any more.

        Args:
            stats: statistics of all targets; own requests count, which at
                an arbiter are those of its clients too.
            now_s: present time on the monotonic clock.
        """
        if not self._busy:
            return
        running = {
            known.target.data_center for known in stats if known.own_requests
        }
        for data_center in sorted(self._busy - running):
            self._record(
                Event.EVACUATION_DRAINED,
                data_center=data_center,
                after_s=round(now_s - self._begun_s[data_center], 1),
            )
        self._busy &= running
