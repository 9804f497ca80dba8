"""Estimates which parts of prompts targets still hold in memory.

Load patterns: many requests begin with the same part, or those of a session
share nearly all of their prompts. A target that read a part does not read it
again for a later prompt, as long as it holds that part and all before it.
Targets do not tell in time what they hold, so it is estimated from what was
sent there: prompts are read in order of arrival, so a part counts from then
on. The least recently used parts yield to prompts that are read later and to
running requests. What is close to yielding counts for less, and nothing counts
after a restart of the target, while its connections break, or after a while.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import TypeVar

import attrs

from ...model.prompt import PromptPart
from .target_stats import RequestSize
from .target_stats import TargetEstimate
from .target_stats import TargetStats

SURE_SHARE = 0.5  # of its memory; what was used before may be gone
MAX_AGE_S = 60.0  # other requests of which nothing is known add up
MAX_PARTS = 32_768  # of all targets; about 12 MB
# Expected delays below this share of the time left until the goal are within
# the error of the estimates.
TOLERANCE_SHARE = 0.02
HOLDER_SHARE = 0.8  # of the most tokens that a target holds

_Choice = TypeVar('_Choice')


@attrs.frozen
class _Use:
    """The last use of a part.

    Attributes:
        written_tokens: tokens that the target had taken up until then.
        at_s: when, on the monotonic clock.
    """

    written_tokens: float
    at_s: float


@attrs.define
class _Memory:
    """What one start of a target is believed to hold.

    Attributes:
        stats: statistics of that start.
        version: its version when the parts were sent.
        written_tokens: all tokens that it took up.
        running_tokens: tokens of its running requests, which do not yield.
        uses: last use of each part, least recent first.
    """

    stats: TargetStats
    version: str
    written_tokens: float = 0.0
    running_tokens: float = 0.0
    uses: collections.OrderedDict[str, _Use] = attrs.field(
        factory=collections.OrderedDict
    )

    def is_valid(self, stats: TargetStats) -> bool:
        """Return whether it is of the same start and version."""
        return stats is self.stats and stats.target.version == self.version


class KeptParts:
    """The parts that targets are believed to hold.

    Args:
        memory_tokens: returns how many tokens a target of a service holds,
            None if it does not declare that; nothing counts as held then.
    """

    def __init__(
        self, memory_tokens: Callable[[str], float | None] = lambda _: None
    ) -> None:
        self._memory_tokens = memory_tokens
        self._learns = True
        self._memories: dict[str, _Memory] = {}
        self._holders: dict[str, set[str]] = {}

    def sent(
        self,
        stats: TargetStats,
        parts: Sequence[PromptPart],
        size: RequestSize,
        now_s: float,
    ) -> None:
        """Record a request that is sent to a target.

        Args:
            stats: statistics of the target that count the request already.
            parts: parts of its prompt, in order.
            size: its size, without the tokens that the target holds.
            now_s: present time on the monotonic clock.
        """
        name = stats.target.name
        unknown = self._memory_tokens(stats.target.service) is None
        if unknown or not self._learns:
            self.forget(name)
            return
        memory = self._memories.get(name)
        if memory is None or not memory.is_valid(stats):
            self.forget(name)
            memory = _Memory(stats, stats.target.version)
            self._memories[name] = memory
        memory.written_tokens += size.prompt_tokens
        memory.running_tokens += size.prompt_tokens + size.answer_tokens
        for part in parts:
            memory.uses[part.id] = _Use(memory.written_tokens, now_s)
            memory.uses.move_to_end(part.id)
            self._holders.setdefault(part.id, set()).add(name)
        self._evict(memory, now_s)

    def ended(self, name: str, size: RequestSize) -> None:
        """Record the end of a request of a size at a target."""
        memory = self._memories.get(name)
        if memory is not None:
            left = memory.running_tokens
            left -= size.prompt_tokens + size.answer_tokens
            memory.running_tokens = max(0.0, left)

    def forget(self, name: str) -> None:
        """Forget what a target held."""
        memory = self._memories.pop(name, None)
        if memory is not None:
            for part_id in memory.uses:
                self._drop_holder(part_id, name)

    def set_learning(self, learns: bool) -> None:
        """Set whether it learns; forget all if not.

        What others send to targets is not known, nor what that pushes out.
        """
        self._learns = learns
        if not learns:
            self.keep_targets(())

    def keep_targets(self, names: Iterable[str]) -> None:
        """Forget all targets but the named ones."""
        for name in self._memories.keys() - frozenset(names):
            self.forget(name)

    def kept_tokens(
        self,
        parts: Sequence[PromptPart],
        estimates: Mapping[str, TargetEstimate],
        now_s: float,
    ) -> dict[str, float]:
        """Return how many tokens of a prompt targets hold, by their names.

        Targets that hold none are left out.

        Args:
            parts: parts of the prompt, in order.
            estimates: targets that may get it, by their names.
            now_s: present time on the monotonic clock.
        """
        kept: dict[str, float] = {}
        if not parts:
            return kept
        for name in self._holders.get(parts[0].id, ()):
            memory = self._memories[name]
            estimate = estimates.get(name)
            if (
                estimate is not None
                and memory.is_valid(estimate.stats)
                and not memory.stats.connection_failures
            ):
                tokens = self._kept_at(memory, parts, now_s)
                if tokens > 0:
                    kept[name] = tokens
        return kept

    def _kept_at(
        self, memory: _Memory, parts: Iterable[PromptPart], now_s: float
    ) -> float:
        room = self._room(memory)
        certainty = 1.0
        kept = 0.0
        for part in parts:
            use = memory.uses.get(part.id)
            if use is None or now_s - use.at_s > MAX_AGE_S:
                break
            since = memory.written_tokens - use.written_tokens
            left = (room - since) / ((1 - SURE_SHARE) * room)
            certainty = min(certainty, left)
            if certainty <= 0:
                break
            kept += certainty * part.tokens
        return kept

    def _room(self, memory: _Memory) -> float:
        total = self._memory_tokens(memory.stats.target.service) or 0.0
        return max(1.0, total - memory.running_tokens)

    def _evict(self, memory: _Memory, now_s: float) -> None:
        room = self._room(memory)
        most_parts = max(1, MAX_PARTS // len(self._memories))
        while memory.uses:
            part_id, use = next(iter(memory.uses.items()))
            gone = (
                memory.written_tokens - use.written_tokens > room
                or now_s - use.at_s > MAX_AGE_S
            )
            if not gone and len(memory.uses) <= most_parts:
                return
            del memory.uses[part_id]
            self._drop_holder(part_id, memory.stats.target.name)

    def _drop_holder(self, part_id: str, name: str) -> None:
        names = self._holders[part_id]
        names.discard(name)
        if not names:
            del self._holders[part_id]


class HeldAtOnce(KeptParts):
    """What targets hold at one moment, without learning of requests.

    Args:
        kept: the parts that targets hold.
        stats: statistics of the targets.
        now_s: present time on the monotonic clock.
    """

    def __init__(
        self, kept: KeptParts, stats: Iterable[TargetStats], now_s: float
    ) -> None:
        super().__init__()
        self._kept = kept
        self._now = {s.target.name: s.estimate(now_s) for s in stats}

    def sent(
        self,
        stats: TargetStats,
        parts: Sequence[PromptPart],
        size: RequestSize,
        now_s: float,
    ) -> None:
        """Ignore a request."""

    def kept_tokens(
        self,
        parts: Sequence[PromptPart],
        estimates: Mapping[str, TargetEstimate],
        now_s: float,
    ) -> dict[str, float]:
        """Return how many tokens of a prompt targets hold, by their names."""
        known = {n: e for n, e in self._now.items() if n in estimates}
        return self._kept.kept_tokens(parts, known, now_s)


def holds_nothing(_name: str) -> float:
    """Return the tokens that a target holds of a prompt that none holds."""
    return 0.0


@attrs.define
class Option:
    """A target that may get a request, as far as the choice needs it.

    Attributes:
        first_s: expected time to the first event.
        cost_s: cost of the request there.
        kept_tokens: tokens of its prompt that the target holds.
        spared_s: time that the target needs not spend on them.
    """

    first_s: float
    cost_s: float
    kept_tokens: float = 0.0
    spared_s: float = 0.0


def prefer_holder(
    options: Sequence[tuple[_Choice, Option]], goal_s: float
) -> _Choice | None:
    """Return the choice of lowest cost, or one as good that holds more.

    Of the targets that cost no more than the best one and begin no later,
    but for a tolerance, the best of those that hold nearly the most is
    chosen. The tolerance is what the target is spared, as its other requests
    gain that, and at most a share of the time left. As a target fills up, its
    cost grows and others take over.

    Args:
        options: choices with what is expected of them.
        goal_s: time left until the first event is due.
    """
    if not options:
        return None
    choice, best = min(options, key=lambda option: option[1].cost_s)
    most_s = TOLERANCE_SHARE * max(0.0, goal_s)
    near = []
    for other, option in options:
        later_s = max(
            option.first_s - best.first_s, option.cost_s - best.cost_s
        )
        if later_s <= min(most_s, option.spared_s):
            near.append((other, option))
    most = max(option.kept_tokens for _, option in near)
    choice, _ = min(
        (item for item in near if item[1].kept_tokens >= HOLDER_SHARE * most),
        key=lambda item: item[1].cost_s,
    )
    return choice
