"""Balances the load of a service's targets and chooses one for a request.

Targets differ in speed and do not report it. A long prompt delays the first
event of the requests after it, most at a slow target; a slow target that is
full delays the events of its streams; some targets fail part of their requests
or stop answering. Each instance counts its own requests outstanding at each
target and those that its peers report. It learns, together with its peers, how
long a target takes for a prompt and for an answer, and lowers the concurrency
limit of a target whose pauses between events come near their goal. A target of
which nothing is known gets few requests at first.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

from ...model.target import Target
from ..backoff import doubled_s
from .cold_targets import ColdTargets
from .kept_parts import holds_nothing
from .moving_average import PeerAverage
from .target_choice import TargetChoice
from .target_choice import TimeBudget
from .target_rates import TargetRates
from .target_signals import TargetSignals
from .target_stats import DEFAULT_SLOTS
from .target_stats import FIXED_COST_TOKENS
from .target_stats import PeerLoad
from .target_stats import RequestSize
from .target_stats import TargetEstimate
from .target_stats import TargetLoad
from .target_stats import TargetStats

FAILURE_GAIN = 0.15  # weight of a new outcome in the failure rate
ESTIMATE_MAX_AGE_S = 0.25  # averages hardly decay within it
BACKOFF_S = 0.5  # after the first broken connection; then doubled
MAX_BACKOFF_S = 4.0
PAUSE_THRESHOLD = 0.8  # share of the pause goal above which a limit falls
LIMIT_STEP = 0.5
MAX_LIMIT_DROP = 1.5  # at once; few may run when a stream ends
LIMIT_INTERVAL_S = 0.5  # least time between two changes of a limit
MIN_LIMIT = 3.0


class LoadBalancer:
    """Tracks the load of all targets and chooses among them.

    Args:
        data_center: data centre of this instance.
        name: name of this instance.

    Attributes:
        rates: request rates that targets accept.
        signals: what targets say of their leaving and of pauses.
        cold: paces of targets that may be cold.
        choice: compares targets for a request.
    """

    def __init__(self, data_center: str, name: str = '') -> None:
        self.rates = TargetRates()
        self.signals = TargetSignals()
        self.cold = ColdTargets()
        self.choice = TargetChoice(data_center, name)
        self._stats: dict[str, TargetStats] = {}
        self._estimates: dict[str, TargetEstimate] = {}
        self._estimated_s = 0.0

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Set the targets that may get requests.

        Other targets are dropped once this instance has no requests there.
        A new incarnation of a target keeps only the count of requests.
        """
        present = {target.name: target for target in targets}
        self._estimates.clear()
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
                self._apply_pause(known)
            known.target = target

    def set_peer_loads(self, loads: Iterable[PeerLoad]) -> None:
        """Set the loads that peers report."""
        self._estimates.clear()
        for stats in self._stats.values():
            stats.peers = []
        for peer_load in loads:
            for name, load in peer_load.targets.items():
                known = self._stats.get(name)
                if known is not None:
                    known.peers.append(load)

    def stats_of(self, names: Iterable[str]) -> list[TargetStats]:
        """Return the statistics of some targets."""
        return [self._stats[name] for name in names if name in self._stats]

    def frozen_values(self) -> Iterator[object]:
        """Yield values of its state that never change."""
        for stats in self._stats.values():
            yield stats.target
            yield from stats.peers
        yield self.cold.share_of

    def all_stats(self) -> tuple[TargetStats, ...]:
        """Return the statistics of all targets."""
        return tuple(self._stats.values())

    def own_load(self, now_s: float) -> dict[str, TargetLoad]:
        """Return the load by target that this instance reports to peers."""
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

    def request_sent(
        self, name: str, size: RequestSize, placed: bool = True
    ) -> None:
        """Count a request that is sent to a target.

        Args:
            name: name of the target.
            size: size of the request.
            placed: whether it is sent now, by a decision of this instance.
        """
        if placed:
            self.cold.count_sent(name)
        stats = self._changed(name)
        if stats is not None:
            self.rates.count_sent(target_key(stats.target))
            stats.own_requests += 1
            stats.own_prefill_tokens += size.prompt_tokens

    def mark_prompt_read(self, name: str, size: RequestSize) -> None:
        """Stop counting a prompt that was processed or abandoned."""
        stats = self._changed(name)
        if stats is not None:
            left = stats.own_prefill_tokens - size.prompt_tokens
            stats.own_prefill_tokens = max(0.0, left)

    def request_ended(self, name: str) -> None:
        """Count the end of a request at a target."""
        stats = self._changed(name)
        if stats is not None and stats.own_requests:
            stats.own_requests -= 1

    def record_first_event(
        self, name: str, tokens: float, first_s: float, now_s: float
    ) -> None:
        """Update the time per prompt token from a first event.

        Args:
            name: name of the target.
            tokens: prompt tokens that the target processed until then.
            first_s: time to the first event.
            now_s: present time on the monotonic clock.
        """
        stats = self._changed(name)
        if stats is not None:
            pace_s = first_s / (FIXED_COST_TOKENS + tokens)
            stats.connection_failures = 0
            stats.prefill_s.observe(pace_s, now_s)

    def record_answer(
        self, name: str, size: RequestSize, answer_s: float, now_s: float
    ) -> None:
        """Update the time per answer token from a complete answer."""
        stats = self._changed(name)
        if stats is None:
            return
        stats.failure_rate -= FAILURE_GAIN * stats.failure_rate
        if size.answer_tokens:
            pace_s = answer_s / size.answer_tokens
            stats.decode_s.observe(pace_s, now_s)

    def record_pause(
        self, name: str, pause_s: float, goal_s: float, now_s: float
    ) -> float | None:
        """Adjust the limit of a target by a stream's longest pause.

        Args:
            name: name of the target.
            pause_s: longest pause between two events.
            goal_s: pause that must not be exceeded.
            now_s: present time on the monotonic clock.

        Returns:
            The new limit if it was lowered, else None.
        """
        stats = self._changed(name)
        if stats is None or goal_s <= 0:
            return None
        if now_s - stats.limit_changed_s < LIMIT_INTERVAL_S:
            return None
        max_limit = _slots(stats.target)
        if pause_s > PAUSE_THRESHOLD * goal_s:
            used = min(stats.limit, stats.outstanding)
            lowest = max(MIN_LIMIT, stats.limit - MAX_LIMIT_DROP)
            stats.limit = max(lowest, used - LIMIT_STEP)
            stats.limit_changed_s = now_s
            return stats.limit
        if stats.limit < max_limit:
            stats.limit = min(max_limit, stats.limit + LIMIT_STEP)
            stats.limit_changed_s = now_s
        return None

    def record_broken_connection(self, name: str, now_s: float) -> float:
        """Back off from a target whose connection broke or was refused.

        Returns:
            The time for which the target gets no requests.
        """
        stats = self._changed(name)
        if stats is None:
            return 0.0
        self.record_failure(name)
        self.cold.suspect(name, 'connection', now_s)
        pause_s = doubled_s(
            BACKOFF_S, stats.connection_failures, MAX_BACKOFF_S
        )
        stats.connection_failures += 1
        stats.backoff_until_s = now_s + pause_s
        return pause_s

    def record_rate_limit(
        self, name: str, per_s: float | None, now_s: float
    ) -> bool:
        """Apply the limit that an answer names, None for no limit.

        Returns:
            Whether the limit began, ended or changed notably.
        """
        stats = self._stats.get(name)
        if stats is None:
            return False
        key = target_key(stats.target)
        if per_s is None and self.rates.limit_of(key) is None:
            return False
        self._changed(name)
        return self.rates.observe(key, per_s, now_s)

    def record_leaving(self, name: str, now_s: float) -> bool:
        """Record that a target leaves; return whether that is new."""
        stats = self._changed(name)
        if stats is None:
            return False
        return self.signals.mark_leaving(target_key(stats.target), now_s)

    def record_requested_pause(
        self, name: str, pause_s: float, now_s: float
    ) -> bool:
        """Send a target nothing for a time, and then one request at first.

        Returns:
            Whether it was not in a pause before.
        """
        stats = self._changed(name)
        if stats is None:
            return False
        key = target_key(stats.target)
        is_new = self.signals.pause(key, pause_s, now_s)
        self._apply_pause(stats)
        return is_new

    def allows(self, name: str, now_s: float) -> bool:
        """Return whether a target wants requests, by its own answers."""
        stats = self._stats.get(name)
        return stats is None or self.signals.allows(
            target_key(stats.target), now_s
        )

    def record_failure(self, name: str) -> None:
        """Count a failed request in the failure rate of a target."""
        stats = self._changed(name)
        if stats is not None:
            stats.failure_rate += FAILURE_GAIN * (1 - stats.failure_rate)

    def estimates(
        self, names: Iterable[str], now_s: float
    ) -> list[TargetEstimate]:
        """Return estimates for some targets as of now.

        They are kept until something is recorded of the target, but not for
        a target that limits its rate, as its room grows with time.
        """
        if now_s - self._estimated_s > ESTIMATE_MAX_AGE_S:
            self._estimates.clear()
            self._estimated_s = now_s
        self.cold.refresh_share(now_s)
        kept = self._estimates
        estimates = []
        for name in names:
            estimate = kept.get(name)
            if estimate is None:
                stats = self._stats.get(name)
                if stats is None:
                    continue
                key = target_key(stats.target)
                if self.signals.is_leaving(key):
                    continue
                rate = self.rates.limit_of(key)
                pace = self.cold.pace_of(name)
                estimate = stats.estimate(now_s, rate, pace)
                if rate is None:
                    kept[name] = estimate
            estimates.append(estimate)
        return estimates

    def choose(
        self,
        estimates: Iterable[TargetEstimate],
        size: RequestSize,
        budget: TimeBudget,
        now_s: float,
        busy: Iterable[TargetEstimate] = (),
        crowded: bool = False,
        short: bool = False,
        kept_tokens: Callable[[str], float] = holds_nothing,
    ) -> TargetEstimate | None:
        """Return the open target with the lowest cost; see TargetChoice."""
        return self.choice.choose(
            estimates,
            size,
            budget,
            now_s,
            busy,
            crowded,
            short,
            kept_tokens,
        )

    def _apply_pause(self, stats: TargetStats) -> None:
        until_s = self.signals.paused_until_s.get(target_key(stats.target))
        if until_s is not None:
            stats.backoff_until_s = max(stats.backoff_until_s, until_s)
            stats.connection_failures = max(1, stats.connection_failures)

    def _changed(self, name: str) -> TargetStats | None:
        """Return the statistics of a target that are about to change."""
        self._estimates.pop(name, None)
        return self._stats.get(name)


def target_key(target: Target) -> str:
    """Return a key that distinguishes the starts of a target."""
    return f'{target.name}/{target.incarnation}'


def _slots(target: Target) -> int:
    return target.slots or DEFAULT_SLOTS
