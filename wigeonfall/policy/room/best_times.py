"""The shortest and the mean times over the targets of a service."""

import bisect
from collections.abc import Iterable

import attrs

from ..targets.target_stats import FIXED_COST_TOKENS
from ..targets.target_stats import RequestSize
from ..targets.target_stats import TargetEstimate


class BestTimes:
    """The shortest expected times over some targets.

    The time to a first event is a line over the tokens of the prompt for
    each target. Only the lines that are lowest somewhere are kept, so that a
    look-up does not depend on the number of targets.

    Args:
        estimates: the targets. Those of which nothing is known do not count
            unless there is no other.
    """

    def __init__(self, estimates: Iterable[TargetEstimate]) -> None:
        known = [e for e in estimates if e.prefill_s > 0]
        self._decode_s = min((e.decode_s for e in known), default=0.0)
        self._lines: list[tuple[float, float]] = []
        self._from_tokens: list[float] = []
        lines = {(e.prefill_s, e.prefill_s * e.queued_tokens) for e in known}
        for line in sorted(lines, key=lambda line: (line[1], line[0])):
            self._add(line)

    def first_s(self, size: RequestSize) -> float:
        """Return the shortest expected time to the first event."""
        if not self._lines:
            return 0.0
        tokens = size.prompt_tokens
        number = bisect.bisect_right(self._from_tokens, tokens) - 1
        slope, start_s = self._lines[max(0, number)]
        return start_s + slope * tokens

    def answer_s(self, size: RequestSize) -> float:
        """Return the shortest expected time from there to the end."""
        return self._decode_s * size.answer_tokens

    def _add(self, line: tuple[float, float]) -> None:
        """Add a line that starts at or above all others."""
        from_tokens = 0.0
        while self._lines:
            slope, start_s = self._lines[-1]
            if line[0] >= slope:
                return
            from_tokens = (line[1] - start_s) / (slope - line[0])
            if from_tokens > self._from_tokens[-1]:
                break
            self._lines.pop()
            self._from_tokens.pop()
        self._lines.append(line)
        self._from_tokens.append(from_tokens if self._from_tokens else 0.0)


@attrs.frozen
class MeanWork:
    """Mean times of the targets of a service.

    Attributes:
        prefill_s: time per prompt token.
        decode_s: time per answer token.
    """

    prefill_s: float = 0.0
    decode_s: float = 0.0

    def of(self, size: RequestSize) -> float:
        """Return for how long a request occupies a slot, in seconds."""
        prompt_tokens = FIXED_COST_TOKENS + size.prompt_tokens
        return (
            self.prefill_s * prompt_tokens + self.decode_s * size.answer_tokens
        )


def mean_work(estimates: Iterable[TargetEstimate]) -> MeanWork:
    """Return the mean times of the targets of which something is known."""
    known = [e for e in estimates if e.prefill_s > 0]
    if not known:
        return MeanWork()
    return MeanWork(
        sum(e.prefill_s for e in known) / len(known),
        sum(e.decode_s for e in known) / len(known),
    )
