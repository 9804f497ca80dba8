"""What all commands share: forms of output and exit codes."""

from collections.abc import Iterable
from collections.abc import Sequence
import enum
import json
from typing import Any

import rich.console
import rich.table
import typer


class Output(enum.Enum):
    """Form of what a command prints."""

    TABLE = 'table'
    JSON = 'json'


class ExitCode(enum.IntEnum):
    """Exit codes; 0 is success."""

    FAULT = 2
    UNREACHABLE = 3
    CONFLICT = 4
    UNKNOWN = 5


def print_json(value: Any) -> None:
    """Print a value as one JSON document."""
    typer.echo(json.dumps(value, indent=2))


def print_table(
    columns: Sequence[str], rows: Iterable[Sequence[object]]
) -> None:
    """Print rows under their headings."""
    table = rich.table.Table(*columns, box=None)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    rich.console.Console(soft_wrap=True).print(table)
