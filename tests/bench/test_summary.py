"""Tests of the figures of a run."""

from typing import Any

from bench import arrivals
from bench import caller
from bench import summary

BLOCK_TOKENS = summary.prefix_cache.BLOCK_TOKENS


def _arrival(request_id: str) -> arrivals.Arrival:
    return arrivals.Arrival(
        id=request_id,
        at_s=0.0,
        kind='member-order',
        customer='tienda',
        tier='orders',
        method='POST',
        service='pedidos-app',
        path='/member-orders',
        body=None,
        deadline_s=5.0,
    )


def _observed(service: dict[str, Any]) -> summary.Observed:
    return summary.Observed({}, {'s': service}, {}, {}, 1.0)


def test_orders_that_ran_again_are_counted() -> None:
    service = {'by_request': {'a': 2, 'b': 1}, 'by_key': {'k': 3, 'm': 2}}
    figures = summary.promises([], _observed(service))
    assert figures['orders_run_again'] == 3


def test_untrue_refusal_is_counted() -> None:
    service = {'by_request': {'a': 1}, 'by_key': {'k': 1}}
    outcomes = [
        caller.Outcome(
            _arrival('a'), status=503, run='not-run', code='overloaded'
        ),
        caller.Outcome(
            _arrival('b'), status=503, run='not-run', code='overloaded'
        ),
        caller.Outcome(
            _arrival('a'), status=504, run='unknown', code='silent'
        ),
    ]
    figures = summary.promises(outcomes, _observed(service))
    assert figures['not_run_but_ran'] == 1


def test_answer_that_passed_for_whole_is_counted() -> None:
    outcomes = [
        caller.Outcome(_arrival('a'), status=200, fault='no [DONE]'),
        caller.Outcome(
            _arrival('b'), status=200, fault='refused', code='silent'
        ),
        caller.Outcome(_arrival('c'), status=200),
        caller.Outcome(_arrival('d'), status=200, fault='cut: AnswerBroken'),
    ]
    service: dict[str, Any] = {'by_request': {}, 'by_key': {}}
    figures = summary.promises(outcomes, _observed(service))
    assert (figures['false_answers'], figures['cut_answers']) == (1, 1)


def test_late_answer_is_not_good() -> None:
    assert caller.Outcome(_arrival('a'), status=200, took_s=4.9).good
    assert not caller.Outcome(_arrival('a'), status=200, took_s=5.1).good


def test_blocks_read_before_by_any_engine_are_wasted() -> None:
    record = {'prefilled_tokens': 4 * BLOCK_TOKENS, 'cached_tokens': 0}
    engines = {
        'one': {'block_prefills': {'x': 1, 'y': 1}, 'records': [record]},
        'two': {'block_prefills': {'x': 2}, 'records': []},
    }
    figures = summary.prefill(engines)
    assert figures['wasted_tokens'] == 2 * BLOCK_TOKENS
    assert figures['wasted_share'] == 0.5


def test_percentiles_are_in_milliseconds() -> None:
    values_s = [number / 1000 for number in range(1, 101)]
    assert round(summary.percentiles(values_s)['p95']) == 95
    assert summary.percentiles([]) == {}
