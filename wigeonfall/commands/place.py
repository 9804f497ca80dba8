"""Command: place, which tells where a request would go now, and why."""

import json
from typing import Annotated, Any, NoReturn
import urllib.parse

import typer
import urllib3

from .common import ExitCode
from .common import Output
from .common import print_json
from .common import print_table

TIMEOUT_S = 5.0
_LINES = (
    ('standing', 'standing'),
    ('prompts ahead and fixed cost', 'queue_ms'),
    ('its own prompt', 'read_ms'),
    ('first event after', 'first_ms'),
    ('then until the end', 'answer_ms'),
    ('cost, by which targets are compared', 'cost_ms'),
    ('prompt tokens held', 'kept_tokens'),
    ('requests there', 'outstanding'),
    ('most requests there', 'limit'),
    ('share of failures', 'failure_share'),
    ('gets nothing for', 'backed_off_ms'),
    ('data centre', 'data_center'),
    ('version', 'version'),
    ('measured here before', 'measured_age_ms'),
)


def register(app: typer.Typer) -> None:
    """Add the command to the command line."""
    app.command()(place)


def place(
    instance: Annotated[
        str,
        typer.Argument(help='"host:port" of metrics or peers of an instance.'),
    ],
    route: Annotated[str, typer.Option(help='Name of the route.')] = '',
    host: Annotated[str, typer.Option(help='Host, instead of a route.')] = '',
    path: Annotated[str, typer.Option(help='Path at that host.')] = '',
    customer: Annotated[str, typer.Option(help='Name of the customer.')] = '',
    key: Annotated[
        str,
        typer.Option(
            envvar='WIGEONFALL_CUSTOMER_KEY',
            help='Key of the customer, instead of its name.',
        ),
    ] = '',
    prompt_tokens: Annotated[
        int, typer.Option(min=0, help='Tokens of the prompt.')
    ] = 0,
    answer_tokens: Annotated[
        int, typer.Option(min=0, help='Most tokens of the answer.')
    ] = 0,
    prefix: Annotated[
        str, typer.Option(help='Parts of the prompt: ID:TOKENS,...')
    ] = '',
    data_center: Annotated[
        str, typer.Option(help='Data centre that the request comes to.')
    ] = '',
    request_id: Annotated[
        str, typer.Option(help='Its identifier; weighted routes go by it.')
    ] = '',
    time_left_ms: Annotated[
        int, typer.Option(min=0, help='Time for which its caller waits.')
    ] = 0,
    retry: Annotated[
        bool, typer.Option('--retry', help='Its caller was refused before.')
    ] = False,
    output: Annotated[Output, typer.Option(help='Form of the output.')] = (
        Output.TABLE
    ),
    as_json: Annotated[
        bool, typer.Option('--json', help='The same as --output json.')
    ] = False,
) -> None:
    """Tell where a request would go now, and why, without sending it."""
    query = {
        'route': route,
        'host': host,
        'path': path,
        'customer': customer,
        'prompt_tokens': prompt_tokens or '',
        'answer_tokens': answer_tokens or '',
        'prefix': prefix,
        'data_center': data_center,
        'request_id': request_id,
        'time_left_ms': time_left_ms or '',
        'retry': '1' if retry else '',
    }
    told = _ask(instance, query, key)
    asked = [instance]
    if told.get('outcome') == 'elsewhere':
        # Arbiters place the requests of many instances.
        asked.append(told['ask'])
        told = _ask(told['ask'], query | {'data_center': ''}, key)
    if as_json or output is Output.JSON:
        print_json({'asked': asked} | told)
    else:
        _print(told, asked)


def _ask(instance: str, query: dict[str, Any], key: str) -> dict[str, Any]:
    given = {name: value for name, value in query.items() if value != ''}
    url = f'http://{instance}/place?{urllib.parse.urlencode(given)}'
    headers = {'Customer-Key': key} if key else {}
    try:
        with urllib3.PoolManager(timeout=TIMEOUT_S, retries=False) as pool:
            response = pool.request('GET', url, headers=headers)
        if response.status not in (200, 400):
            _fail(f'{instance}: status {response.status} instead of the page')
        told = json.loads(response.data)
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        _fail(f'{instance}: {error}')
    if not isinstance(told, dict):
        _fail(f'{instance}: the answer is no JSON object')
    if 'error' in told:
        typer.echo(f'{instance}: {told["error"]}', err=True)
        raise typer.Exit(ExitCode.FAULT)
    return told


def _fail(message: str) -> NoReturn:
    typer.echo(message, err=True)
    raise typer.Exit(ExitCode.UNREACHABLE)


def _print(told: dict[str, Any], asked: list[str]) -> None:
    typer.echo(_summary(told))
    if 'route' in told:
        customer = told['customer'] or 'nobody'
        typer.echo(
            f'route {told["route"]}, service {told["service"]},'
            f' customer {customer}, rank {told["rank"]}'
        )
    scores = told.get('targets') or []
    if scores:
        print_table(
            ('', *(score['target'] for score in scores[:2])),
            [
                (text, *(_text(score[name], name) for score in scores[:2]))
                for text, name in _LINES
            ],
        )
        typer.echo(f'{told["targets_known"]} targets are known')
    inputs = told.get('inputs') or {}
    if inputs:
        peers = inputs['peers']
        heard = 'no peer heard'
        if peers:
            oldest_ms = max(peers.values())
            heard = f'{len(peers)} peers heard, oldest {oldest_ms} ms ago'
        reachable = 'reached' if inputs['store_reachable'] else 'not reached'
        typer.echo(
            f'as seen by {inputs["instance"]} ({" -> ".join(asked)}): table'
            f' version {inputs["table_version"]}, store {reachable}, {heard}'
        )


def _summary(told: dict[str, Any]) -> str:
    if told['outcome'] == 'target':
        return f'it would go to {told["target"]} now'
    if told['outcome'] == 'waits':
        return (
            f'it would wait behind {told["ahead"]} others, about'
            f' {told["wait_ms"]} ms: {told["reason"]}; refused after'
            f' {told["refused_after_ms"]} ms'
        )
    if told['outcome'] == 'refused':
        after_ms = told['retry_after_ms']
        back = 'its caller has too little time to come back'
        if after_ms is not None:
            back = f'come back after {after_ms} ms'
        return f'refused with {told["status"]}: {told["reason"]}; {back}'
    return f'not decided here: {told["reason"]}; ask {told["ask"]}'


def _text(value: Any, name: str) -> str:
    if value is None:
        return 'never'
    return f'{value} ms' if name.endswith('_ms') else str(value)
