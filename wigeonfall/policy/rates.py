"""Speeds of targets, learned from the requests that they answered."""

from collections.abc import Iterable

import attrs

DEFAULT_PREFILL_S = 1 / 8000
DEFAULT_DECODE_S = 1 / 40
GAIN = 0.4
FULL_SAMPLE_TOKENS = 512
HALF_LIFE_S = 60.0
UNTRIED_SHARE = 0.9


@attrs.frozen
class Average:
    """A decayed average of the time that a token takes.

    Attributes:
        token_s: the average as of the last sample.
        sampled_s: time of the last sample, or None before the first.
    """

    token_s: float
    sampled_s: float | None = None

    def at(self, usual: 'Usual', now_s: float) -> float:
        """Return the average, which fades to the usual one without samples.

        Without any sample a target counts as a little faster than all
        others, so that it is tried.

        Args:
            usual: time that a token takes at the targets.
            now_s: present time.
        """
        if self.sampled_s is None:
            return UNTRIED_SHARE * usual.least_s
        age_s = max(0.0, now_s - self.sampled_s)
        kept = 0.5 ** (age_s / HALF_LIFE_S)
        return usual.mean_s + (self.token_s - usual.mean_s) * kept

    def with_sample(
        self, token_s: float, weight: float, now_s: float
    ) -> 'Average':
        """Return the average after a sample.

        Args:
            token_s: time that a token took.
            weight: from 0 to 1, how much the sample tells.
            now_s: present time.
        """
        if self.sampled_s is None and weight >= 1:
            return Average(token_s, now_s)
        gain = GAIN * weight
        return Average(self.token_s + gain * (token_s - self.token_s), now_s)


@attrs.frozen
class Usual:
    """The time that a token takes at the targets of a pool.

    Attributes:
        mean_s: mean over the targets.
        least_s: time at the fastest one.
    """

    mean_s: float
    least_s: float


def usual(averages: Iterable[Average], default_s: float) -> Usual:
    """Return what is usual among targets.

    Args:
        averages: of all targets.
        default_s: time that a token takes if none has a sample.
    """
    known = [a.token_s for a in averages if a.sampled_s is not None]
    if not known:
        return Usual(default_s, default_s)
    return Usual(sum(known) / len(known), min(known))


@attrs.frozen
class Rates:
    """What is known of the speed of one version at one target.

    Attributes:
        prefill: time to read a token that no cache holds.
        decode: time between two tokens of one answer.
        slots: answers that were seen to run side by side.
    """

    prefill: Average = Average(DEFAULT_PREFILL_S)
    decode: Average = Average(DEFAULT_DECODE_S)
    slots: int = 1

    def after_prefill(
        self, tokens: int, took_s: float, now_s: float
    ) -> 'Rates':
        """Return the rates after a prompt was read."""
        if tokens <= 0:
            return self
        weight = min(1.0, tokens / FULL_SAMPLE_TOKENS)
        prefill = self.prefill.with_sample(took_s / tokens, weight, now_s)
        return attrs.evolve(self, prefill=prefill)

    def after_decode(self, pace_s: float, now_s: float) -> 'Rates':
        """Return the rates after an answer with a mean pace of its tokens."""
        decode = self.decode.with_sample(pace_s, 1.0, now_s)
        return attrs.evolve(self, decode=decode)

    def with_running(self, answers: int) -> 'Rates':
        """Return the rates after a number of answers ran side by side."""
        return attrs.evolve(self, slots=max(self.slots, answers))
