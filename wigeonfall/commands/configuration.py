"""Commands: check, diff, apply, status and targets."""

import datetime
import getpass
import pathlib
from typing import Annotated
from typing import NoReturn
import uuid

import attrs
from result import Err
import typer

from .. import ini
from .. import operations
from .. import settings as settings_module
from ..adapters import configuration_store
from ..adapters import platform as platform_adapter
from . import common
from ..model.revision import Change
from ..model.revision import Texts
from ..model.site_status import SiteStatus
from ..operations import Failure
from ..policy.configuration import Difference
from ..ports.configuration import ConfigurationStore
from .common import ExitCode
from .common import Output

BaseFile = Annotated[
    pathlib.Path, typer.Argument(help='File that holds for all sites.')
]
SiteFiles = Annotated[
    list[str] | None,
    typer.Option('--site', help='NAME=FILE, the overlay of one data centre.'),
]
PlatformAddress = Annotated[
    str,
    typer.Option(
        '--platform',
        envvar='WIGEONFALL_PLATFORM',
        help='"host:port" of the platform.',
    ),
]
OutputForm = Annotated[Output, typer.Option(help='Form of the output.')]

_EXIT_CODES = {
    Failure.FAULTS: ExitCode.FAULT,
    Failure.CONFLICT: ExitCode.CONFLICT,
    Failure.UNREACHABLE: ExitCode.UNREACHABLE,
    Failure.UNKNOWN: ExitCode.UNKNOWN,
}


def register(app: typer.Typer) -> None:
    """Add the commands of this module to the command line."""
    app.command()(check)
    app.command()(diff)
    app.command()(apply)
    app.command()(status)
    app.command()(targets)


def check(
    base: Annotated[
        pathlib.Path | None,
        typer.Argument(help='File that holds for all sites.'),
    ] = None,
    site: SiteFiles = None,
    settings: Annotated[
        pathlib.Path | None, typer.Option(help='INI file of a process.')
    ] = None,
    output: OutputForm = Output.TABLE,
) -> None:
    """Check files and print each fault with its file and line."""
    if base is None and settings is None:
        raise typer.BadParameter('name a base file or --settings')
    faults: ini.Faults = ()
    if settings is not None:
        read = settings_module.read_process_settings(settings)
        if isinstance(read, Err):
            faults += read.err_value
    if base is not None:
        texts = operations.read_texts(base, _overlays(site))
        if isinstance(texts, Err):
            faults += texts.err_value.faults
    if output is Output.JSON:
        common.print_json([attrs.asdict(fault) for fault in faults])
    else:
        _print_faults(faults)
    if faults:
        raise typer.Exit(ExitCode.FAULT)


def diff(
    base: BaseFile,
    platform: PlatformAddress,
    site: SiteFiles = None,
    output: OutputForm = Output.TABLE,
) -> None:
    """Show what applying files would change."""
    wanted = _draft(_store(platform), _texts(base, site))
    _print_differences(wanted, output)


def apply(
    base: BaseFile,
    platform: PlatformAddress,
    site: SiteFiles = None,
    reason: Annotated[str, typer.Option(help='Why, for the record.')] = '',
    operator: Annotated[str, typer.Option(help='Who asks for it.')] = '',
    expect: Annotated[
        int | None,
        typer.Option(help='Version that must still be the accepted one.'),
    ] = None,
    yes: Annotated[bool, typer.Option(help='Do not ask.')] = False,
    output: OutputForm = Output.TABLE,
) -> None:
    """Apply files to the whole fleet, unless another change came first."""
    store = _store(platform)
    wanted = _draft(store, _texts(base, site))
    if expect is not None and expect != wanted.base_version:
        _fail(
            operations.OperationError(
                Failure.CONFLICT,
                f'version {wanted.base_version} is accepted, not {expect}',
                winner=_winner(wanted),
            )
        )
    if output is Output.TABLE:
        _print_differences(wanted, output)
    if not wanted.differences and wanted.stored.revision is not None:
        typer.echo('nothing changes', err=True)
        return
    if not yes:
        typer.confirm('Apply this?', abort=True, err=True)
    change = Change(
        version=0,
        id=uuid.uuid4().hex,
        operator=operator or getpass.getuser(),
        reason=reason,
        accepted_ms=_now_ms(),
    )
    applied = operations.apply(store, wanted, change)
    if isinstance(applied, Err):
        _fail(applied.err_value)
    accepted = applied.ok_value.change
    if output is Output.JSON:
        common.print_json(attrs.asdict(accepted))
    else:
        typer.echo(f'accepted as version {accepted.version}')


def status(
    platform: PlatformAddress,
    versions: Annotated[
        int, typer.Option(help='Latest changes to show.', min=1)
    ] = 1,
    output: OutputForm = Output.TABLE,
) -> None:
    """Show when the latest changes came into force at each site."""
    found = operations.status(_store(platform))
    if isinstance(found, Err):
        _fail(found.err_value)
    revision = found.ok_value.revision
    changes: tuple[Change, ...] = ()
    if revision is not None:
        changes = (revision.change, *revision.earlier)[:versions]
    sites = found.ok_value.sites
    if output is Output.JSON:
        common.print_json(
            {
                'changes': [attrs.asdict(change) for change in changes],
                'sites': [
                    attrs.asdict(one)
                    for one in sites
                    if one.version in {change.version for change in changes}
                ],
            }
        )
        return
    _print_changes(changes, sites)


def targets(
    platform: PlatformAddress,
    service: Annotated[str, typer.Option(help='Only this service.')] = '',
    output: OutputForm = Output.TABLE,
) -> None:
    """Show the targets in the platform's live list."""
    listed = platform_adapter.make_platform(platform).live_list()
    if isinstance(listed, Err):
        typer.echo(listed.err_value.message, err=True)
        raise typer.Exit(ExitCode.UNREACHABLE)
    found = sorted(
        (
            target
            for target in listed.ok_value.targets
            if service in ('', target.service)
        ),
        key=lambda target: (target.service, target.data_center, target.name),
    )
    rows = [
        {**attrs.asdict(target), 'state': target.state.value}
        for target in found
    ]
    if output is Output.JSON:
        common.print_json(rows)
        return
    columns = ('service', 'data_center', 'name', 'address', 'version', 'state')
    common.print_table(
        columns, [[row[column] for column in columns] for row in rows]
    )


def _store(address: str) -> ConfigurationStore:
    return configuration_store.make_store(
        platform_adapter.make_platform(address)
    )


def _overlays(site: list[str] | None) -> dict[str, pathlib.Path]:
    overlays = {}
    for item in site or ():
        name, separator, file = item.partition('=')
        if not separator or not file:
            raise typer.BadParameter(f'{item!r} is not NAME=FILE')
        overlays[name] = pathlib.Path(file)
    return overlays


def _texts(base: pathlib.Path, site: list[str] | None) -> Texts:
    texts = operations.read_texts(base, _overlays(site))
    if isinstance(texts, Err):
        _fail(texts.err_value)
    return texts.ok_value


def _draft(store: ConfigurationStore, texts: Texts) -> operations.Draft:
    made = operations.draft(store, texts)
    if isinstance(made, Err):
        _fail(made.err_value)
    return made.ok_value


def _winner(wanted: operations.Draft) -> Change | None:
    revision = wanted.stored.revision
    return None if revision is None else revision.change


def _fail(error: operations.OperationError) -> NoReturn:
    typer.echo(error.message, err=True)
    for fault in error.faults:
        typer.echo(str(fault), err=True)
    if error.winner is not None:
        typer.echo(_describe(error.winner), err=True)
    for difference in error.differences:
        typer.echo(_difference_line(difference), err=True)
    raise typer.Exit(_EXIT_CODES[error.failure])


def _print_faults(faults: ini.Faults) -> None:
    for fault in faults:
        typer.echo(str(fault))
    if not faults:
        typer.echo('no faults')


def _print_differences(wanted: operations.Draft, output: Output) -> None:
    if output is Output.JSON:
        common.print_json(
            {
                'base_version': wanted.base_version,
                'differences': [
                    attrs.asdict(one) for one in wanted.differences
                ],
            }
        )
        return
    typer.echo(f'against version {wanted.base_version}:')
    for difference in wanted.differences:
        typer.echo(_difference_line(difference))
    if not wanted.differences:
        typer.echo('no differences')


def _difference_line(one: Difference) -> str:
    where = f'{one.site or "base"} [{one.section}] {one.option}'.rstrip()
    before = '(none)' if one.before is None else one.before
    after = '(none)' if one.after is None else one.after
    return f'  {where}: {before} -> {after}'


def _describe(change: Change) -> str:
    when = _time(change.accepted_ms)
    reason = f': {change.reason}' if change.reason else ''
    return f'version {change.version}, {when}, {change.operator}{reason}'


def _print_changes(
    changes: tuple[Change, ...], sites: tuple[SiteStatus, ...]
) -> None:
    if not changes:
        typer.echo('no configuration was applied yet')
    for change in changes:
        typer.echo(_describe(change))
        rows = [
            (
                one.data_center,
                one.in_force,
                ', '.join(one.missing) or '-',
                _time(one.last_ms),
                f'{(one.last_ms - change.accepted_ms) / 1000:.3f}',
            )
            for one in sites
            if one.version == change.version
        ]
        common.print_table(
            ('site', 'in force', 'missing', 'since', 'after s'), rows
        )


def _time(time_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(time_ms / 1000, datetime.UTC)
    return moment.isoformat(timespec='milliseconds')


def _now_ms() -> int:
    now = datetime.datetime.now(datetime.UTC)
    return int(now.timestamp() * 1000)
