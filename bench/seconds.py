"""Plots what became of the requests of a played day, second by second.

Run with `python -m bench.seconds DAY.txt DAY.png` on what the users' bench
printed for one day.
"""

import pathlib
import re

import attrs
import matplotlib
import typer

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

_HEAD = 'from second'
_ROW = re.compile(r'^\s*(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s')
WIDTH_S = 2.0  # of a row, as the bench prints them


@attrs.frozen
class Row:
    """What became of the requests that came within two seconds.

    Attributes:
        from_s: begin of that time in the day.
        asked: requests that came.
        in_aim: answers within their goals.
        late: later answers.
        refused: requests that were refused in the end.
        failed: requests that failed.
    """

    from_s: float
    asked: int
    in_aim: int
    late: int
    refused: int
    failed: int


def read(text: str) -> list[Row]:
    """Return the rows of a day.

    Args:
        text: what the bench printed.

    Raises:
        ValueError: it holds no table by seconds.
    """
    _, found, rest = text.partition(_HEAD)
    rows = []
    for line in rest.splitlines()[1:]:
        matched = _ROW.match(line)
        if matched is None:
            break
        first, *counts = map(int, matched.groups())
        rows.append(Row(float(first), *counts))
    if not found or not rows:
        raise ValueError('no table by seconds')
    return rows


def main(source: pathlib.Path, picture: pathlib.Path) -> None:
    """Draw the seconds of one day."""
    rows = read(source.read_text('utf-8'))
    starts = [row.from_s for row in rows]
    figure, axes = pyplot.subplots(figsize=(9, 4))
    below = [0.0] * len(rows)
    for name, color in (
        ('in_aim', 'tab:green'),
        ('late', 'tab:olive'),
        ('refused', 'tab:orange'),
        ('failed', 'tab:red'),
    ):
        heights = [getattr(row, name) / WIDTH_S for row in rows]
        axes.bar(
            starts,
            heights,
            WIDTH_S,
            bottom=below,
            align='edge',
            color=color,
            label=name.replace('_', ' '),
        )
        below = [b + h for b, h in zip(below, heights, strict=True)]
    asked = [row.asked / WIDTH_S for row in rows]
    axes.step(starts, asked, where='post', color='black', label='asked')
    axes.set_xlabel('second of the day')
    axes.set_ylabel('requests a second')
    axes.legend(loc='upper left', ncol=5)
    figure.tight_layout()
    figure.savefig(picture, dpi=100)


if __name__ == '__main__':
    typer.run(main)
