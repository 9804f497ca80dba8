"""Shows the figures of a run as a table and as a plot."""

import pathlib
from typing import Any

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402
from rich import console  # noqa: E402
from rich import table  # noqa: E402


def show(result: dict[str, Any]) -> None:
    """Print the figures of all placements."""
    out = console.Console(width=110)
    kinds = table.Table(title=result['command'])
    for column in (
        'placement',
        'tier or kind',
        'offered',
        'goodput',
        'TTFT p50',
        'TTFT p95',
        'gap p95',
        'whole p95',
    ):
        kinds.add_column(column)
    for placement, figures in result['placements'].items():
        for group in ('tiers', 'kinds'):
            for name, row in figures[group].items():
                kinds.add_row(placement, name, *_cells(row))
        kinds.add_section()
    out.print(kinds)
    for placement, figures in result['placements'].items():
        out.print(f'[bold]{placement}')
        for part in ('prefill', 'promises', 'load_tool', 'instances'):
            out.print(f'  {part}: {_rounded(figures[part])}')
        targets = figures['targets']
        out.print(f'  retries: {targets["retries"]}')
        out.print(f'  attempt ends: {targets["attempt_ends"]}')
        ends = {
            name: row['ends']
            for name, row in figures['kinds'].items()
            if row['goodput'] < 1
        }
        out.print(f'  ends: {ends}')
        counts = figures['platform']['counts']
        out.print(f'  platform: {counts}')


def _cells(row: dict[str, Any]) -> tuple[str, ...]:
    first = row['first_token_ms']
    return (
        str(row['offered']),
        f'{row["goodput"]:.3f}',
        _ms(first.get('p50')),
        _ms(first.get('p95')),
        _ms(row['between_tokens_ms'].get('p95')),
        _ms(row['whole_answer_ms'].get('p95')),
    )


def _ms(value: float | None) -> str:
    return '' if value is None else f'{value:.0f} ms'


def _rounded(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _rounded(item) for key, item in value.items()}
    return round(value, 4) if isinstance(value, float) else value


def plot(result: dict[str, Any], path: pathlib.Path) -> None:
    """Draw goodput by tier and first-token times by kind."""
    placements = result['placements']
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    _bars(left, placements, 'tiers', lambda row: row['goodput'])
    left.set_ylabel('goodput (share of offered)')
    left.set_ylim(0, 1.05)
    _bars(
        right,
        placements,
        'kinds',
        lambda row: row['first_token_ms'].get('p95', 0) / 1000,
    )
    right.set_ylabel('time to first token, p95 (s)')
    right.legend(fontsize='small')
    figure.suptitle(result['command'], fontsize='small')
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def _bars(axes: Any, placements: Any, group: str, value: Any) -> None:
    width = 0.8 / len(placements)
    for place, (name, figures) in enumerate(placements.items()):
        rows = figures[group]
        positions = [at + place * width for at in range(len(rows))]
        heights = [value(row) for row in rows.values()]
        axes.bar(positions, heights, width, label=name)
        axes.set_xticks(range(len(rows)), list(rows), rotation=20)
