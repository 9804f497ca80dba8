"""Tests of the encoding of the rollout state that instances exchange."""

import json
import zlib

import hypothesis
from hypothesis import strategies
import pytest

from wigeonfall.model.rollout import Move
from wigeonfall.model.rollout import Outcome
from wigeonfall.model.rollout import Rollout
from wigeonfall.policy.versions import outcome_counts
from wigeonfall.serving import rollout_exchange as exchange

TIMES_S = strategies.none() | strategies.floats(0, 1000)


@hypothesis.given(
    strategies.lists(
        strategies.builds(Outcome, strategies.booleans(), TIMES_S, TIMES_S)
    ),
    strategies.text(),
)
def test_states_survive_encoding(outcomes, text):
    """A decoded state equals the encoded one."""
    counts = outcome_counts.Counts()
    for outcome in outcomes:
        outcome_counts.count(counts, outcome)
    move = Move('id', 'start', text, text, 1.5, 0.0)
    rollout = Rollout('lm', 1, 'v1', text, 0.0, 9.0, 1.0, moves=(move,))
    state = exchange.State(
        2.5,
        (exchange.StoredRollout(7, rollout),),
        (exchange.Finding(rollout.id, text, 'a', text, 3.5),),
        {'a': 4.5},
        (
            outcome_counts.InstanceCounts(
                'a', 1, {outcome_counts.CountsKey('x', 'y', text): counts}
            ),
        ),
    )
    assert exchange.decode(exchange.encode(state)) == state


@hypothesis.given(strategies.binary(max_size=99))
def test_invalid_bytes_raise_value_error(data):
    """Bytes that are no state raise the error that topics document."""
    with pytest.raises(ValueError):
        exchange.decode(data)


@hypothesis.given(
    strategies.recursive(
        strategies.none() | strategies.integers() | strategies.text(),
        lambda inner: (
            strategies.lists(inner)
            | strategies.dictionaries(
                strategies.sampled_from(
                    ('fresh', 'rollouts', 'findings', 'lives', 'reports')
                ),
                inner,
            )
        ),
    )
)
def test_other_json_raises_only_value_error(value):
    """JSON of another shape raises nothing but ValueError."""
    data = zlib.compress(json.dumps(value).encode())
    try:
        exchange.decode(data)
    except ValueError:
        pass
