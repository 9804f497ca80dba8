"""Tests of the callers against an engine stand-in."""

import asyncio
from typing import Any

import attrs
import pytest

from bench import arrivals
from bench import caller
from tests.fakes import engine
from tests.fakes import engine_values

ARRIVAL = arrivals.Arrival(
    id='r',
    at_s=0.0,
    kind='recipe-question',
    customer='recetas',
    tier='interactive',
    method='POST',
    service='',
    path='/v1/chat/completions',
    body={
        'model': 'recipes',
        'messages': [{'role': 'user', 'content': 'how long?'}],
        'max_tokens': 20,
        'stream': True,
    },
    deadline_s=20.0,
)


def _call(deadline_s: float, **switches: Any) -> caller.Outcome:
    handle = engine.start(**switches)
    callers = caller.Callers(lambda *_: (handle.address, lambda: None))
    asyncio.run(callers.run([attrs.evolve(ARRIVAL, deadline_s=deadline_s)]))
    handle.stop()
    return callers.outcomes[0]


def test_whole_stream_is_good() -> None:
    outcome = _call(20.0)
    messages = ARRIVAL.body['messages'] if ARRIVAL.body else []
    assert outcome.text == engine_values.expected_answer(messages, 'v1', 20)
    assert (outcome.good, len(outcome.gaps_s)) == (True, 19)


def test_answer_without_its_end_is_false_or_cut() -> None:
    early = _call(20.0, end_early_after_events=3)
    cut = _call(20.0, truncate_after_events=3)
    assert (early.false, early.cut, early.fault) == (True, False, 'no [DONE]')
    assert (cut.false, cut.cut) == (False, True)


def test_caller_who_gives_up_is_told_from_a_cut_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(caller, 'GRACE_S', 0.1)
    outcome = _call(0.5, silent_after_events=3)
    assert outcome.fault == caller.GAVE_UP
    assert not outcome.cut and not outcome.false
