"""What targets say of themselves in their answers, beside their entries.

Load pattern: a target that leaves or is overloaded tells its callers before
its entry in the store changes, or while the store is away. Each further
request is turned away, or is cut off by the end of the target.

A target that says that it leaves gets nothing more until its incarnation is
gone, whatever entries and peers say later. One that asks for a pause gets
nothing from this instance until that is over, and then one request at a time
until one succeeds.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import re

import attrs

MAX_PAUSE_S = 3600.0  # of a target; far above the time limit of any request
NEWS_S = 15.0  # for which peers are told that a target leaves
MAX_NEWS_TARGETS = 500  # keeps a datagram far below its limit
MAX_TARGETS = 20_000  # that are remembered; more than a platform has
_SECONDS = re.compile(rb'[0-9]{1,12}(\.[0-9]{0,12})?', re.ASCII)


@attrs.define
class TargetSignals:
    """What targets have said, by a key that tells their starts apart.

    Attributes:
        leaving_s: when each target was found to leave, on the monotonic
            clock.
        paused_until_s: ends of the pauses that targets asked for.
    """

    leaving_s: dict[str, float] = attrs.field(factory=dict)
    paused_until_s: dict[str, float] = attrs.field(factory=dict)

    def mark_leaving(self, key: str, at_s: float) -> bool:
        """Record that a target leaves; return whether that is new.

        Args:
            key: name and incarnation of the target.
            at_s: time of its answer on the monotonic clock.
        """
        if key in self.leaving_s:
            self.leaving_s[key] = max(at_s, self.leaving_s[key])
            return False
        self.leaving_s[key] = at_s
        if len(self.leaving_s) > MAX_TARGETS:
            del self.leaving_s[next(iter(self.leaving_s))]
        return True

    def pause(self, key: str, pause_s: float, now_s: float) -> bool:
        """Record a pause that a target asked for.

        Returns:
            Whether the target was not in a pause before.
        """
        before_s = self.paused_until_s.get(key, 0.0)
        until_s = now_s + min(MAX_PAUSE_S, pause_s)
        self.paused_until_s[key] = max(before_s, until_s)
        if len(self.paused_until_s) > MAX_TARGETS:
            self._drop_ended_pauses(now_s)
        return before_s <= now_s

    def is_leaving(self, key: str) -> bool:
        """Return whether a target has said that it leaves."""
        return key in self.leaving_s

    def allows(self, key: str, now_s: float) -> bool:
        """Return whether this instance may send a request to a target."""
        return (
            key not in self.leaving_s
            and self.paused_until_s.get(key, 0.0) <= now_s
        )

    def keep(self, keys: Iterable[str], now_s: float) -> None:
        """Forget targets of which the store has no entry for long."""
        listed = set(keys)
        self._drop_ended_pauses(now_s)
        for key, at_s in tuple(self.leaving_s.items()):
            if key not in listed and now_s - at_s > MAX_PAUSE_S:
                del self.leaving_s[key]

    def news(self, now_s: float) -> dict[str, float]:
        """Return the targets that peers should know to leave, with ages."""
        recent = [
            (key, now_s - at_s)
            for key, at_s in self.leaving_s.items()
            if now_s - at_s <= NEWS_S
        ]
        return dict(recent[-MAX_NEWS_TARGETS:])

    def merge(self, news: Mapping[str, float], now_s: float) -> list[str]:
        """Apply the news of a peer; return the keys that were unknown."""
        return [
            key
            for key, age_s in news.items()
            if age_s <= NEWS_S and self.mark_leaving(key, now_s - age_s)
        ]

    def _drop_ended_pauses(self, now_s: float) -> None:
        self.paused_until_s = {
            key: until_s
            for key, until_s in self.paused_until_s.items()
            if until_s > now_s
        }


def parse_pause_s(values: Iterable[bytes]) -> float | None:
    """Return the pause that an answer asks for, in seconds.

    Args:
        values: values of all headers of that name. Dates, signs, words and
            numbers without a bound are not understood; of several pauses the
            longest counts.

    Returns:
        The pause, at most MAX_PAUSE_S; None if no value is understood.
    """
    pauses = [
        min(MAX_PAUSE_S, float(value))
        for value in map(bytes.strip, values)
        if _SECONDS.fullmatch(value)
    ]
    return max(pauses, default=None)


def says_leaving(values: Iterable[bytes]) -> bool:
    """Return whether an answer says that its target leaves."""
    return any(value.strip() == b'1' for value in values)
