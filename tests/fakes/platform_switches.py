"""Switches and rate limits of the platform stand-in."""

import attrs


@attrs.define
class Switches:
    """What tests may change while the platform runs.

    Attributes:
        outage: answer 503 to every call and close waiting watches.
        silent: take calls and never answer them.
        delay_ms: time added before a call takes effect.
        answer_delay_ms: time added after a call took effect.
        lose_answers: an integer drops the answers of as many next writes, a
            fraction that share of them; the writes take effect.
        lose_kind: kind to which lose_answers is restricted, or ''.
        refuse_next: number of next calls refused with 503.
        seed: seed of the random choices.
        writes_per_s: write rate limit of all callers together.
        reads_per_s: read rate limit of all callers together.
        live_lag_ms: age of what the live list shows.
    """

    outage: bool = False
    silent: bool = False
    delay_ms: float = 0
    answer_delay_ms: float = 0
    lose_answers: float = 0
    lose_kind: str = ''
    refuse_next: int = 0
    seed: int = 1
    writes_per_s: float = 300
    reads_per_s: float = 2000
    live_lag_ms: float = 1000


@attrs.define
class Bucket:
    """A token bucket that holds half a second of its rate."""

    level: float = 1.0
    updated_s: float = 0.0

    def take(self, rate_per_s: float, now_s: float) -> bool:
        """Take one token at the rate, unless none is left."""
        most = max(1.0, rate_per_s / 2)
        earned = (now_s - self.updated_s) * rate_per_s
        self.level = min(most, self.level + earned)
        self.updated_s = now_s
        if self.level < 1:
            return False
        self.level -= 1
        return True
