"""Chooses a target by the time that a request is expected to take there.

The estimate combines the work queued at the target, the part of the prompt
that its cache holds and the speed of the target lately.
"""

from collections.abc import Sequence

import attrs

from . import rates
from ..room.grants import AnswerReport
from ..room.grants import PendingRequest
from ..room.grants import TargetLoad
from .prefixes import PrefixCacheModel
from .rates import DEFAULT_DECODE_S
from .rates import DEFAULT_PREFILL_S
from .rates import Rates

PREFILL_WEIGHT = 2.0
DECODE_WEIGHT = 0.25
MIN_WAIT_SHARE = 0.25


@attrs.define
class SentRequest:
    """A request that was sent to a target and has not ended.

    Attributes:
        target: name of the target.
        sent_s: when it was granted.
        expected_tokens: prompt tokens that the cache was expected to hold.
        uncached_tokens: prompt tokens that the target has to process.
        answer_tokens: maximum number of tokens to generate.
        reports: whether the holder reports when the answer begins.
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
    """Learned speed, cached prefixes and requests of a target's version."""

    def __init__(self, version: str) -> None:
        self.version = version
        self.rates = Rates()
        self.prefixes = PrefixCacheModel()
        self.sent: dict[str, SentRequest] = {}
        self.last_began_s = 0.0

    def in_prefill(self) -> list[SentRequest]:
        """Return the requests whose answers have not begun."""
        return [sent for sent in self.sent.values() if sent.began_s is None]

    def in_decode(self) -> list[SentRequest]:
        """Return the requests whose answers have begun."""
        return [s for s in self.sent.values() if s.began_s is not None]


@attrs.frozen
class Speeds:
    """Present estimates of one target.

    Attributes:
        prefill_s: time to process a prompt token.
        decode_s: time between two tokens of an answer.
    """

    prefill_s: float
    decode_s: float


def prefill_wait_s(state: TargetState, speeds: Speeds, now_s: float) -> float:
    """Return the time that a target needs for the prompts queued there.

    A target that is late by some time is expected to take as long again.
    """
    in_prefill = state.in_prefill()
    if not in_prefill:
        return 0.0
    tokens = sum(sent.uncached_tokens for sent in in_prefill)
    total_s = tokens * speeds.prefill_s
    began_s = max(state.last_began_s, min(sent.sent_s for sent in in_prefill))
    left_s = total_s - (now_s - began_s)
    if all(sent.reports for sent in in_prefill):
        left_s = abs(left_s)
    return max(left_s, MIN_WAIT_SHARE * total_s)


def slot_wait_s(state: TargetState, speeds: Speeds, now_s: float) -> float:
    """Return how long a request waits until an answer frees a slot."""
    excess = len(state.sent) + 1 - state.rates.slots
    in_decode = state.in_decode()
    if excess <= 0 or not in_decode:
        return 0.0
    left_s = [
        max(0.0, s.answer_tokens * speeds.decode_s - (now_s - s.began_s))
        for s in in_decode
        if s.began_s is not None
    ]
    mean_s = sum(left_s) / len(left_s)
    return excess * mean_s / state.rates.slots


def cost_s(
    pending: PendingRequest, state: TargetState, speeds: Speeds, now_s: float
) -> float:
    """Return the cost of a request at a target, as a weighted time.

    Prefill weighs more than its time, since all requests sent later wait for
    it; decoding weighs less, since answers are generated concurrently.
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
    """Learned state of the targets of one pool."""

    def __init__(self) -> None:
        self._states: dict[str, TargetState] = {}
        self._targets: dict[str, str] = {}

    def configure(self, versions: dict[str, str]) -> None:
        """Set the targets and their versions; a new version starts afresh."""
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
        """Return the name of the target with the lowest cost.

        Args:
            pending: the request.
            loads: the targets with a free slot; at least one.
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
        """Record that a request is sent to a target."""
        state = self._states.setdefault(target, TargetState(''))
        cached = state.prefixes.cached_tokens(pending.prefix_hashes)
        cached = min(cached, pending.prompt_tokens)
        state.prefixes.add(pending.prefix_hashes)
        state.sent[pending.id] = SentRequest(
            target,
            now_s,
            cached,
            pending.prompt_tokens - cached,
            pending.answer_tokens,
            pending.revocable,
        )
        self._targets[pending.id] = target

    def released(self, wait_id: str) -> None:
        """Record the end of a request; does nothing if it is unknown."""
        target = self._targets.pop(wait_id, None)
        if target in self._states:
            self._states[target].sent.pop(wait_id, None)

    def reported(self, report: AnswerReport, now_s: float) -> None:
        """Learn from a report on an answer; ignores unknown requests."""
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
        prefill = rates.pool_average(
            (r.prefill for r in known), DEFAULT_PREFILL_S
        )
        decode = rates.pool_average(
            (r.decode for r in known), DEFAULT_DECODE_S
        )
        return Speeds(
            state.rates.prefill.at(prefill, now_s),
            state.rates.decode.at(decode, now_s),
        )


def _learn_prefill(
    state: TargetState, sent: SentRequest, report: AnswerReport, now_s: float
) -> None:
    # Prompts are processed one after another: the time since the last answer
    # began, or since this request was sent, was spent on this prompt alone.
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
    state.rates = state.rates.with_running(len(state.in_decode()))
