"""A requester sends its next request before the answer has ended."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))

from review.small import fleet
from review.small import manifest
from review.small import wire
from review.small.engine import Engine
from review.small.store import Store

FOLDER = pathlib.Path(__file__).resolve().parent
ROUNDS = 20
EVENTS = 10
PAUSE_S = 0.05
BODY = b'{"cuts": ["biltong"]}'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


async def stream(run):
    run.begin()
    run.begin_stream()
    for number in range(1, EVENTS + 1):
        run.event(number)
        await run.writer.drain()
        await asyncio.sleep(PAUSE_S)
    run.end_stream()


def events_of(body):
    return [
        int(line[4:])
        for line in body.decode('latin-1').split('\n')
        if line.startswith('id: ')
    ]


async def ask(record, machine, number, expects):
    """Send a stream's request and an order on one channel.

    Returns:
        What is wrong with the answers, '' if nothing is.
    """
    report, order = f'report-{number}', f'order-{number}'
    reader, writer = await machine.connect()
    writer.write(manifest.request('POST', '/report/x', report, b'{}', 15000))
    record.write(f'sent      {report}')
    await asyncio.sleep(4 * PAUSE_S)
    headers = ('Expect: 100-continue',) if expects else ()
    message = manifest.request(
        'POST', '/order/new', order, BODY, 9000, headers
    )
    head = message[: -len(BODY)]
    writer.write(head)
    record.write(f'sent      the head of {order}')
    if not expects:
        writer.write(BODY)
    wrong = ''
    try:
        async with asyncio.timeout(10):
            answer = await wire.read_answer(reader)
            record.write(f'answered  {report}: {answer.status}')
            if events_of(answer.body) != list(range(1, EVENTS + 1)):
                wrong = f'{report}: events {events_of(answer.body)}'
            if expects:
                # The requester has waited for 100 long enough by now.
                writer.write(BODY)
            answer = await wire.read_answer(reader)
            record.write(f'answered  {order}: {answer.status}')
            if answer.body != b'answer to ' + order.encode():
                wrong = wrong or f'{order}: {answer.body[:40]!r}'
    except (ValueError, asyncio.IncompleteReadError, TimeoutError) as error:
        wrong = wrong or f'{report}, {order}: {error!r}'
    if wrong:
        record.write(f'wrong     {wrong}')
    writer.close()
    return wrong


async def scenario(record, directory, machines):
    engines = [
        *(Engine(f'i-app{n}', 'app', slots=6) for n in range(3)),
        *(Engine(f'i-pool{n}', 'pool') for n in range(2)),
    ]
    for engine in engines:
        if engine.service == 'pool':
            engine.script = stream
    deployed = await fleet.start_deployment(
        directory, machines, Store(), engines, manifest.manifest()
    )
    wrong = 0
    for number in range(ROUNDS):
        machine = machines[number % len(machines)]
        wrong += bool(await ask(record, machine, number, fleet.with_trouble()))
    for service in ('pool', 'app'):
        for engine, _, request_id, _ in deployed.runs(service):
            record.write(f'ran       {request_id} at {engine.name}')
    if not deployed.runs('pool'):
        raise fleet.NotRunnable('no stream ran')
    if wrong:
        return (
            f'MIXED: {wrong} of {ROUNDS} channels got bytes that are no answer'
        )
    return ''


fleet.run_case(FOLDER, scenario)
