"""Compares how often the answers of two versions are bad, part by part.

Load pattern: a new version fails on one route, for one customer or in one
data centre only, or not at first, and a share over all requests hides it. Each
part is compared by itself, over the whole time and from several moments on.

The evidence is a Bayes factor: the odds of the counts if the versions differ,
against those if they are equal, whatever their share. Over any number of
looks, it exceeds K for equal versions with a probability of about 1 / K. The
permitted probability of a wrong finding, over a whole rollout, is divided
among all comparisons; the routes over the whole time get half of it, as most
faults show there. Versions that fail equally often on a route are equal there.
"""

import collections
from collections.abc import Mapping
import math

import attrs

FALSE_ALARM = 0.05  # over a whole rollout and all parts together
WINDOWS = 8  # moments from which on answers are compared
DOUBTFUL = 1.0  # log evidence with which requests are not moved yet
# A difference that is certain but below these may come from the load.
TOLERATED_FACTOR = 1.5
TOLERATED_EXCESS = 0.08
MIN_BAD_ANSWERS = 4  # fewer may have one cause, such as a broken connection
MIN_OLD_ANSWERS = 20
MIN_NEW_ANSWERS = 12  # on each route, before the old targets may stop
# The share of a sound version, as a beta distribution.
_PRIOR_BAD = 0.5
_PRIOR_GOOD = 4.5

ALL = ''  # the part that holds all requests
ROUTE = 'route '
CUSTOMER = 'customer '
DATA_CENTER = 'data centre '


@attrs.frozen
class Answers:
    """Numbers of answers of one version.

    Attributes:
        bad: failures, and answers that were several times slower.
        total: all answers.
    """

    bad: int = 0
    total: int = 0

    @property
    def share(self) -> float:
        """Share of bad answers."""
        return self.bad / max(1, self.total)


@attrs.frozen
class Comparison:
    """The answers of both versions in a part of the requests."""

    new: Answers
    old: Answers

    def log_evidence(self) -> float:
        """Return the logarithm of the odds that the new version is worse."""
        if self.old.total < MIN_OLD_ANSWERS or not self.new.total:
            return 0.0
        tolerated = TOLERATED_FACTOR * self.old.share + TOLERATED_EXCESS
        if self.new.share <= tolerated:
            return 0.0
        new_good = self.new.total - self.new.bad
        old_bad = _PRIOR_BAD + self.old.bad
        old_good = _PRIOR_GOOD + self.old.total - self.old.bad
        return (
            _log_beta(1 + self.new.bad, 1 + new_good)
            + _log_beta(old_bad, old_good)
            - _log_beta(old_bad + self.new.bad, old_good + new_good)
        )


Parts = Mapping[str, Comparison]


@attrs.frozen
class Finding:
    """The part in which the new version is worse.

    Attributes:
        part: name of the part, '' for all requests.
        comparison: its answers.
        since_s: age of the oldest of the new version's answers.
    """

    part: str
    comparison: Comparison
    since_s: float

    def fields(self) -> dict[str, float | str]:
        """Return the finding as fields of an event."""
        new, old = self.comparison.new, self.comparison.old
        return {
            'part': self.part or 'all requests',
            'part_bad': new.bad,
            'part_answers': new.total,
            'part_old_bad': old.bad,
            'part_old_answers': old.total,
            'part_since_s': round(self.since_s, 1),
        }


class FailureTest:
    """The comparisons of one rollout.

    Args:
        duration_s: duration of the rollout.
        now_s: its start, on the monotonic clock.
    """

    def __init__(self, duration_s: float, now_s: float) -> None:
        self._step_s = max(0.001, duration_s) / WINDOWS
        self._started_s = now_s
        # New answers at the start of each window, the newest last.
        self._starts: collections.deque[tuple[float, dict[str, Answers]]] = (
            collections.deque(maxlen=WINDOWS)
        )

    def find(self, parts: Parts, now_s: float) -> Finding | None:
        """Return the part in which the new version is worse, if any.

        Args:
            parts: all answers so far, by part.
            now_s: present time on the monotonic clock.
        """
        main = sum(_is_main(part) for part in parts)
        rest = len(parts) * (WINDOWS + 1) - main
        main_limit = math.log(2 * max(1, main) / FALSE_ALARM)
        rest_limit = math.log(2 * max(1, rest) / FALSE_ALARM)
        for part, comparison in parts.items():
            limit = main_limit if _is_main(part) else rest_limit
            if _is_worse(comparison, limit):
                return Finding(part, comparison, now_s - self._started_s)
        for start_s, before in self._starts:
            for part, comparison in parts.items():
                recent = _since(comparison, before.get(part, Answers()))
                if _is_worse(recent, rest_limit):
                    return Finding(part, recent, now_s - start_s)
        self._start_window(parts, now_s)
        return None

    def _start_window(self, parts: Parts, now_s: float) -> None:
        newest_s = self._starts[-1][0] if self._starts else self._started_s
        if now_s - newest_s >= self._step_s:
            new = {part: c.new for part, c in parts.items()}
            self._starts.append((now_s, new))


def is_doubtful(parts: Parts) -> bool:
    """Return whether a route needs more answers before it is decided."""
    return any(
        comparison.log_evidence() > DOUBTFUL
        for part, comparison in parts.items()
        if _is_main(part)
    )


def is_proven(parts: Parts) -> bool:
    """Return whether the new version looks sound on each route in use."""
    return all(
        comparison.new.total >= MIN_NEW_ANSWERS
        and comparison.log_evidence() <= 0
        for part, comparison in parts.items()
        if _is_main(part) and comparison.old.total >= MIN_OLD_ANSWERS
    )


def _is_worse(comparison: Comparison, limit: float) -> bool:
    return (
        comparison.new.bad >= MIN_BAD_ANSWERS
        and comparison.log_evidence() > limit
    )


def _is_main(part: str) -> bool:
    return part == ALL or part.startswith(ROUTE)


def _since(comparison: Comparison, before: Answers) -> Comparison:
    new = comparison.new
    recent = Answers(
        max(0, new.bad - before.bad), max(0, new.total - before.total)
    )
    return Comparison(recent, comparison.old)


def _log_beta(a: float, b: float) -> float:
    return math.lgamma(a) + math.lgamma(b) - math.lgamma(a + b)
