"""A hybrid logical clock, which orders events over all instances.

A stamp is the larger of the wall clock and the latest stamp seen, and a
counter that tells apart stamps of one millisecond.
"""

import threading

import attrs


@attrs.frozen(order=True)
class Stamp:
    """A point in causal order.

    Attributes:
        time_ms: milliseconds since the epoch.
        counter: order within one millisecond.
    """

    time_ms: int
    counter: int


class HybridClock:
    """The latest stamp of one process."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._latest = Stamp(0, 0)

    def tick(self, now_unix_s: float) -> Stamp:
        """Return a stamp for a local event.

        Args:
            now_unix_s: present time in seconds since the epoch.

        Returns:
            A stamp later than any that this clock gave or saw.
        """
        return self.see(Stamp(0, 0), now_unix_s)

    def see(self, other: Stamp, now_unix_s: float) -> Stamp:
        """Return a stamp that is later than one from another process.

        Args:
            other: stamp that came with a message.
            now_unix_s: present time in seconds since the epoch.

        Returns:
            A stamp later than the other one and any seen before.
        """
        now_ms = int(now_unix_s * 1000)
        with self._lock:
            newest = max(self._latest, other)
            if now_ms > newest.time_ms:
                self._latest = Stamp(now_ms, 0)
            else:
                self._latest = Stamp(newest.time_ms, newest.counter + 1)
            return self._latest
