"""Tests that the codes of refusals are documented."""

import pathlib

from wigeonfall.model import refusal

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'REFUSALS.md'


def test_every_code_is_documented() -> None:
    text = PAGE.read_text('utf-8')
    missing = [
        code.label for code in refusal.Code if f'`{code.label}`' not in text
    ]
    assert missing == []
