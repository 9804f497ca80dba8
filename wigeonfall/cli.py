"""The command line."""

import pathlib
from typing import Annotated
from typing import NoReturn

from result import Err
import typer

from . import ini
from . import recorder
from . import settings as settings_module
from . import VERSION
from .serving import process

EXIT_FAULT = 2

app = typer.Typer(no_args_is_help=True, help='Schedule requests to engines.')

SettingsFile = Annotated[
    pathlib.Path, typer.Option(help='INI file of the process.')
]


@app.command()
def serve(settings: SettingsFile) -> None:
    """Run one entry instance until it is told to stop."""
    read = settings_module.read_process_settings(settings)
    if isinstance(read, Err):
        _fail(read.err_value)
    process_settings = read.ok_value
    files = process_settings.configuration
    configuration = settings_module.read_configuration(
        pathlib.Path(files.base_file),
        pathlib.Path(files.overlay_file) if files.overlay_file else None,
        process_settings.instance.data_center,
    )
    if isinstance(configuration, Err):
        _fail(configuration.err_value)
    recorder.log_to_stdout(process_settings.log.level)
    process.run(process.make_process(process_settings, configuration.ok_value))


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(VERSION)


def _fail(faults: ini.Faults) -> NoReturn:
    for fault in faults:
        typer.echo(str(fault), err=True)
    raise typer.Exit(EXIT_FAULT)


def main() -> None:
    """Run the command line."""
    app()
