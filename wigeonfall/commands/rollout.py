"""The commands `wigeonfall rollout ...`, by which operators move versions."""

from collections.abc import Callable
import datetime
import getpass
import time
from typing import Annotated
from typing import NoReturn

import cattrs
from result import Err
from result import Result
import typer

from ..model.rollout import Rollout
from ..policy.versions import rollout as policy
from ..ports.platform import Platform
from ..ports.platform import PlatformErrorKind
from ..serving import rollout_changes as changes
from ..serving import rollouts
from .common import ExitCode
from .common import Output
from .common import print_json

Connect = Callable[[str], Platform]

Service = Annotated[str, typer.Argument(help='Name of the service.')]
PlatformAddress = Annotated[
    str,
    typer.Option(
        '--platform',
        envvar=['WIGEONFALL_PLATFORM', 'WIGEONFALL_PLATFORM_ADDRESS'],
        help='"host:port" of the platform.',
    ),
]
Why = Annotated[
    str, typer.Option('--reason', help='Reason, for the time line.')
]
Who = Annotated[
    str,
    typer.Option(
        '--operator', help='Name of the operator.', show_default=False
    ),
]


def make_app(connect: Connect) -> typer.Typer:
    """Return the commands.

    Args:
        connect: returns the platform at an address.
    """
    app = typer.Typer(no_args_is_help=True, help='Move services to versions.')

    @app.command()
    def start(
        service: Service,
        new_version: Annotated[str, typer.Option('--to', help='New version.')],
        old_version: Annotated[
            str, typer.Option('--from', help='Old version.')
        ],
        deadline_s: Annotated[float, typer.Option(help='Seconds from now.')],
        why: Why,
        platform: PlatformAddress,
        bake_s: Annotated[
            float, typer.Option(help='Seconds under full load.')
        ] = 600.0,
        orders: Annotated[
            bool, typer.Option(help='Order targets to load the version.')
        ] = False,
        who: Who = '',
    ) -> None:
        """Start to move a service to a new version."""
        now_unix_s = time.time()
        wanted = Rollout(
            service=service,
            number=0,
            old_version=old_version,
            new_version=new_version,
            started_unix_s=now_unix_s,
            deadline_unix_s=now_unix_s + deadline_s,
            bake_s=bake_s,
            orders=orders,
        )
        change = changes.start(wanted)
        _change(connect(platform), service, 'start', who, why, change)

    @app.command()
    def status(
        service: Service,
        platform: PlatformAddress,
        output: Annotated[
            Output, typer.Option(help='Form of the output.')
        ] = Output.TABLE,
    ) -> None:
        """Show a service's rollout and its moves."""
        got = connect(platform).get(rollouts.KIND, service)
        if isinstance(got, Err):
            if got.err_value.kind is PlatformErrorKind.NOT_FOUND:
                _fail(f'service {service} has no rollout', ExitCode.CONFLICT)
            _fail(got.err_value.message, ExitCode.UNREACHABLE)
        value = got.ok_value.value
        if output is Output.JSON:
            print_json(value)
        else:
            typer.echo(describe(cattrs.structure(value, Rollout)))

    def add(name: str, text: str) -> None:
        def command(
            service: Service,
            why: Why,
            platform: PlatformAddress,
            who: Who = '',
        ) -> None:
            port = connect(platform)
            _change(port, service, name, who, why, changes.apply_to_existing)

        app.command(name, help=text)(command)

    add('pause', 'Hold the share where it is; the deadline still counts.')
    add('resume', 'Let a paused rollout go on.')
    add('take-back', 'Send everything to the old version, for good.')
    return app


def _change(
    platform: Platform,
    service: str,
    what: str,
    who: str,
    why: str,
    change: changes.Change,
) -> None:
    move = changes.new_move(what, who or getpass.getuser(), why, time.time())
    made: Result[Rollout, changes.FailedChange] = changes.apply_change(
        platform, service, move, change
    )
    if isinstance(made, Err):
        refused = made.err_value
        if refused.effect_unknown:
            text = f'{refused.message}; look at the status before a new try'
            _fail(text, ExitCode.UNKNOWN)
        code = ExitCode.CONFLICT
        if refused.unreachable:
            code = ExitCode.UNREACHABLE
        _fail(refused.message, code)
    typer.echo(describe(made.ok_value))


def _fail(message: str, code: ExitCode) -> NoReturn:
    typer.echo(message, err=True)
    raise typer.Exit(code)


def describe(rollout: Rollout) -> str:
    """Return a rollout as text for people."""
    lines = [
        f'rollout {rollout.id}: {rollout.old_version} -> '
        f'{rollout.new_version}, {rollout.phase.value}, '
        f'share {rollout.share:.1%}',
        f'full load by {_time(full_load_unix_s(rollout))}, '
        f'deadline {_time(rollout.deadline_unix_s)}',
    ]
    for move in rollout.moves:
        lines.append(
            f'  {_time(move.at_unix_s)}  {move.what:<9} '
            f'{move.share:>6.1%}  {move.who}: {move.why}'
        )
    return '\n'.join(lines)


def full_load_unix_s(rollout: Rollout) -> float:
    """Return when the new version must hold the full load at the latest."""
    return policy.time_left_s(rollout, 0.0)


def _time(unix_s: float) -> str:
    at = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    return at.isoformat(timespec='seconds')
