"""Figures of a run: from callers, targets, the platform and /proc."""

import collections
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

from tests.fakes import engine_values
from tests.fakes import prefix_cache

from .caller import Outcome

TICKS_PER_S = 10_000
MOST_TICKS = 600 * TICKS_PER_S
PERCENTILES = (50, 95, 99)
VERSION = 'v1'


@attrs.frozen
class Observed:
    """What the processes of a run recorded.

    Attributes:
        engines: records of the engines by name.
        services: records of the plain services by name.
        platform: records of the platform.
        instances: CPU and memory of the instances by name.
        elapsed_s: time over which CPU was counted.
    """

    engines: dict[str, Any]
    services: dict[str, Any]
    platform: dict[str, Any]
    instances: dict[str, dict[str, float]]
    elapsed_s: float


def summarize(outcomes: list[Outcome], observed: Observed) -> dict[str, Any]:
    """Return all figures of a run as JSON values."""
    for outcome in outcomes:
        _check_text(outcome)
    return {
        'tiers': _by(outcomes, lambda outcome: outcome.arrival.tier),
        'kinds': _by(outcomes, lambda outcome: outcome.arrival.kind),
        'prefill': prefill(observed.engines),
        'targets': _targets(outcomes, observed),
        'promises': promises(outcomes, observed),
        'platform': {
            'counts': observed.platform['counts'],
            'by_kind': observed.platform['by_kind'],
        },
        'instances': observed.instances,
        'elapsed_s': observed.elapsed_s,
    }


def _check_text(outcome: Outcome) -> None:
    arrival = outcome.arrival
    if not (arrival.model and outcome.good and arrival.body):
        return
    expected = engine_values.expected_answer(
        arrival.body['messages'], VERSION, arrival.body['max_tokens']
    )
    if outcome.text != expected:
        outcome.fault = 'wrong text'


def _by(outcomes: list[Outcome], group: Any) -> dict[str, Any]:
    grouped: dict[str, list[Outcome]] = collections.defaultdict(list)
    for outcome in outcomes:
        grouped[group(outcome)].append(outcome)
    return {name: _figures(grouped[name]) for name in sorted(grouped)}


def _figures(outcomes: list[Outcome]) -> dict[str, Any]:
    good = [outcome for outcome in outcomes if outcome.good]
    firsts = [o.first_token_s for o in outcomes if o.first_token_s >= 0]
    gaps = [gap_s for o in outcomes for gap_s in o.gaps_s]
    ends = collections.Counter(_end(outcome) for outcome in outcomes)
    return {
        'offered': len(outcomes),
        'good': len(good),
        'goodput': len(good) / len(outcomes),
        'ends': dict(ends),
        'first_token_ms': percentiles(firsts),
        'between_tokens_ms': percentiles(gaps),
        'whole_answer_ms': percentiles([o.took_s for o in good]),
    }


def _end(outcome: Outcome) -> str:
    if outcome.good:
        return 'good'
    if outcome.fault and not outcome.code:
        return outcome.fault
    if outcome.code:
        return f'{outcome.code} ({outcome.run})'
    return 'late' if outcome.status == 200 else f'status {outcome.status}'


def percentiles(values_s: list[float]) -> dict[str, float]:
    """Return percentiles of times in milliseconds."""
    if not values_s:
        return {}
    histogram = HdrHistogram(1, MOST_TICKS, 3)
    for value_s in values_s:
        histogram.record_value(max(1, int(value_s * TICKS_PER_S)))
    return {
        f'p{p}': histogram.get_value_at_percentile(p) * 1000 / TICKS_PER_S
        for p in PERCENTILES
    }


def prefill(engines: dict[str, Any]) -> dict[str, float]:
    """Return the tokens that engines read, and those read before.

    A block counts as wasted when any engine had read it before, also if its
    cache had dropped it since. Tokens read again after a cancel or for a
    resumed stream count likewise.
    """
    reads: collections.Counter[str] = collections.Counter()
    prefilled = 0
    for record in engines.values():
        reads.update(record['block_prefills'])
        prefilled += sum(r['prefilled_tokens'] for r in record['records'])
    again = sum(count - 1 for count in reads.values())
    wasted = again * prefix_cache.BLOCK_TOKENS
    cached = sum(
        r['cached_tokens']
        for record in engines.values()
        for r in record['records']
    )
    return {
        'prefilled_tokens': prefilled,
        'cached_tokens': cached,
        'wasted_tokens': wasted,
        'wasted_share': wasted / prefilled if prefilled else 0.0,
    }


def _targets(outcomes: list[Outcome], observed: Observed) -> dict[str, Any]:
    records = [
        record
        for target in [*observed.engines.values(), *observed.services.values()]
        for record in target['records']
    ]
    tries = collections.Counter(record['request_id'] for record in records)
    return {
        'attempts': len(records),
        'requests': len(tries),
        'retries': len(records) - len(tries),
        'attempt_ends': dict(
            collections.Counter(record['outcome'] for record in records)
        ),
        'attempts_by_target': {
            name: len(target['records'])
            for name, target in [
                *observed.engines.items(),
                *observed.services.items(),
            ]
        },
    }


def promises(outcomes: list[Outcome], observed: Observed) -> dict[str, int]:
    """Return how often a promise was broken.

    Returns:
        runs of orders above one, refusals that said "not run" of a request
        that ran, answers that passed for whole and were not, and answers
        whose connection broke off.
    """
    runs: collections.Counter[str] = collections.Counter()
    by_key: collections.Counter[str] = collections.Counter()
    for service in observed.services.values():
        runs.update(service['by_request'])
        by_key.update(service['by_key'])
    by_key.pop('', None)
    for engine in observed.engines.values():
        runs.update(
            record['request_id']
            for record in engine['records']
            if record['prefilled_tokens'] or record['decoded_tokens']
        )
    untrue = [
        o.arrival.id
        for o in outcomes
        if o.run == 'not-run' and runs[o.arrival.id]
    ]
    return {
        'orders_run_again': sum(n - 1 for n in by_key.values() if n > 1),
        'not_run_but_ran': len(untrue),
        'false_answers': sum(o.false for o in outcomes),
        'cut_answers': sum(o.cut for o in outcomes),
    }
