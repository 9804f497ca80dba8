"""Prefill and decode speeds of targets, learned from their answers."""

from collections.abc import Iterable

import attrs

DEFAULT_PREFILL_S = 1 / 8000
DEFAULT_DECODE_S = 1 / 40
SAMPLE_GAIN = 0.4
FULL_SAMPLE_TOKENS = 512
HALF_LIFE_S = 60.0
UNTRIED_FACTOR = 0.9


@attrs.frozen
class Average:
    """A decaying average of the time per token.

    Attributes:
        token_s: the average as of the last sample.
        sampled_s: time of the last sample, or None before the first.
    """

    token_s: float
    sampled_s: float | None = None

    def at(self, pool_average: 'PoolAverage', now_s: float) -> float:
        """Return the average, which decays to the mean over the targets.

        Without any sample a target counts as a little faster than all
        others, so that it is tried.

        Args:
            pool_average: time per token over the targets.
            now_s: present time.
        """
        if self.sampled_s is None:
            return UNTRIED_FACTOR * pool_average.min_s
        age_s = max(0.0, now_s - self.sampled_s)
        kept = 0.5 ** (age_s / HALF_LIFE_S)
        return (
            pool_average.mean_s + (self.token_s - pool_average.mean_s) * kept
        )

    def with_sample(
        self, token_s: float, weight: float, now_s: float
    ) -> 'Average':
        """Return the average after a sample.

        Args:
            token_s: time per token.
            weight: weight of the sample, from 0 to 1.
            now_s: present time.
        """
        if self.sampled_s is None and weight >= 1:
            return Average(token_s, now_s)
        gain = SAMPLE_GAIN * weight
        return Average(self.token_s + gain * (token_s - self.token_s), now_s)


@attrs.frozen
class PoolAverage:
    """The time per token over the targets of a pool.

    Attributes:
        mean_s: mean over the targets.
        min_s: time at the fastest target.
    """

    mean_s: float
    min_s: float


def pool_average(averages: Iterable[Average], default_s: float) -> PoolAverage:
    """Return the mean and the least time per token over targets.

    Args:
        averages: averages of all targets.
        default_s: time per token if no target has a sample.
    """
    known = [a.token_s for a in averages if a.sampled_s is not None]
    if not known:
        return PoolAverage(default_s, default_s)
    return PoolAverage(sum(known) / len(known), min(known))


@attrs.frozen
class Rates:
    """Learned speed of one version at one target.

    Attributes:
        prefill: time per prompt token that is not cached.
        decode: time between two tokens of an answer.
        slots: largest observed number of concurrent answers.
    """

    prefill: Average = Average(DEFAULT_PREFILL_S)
    decode: Average = Average(DEFAULT_DECODE_S)
    slots: int = 1

    def after_prefill(
        self, tokens: int, took_s: float, now_s: float
    ) -> 'Rates':
        """Return the rates updated by the prefill of a prompt."""
        if tokens <= 0:
            return self
        weight = min(1.0, tokens / FULL_SAMPLE_TOKENS)
        prefill = self.prefill.with_sample(took_s / tokens, weight, now_s)
        return attrs.evolve(self, prefill=prefill)

    def after_decode(self, pace_s: float, now_s: float) -> 'Rates':
        """Return the rates updated by the mean time between tokens."""
        decode = self.decode.with_sample(pace_s, 1.0, now_s)
        return attrs.evolve(self, decode=decode)

    def with_running(self, answers: int) -> 'Rates':
        """Return the rates updated by a number of concurrent answers."""
        return attrs.evolve(self, slots=max(self.slots, answers))
