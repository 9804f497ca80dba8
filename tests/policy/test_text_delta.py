"""Tests of deltas between texts."""

import hypothesis
from hypothesis import strategies
import pytest

from wigeonfall.policy import text_delta

texts = strategies.lists(
    strategies.sampled_from(['a\n', 'b\n', 'c\r\n', '\n', 'd'])
).map(''.join)


@hypothesis.given(texts, texts)
def test_applying_a_delta_gives_the_newer_text(older: str, newer: str) -> None:
    delta = text_delta.make_delta(older, newer)
    assert text_delta.apply_delta(older, delta) == newer


def test_a_small_change_gives_a_small_delta() -> None:
    older = ''.join(f'line {n}\n' for n in range(1000))
    delta = text_delta.make_delta(older, older.replace('line 500\n', 'x\n'))
    assert delta == text_delta.Delta(500, 499, 'x\n')


def test_a_delta_of_another_text_is_refused() -> None:
    with pytest.raises(ValueError, match='another text'):
        text_delta.apply_delta('a\n', text_delta.Delta(2, 1, ''))
