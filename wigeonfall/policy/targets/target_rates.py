"""Keeps the requests of all instances within the rates that targets name.

Load pattern: a target in need names in its answers how many requests a second
it accepts, from all instances together. It may answer as fast as before, so
that its slots seem free. Most instances see few of its answers and would learn
of the limit late, so each tells its peers of the limits that it knows. Each
counts what it and its peers send to a limited target against the limit. The
newest answer decides: a limit holds until one names another one, or none.
Instances whose requests wait for the same target would all send when the limit
allows one request, before they hear of each other. Each therefore waits until
it allows a random part of a request more.
"""

from collections.abc import Callable
from collections.abc import Mapping
import itertools
import math
import random

import attrs

NOTABLE_CHANGE = 1.25  # factor between limits that are worth a log line
MIN_PER_S = 0.25  # a target that accepts nothing is asked whether that holds
BURST_S = 0.25  # of the rate, that may be sent at once
MIN_BURST = 2.0  # requests; one, and the part of one that is waited for
MAX_DEBT_S = 4.0  # of the rate, that was sent too much
MEMORY_S = 30.0  # of a limit or its end, without a further answer
NEWS_S = 15.0  # for which peers are told of it
MAX_NEWS_TARGETS = 500  # keeps a datagram far below its limit


@attrs.frozen
class RateNews:
    """What an instance tells its peers of the limit of a target.

    Attributes:
        per_s: requests a second that it accepts, None if it lifted a limit.
        age_s: age of the answer that said so.
        sent: requests that the instance has sent there since it knows of the
            limit, 0 if others count them.
    """

    per_s: float | None
    age_s: float
    sent: int


@attrs.define
class TargetRate:
    """The rate that a target accepts, and what may be sent now.

    Attributes:
        per_s: requests a second, of all instances; None if a limit ended.
        observed_s: time of the answer that named it.
        recorded_per_s: the limit that was recorded last.
        share: part of it that the instances within reach may use.
        credit: requests that may be sent as of the last update; negative if
            too many were.
        updated_s: time of the last update.
        reserve: part of a request that must be left after the next one.
    """

    per_s: float | None
    observed_s: float
    reserve: float
    recorded_per_s: float = 0.0
    share: float = 1.0
    credit: float = 0.0
    updated_s: float = 0.0

    @property
    def used_per_s(self) -> float:
        """Requests a second that the instances within reach may send."""
        return max(MIN_PER_S, self.share * (self.per_s or 0.0))

    def room(self, now_s: float) -> int:
        """Return the number of requests that may be sent now."""
        per_s = self.used_per_s
        gained = max(0.0, now_s - self.updated_s) * per_s
        most = max(MIN_BURST, BURST_S * per_s)
        self.credit = min(most, self.credit + gained)
        self.updated_s = now_s
        return max(0, math.floor(self.credit - self.reserve))

    @property
    def is_full(self) -> bool:
        """Whether a request that is not sent now frees none for later."""
        return self.credit >= max(MIN_BURST, BURST_S * self.used_per_s)

    def count(self, requests: int) -> None:
        """Count requests that were sent."""
        lowest = -max(1.0, MAX_DEBT_S * self.used_per_s)
        self.credit = max(lowest, self.credit - requests)


class TargetRates:
    """The rates that targets accept, as one instance knows them.

    Args:
        draw: returns random numbers from 0 to 1.
    """

    def __init__(self, draw: Callable[[], float] = random.random) -> None:
        self._draw = draw
        self._rates: dict[str, TargetRate] = {}
        self._sent: dict[str, int] = {}
        self._peers_sent: dict[str, tuple[int, Mapping[str, int]]] = {}
        self._share = 1.0

    def limit_of(self, name: str) -> TargetRate | None:
        """Return the limit of a target, None if it has none."""
        rate = self._rates.get(name)
        return None if rate is None or rate.per_s is None else rate

    def observe(self, name: str, per_s: float | None, at_s: float) -> bool:
        """Apply what an answer says of the limit of its target.

        Args:
            name: name of the target.
            per_s: requests a second that it accepts, None for no limit.
            at_s: time of the answer, on the monotonic clock.

        Returns:
            Whether the limit began, ended or changed notably.
        """
        rate = self._rates.get(name)
        if rate is None and per_s is None:
            return False
        if rate is None:
            rate = TargetRate(None, at_s, self._draw())
            self._rates[name] = rate
        elif at_s < rate.observed_s:
            return False
        before, rate.per_s = rate.per_s, per_s
        rate.observed_s = at_s
        if per_s is None:
            return before is not None
        if before is None:
            rate.share = self._share
            rate.credit = 0.0
            rate.updated_s = at_s
        low = rate.recorded_per_s / NOTABLE_CHANGE
        high = rate.recorded_per_s * NOTABLE_CHANGE
        if before is not None and low <= per_s <= high:
            return False
        rate.recorded_per_s = per_s
        return True

    def count_sent(self, name: str) -> None:
        """Count a request that is sent to a target."""
        rate = self._rates.get(name)
        if rate is not None:
            self._sent[name] = self._sent.get(name, 0) + 1
            rate.count(1)
            rate.reserve = self._draw()

    def set_share(self, share: float) -> None:
        """Set the part of each limit that may be used on this side."""
        if share != self._share:
            self._share = share
            for rate in self._rates.values():
                rate.share = share

    def news(self, with_sent: bool, now_s: float) -> dict[str, RateNews]:
        """Return what peers should know, by target.

        Args:
            with_sent: whether peers count what this instance sends.
            now_s: present time on the monotonic clock.
        """
        for name, rate in tuple(self._rates.items()):
            if now_s - rate.observed_s > MEMORY_S:
                del self._rates[name]
                self._sent.pop(name, None)
        told = (
            name
            for name, rate in self._rates.items()
            if now_s - rate.observed_s <= NEWS_S
        )
        return {
            name: RateNews(
                self._rates[name].per_s,
                now_s - self._rates[name].observed_s,
                self._sent.get(name, 0) if with_sent else 0,
            )
            for name in itertools.islice(told, MAX_NEWS_TARGETS)
        }

    def merge(
        self,
        peer: str,
        incarnation: int,
        news: Mapping[str, RateNews],
        now_s: float,
    ) -> list[str]:
        """Apply the news of a peer; return targets whose limits changed.

        Args:
            peer: name of the peer.
            incarnation: number that distinguishes its starts.
            news: what it knows, by target.
            now_s: present time on the monotonic clock.
        """
        changed = []
        for name, told in news.items():
            if self.observe(name, told.per_s, now_s - told.age_s):
                changed.append(name)
        known, counts = self._peers_sent.get(peer, (None, {}))
        if known == incarnation:
            for name, told in news.items():
                rate = self._rates.get(name)
                if rate is not None and told.sent:
                    rate.count(max(0, told.sent - counts.get(name, 0)))
        sent = {name: told.sent for name, told in news.items()}
        self._peers_sent[peer] = (incarnation, sent)
        return changed

    def keep_peers(self, names: frozenset[str]) -> None:
        """Forget the counts of all peers but the known ones."""
        for name in self._peers_sent.keys() - names:
            del self._peers_sent[name]


def parse(value: bytes) -> float | None:
    """Return the requests a second that a target names, None if invalid."""
    try:
        per_s = float(value)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0 else None
