"""Chooses a target by the time that a request would take there.

The estimate joins what waits at the target, what its cache holds of the
prompt and how fast it was lately.
"""

from collections.abc import Sequence

import attrs

from . import rates
from .grants import AnswerReport
from .grants import PendingRequest
from .grants import TargetLoad
from .prefixes import PrefixCacheModel
from .rates import DEFAULT_DECODE_S
from .rates import DEFAULT_PREFILL_S
from .rates import Rates

PREFILL_WEIGHT = 2.0
DECODE_WEIGHT = 0.25
LEAST_WAIT_SHARE = 0.25


@attrs.define
class Sent:
    """A request that was sent to a target and has not ended.

    Attributes:
        target: name of the target.
        sent_s: when it was granted.
        expected_tokens: prompt tokens that the cache was thought to hold.
        uncached_tokens: prompt tokens that the target reads.
        answer_tokens: most tokens that it generates.
        reports: whether the holder tells when the answer begins.
        began_s: when the answer began, or None.
    """

    target: str
    sent_s: float
    expected_tokens: int
    uncached_tokens: int
    answer_tokens: int
    reports: bool
    began_s: float | None = None


class TargetState:
    """What is known of one version at one target."""

    def __init__(self, version: str) -> None:
        self.version = version
        self.rates = Rates()
        self.prefixes = PrefixCacheModel()
        self.sent: dict[str, Sent] = {}
        self.last_began_s = 0.0

    def reading(self) -> list[Sent]:
        """Return the requests whose answers have not begun."""
        return [sent for sent in self.sent.values() if sent.began_s is None]

    def answering(self) -> list[Sent]:
        """Return the requests whose answers have begun."""
        return [s for s in self.sent.values() if s.began_s is not None]


@attrs.frozen
class Speeds:
    """Present estimates of one target.

    Attributes:
        prefill_s: time to read a token.
        decode_s: time between two tokens of an answer.
    """

    prefill_s: float
    decode_s: float


def prefill_wait_s(state: TargetState, speeds: Speeds, now_s: float) -> float:
    """Return how long the prompts ahead still keep a target.

    A target that is late by some time is expected to take as long again.
    """
    reading = state.reading()
    if not reading:
        return 0.0
    tokens = sum(sent.uncached_tokens for sent in reading)
    whole_s = tokens * speeds.prefill_s
    began_s = max(state.last_began_s, min(sent.sent_s for sent in reading))
    left_s = whole_s - (now_s - began_s)
    if all(sent.reports for sent in reading):
        left_s = abs(left_s)
    return max(left_s, LEAST_WAIT_SHARE * whole_s)


def slot_wait_s(state: TargetState, speeds: Speeds, now_s: float) -> float:
    """Return how long a request waits for one of the answers to end."""
    excess = len(state.sent) + 1 - state.rates.slots
    answering = state.answering()
    if excess <= 0 or not answering:
        return 0.0
    left_s = [
        max(0.0, s.answer_tokens * speeds.decode_s - (now_s - s.began_s))
        for s in answering
        if s.began_s is not None
    ]
    mean_s = sum(left_s) / len(left_s)
    return excess * mean_s / state.rates.slots


def cost_s(
    pending: PendingRequest, state: TargetState, speeds: Speeds, now_s: float
) -> float:
    """Return the cost of a request at a target, as a weighted time.

    Prompts weigh more than the time that they take, since all that is sent
    after them waits; answers weigh less, since they run side by side.
    """
    cached = state.prefixes.cached_tokens(pending.prefix_hashes)
    uncached = max(0, pending.prompt_tokens - cached)
    return (
        prefill_wait_s(state, speeds, now_s)
        + slot_wait_s(state, speeds, now_s)
        + PREFILL_WEIGHT * uncached * speeds.prefill_s
        + DECODE_WEIGHT * pending.answer_tokens * speeds.decode_s
    )


class Placement:
    """What one pool has learned of its targets."""

    def __init__(self) -> None:
        self._states: dict[str, TargetState] = {}
        self._targets: dict[str, str] = {}

    def configure(self, versions: dict[str, str]) -> None:
        """Set the targets by version; a new version is learned afresh."""
        for name, version in versions.items():
            state = self._states.get(name)
            if state is None or state.version != version:
                self._states[name] = TargetState(version)
        for name in self._states.keys() - versions.keys():
            if not self._states[name].sent:
                del self._states[name]

    def choose(
        self,
        pending: PendingRequest,
        loads: Sequence[TargetLoad],
        now_s: float,
    ) -> str:
        """Return the name of the target where a request costs least.

        Args:
            pending: the request.
            loads: the targets with room; at least one.
            now_s: present time.
        """
        return min(
            loads,
            key=lambda load: (
                self._cost_s(pending, load.name, now_s),
                load.tokens,
                load.requests,
                load.name,
            ),
        ).name

    def granted(
        self, pending: PendingRequest, target: str, now_s: float
    ) -> None:
        """Take note that a request goes to a target."""
        state = self._states.setdefault(target, TargetState(''))
        cached = state.prefixes.cached_tokens(pending.prefix_hashes)
        cached = min(cached, pending.prompt_tokens)
        state.prefixes.add(pending.prefix_hashes)
        state.sent[pending.id] = Sent(
            target,
            now_s,
            cached,
            pending.prompt_tokens - cached,
            pending.answer_tokens,
            pending.revocable,
        )
        self._targets[pending.id] = target

    def released(self, wait_id: str) -> None:
        """Take note that a request has ended; unknown ones are fine."""
        target = self._targets.pop(wait_id, None)
        if target in self._states:
            self._states[target].sent.pop(wait_id, None)

    def reported(self, report: AnswerReport, now_s: float) -> None:
        """Learn from the answer to a request; unknown ones are fine."""
        state = self._states.get(self._targets.get(report.id, ''))
        sent = state.sent.get(report.id) if state else None
        if state is None or sent is None:
            return
        if report.pace_s is not None:
            state.rates = state.rates.after_decode(report.pace_s, now_s)
        elif sent.began_s is None:
            _learn_prefill(state, sent, report, now_s)

    def _cost_s(
        self, pending: PendingRequest, name: str, now_s: float
    ) -> float:
        state = self._states.setdefault(name, TargetState(''))
        return cost_s(pending, state, self._speeds(state, now_s), now_s)

    def _speeds(self, state: TargetState, now_s: float) -> Speeds:
        known = [other.rates for other in self._states.values()]
        prefill = rates.usual((r.prefill for r in known), DEFAULT_PREFILL_S)
        decode = rates.usual((r.decode for r in known), DEFAULT_DECODE_S)
        return Speeds(
            state.rates.prefill.at(prefill, now_s),
            state.rates.decode.at(decode, now_s),
        )


def _learn_prefill(
    state: TargetState, sent: Sent, report: AnswerReport, now_s: float
) -> None:
    # Prompts are read one after another: the time since the last answer
    # began, or since this request came, was spent on this prompt alone.
    took_s = now_s - max(sent.sent_s, state.last_began_s)
    prompt_tokens = sent.expected_tokens + sent.uncached_tokens
    if report.cached_tokens is not None:
        cached = min(report.cached_tokens, prompt_tokens)
        state.prefixes.record_cache_hit(sent.expected_tokens, cached)
        sent.uncached_tokens = prompt_tokens - cached
    state.rates = state.rates.after_prefill(
        sent.uncached_tokens, took_s, now_s
    )
    sent.began_s = now_s
    state.last_began_s = now_s
    state.rates = state.rates.with_running(len(state.answering()))
