"""The command line."""

import json
import pathlib
from typing import Annotated
from typing import NoReturn

from result import Err
import typer

from . import errors
from . import explain
from . import ini
from . import recorder
from . import settings as settings_module
from . import timeline
from . import VERSION
from .adapters import platform
from .commands.common import ExitCode
from .commands.common import Output
from .commands import configuration as configuration_commands
from .commands import place as place_command
from .commands import rollout
from .serving import assembly
from .serving import process

app = typer.Typer(no_args_is_help=True, help='Schedule requests to engines.')
configuration_commands.register(app)
place_command.register(app)

app.add_typer(rollout.make_app(platform.make_platform), name='rollout')

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
    lines = recorder.queue_to_stdout(process_settings.log.level)
    try:
        made = assembly.make_process(process_settings, configuration.ok_value)
    except errors.WigeonfallError as error:
        typer.echo(str(error), err=True)
        lines.stop()
        raise typer.Exit(ExitCode.FAULT) from error
    try:
        process.run(made)
    finally:
        lines.stop()
    lines.end_process(0)


@app.command('timeline')
def show_timeline(
    sources: Annotated[
        list[str],
        typer.Argument(help='Log files, or "host:port" of instances.'),
    ],
    output: Annotated[Output, typer.Option(help='Form of the output.')] = (
        Output.TABLE
    ),
    authority_file: Annotated[
        str, typer.Option(help="PEM authority of instances' certificates.")
    ] = '',
    certificate_file: Annotated[
        str, typer.Option(help='PEM certificate to show to instances.')
    ] = '',
    key_file: Annotated[
        str, typer.Option(help='PEM private key of that certificate.')
    ] = '',
) -> None:
    """Merge the events of files and instances in causal order."""
    key = settings_module.read_secret('operators_key', '')
    files = timeline.TlsFiles(authority_file, certificate_file, key_file)
    try:
        read = [_read_events(source, key, files) for source in sources]
    except timeline.TimelineError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.UNREACHABLE) from error
    for entry in timeline.merge(read):
        if output is Output.JSON:
            typer.echo(json.dumps(recorder.to_json(entry)))
        else:
            typer.echo(timeline.describe(entry))


@app.command('explain')
def explain_request(
    request_id: Annotated[
        str, typer.Argument(help='Identifier that the caller gave.')
    ],
    files: Annotated[
        list[pathlib.Path],
        typer.Argument(help='Log files of the instances; - reads the input.'),
    ],
    output: Annotated[Output, typer.Option(help='Form of the output.')] = (
        Output.TABLE
    ),
) -> None:
    """Show what became of one request, and why."""
    try:
        read = [timeline.read_log(path) for path in files]
    except timeline.TimelineError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.UNREACHABLE) from error
    story = explain.tell(tuple(timeline.merge(read)), request_id)
    if output is Output.JSON:
        entries = [recorder.to_json(entry) for entry in story.entries]
        typer.echo(json.dumps({'cause': story.cause, 'events': entries}))
    else:
        for entry in story.entries:
            typer.echo(timeline.describe(entry))
        typer.echo(f'{request_id}: {story.cause}')
    if not story.entries:
        raise typer.Exit(ExitCode.UNREACHABLE)


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(VERSION)


def _read_events(
    source: str, key: str, files: timeline.TlsFiles
) -> tuple[recorder.Entry, ...]:
    path = pathlib.Path(source)
    if path.exists() or ':' not in source:
        return timeline.read_file(path)
    return timeline.read_instance(source, key, files)


def _fail(faults: ini.Faults) -> NoReturn:
    for fault in faults:
        typer.echo(str(fault), err=True)
    raise typer.Exit(ExitCode.FAULT)


def main() -> None:
    """Run the command line."""
    app()
