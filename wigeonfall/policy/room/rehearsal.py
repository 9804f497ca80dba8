"""Finds out what would become of a request, without changing anything.

Load pattern: an operator asks while requests wait, some targets are full and
others back off. The decisions are those of a real request, taken on a copy of
the queue and of what is known of targets.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import enum
import math

import attrs

from ..targets.target_choice import TimeBudget
from ..targets.target_stats import TargetEstimate
from .pending import PendingRequest
from .waiting import RequestQueue


class Standing(enum.Enum):
    """Whether a target may get the request, and why not."""

    OPEN = 'open'
    NOT_ELIGIBLE = 'not eligible'
    BACKED_OFF = 'backed off'
    RATE_LIMITED = 'at its rate limit'
    FULL = 'full'
    TOO_SLOW = 'begins too late'
    UNTRIED = 'too little known'


@attrs.frozen
class TargetScore:
    """What is expected of the request at one target.

    Attributes:
        target: name of the target.
        data_center: its data centre.
        version: its version.
        standing: whether it may get the request.
        cost_s: weighted time by which targets are compared.
        first_s: expected time to the first event.
        queue_s: of that, for prompts queued there and the fixed cost.
        read_s: of that, for the tokens of the prompt that it has to read.
        answer_s: expected time from the first event to the end.
        kept_tokens: tokens of the prompt that it is believed to hold.
        outstanding: requests outstanding there.
        limit: most requests outstanding there.
        failure_rate: share of failed requests.
        backoff_s: time for which it gets no requests.
        measured_age_s: age of this instance's last measurement there, None
            without one.
    """

    target: str
    data_center: str
    version: str
    standing: Standing
    cost_s: float
    first_s: float
    queue_s: float
    read_s: float
    answer_s: float
    kept_tokens: float
    outstanding: int
    limit: float
    failure_rate: float
    backoff_s: float
    measured_age_s: float | None


@attrs.frozen
class Rehearsal:
    """What would become of a request now.

    Attributes:
        target: the target that would get it, '' if none would.
        expired: whether it would be refused at once.
        retry_after_s: when its caller should return then, None if it has too
            little time.
        ahead: requests that would wait before it.
        wait_s: expected wait behind them.
        has_room: whether a target is open that no request waits for.
        scores: the targets, the chosen one first, then the open ones, each by
            cost.
    """

    target: str
    expired: bool
    retry_after_s: float | None
    ahead: int
    wait_s: float
    has_room: bool
    scores: tuple[TargetScore, ...]


def rehearse(
    queue: RequestQueue,
    pending: PendingRequest,
    names: Collection[str],
    peers_waiting: Mapping[int, int],
    now_s: float,
) -> Rehearsal:
    """Return what would become of a request if it came now.

    Args:
        queue: the waiting requests of its service, which stay as they are.
        pending: the request; its identifier is unlike all others.
        names: targets that may get requests.
        peers_waiting: waiting requests of all peers by priority class.
        now_s: present time on the monotonic clock.
    """
    trial = queue.trial_copy(now_s)
    estimates = trial.balancer.estimates(names, now_s)
    has_room = not (len(trial) or any(peers_waiting.values())) and any(
        e.free_slots >= 1 and e.is_open(now_s) for e in estimates
    )
    scores = _scores(trial, pending, estimates, now_s)
    trial.add(pending)
    target = ''
    for sent, stats in trial.dispatch(names, peers_waiting, now_s):
        if sent.id == pending.id:
            target = stats.target.name
    expired = any(p.id == pending.id for p in trial.pop_expired(now_s))
    ahead, wait_s = (0, 0.0)
    if not target and not expired:
        ahead, wait_s = trial.ahead_of(pending.id)
    return Rehearsal(
        target,
        expired,
        trial.retry_after_s(pending, now_s) if expired else None,
        ahead,
        wait_s,
        has_room,
        tuple(
            sorted(
                scores,
                key=lambda score: (
                    score.target != target,
                    score.standing is not Standing.OPEN,
                    score.cost_s,
                ),
            )
        ),
    )


def _scores(
    trial: RequestQueue,
    pending: PendingRequest,
    estimates: Iterable[TargetEstimate],
    now_s: float,
) -> list[TargetScore]:
    estimates = list(estimates)
    by_name = {e.stats.target.name: e for e in estimates}
    kept = trial.kept.kept_tokens(pending.parts, by_name, now_s)
    budget = TimeBudget(
        pending.goal_s - now_s,
        pending.patience_s - now_s,
        pending.deadline_s - now_s,
    )
    options = trial.balancer.choice.options(
        estimates, pending.size, budget, lambda name: kept.get(name, 0.0)
    )
    scores = []
    for estimate, option in options:
        stats = estimate.stats
        measured_s = max(stats.prefill_s.updated_s, stats.decode_s.updated_s)
        unread = pending.size.without(option.kept_tokens)
        scores.append(
            TargetScore(
                stats.target.name,
                stats.target.data_center,
                stats.target.version,
                _standing(estimate, pending, option.first_s, budget, now_s),
                option.cost_s,
                option.first_s,
                estimate.prefill_s * estimate.queued_tokens,
                estimate.prefill_s * unread.prompt_tokens,
                estimate.decode_s * unread.answer_tokens,
                option.kept_tokens,
                estimate.outstanding,
                stats.limit,
                stats.failure_rate,
                max(0.0, stats.backoff_until_s - now_s),
                now_s - measured_s if measured_s else None,
            )
        )
    return scores


def _standing(
    estimate: TargetEstimate,
    pending: PendingRequest,
    first_s: float,
    budget: TimeBudget,
    now_s: float,
) -> Standing:
    stats = estimate.stats
    if not pending.is_eligible(stats.target.name):
        return Standing.NOT_ELIGIBLE
    if stats.backoff_until_s > now_s:
        return Standing.BACKED_OFF
    if math.floor(estimate.free_slots) < 1:
        limited = stats.free_slots >= 1 and estimate.rate is not None
        return Standing.RATE_LIMITED if limited else Standing.FULL
    if not estimate.is_open(now_s):
        return Standing.UNTRIED
    if first_s > budget.patience_s:
        return Standing.TOO_SLOW
    return Standing.OPEN
