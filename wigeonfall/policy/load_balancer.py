"""Room at the targets of a service, and which target suits a request best.

Load patterns: targets are unlike in speed without saying so; long prompts hold
up the first event of what comes after them, most at a slow target; a slow one
that is full breaks the pauses between events; some fail part of their requests
or fall silent. Each instance counts what it has outstanding at each target and
what its peers say that they have. It learns, with its peers, how long a target
takes for a prompt and for an answer, and lowers the limit of a target whose
pauses come near their goal. A target of which nothing is known gets few
requests at first.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from ..model.target import Target
from .moving_average import combined
from .moving_average import MovingAverage
from .moving_average import PeerAverage

DEFAULT_SLOTS = 8
BASE_TOKENS = 5000.0  # a first event costs this even without a prompt
PROBING_REQUESTS = 1  # at a target whose connections broke
UNSEEN_REQUESTS = 2  # at a target of which nothing is known
FAILURE_GAIN = 0.15  # weight of a new outcome in an average
FAR_COST = 0.03  # crossing data centres
FAILURE_COST = 4.0
ANSWER_SHARE = 0.5  # of the time of an answer, against that of a prompt
HOLD_UP_SHARE = 0.3  # of the time that a prompt holds up another stream
LATE_COST = 3.0  # of an answer that would miss its goal
SUSPECT_S = 0.5  # first pause after a broken connection
SUSPECT_MOST_S = 4.0
PACE_HIGH = 0.8  # share of the pause goal at which a limit falls
LIMIT_STEP = 0.5
LIMIT_RISE_S = 0.5
LEAST_LIMIT = 3.0


@attrs.frozen
class RequestSize:
    """What a request asks of a target.

    Attributes:
        prompt_tokens: tokens to read.
        answer_tokens: most tokens to generate.
    """

    prompt_tokens: float = 0.0
    answer_tokens: float = 0.0


@attrs.frozen
class TargetLoad:
    """What one instance has outstanding at a target, and learned of it.

    Attributes:
        requests: requests outstanding.
        prefill_tokens: prompts of those without a first event.
        prefill_s: learned seconds for a token of a prompt.
        decode_s: learned seconds for a token of an answer.
    """

    requests: int
    prefill_tokens: float
    prefill_s: PeerAverage
    decode_s: PeerAverage


@attrs.frozen
class PeerLoad:
    """What one peer says of its load.

    Attributes:
        targets: its load by target.
        waiting: waiting requests by service and class.
    """

    targets: Mapping[str, TargetLoad]
    waiting: Mapping[str, Mapping[int, int]]


@attrs.define
class TargetStats:
    """What one instance knows of the load of one target.

    Attributes:
        target: the target.
        limit: most requests that all instances have outstanding there.
        own_requests: requests of this instance outstanding there.
        own_reading_tokens: prompts of those without a first event.
        peers: loads that peers have there.
        prefill_s: learned seconds for a token of a prompt.
        decode_s: learned seconds for a token of an answer.
        failures: share of the latest requests that failed.
        backoff_until_s: no new work before this time.
        connection_failures: broken connections in a row.
        limited_s: time of the last change of the limit.
    """

    target: Target
    limit: float = DEFAULT_SLOTS
    own_requests: int = 0
    own_prefill_tokens: float = 0.0
    peers: list[TargetLoad] = attrs.field(factory=list)
    prefill_s: MovingAverage = attrs.field(factory=MovingAverage)
    decode_s: MovingAverage = attrs.field(factory=MovingAverage)
    failures: float = 0.0
    backoff_until_s: float = 0.0
    connection_failures: int = 0
    limited_s: float = 0.0

    @property
    def outstanding(self) -> int:
        """Requests of all instances outstanding there."""
        return self.own_requests + sum(load.requests for load in self.peers)

    @property
    def free(self) -> float:
        """Requests that the target still has room for."""
        if self.connection_failures:
            return PROBING_REQUESTS - self.own_requests
        return self.limit - self.outstanding

    def prefill_tokens(self) -> float:
        """Return the prompts that are read before a new one."""
        peers = sum(load.prefill_tokens for load in self.peers)
        return self.own_prefill_tokens + peers

    def estimate(self, now_s: float) -> 'TargetEstimate':
        """Return what to expect of the target as of now."""
        reading = (load.prefill_s for load in self.peers)
        writing = (load.decode_s for load in self.peers)
        return TargetEstimate(
            self,
            combined(self.prefill_s, reading, now_s),
            combined(self.decode_s, writing, now_s),
            BASE_TOKENS + self.prefill_tokens(),
            self.outstanding,
            self.free,
        )


@attrs.define
class TargetEstimate:
    """What to expect of a target at one moment.

    Attributes:
        room: the target's room.
        prefill_s: seconds for a token of a prompt, 0 if unknown.
        decode_s: seconds for a token of an answer, 0 if unknown.
        tokens_before: what is read before a new prompt.
        outstanding: requests of all instances outstanding there.
        free: requests that it still has room for.
    """

    stats: TargetStats
    prefill_s: float
    decode_s: float
    tokens_before: float
    outstanding: int
    free: float

    def first_s(self, size: RequestSize) -> float:
        """Return the predicted time to a first event, 0 if unknown."""
        return self.prefill_s * (self.tokens_before + size.prompt_tokens)

    def placed(self, size: RequestSize) -> None:
        """Count a request that is placed there."""
        self.tokens_before += size.prompt_tokens
        self.outstanding += 1
        self.free -= 1


class Best:
    """The best times that any of some targets promises."""

    def __init__(self, estimates: Iterable[TargetEstimate]) -> None:
        self._reading = [(o.prefill_s, o.tokens_before) for o in estimates]
        self._decode_s = min((o.decode_s for o in estimates), default=0.0)

    def first_s(self, size: RequestSize) -> float:
        """Return the least time to a first event."""
        tokens = size.prompt_tokens
        return min([s * (before + tokens) for s, before in self._reading])

    def answer_s(self, size: RequestSize) -> float:
        """Return the least time from there to the end."""
        return self._decode_s * size.answer_tokens


@attrs.frozen
class Bounds:
    """Times within which a first event is of use.

    Attributes:
        goal_s: time left until the goal is missed.
        patience_s: time left until the caller leaves.
        left_s: time left for the whole answer.
    """

    goal_s: float
    patience_s: float
    left_s: float


class LoadBalancer:
    """The room at all targets, as one instance sees it.

    Args:
        data_center: data centre of this instance.
    """

    def __init__(self, data_center: str) -> None:
        self._data_center = data_center
        self._stats: dict[str, TargetStats] = {}

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Take the targets that may get work; others are forgotten."""
        present = {target.name: target for target in targets}
        for name in tuple(self._stats):
            if name not in present and not self._stats[name].own_requests:
                del self._stats[name]
        for name, target in present.items():
            known = self._stats.get(name)
            if known is None or (
                known.target.incarnation != target.incarnation
            ):
                own_requests = known.own_requests if known else 0
                known = TargetStats(target, _slots(target), own_requests)
                self._stats[name] = known
            known.target = target

    def set_peer_loads(self, loads: Iterable[PeerLoad]) -> None:
        """Take what peers say of their load."""
        for stats in self._stats.values():
            stats.peers = []
        for load in loads:
            for name, at_target in load.targets.items():
                loaded = self._stats.get(name)
                if loaded is not None:
                    loaded.peers.append(at_target)

    def stats_of(self, names: Iterable[str]) -> list[TargetStats]:
        """Return the statistics of some targets."""
        return [self._stats[name] for name in names if name in self._stats]

    def all_stats(self) -> tuple[TargetStats, ...]:
        """Return the statistics of all targets."""
        return tuple(self._stats.values())

    def own_load(self, now_s: float) -> dict[str, TargetLoad]:
        """Return what this instance tells its peers."""
        return {
            name: TargetLoad(
                stats.own_requests,
                stats.own_prefill_tokens,
                PeerAverage(
                    stats.prefill_s.value, stats.prefill_s.weight_at(now_s)
                ),
                PeerAverage(
                    stats.decode_s.value, stats.decode_s.weight_at(now_s)
                ),
            )
            for name, stats in self._stats.items()
            if stats.own_requests or stats.prefill_s.weight_at(now_s) > 0.1
        }

    def request_sent(self, name: str, size: RequestSize) -> None:
        """Count a request that is sent to a target."""
        stats = self._stats.get(name)
        if stats is not None:
            stats.own_requests += 1
            stats.own_prefill_tokens += size.prompt_tokens

    def mark_prompt_read(self, name: str, size: RequestSize) -> None:
        """Count that the prompt of a request was read, or given up."""
        stats = self._stats.get(name)
        if stats is not None:
            left = stats.own_prefill_tokens - size.prompt_tokens
            stats.own_prefill_tokens = max(0.0, left)

    def request_ended(self, name: str) -> None:
        """Count the end of a request at a target."""
        stats = self._stats.get(name)
        if stats is not None and stats.own_requests:
            stats.own_requests -= 1

    def record_first_event(
        self, name: str, tokens: float, first_s: float, now_s: float
    ) -> None:
        """Learn from a first event.

        Args:
            name: name of the target.
            tokens: prompts that were read until then.
            first_s: time that it took.
            now_s: present time on the monotonic clock.
        """
        stats = self._stats.get(name)
        if stats is not None:
            pace_s = first_s / (BASE_TOKENS + tokens)
            stats.connection_failures = 0
            stats.prefill_s.observe(pace_s, now_s)

    def record_answer(
        self, name: str, size: RequestSize, answer_s: float, now_s: float
    ) -> None:
        """Learn from a whole answer."""
        stats = self._stats.get(name)
        if stats is None:
            return
        stats.failures -= FAILURE_GAIN * stats.failures
        if size.answer_tokens:
            pace_s = answer_s / size.answer_tokens
            stats.decode_s.observe(pace_s, now_s)

    def record_pause(
        self, name: str, pause_s: float, goal_s: float, now_s: float
    ) -> float | None:
        """Learn from the longest pause between two events of a stream.

        Returns:
            The new limit of the target if this lowers it.
        """
        stats = self._stats.get(name)
        if stats is None or goal_s <= 0:
            return None
        if now_s - stats.limited_s < LIMIT_RISE_S:
            return None
        top = _slots(stats.target)
        if pause_s > PACE_HIGH * goal_s:
            taken = min(stats.limit, stats.outstanding)
            stats.limit = max(LEAST_LIMIT, taken - LIMIT_STEP)
            stats.limited_s = now_s
            return stats.limit
        if stats.limit < top:
            stats.limit = min(top, stats.limit + LIMIT_STEP)
            stats.limited_s = now_s
        return None

    def record_broken_connection(self, name: str, now_s: float) -> float:
        """Hold a target back whose connections break or are refused.

        Returns:
            The time for which it gets nothing.
        """
        stats = self._stats.get(name)
        if stats is None:
            return 0.0
        self.record_failure(name)
        pause_s = min(SUSPECT_MOST_S, SUSPECT_S * 2**stats.connection_failures)
        stats.connection_failures += 1
        stats.backoff_until_s = now_s + pause_s
        return pause_s

    def record_failure(self, name: str) -> None:
        """Count a failed request at a target that answers."""
        stats = self._stats.get(name)
        if stats is not None:
            stats.failures += FAILURE_GAIN * (1 - stats.failures)

    def estimates(
        self, names: Iterable[str], now_s: float
    ) -> list[TargetEstimate]:
        """Return what to expect of some targets as of now."""
        return [stats.estimate(now_s) for stats in self.stats_of(names)]

    def choose(
        self,
        estimates: Iterable[TargetEstimate],
        size: RequestSize,
        bounds: Bounds,
        now_s: float,
    ) -> TargetEstimate | None:
        """Return the target with room that should answer soonest.

        Args:
            outlooks: targets that may get the request.
            size: what the request asks for.
            bounds: times within which a first event is of use.
            now_s: present time on the monotonic clock.

        Returns:
            The best target, or None if none has room in time. A target that
            would not end in time is left out if another one would.
        """
        best: TargetEstimate | None = None
        best_cost = 0.0
        best_in_time = False
        for estimate in estimates:
            if estimate.stats.backoff_until_s > now_s:
                continue
            first_s = estimate.first_s(size)
            answer_s = estimate.decode_s * size.answer_tokens
            in_time = first_s + answer_s <= bounds.left_s
            if in_time and not best_in_time:
                best, best_in_time = None, True
            if estimate.free < 1 or in_time < best_in_time:
                continue
            if not first_s and estimate.outstanding >= UNSEEN_REQUESTS:
                continue
            if first_s > bounds.patience_s:
                continue
            cost = self._cost(estimate, first_s, size, bounds)
            if best is None or cost < best_cost:
                best, best_cost = estimate, cost
        return best

    def _cost(
        self,
        estimate: TargetEstimate,
        first_s: float,
        size: RequestSize,
        bounds: Bounds,
    ) -> float:
        stats = estimate.stats
        cost = first_s + ANSWER_SHARE * estimate.decode_s * size.answer_tokens
        # A long prompt holds up all that run there.
        prompt_s = estimate.prefill_s * size.prompt_tokens
        cost += HOLD_UP_SHARE * estimate.outstanding * prompt_s
        if first_s > bounds.goal_s:
            cost *= LATE_COST
        cost *= 1 + FAILURE_COST * stats.failures
        if stats.target.data_center != self._data_center:
            cost *= 1 + FAR_COST
        return cost


def _slots(target: Target) -> int:
    return target.slots or DEFAULT_SLOTS
