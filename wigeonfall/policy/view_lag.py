"""Decides from whom an instance gets what others know of the store already.

Each kind of object is followed by itself, so that one that cannot be had
never holds up another. Peers are asked first, as they answer from memory; the
store is asked where they do not help.
"""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
import random
from typing import TypeVar

import attrs

FETCH_PAUSE_S = 0.2  # between two fetches, as changes come in series
MAX_FETCH_PAUSE_S = 1.6  # while all peers that are ahead fail
PEER_PAUSE_S = 2.0  # for which a peer that failed is the last to be asked
STORE_AFTER_S = 1.0  # without progress; a fetch takes far less
MAX_PROGRESS_S = 10.0  # after which a fetch that still goes on does not count
STORE_CALLS_PER_S = 100.0  # of all instances together, for one kind
MAX_STORE_PAUSE_S = 30.0  # while listings do not help
REPORT_AFTER_S = 2.0  # outlasts a lost datagram and a slow fetch
REPORT_INTERVAL_S = 10.0

_Peer = TypeVar('_Peer')


@attrs.define
class KindLag:
    """What is known of one kind that others are ahead in.

    Attributes:
        since_s: since when others are ahead and the own position has not
            changed, None if none is ahead.
        position: the own position then.
        next_fetch_s: when a peer may be asked again.
        failed_s: when peers failed last, by name.
        failures: fetches that failed since the last that did not.
        error: why the last fetch or listing failed, '' if none did.
        progress_s: when the last bytes of a fetch arrived.
        store_from_s: when the store may be asked, None if not decided.
        listings: listings of the store that did not help.
        reported_s: when it was last reported, None if not since since_s.
    """

    since_s: float | None = None
    position: Hashable = None
    next_fetch_s: float = 0.0
    failed_s: dict[str, float] = attrs.field(factory=dict)
    failures: int = 0
    error: str = ''
    progress_s: float = 0.0
    store_from_s: float | None = None
    listings: int = 0
    reported_s: float | None = None

    def set_ahead(
        self, ahead: bool, position: Hashable, now_s: float
    ) -> float | None:
        """Set whether others are ahead.

        Args:
            ahead: whether a peer tells of something newer.
            position: the own position.
            now_s: present time on the monotonic clock.

        Returns:
            How long a lag that was reported has lasted, in seconds, if it has
            ended.
        """
        ended_s = None
        if self.since_s is not None and (
            not ahead or position != self.position
        ):
            if self.reported_s is not None:
                ended_s = self.lag_s(now_s)
            self.since_s = self.reported_s = self.store_from_s = None
            self.listings = 0
        if not ahead:
            self.failures = 0
            self.error = ''
        elif self.since_s is None:
            self.since_s = self.progress_s = now_s
            self.position = position
        return ended_s

    def lag_s(self, now_s: float) -> float:
        """Return for how long others have been ahead, 0 if none is."""
        return 0.0 if self.since_s is None else now_s - self.since_s

    def may_fetch(self, now_s: float, grace_s: float) -> bool:
        """Return whether a peer may be asked now.

        Args:
            now_s: present time on the monotonic clock.
            grace_s: time in which the change may come by another way.
        """
        return self.lag_s(now_s) >= grace_s and now_s >= self.next_fetch_s

    def choose(
        self,
        ahead: Mapping[str, _Peer],
        is_near: Callable[[_Peer], bool],
        now_s: float,
    ) -> _Peer:
        """Return the peer to ask.

        Args:
            ahead: the peers that are ahead, by name; not empty.
            is_near: returns whether a peer is in this data centre.
            now_s: present time on the monotonic clock.
        """
        sound = self._sound(ahead, now_s)
        if sound:
            near = [name for name in sound if is_near(ahead[name])]
            return ahead[random.choice(near or sound)]
        return ahead[min(ahead, key=lambda name: self.failed_s[name])]

    def _sound(self, names: Iterable[str], now_s: float) -> list[str]:
        """Return the peers that have not failed lately."""
        return [
            name
            for name in names
            if now_s - self.failed_s.get(name, float('-inf')) >= PEER_PAUSE_S
        ]

    def record_progress(self, now_s: float) -> None:
        """Record that a part of a snapshot has arrived."""
        self.progress_s = now_s

    def record_fetched(self, now_s: float) -> None:
        """Record that a snapshot was applied."""
        self.failures = 0
        self.next_fetch_s = now_s + FETCH_PAUSE_S

    def record_failed(
        self, name: str, ahead: Iterable[str], error: str, now_s: float
    ) -> None:
        """Record that a peer had nothing, or nothing that can be read.

        Args:
            name: name of the peer.
            ahead: names of all peers that are ahead.
            error: why.
            now_s: present time on the monotonic clock.
        """
        self.failures += 1
        self.error = error
        self.failed_s = {
            other: failed_s
            for other, failed_s in self.failed_s.items()
            if now_s - failed_s < PEER_PAUSE_S
        }
        self.failed_s[name] = now_s
        pause_s = FETCH_PAUSE_S
        if not self._sound(ahead, now_s):
            pause_s = min(MAX_FETCH_PAUSE_S, pause_s * 2**self.failures)
        self.next_fetch_s = now_s + pause_s

    def needs_store(self, fleet_size: int, now_s: float) -> bool:
        """Return whether to list the kind from the store now.

        All that are behind wait for a random time, as one cause often keeps
        many behind.

        Args:
            fleet_size: number of instances.
            now_s: present time on the monotonic clock.
        """
        if self.since_s is None:
            return False
        stalled_s = now_s - max(self.since_s, self.progress_s)
        if stalled_s < STORE_AFTER_S and self.lag_s(now_s) < MAX_PROGRESS_S:
            return False
        if self.store_from_s is None:
            self.store_from_s = now_s + self._store_pause_s(fleet_size)
        return now_s >= self.store_from_s

    def record_listed(
        self, fleet_size: int, error: str | None, now_s: float
    ) -> None:
        """Record that the store was asked; others may still be ahead.

        Args:
            fleet_size: number of instances.
            error: why the store gave no listing, None if it did.
            now_s: present time on the monotonic clock.
        """
        self.listings += 1
        self.error = error or self.error
        pause_s = STORE_AFTER_S + self._store_pause_s(fleet_size)
        self.store_from_s = now_s + pause_s

    def _store_pause_s(self, fleet_size: int) -> float:
        spread_s = random.uniform(0.0, fleet_size / STORE_CALLS_PER_S)
        waited_s = 2.0**self.listings - 1.0
        return min(MAX_STORE_PAUSE_S, spread_s + waited_s)

    def is_due_report(self, now_s: float) -> bool:
        """Return whether to report now that others are ahead."""
        if self.lag_s(now_s) < REPORT_AFTER_S or (
            self.reported_s is not None
            and now_s - self.reported_s < REPORT_INTERVAL_S
        ):
            return False
        self.reported_s = now_s
        return True
