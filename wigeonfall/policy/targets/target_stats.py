"""The load and speed of one target, as one instance knows them."""

from collections.abc import Mapping

import attrs

from ...model.target import Target
from .cold_targets import Pace
from .moving_average import combined
from .moving_average import MovingAverage
from .moving_average import PeerAverage
from .target_rates import TargetRate

DEFAULT_SLOTS = 8
FIXED_COST_TOKENS = 5000.0  # fixed cost of a first event, as prompt tokens
UNKNOWN_TARGET_REQUESTS = 2  # to a target of which nothing is known
SHORT_PROMPT_S = 0.05  # far below the goals for pauses between events
PROBE_REQUESTS = 1  # to a target whose connections broke


@attrs.frozen
class RequestSize:
    """The size of a request, in tokens.

    Attributes:
        prompt_tokens: tokens of the prompt.
        answer_tokens: maximum number of tokens to generate.
    """

    prompt_tokens: float = 0.0
    answer_tokens: float = 0.0

    def without(self, kept_tokens: float) -> 'RequestSize':
        """Return the size that is left if some of the prompt is held."""
        if not kept_tokens:
            return self
        left = max(0.0, self.prompt_tokens - kept_tokens)
        return RequestSize(left, self.answer_tokens)


@attrs.frozen
class TargetLoad:
    """The load of one instance at a target, and its measured speed.

    Attributes:
        requests: requests outstanding.
        prefill_tokens: prompt tokens of those without a first event.
        prefill_s: average time per prompt token.
        decode_s: average time per answer token.
    """

    requests: int
    prefill_tokens: float
    prefill_s: PeerAverage
    decode_s: PeerAverage


@attrs.frozen
class PeerLoad:
    """The load that one peer reports.

    Attributes:
        targets: its load by target.
        waiting: waiting requests by service and priority class.
    """

    targets: Mapping[str, TargetLoad]
    waiting: Mapping[str, Mapping[int, int]]


@attrs.define
class TargetStats:
    """Load and performance of one target, as one instance knows them.

    Attributes:
        target: the target.
        limit: most requests outstanding there, over all instances.
        own_requests: requests of this instance outstanding there.
        own_prefill_tokens: prompt tokens of those without a first event.
        peers: loads that peers have there.
        prefill_s: average time per prompt token.
        decode_s: average time per answer token.
        failure_rate: moving average of the share of failed requests.
        backoff_until_s: the target gets no requests before this time.
        connection_failures: consecutive broken connections.
        limit_changed_s: time of the last change of the limit.
    """

    target: Target
    limit: float = DEFAULT_SLOTS
    own_requests: int = 0
    own_prefill_tokens: float = 0.0
    peers: list[TargetLoad] = attrs.field(factory=list)
    prefill_s: MovingAverage = attrs.field(factory=MovingAverage)
    decode_s: MovingAverage = attrs.field(factory=MovingAverage)
    failure_rate: float = 0.0
    backoff_until_s: float = 0.0
    connection_failures: int = 0
    limit_changed_s: float = 0.0

    @property
    def outstanding(self) -> int:
        """Requests outstanding there, over all instances."""
        return self.own_requests + sum(load.requests for load in self.peers)

    @property
    def free_slots(self) -> float:
        """Number of requests that the target may still get."""
        if self.connection_failures:
            return PROBE_REQUESTS - self.own_requests
        return self.limit - self.outstanding

    @property
    def spare_slots(self) -> float:
        """Number of requests that it could run, whatever its limit."""
        if self.connection_failures:
            return self.free_slots
        slots = self.target.slots or DEFAULT_SLOTS
        return max(self.limit, slots) - self.outstanding

    def prefill_tokens(self) -> float:
        """Return the prompt tokens queued there, over all instances."""
        peers = sum(load.prefill_tokens for load in self.peers)
        return self.own_prefill_tokens + peers

    def estimate(
        self,
        now_s: float,
        rate: TargetRate | None = None,
        pace: Pace | None = None,
    ) -> 'TargetEstimate':
        """Return an estimate for the target as of now.

        Args:
            now_s: present time on the monotonic clock.
            rate: the rate that the target accepts, None if it names none.
            pace: its pace while it may be cold, None if it has none.
        """
        room = float('inf') if rate is None else rate.room(now_s)
        prefill = (load.prefill_s for load in self.peers)
        decode = (load.decode_s for load in self.peers)
        return TargetEstimate(
            self,
            combined(self.prefill_s, prefill, now_s),
            combined(self.decode_s, decode, now_s),
            FIXED_COST_TOKENS + self.prefill_tokens(),
            self.outstanding,
            min(room, self.free_slots),
            min(room, self.spare_slots),
            rate,
            pace,
        )


@attrs.define
class TargetEstimate:
    """Estimated speed and load of a target at one moment.

    Attributes:
        stats: statistics of the target.
        prefill_s: time per prompt token, 0 if unknown.
        decode_s: time per answer token, 0 if unknown.
        queued_tokens: prompt tokens queued there, with the fixed cost.
        outstanding: requests outstanding there, over all instances.
        free_slots: number of requests that it may still get.
        spare_slots: number of requests with a short prompt that it may get.
        rate: the rate that the target accepts, None if it names none.
        pace: its pace while it may be cold, None if it has none.
    """

    stats: TargetStats
    prefill_s: float
    decode_s: float
    queued_tokens: float
    outstanding: int
    free_slots: float
    spare_slots: float
    rate: TargetRate | None = None
    pace: Pace | None = None

    def concurrency(self, work_s: float) -> float:
        """Return how many requests it can run side by side.

        Args:
            work_s: mean time of a request there.
        """
        rates_per_s = (
            limit.used_per_s
            for limit in (self.rate, self.pace)
            if limit is not None
        )
        return min((self.stats.limit, *(r * work_s for r in rates_per_s)))

    def first_s(self, size: RequestSize) -> float:
        """Return the expected time to the first event, 0 if unknown."""
        return self.prefill_s * (self.queued_tokens + size.prompt_tokens)

    def is_open(self, now_s: float, crowded: bool = False) -> bool:
        """Return whether the target may get a further request now.

        Args:
            now_s: present time on the monotonic clock.
            crowded: whether many requests wait, so that short prompts may
                use the slots above its limit.
        """
        slots = self.spare_slots if crowded else self.free_slots
        if slots < 1 or self.stats.backoff_until_s > now_s:
            return False
        if self.pace is not None and self.pace.room(now_s) < 1:
            return False
        known = self.prefill_s > 0
        return known or self.outstanding < UNKNOWN_TARGET_REQUESTS

    def accepts(self, size: RequestSize) -> bool:
        """Return whether an open target may get a request of a size.

        Long prompts, not the number of requests, make the pauses of streams
        that lower a limit, so short prompts may use the slots above it.
        """
        if self.free_slots >= 1:
            return True
        return self.prefill_s * size.prompt_tokens <= SHORT_PROMPT_S

    def add_request(self, size: RequestSize) -> None:
        """Count a request that is sent there."""
        self.queued_tokens += size.prompt_tokens
        self.outstanding += 1
        self.free_slots -= 1
        self.spare_slots -= 1
