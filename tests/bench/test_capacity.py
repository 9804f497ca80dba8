"""The capacity page holds what the slopes give."""

import pytest

from bench import capacity


def test_the_page_is_up_to_date() -> None:
    page = capacity.PAGE.read_text()
    text = capacity.table(capacity.read_slopes())
    assert capacity.replaced(page, text) == page


def test_a_page_without_markers_is_refused() -> None:
    with pytest.raises(ValueError):
        capacity.replaced('no markers', 'text')
