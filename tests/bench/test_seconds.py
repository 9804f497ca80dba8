"""Tests of plots of played days."""

import pathlib

import pytest

from bench import seconds

TEXT = """class                asked  in aim
report                  10       9

from second          asked  in aim   late refused failed not owed  worth
0                      855     791     17       0     29       18  0.815
2                      874     738      7       1     28      101  0.872

how tries ended: 200: 12306
"""


def test_rows_are_read() -> None:
    rows = seconds.read(TEXT)
    assert rows[0] == seconds.Row(0.0, 855, 791, 17, 0, 29)
    assert [row.refused for row in rows] == [0, 1]


def test_a_text_without_the_table_is_refused() -> None:
    with pytest.raises(ValueError):
        seconds.read('nothing')


def test_a_picture_is_drawn(tmp_path: pathlib.Path) -> None:
    source = tmp_path / 'day.txt'
    source.write_text(TEXT, 'utf-8')
    seconds.main(source, tmp_path / 'day.png')
    assert (tmp_path / 'day.png').stat().st_size > 1000
