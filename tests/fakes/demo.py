"""Shows the whole path on stand-ins: `make demo`."""

import json
import pathlib
import tempfile

import attrs
import typer

from wigeonfall import recorder
from wigeonfall import timeline

from . import processes
from .fleet import Fleet
from .fleet import Plan
from .fleet import TargetPlan

LM = 'wigeon-pool'
ORDERS = 'pedidos-app'
REPORTS_KEY = 'example-key-of-secaderos'
RECIPES_KEY = 'example-key-of-recetas'
MEMBER_KEY = 'example-key-of-carniceros-norte'
DOSSIER_WORDS = 4000
SHOWN_EVENTS = 40
HTTP_OK = 200

PLAN = Plan(
    example='co-op',
    instances={'zac-a': ('zac-a-1', 'zac-a-2'), 'sal-b': ('sal-b-1',)},
    engines=(
        TargetPlan('engine-fast', LM, 'zac-a', {'decode_tokens_per_s': 120}),
        TargetPlan('engine-mid', LM, 'zac-a', {'decode_tokens_per_s': 60}),
        TargetPlan('engine-slow', LM, 'sal-b', {'decode_tokens_per_s': 30}),
    ),
    services=(TargetPlan('orders-1', ORDERS, 'zac-a'),),
)


def main(binary: pathlib.Path | None = None) -> None:
    """Run the demonstration and stop everything gracefully.

    Args:
        binary: zipapp that the instances run from, or None for the module.
    """
    plan = attrs.evolve(PLAN, binary=binary)
    with tempfile.TemporaryDirectory() as directory:
        with Fleet(plan, pathlib.Path(directory)) as fleet:
            _wait_for_targets(fleet)
            _stream_dossier(fleet)
            _ask_recipes(fleet)
            _order_twice(fleet)
            _stop(fleet)
            _show_timeline(fleet)


def _wait_for_targets(fleet: Fleet) -> None:
    def served() -> bool:
        return all(
            fleet.call(
                name, 'GET', '/services/pedidos-app/stock/biltong', MEMBER_KEY
            ).status
            == fleet.call(
                name,
                'POST',
                '/v1/chat/completions',
                RECIPES_KEY,
                _completion('recipes', 'Ready?', 1),
            ).status
            == HTTP_OK
            for name in fleet.instances
        )

    processes.wait_for(served)
    print('3 entry instances in 2 data centres serve.')


def _stream_dossier(fleet: Fleet) -> None:
    text = ' '.join(f'word{i}' for i in range(DOSSIER_WORDS))
    answer = fleet.call(
        'zac-a-1',
        'POST',
        '/v1/chat/completions',
        REPORTS_KEY,
        _completion('batch-reports', text, 60, stream=True),
    )
    events = answer.data.split(b'\n\n')
    done = events[-2] == b'data: [DONE]'
    print(f'Dossier stream: {len(events) - 2} events, whole: {done}')


def _ask_recipes(fleet: Fleet) -> None:
    for name in fleet.instances:
        answer = fleet.call(
            name,
            'POST',
            '/v1/chat/completions',
            RECIPES_KEY,
            _completion('recipes', 'How long does biltong dry?', 8),
        )
        text = answer.json()['choices'][0]['message']['content']
        print(f'Recipe question through {name}: {answer.status} {text!r}')


def _order_twice(fleet: Fleet) -> None:
    headers = {'Idempotency-Key': 'demo-order-1'}
    order = {'item': 'biltong', 'count': 3}
    for name in ('zac-a-1', 'sal-b-1'):
        answer = fleet.call(
            name,
            'POST',
            '/services/pedidos-app/member-orders',
            MEMBER_KEY,
            order,
            headers,
        )
        body = answer.data.decode()
        print(f'Order through {name}: {answer.status} {body}')
    records = processes.records(fleet.targets['orders-1'].address)
    runs = records['by_key']
    print(f'Executions counted by the service: {json.dumps(runs)}')


def _stop(fleet: Fleet) -> None:
    for instance in fleet.instances.values():
        status = instance.process.stop()
        print(f'{instance.name} stopped with status {status}')


def _show_timeline(fleet: Fleet) -> None:
    print(f'Last {SHOWN_EVENTS} events of the merged time line:')
    logs = []
    for instance in fleet.instances.values():
        entries = [
            recorder.from_json(value)
            for value in instance.process.log()
            if 'event' in value
        ]
        logs.append(entries)
    for entry in list(timeline.merge(logs))[-SHOWN_EVENTS:]:
        print(timeline.describe(entry))


def _completion(
    model: str, text: str, max_tokens: int, stream: bool = False
) -> dict[str, object]:
    return {
        'model': model,
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': max_tokens,
        'stream': stream,
    }


if __name__ == '__main__':
    typer.run(main)
