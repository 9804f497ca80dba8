"""Keeps the requests that reach cold targets within a published bound.

Load pattern: a data centre comes back, or is taken back after an evacuation,
and all its targets are cold: they are free and attract requests, but crash if
more come in a second than they endure. A target may also become cold while it
is full, and news of that is late. The bound holds for all instances together,
also for those that do not hear each other.

Each target of a service with a bound therefore gets no more than a number of
requests in any second, at all times, and fewer while it is known to be cold.
The number is divided among the instances; one that places requests for others
has their parts too. Where a part is less than one, as many instances as the
number take turns, each with one. A part that grows is used little by little,
as the instance that had it before may have filled the same second.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import attrs
import xxhash

from ...model.target import Target

WINDOW_S = 1.0  # published
# Of the bound. The rest is for two sides that both count an instance
# shortly, and for requests that are sent later than others.
COLD_SHARE = 0.75
WARM_SHARE = 0.9
COLD_FACTOR = 1.35  # of what a cold target endures; it crashes far above
RAMP_S = 2.5  # in which a part that grows comes into use
SHARE_PERIOD_S = 0.1  # far below the time after which a peer is silent
GOLDEN_RATIO = 0.6180339887
ROUNDING = 1e-9
NEWS_DELAY_S = 0.5  # within which an entry may be older than a suspicion


@attrs.frozen
class ColdTerms:
    """What the targets of a service endure while they are cold.

    Attributes:
        per_s: requests a second.
        most_per_s: most requests that may reach one in any second.
        longest_s: longest time for which one stays cold.
    """

    per_s: float
    most_per_s: float
    longest_s: float


@attrs.frozen
class PacedShare:
    """The part of all rates that this instance may use.

    Attributes:
        part: from 0 to 1, for targets of data centres that are not named.
        parts: the same by the data centre of a target.
        position: its place in the order of all instances, from 0 on.
    """

    part: float = 1.0
    parts: Mapping[str, float] = attrs.field(factory=dict)
    position: int = 0


@attrs.frozen
class ColdChange:
    """A target that has become cold or warm.

    Attributes:
        target: name of the target.
        reason: why it counts as cold, '' if it is warm.
        for_s: for how long at most.
    """

    target: str
    reason: str
    for_s: float


@attrs.define
class Pace:
    """How many requests one target may get from this instance now.

    Attributes:
        terms: terms of its service.
        data_center: its data centre.
        incarnation: its incarnation.
        entry_version: version of its entry.
        updated_s: time of the last update.
        share: part of the number that this instance may use.
        used_share: part that it uses, which grows slowly.
        turn: from 0 to 1; where the part is less than a request, those with
            the lowest may send.
        cold_until_s: when it ceases to be known as cold.
        suspected_s: when it was last taken as cold without its entry.
    """

    terms: ColdTerms
    data_center: str
    incarnation: int
    entry_version: int
    updated_s: float
    share: float = 0.0
    used_share: float = 0.0
    turn: float = 0.0
    cold_until_s: float = float('-inf')
    suspected_s: float = float('-inf')
    _sent_s: collections.deque[float] = attrs.field(factory=collections.deque)

    @property
    def is_cold(self) -> bool:
        """Whether the target was known to be cold at the last update."""
        return self.updated_s < self.cold_until_s

    @property
    def used_per_s(self) -> float:
        """Requests a second that this instance may send."""
        return self._allowed() / WINDOW_S

    def room(self, now_s: float) -> float:
        """Return the number of requests that may be sent now."""
        passed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(now_s, self.updated_s)
        if self.used_share < self.share:
            grown = self.used_share + self.share * passed_s / RAMP_S
            self.used_share = min(self.share, grown)
        sent_s = self._sent_s
        while sent_s and sent_s[0] <= now_s - WINDOW_S:
            sent_s.popleft()
        return self._allowed() - len(sent_s)

    def count(self) -> None:
        """Count a request that is sent."""
        self._sent_s.append(self.updated_s)

    def set_cold(self, until_s: float, now_s: float) -> None:
        """Set when the target ceases to be known as cold."""
        self.room(now_s)
        self.cold_until_s = until_s

    def set_share(self, share: float) -> None:
        """Set the part of the number that this instance may use."""
        self.share = share
        self.used_share = min(self.used_share, share)

    def _allowed(self) -> int:
        """Return the number of requests that may be sent in a window."""
        most = _most(self.terms, self.is_cold)
        if self.share * most < 1:
            return int(self.turn < self.share * most)
        return int(self.used_share * most + ROUNDING)


class ColdTargets:
    """The paces of all targets whose service has a bound.

    Attributes:
        share_of: returns the part of the rates of this instance.
    """

    def __init__(self) -> None:
        self.share_of: Callable[[float], PacedShare] = lambda _s: PacedShare()
        self._terms: Mapping[str, ColdTerms] = {}
        self._paces: dict[str, Pace] = {}
        self._share = PacedShare()
        self._shared_s = float('-inf')
        self._cold: set[str] = set()
        self._changes: list[ColdChange] = []

    @property
    def cold_count(self) -> int:
        """Number of targets that are known to be cold."""
        return len(self._cold)

    def pace_of(self, name: str) -> Pace | None:
        """Return the pace of a target, None if it has none."""
        return self._paces.get(name)

    def set_terms(self, terms: Mapping[str, ColdTerms]) -> None:
        """Set the terms by service."""
        self._terms = terms

    def update(self, targets: Iterable[Target], now_s: float) -> None:
        """Set the targets that may get requests, as their entries are.

        Args:
            targets: the targets.
            now_s: present time on the monotonic clock.
        """
        before, self._paces = self._paces, {}
        for target in targets:
            terms = self._terms.get(target.service)
            if terms is None:
                continue
            pace = before.get(target.name)
            if pace is None or pace.incarnation != target.incarnation:
                pace = self._begin(target, terms, now_s)
            elif pace.entry_version != target.entry_version:
                pace.entry_version = target.entry_version
                self._apply_entry(target, pace, now_s)
            pace.terms = terms
            self._paces[target.name] = pace
        self._end_marks(now_s)

    def suspect(self, name: str, reason: str, now_s: float) -> None:
        """Take a target as cold until its entry says otherwise."""
        pace = self._paces.get(name)
        if pace is not None:
            pace.suspected_s = now_s
            self._mark(name, pace, reason, pace.terms.longest_s, now_s)

    def count_sent(self, name: str) -> None:
        """Count a request that is sent to a target."""
        pace = self._paces.get(name)
        if pace is not None:
            pace.count()

    def refresh_share(self, now_s: float) -> None:
        """Apply the present part of the rates, not more often than needed."""
        if not self._paces or now_s - self._shared_s < SHARE_PERIOD_S:
            return
        self._shared_s = now_s
        share = self.share_of(now_s)
        if share != self._share:
            self._share = share
            for name, pace in self._paces.items():
                pace.room(now_s)
                self._apply_share(name, pace)

    def take_changes(self) -> list[ColdChange]:
        """Return what has changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _begin(self, target: Target, terms: ColdTerms, now_s: float) -> Pace:
        pace = Pace(
            terms,
            target.data_center,
            target.incarnation,
            target.entry_version,
            now_s,
        )
        self._apply_share(target.name, pace)
        # Others had no part of a target that has just started.
        pace.used_share = pace.share
        if target.cold_s is None:
            pace.suspected_s = now_s
            self._mark(target.name, pace, 'start', terms.longest_s, now_s)
        elif target.cold_s:
            self._mark(target.name, pace, 'entry', target.cold_s, now_s)
        return pace

    def _apply_entry(self, target: Target, pace: Pace, now_s: float) -> None:
        if target.cold_s is None:
            return
        if target.cold_s:
            self._mark(target.name, pace, 'entry', target.cold_s, now_s)
        elif now_s - pace.suspected_s >= NEWS_DELAY_S:
            pace.set_cold(now_s, now_s)

    def _mark(
        self, name: str, pace: Pace, reason: str, for_s: float, now_s: float
    ) -> None:
        pace.set_cold(now_s + for_s, now_s)
        if name not in self._cold and for_s > 0:
            self._cold.add(name)
            self._changes.append(ColdChange(name, reason, for_s))

    def _end_marks(self, now_s: float) -> None:
        for name in sorted(self._cold):
            pace = self._paces.get(name)
            if pace is None or pace.cold_until_s <= now_s:
                self._cold.remove(name)
                self._changes.append(ColdChange(name, '', 0.0))

    def _apply_share(self, name: str, pace: Pace) -> None:
        share = self._share
        pace.set_share(share.parts.get(pace.data_center, share.part))
        # Spreads the turns evenly over any row of neighbouring instances.
        shift = xxhash.xxh64_intdigest(name.encode()) / 2**64
        pace.turn = (share.position * GOLDEN_RATIO + shift) % 1


def make_terms(
    per_s: float, overage: float, slack_requests: float, longest_s: float
) -> ColdTerms:
    """Return the terms of a service.

    Args:
        per_s: requests a second that a cold target endures.
        overage: factor by which it may be exceeded.
        slack_requests: requests by which it may be exceeded besides.
        longest_s: longest time for which a target stays cold.
    """
    return ColdTerms(per_s, per_s * overage + slack_requests, longest_s)


def _most(terms: ColdTerms, cold: bool) -> float:
    """Return the requests that all instances may send in a window."""
    if not cold:
        return WARM_SHARE * terms.most_per_s
    return min(COLD_SHARE * terms.most_per_s, COLD_FACTOR * terms.per_s)
