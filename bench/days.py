"""Tables of the worth of played days, from the journal of the users' bench."""

from collections.abc import Iterable
import json
import pathlib
from typing import Annotated

import attrs
import typer


@attrs.frozen
class Score:
    """One score of a site.

    Attributes:
        id: identifier of the journal's entry.
        at: when it began.
        site: name of the site.
        why: what was tried.
        worths: worth by day; the day drawn for this score is left out.
    """

    id: str
    at: str
    site: str
    why: str
    worths: dict[str, float]


def read(directory: pathlib.Path) -> list[Score]:
    """Return the scores in a journal, oldest first."""
    scores = []
    for path in sorted(directory.glob('*.json')):
        value = json.loads(path.read_text('utf-8'))
        # An entry that was copied while it was written holds no days.
        if value.get('cmd') != 'score' or not value.get('days'):
            continue
        scores.append(
            Score(
                value['id'],
                value['at'][0],
                value['site'],
                value.get('why') or '',
                {
                    day['name']: day['G']
                    for day in value['days']
                    if not day['name'].startswith('fresh')
                },
            )
        )
    return scores


def table(scores: Iterable[Score], site: str) -> str:
    """Return the scores of a site as a table in Markdown."""
    chosen = [score for score in scores if score.site == site]
    names = list(dict.fromkeys(n for s in chosen for n in s.worths))
    rows = [
        ['entry', *names, 'mean', 'tried'],
        ['---'] * (len(names) + 3),
    ]
    for score in chosen:
        worths = [score.worths.get(name) for name in names]
        known = [worth for worth in worths if worth is not None]
        mean = sum(known) / max(1, len(known))
        cells = ['' if worth is None else f'{worth:.3f}' for worth in worths]
        rows.append([score.id, *cells, f'{mean:.3f}', score.why])
    return '\n'.join(f'| {" | ".join(row)} |' for row in rows)


def main(
    directory: Annotated[pathlib.Path, typer.Argument()] = pathlib.Path(
        'journal'
    ),
) -> None:
    """Print a table for each site of a journal."""
    scores = read(directory)
    for site in dict.fromkeys(score.site for score in scores):
        typer.echo(f'{site}\n\n{table(scores, site)}\n')


if __name__ == '__main__':
    typer.run(main)
