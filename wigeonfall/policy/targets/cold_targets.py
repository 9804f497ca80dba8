"""Keeps the requests that reach cold targets within a published bound.

Load pattern: a data centre comes back, or is taken back after an evacuation,
and all its targets are cold: they are free and attract requests, but crash if
more come in a second than they endure. A target may also become cold while it
is full, and news of that is late. The bound holds for all instances together,
also for those that do not hear each other.

Each target of a service with a bound is therefore held to a rate at all times,
and to a lower one while it is known to be cold. Rates are divided among the
instances; one that places requests for others has their parts too. Where a
part is less than a request a second, as many instances as the rate has
requests take turns, each with one a second. Credit is hardly saved, so
that an instance that takes over from another one does not add a burst.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import attrs
import xxhash

from ...model.target import Target

LIMIT_SHARE = 0.8  # of the bound; requests are sent some time after decisions
BURST_SHARE = 0.07  # of the bound, that may be sent at once
SHARE_PERIOD_S = 0.1  # far below the time after which a peer is silent
GOLDEN_RATIO = 0.6180339887
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
        updated_s: time of the last update of the credit.
        credit: requests that may be sent as of then.
        share: part of the rate that this instance may use.
        has_turn: whether it may send if its part is below a request a second,
            while the target is warm.
        has_cold_turn: the same while it is cold.
        cold_until_s: when it ceases to be known as cold.
        suspected_s: when it was last taken as cold without its entry.
    """

    terms: ColdTerms
    data_center: str
    incarnation: int
    entry_version: int
    updated_s: float
    credit: float = 0.0
    share: float = 0.0
    has_turn: bool = False
    has_cold_turn: bool = False
    cold_until_s: float = float('-inf')
    suspected_s: float = float('-inf')

    @property
    def is_cold(self) -> bool:
        """Whether the target was known to be cold at the last update."""
        return self.updated_s < self.cold_until_s

    @property
    def used_per_s(self) -> float:
        """Requests a second that this instance may send."""
        per_s = self.share * _rate(self.terms, self.is_cold)
        if per_s >= 1:
            return per_s
        return float(self.has_cold_turn if self.is_cold else self.has_turn)

    def room(self, now_s: float) -> float:
        """Return the number of requests that may be sent now."""
        gained = max(0.0, now_s - self.updated_s) * self.used_per_s
        most = max(1.0, self.share * BURST_SHARE * self.terms.most_per_s)
        self.credit = min(most, self.credit + gained)
        self.updated_s = max(now_s, self.updated_s)
        return self.credit if self.used_per_s else 0.0

    def count(self) -> None:
        """Count a request that is sent."""
        self.credit -= 1

    def set_cold(self, until_s: float, now_s: float) -> None:
        """Set when the target ceases to be known as cold."""
        self.room(now_s)
        self.cold_until_s = until_s


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
        pace.share = share.parts.get(pace.data_center, share.part)
        # Spreads the turns evenly over any row of neighbouring instances.
        shift = xxhash.xxh64_intdigest(name.encode()) / 2**64
        turn = (share.position * GOLDEN_RATIO + shift) % 1
        pace.has_turn = turn < pace.share * _rate(pace.terms, False)
        pace.has_cold_turn = turn < pace.share * _rate(pace.terms, True)


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


def _rate(terms: ColdTerms, cold: bool) -> float:
    """Return the requests a second that all instances may send."""
    limit_per_s = LIMIT_SHARE * terms.most_per_s
    return min(terms.per_s, limit_per_s) if cold else limit_per_s
