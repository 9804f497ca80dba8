"""Chooses the target that serves a request best.

Load pattern: targets of unlike speed and load are open at the same time, and a
long prompt delays all streams at the target that it goes to. Expected times
and what a request costs the others there are compared.

When a whole fleet starts, nothing is known of any target, and no instance
hears another yet. Targets that cost the same are told apart by their requests
and their data centre, and then in an order that differs from instance to
instance, so that not all send to the same one.
"""

from collections.abc import Callable
from collections.abc import Iterable

import attrs
import xxhash

from .kept_parts import holds_nothing
from .kept_parts import Option
from .kept_parts import prefer_holder
from .target_stats import RequestSize
from .target_stats import TargetEstimate

REMOTE_PENALTY = 0.03  # share added for a target in another data centre
FAILURE_PENALTY = 4.0  # multiplied with the failure rate
DECODE_WEIGHT = 0.5  # of decode time against time to the first event
BLOCKING_WEIGHT = 0.3  # of the time that a prompt delays another stream
COLD_PENALTY = 0.25  # share added for a target that is known to be cold
LATE_FACTOR = 3.0  # if the first event would miss its goal


@attrs.frozen
class TimeBudget:
    """Time that is left for a request.

    Attributes:
        goal_s: until the goal for the first event is missed.
        patience_s: until the caller gives up without a first event.
        time_left_s: until the deadline of the whole answer.
    """

    goal_s: float
    patience_s: float
    time_left_s: float


@attrs.frozen
class TargetChoice:
    """Compares targets for requests.

    Attributes:
        data_center: data centre of this instance.
        name: name of this instance.
    """

    data_center: str
    name: str = ''

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
        """Return the open target with the lowest cost.

        Args:
            estimates: targets that may get the request.
            size: size of the request.
            budget: time that is left for the request.
            now_s: present time on the monotonic clock.
            busy: further targets that may get it later.
            crowded: whether many requests wait.
            short: whether it occupies a slot for less time than most. A
                target that limits its rate is left to longer ones then.
            kept_tokens: returns how many of its prompt tokens a target holds
                and need not read again, by the target's name.

        Returns:
            The best target, or None if none is open and expected to begin
            within the caller's patience. A target that would miss the
            deadline is left out if any other target would meet it.
        """
        estimates = list(estimates)

        def unread(estimate: TargetEstimate) -> RequestSize:
            if kept_tokens is holds_nothing:
                return size
            return size.without(kept_tokens(estimate.stats.target.name))

        if short and any(e.rate is not None for e in estimates):
            busy = list(busy)
            if any(
                e.rate is None and e.stats.backoff_until_s <= now_s
                for e in busy
            ):
                estimates = [
                    e for e in estimates if e.rate is None or e.rate.is_full
                ]
        candidates = [
            e
            for e in estimates
            if e.is_open(now_s, crowded)
            and e.accepts(unread(e))
            and e.first_s(unread(e)) <= budget.patience_s
        ]
        in_time = [
            e for e in candidates if _meets_deadline(e, unread(e), budget)
        ]
        if not in_time and any(
            _meets_deadline(e, unread(e), budget)
            for e in (*estimates, *busy)
            if e.stats.backoff_until_s <= now_s
        ):
            return None
        chosen_from = in_time or candidates
        if kept_tokens is holds_nothing:
            return min(
                chosen_from,
                key=lambda e: (
                    self._cost(e, e.first_s(size), size, budget),
                    *self._tie(e),
                ),
                default=None,
            )
        options = self.options(chosen_from, size, budget, kept_tokens)
        return prefer_holder(options, budget.goal_s)

    def options(
        self,
        estimates: Iterable[TargetEstimate],
        size: RequestSize,
        budget: TimeBudget,
        kept_tokens: Callable[[str], float],
    ) -> list[tuple[TargetEstimate, Option]]:
        """Return targets with what is expected of a request there.

        The arguments are those of choose.
        """
        options = []
        for estimate in estimates:
            kept = kept_tokens(estimate.stats.target.name)
            unread = size.without(kept)
            first_s = estimate.first_s(unread)
            cost_s = self._cost(estimate, first_s, unread, budget)
            spared_s = kept * estimate.prefill_s
            option = Option(first_s, cost_s, kept, spared_s)
            options.append((estimate, option))
        return options

    def _tie(self, estimate: TargetEstimate) -> tuple[int, bool, int]:
        """Return what tells targets of the same cost apart."""
        if estimate.prefill_s > 0:
            return 0, False, 0
        target = estimate.stats.target
        order = xxhash.xxh32_intdigest(f'{self.name}/{target.name}'.encode())
        remote = target.data_center != self.data_center
        return estimate.outstanding, remote, order

    def _cost(
        self,
        estimate: TargetEstimate,
        first_s: float,
        size: RequestSize,
        budget: TimeBudget,
    ) -> float:
        stats = estimate.stats
        cost = first_s + DECODE_WEIGHT * estimate.decode_s * size.answer_tokens
        # A long prompt delays all streams that run there.
        prompt_s = estimate.prefill_s * size.prompt_tokens
        cost += BLOCKING_WEIGHT * estimate.outstanding * prompt_s
        if first_s > budget.goal_s:
            cost *= LATE_FACTOR
        cost *= 1 + FAILURE_PENALTY * stats.failure_rate
        if stats.target.data_center != self.data_center:
            cost *= 1 + REMOTE_PENALTY
        if estimate.pace is not None and estimate.pace.is_cold:
            cost *= 1 + COLD_PENALTY
        return cost


def _meets_deadline(
    estimate: TargetEstimate, size: RequestSize, budget: TimeBudget
) -> bool:
    answer_s = estimate.decode_s * size.answer_tokens
    return estimate.first_s(size) + answer_s <= budget.time_left_s
