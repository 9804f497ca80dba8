"""An engine sends newlines without end in the body of a stream."""

import asyncio
import itertools

import deployment
import requesters

CHANNELS_PER_MACHINE = 10
STREAMS_PER_MACHINE = 3
PAUSE_S = 0.25
CALM_S = 8.0
TROUBLE_S = 22.0
TIMEOUT_MS = 1500
LIMIT_MS = 3000
STREAM_LIMIT_MS = 15_000
PATIENCE_MS = 3200  # four times the aim of the stream
PROBE_S = 0.1
GRACE_S = 0.5
MIN_REQUESTS = 8
FLOOD = b'\n' * 65536


async def play(run):
    """Return whether CONFIG was broken."""
    stream_fields = {'GapAimMs': 200, 'ResumeStreams': False}
    routes = [
        deployment.route(
            'order-place', 'non_idempotent', 'pedidos-app', TIMEOUT_MS
        ),
        deployment.route(
            'batch-report',
            'streaming',
            'wigeon-pool',
            STREAM_LIMIT_MS,
            800,
            **stream_fields,
        ),
    ]
    run.store.put('config', 'main', deployment.manifest(routes))
    for number in (1, 2):
        await run.start_engine(f'pedidos-{number}', 'pedidos-app', 0.06)
    pool = await run.start_engine('pool-1', 'wigeon-pool', 0.06, slots=14)
    pool.on_request = answer_stream
    await run.start_machines(2)
    loop = asyncio.get_running_loop()
    attempts = []
    streams = []
    for machine in run.machines:
        for _ in range(CHANNELS_PER_MACHINE):
            run.keep(
                requesters.keep_asking(
                    run.machines,
                    machine,
                    attempts,
                    'order-place',
                    PAUSE_S,
                    limit_ms=LIMIT_MS,
                )
            )
        for _ in range(STREAMS_PER_MACHINE):
            run.keep(
                requesters.keep_asking(
                    run.machines,
                    machine,
                    streams,
                    'batch-report',
                    PAUSE_S,
                    limit_ms=STREAM_LIMIT_MS,
                    patience_ms=PATIENCE_MS,
                )
            )
    await asyncio.sleep(deployment.STABILITY_S + CALM_S)
    began_s = loop.time()
    ready_s = {machine.name: [began_s] for machine in run.machines}
    for machine in run.machines:
        run.keep(probe(machine, ready_s[machine.name]))
    if run.trouble:
        run.record.say('the engine of the streams sends newlines')
        pool.on_request = flood
    await asyncio.sleep(max(0.0, began_s + TROUBLE_S - loop.time()))
    for name, times_s in ready_s.items():
        pairs = itertools.pairwise([*times_s, loop.time()])
        gap_s = max(b - a for a, b in pairs)
        run.record.say(f'{name}: no answer for {gap_s:.1f} s')
    run.record.say(f'{len(streams)} streams ended')
    run.add_all(attempts + streams)
    return judge(run, attempts)


async def probe(machine, ready_s):
    """Keep the times at which a machine says that it is ready."""
    while True:
        if await machine.says_ready():
            ready_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(PROBE_S)


async def answer_stream(run, headers, writer):
    """Answer with three events, as a sound engine does."""
    await start_stream(headers, writer)
    for number in (1, 2, 3):
        await asyncio.sleep(0.02)
        data = b'id: %d\ndata: x\n\n' % number
        writer.write(b'%x\r\n%s\r\n' % (len(data), data))
    writer.write(b'0\r\n\r\n')
    run.outcome = 'answered'


async def flood(run, headers, writer):
    """Answer with newlines until the caller closes."""
    run.outcome = 'newlines without end'
    await start_stream(headers, writer)
    while True:
        writer.write(b'%x\r\n%s\r\n' % (len(FLOOD), FLOOD))
        await writer.drain()


async def start_stream(headers, writer):
    """Send the head of a stream."""
    lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += ['Transfer-Encoding: chunked', '', '']
    writer.write('\r\n'.join(lines).encode())
    await writer.drain()


def judge(run, attempts):
    """Return whether CONFIG was broken.

    Of the requests that are unanswered at their route's time-out, more than
    half have no answer half a second later, at machines in touch.
    """
    since_s = {
        machine.name: machine.running_since_s + deployment.STABILITY_S
        for machine in run.machines
    }
    waiting = [
        attempt
        for attempt in attempts
        if attempt.sent_s >= since_s[attempt.machine]
        and attempt.ended_s > attempt.sent_s + TIMEOUT_MS / 1000
    ]
    late = [
        attempt
        for attempt in waiting
        if attempt.ended_s > attempt.sent_s + TIMEOUT_MS / 1000 + GRACE_S
    ]
    never = [a for a in attempts if a.outcome == 'gave up']
    run.record.say(
        f'{len(attempts)} orders: {len(waiting)} unanswered at TimeoutMs,'
        f' {len(late)} of them {GRACE_S} s later, {len(never)} never answered'
    )
    return len(waiting) >= MIN_REQUESTS and 2 * len(late) > len(waiting)


if __name__ == '__main__':
    deployment.main(__file__, play)
