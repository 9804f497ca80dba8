"""Decides from whom an instance gets what others know of the store already.

Each kind of object is followed by itself, so that one that cannot be had
never holds up another. Peers are asked first, as they answer from memory; the
store is asked where they do not help. How long one way is waited for before
another is tried beside it follows from the time in which a change must be in
force.
"""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
import math
import random
from typing import TypeVar

import attrs

from .backoff import doubled_s

FETCH_PAUSE_S = 0.2  # between two fetches, as changes come in series
STORE_CALLS_SHARE = 0.25  # of the rate of reads that the store allows
MAX_STORE_PAUSE_S = 30.0  # while listings do not help
REPORT_AFTER_S = 2.0  # outlasts a lost datagram and a slow fetch
REPORT_INTERVAL_S = 10.0

_Peer = TypeVar('_Peer')


@attrs.frozen
class LagTerms:
    """How soon changes must be in force, and what the store allows.

    Attributes:
        apply_s: time in which a change must be in force.
        store_reads_per_s: reads that the store answers all instances.
    """

    apply_s: float = 3.0
    store_reads_per_s: float = 400.0

    @property
    def second_peer_s(self) -> float:
        """Time of a fetch after which another peer is asked beside it."""
        return self.apply_s / 6

    @property
    def store_after_s(self) -> float:
        """Time without progress after which the store is asked."""
        return self.apply_s / 3

    @property
    def max_progress_s(self) -> float:
        """Time after which a fetch that still goes on does not count."""
        return self.apply_s / 2

    @property
    def peer_pause_s(self) -> float:
        """Time for which a peer that failed is the last to be asked."""
        return self.apply_s * 2 / 3

    @property
    def max_fetch_pause_s(self) -> float:
        """Longest pause while all peers that are ahead fail."""
        return self.apply_s / 2

    def store_spread_s(self, fleet_size: int) -> float:
        """Return the time over which instances spread their listings."""
        return fleet_size / (STORE_CALLS_SHARE * self.store_reads_per_s)


@attrs.define
class KindLag:
    """What is known of one kind that others are ahead in.

    Attributes:
        since_s: since when others are ahead and the own position has not
            changed, None if none is ahead.
        position: the own position then.
        fetching: since when peers are being asked, by name.
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
    fetching: dict[str, float] = attrs.field(factory=dict)
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

    def may_fetch(
        self, now_s: float, grace_s: float, terms: LagTerms = LagTerms()
    ) -> bool:
        """Return whether a peer may be asked now.

        Others are asked beside one that takes long: it may stall, or send an
        older state than the present one. Each waits twice as long as the one
        before, so that they do not keep a narrow link from sending any.

        Args:
            now_s: present time on the monotonic clock.
            grace_s: time in which the change may come by another way.
            terms: how soon changes must be in force.
        """
        if self.lag_s(now_s) < grace_s:
            return False
        if not self.fetching:
            return now_s >= self.next_fetch_s
        longest_s = now_s - min(self.fetching.values())
        doublings = len(self.fetching) - 1
        return longest_s >= math.ldexp(terms.second_peer_s, doublings)

    def choose(
        self,
        ahead: Mapping[str, _Peer],
        is_near: Callable[[_Peer], bool],
        now_s: float,
        terms: LagTerms = LagTerms(),
    ) -> _Peer | None:
        """Return the peer to ask, None if all are being asked.

        Args:
            ahead: the peers that are ahead, by name; not empty.
            is_near: returns whether a peer is in this data centre.
            now_s: present time on the monotonic clock.
            terms: how soon changes must be in force.
        """
        free = [name for name in ahead if name not in self.fetching]
        if not free:
            return None
        sound = self._sound(free, now_s, terms)
        if sound:
            near = [name for name in sound if is_near(ahead[name])]
            return ahead[random.choice(near or sound)]
        return ahead[min(free, key=lambda name: self.failed_s[name])]

    def _sound(
        self, names: Iterable[str], now_s: float, terms: LagTerms
    ) -> list[str]:
        """Return the peers that have not failed lately."""
        return [
            name
            for name in names
            if now_s - self.failed_s.get(name, -math.inf) >= terms.peer_pause_s
        ]

    def record_fetching(self, name: str, now_s: float) -> None:
        """Record that a peer is being asked."""
        self.fetching[name] = now_s

    def record_ended(self, name: str) -> None:
        """Record that a peer is no longer being asked."""
        self.fetching.pop(name, None)

    def record_progress(self, now_s: float) -> None:
        """Record that a part of a snapshot has arrived."""
        self.progress_s = now_s

    def record_fetched(self, now_s: float) -> None:
        """Record that a snapshot was applied."""
        self.failures = 0
        self.next_fetch_s = now_s + FETCH_PAUSE_S

    def record_failed(
        self,
        name: str,
        ahead: Iterable[str],
        error: str,
        now_s: float,
        terms: LagTerms = LagTerms(),
    ) -> None:
        """Record that a peer had nothing, or nothing that can be read.

        Args:
            name: name of the peer.
            ahead: names of all peers that are ahead.
            error: why.
            now_s: present time on the monotonic clock.
            terms: how soon changes must be in force.
        """
        self.failures += 1
        self.error = error
        self.failed_s = {
            other: failed_s
            for other, failed_s in self.failed_s.items()
            if now_s - failed_s < terms.peer_pause_s
        }
        self.failed_s[name] = now_s
        pause_s = FETCH_PAUSE_S
        if not self._sound(ahead, now_s, terms):
            pause_s = doubled_s(
                pause_s, self.failures, terms.max_fetch_pause_s
            )
        self.next_fetch_s = now_s + pause_s

    def needs_store(
        self, fleet_size: int, now_s: float, terms: LagTerms = LagTerms()
    ) -> bool:
        """Return whether to list the kind from the store now.

        All that are behind wait for a random time, as one cause often keeps
        many behind.

        Args:
            fleet_size: number of instances.
            now_s: present time on the monotonic clock.
            terms: how soon changes must be in force.
        """
        if self.since_s is None:
            return False
        stalled_s = now_s - max(self.since_s, self.progress_s)
        if (
            stalled_s < terms.store_after_s
            and self.lag_s(now_s) < terms.max_progress_s
        ):
            return False
        if self.store_from_s is None:
            self.store_from_s = now_s + self._store_pause_s(fleet_size, terms)
        return now_s >= self.store_from_s

    def record_listed(
        self,
        fleet_size: int,
        error: str | None,
        now_s: float,
        terms: LagTerms = LagTerms(),
    ) -> None:
        """Record that the store was asked; others may still be ahead.

        Args:
            fleet_size: number of instances.
            error: why the store gave no listing, None if it did.
            now_s: present time on the monotonic clock.
            terms: how soon changes must be in force.
        """
        self.listings += 1
        self.error = error or self.error
        pause_s = terms.store_after_s + self._store_pause_s(fleet_size, terms)
        self.store_from_s = now_s + pause_s

    def _store_pause_s(self, fleet_size: int, terms: LagTerms) -> float:
        spread_s = random.uniform(0.0, terms.store_spread_s(fleet_size))
        waited_s = doubled_s(1.0, self.listings, MAX_STORE_PAUSE_S) - 1
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
