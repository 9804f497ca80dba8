"""A new version fails on one route only, and takes over."""

import asyncio
import itertools

import deployment
import requesters

DURATION_S = 60
ORDER_CHANNELS = 8  # per machine
LOOK_CHANNELS = 1
ORDER_PAUSE_S = 0.12
LOOK_PAUSE_S = 0.17
WORK_S = 0.02
BAD_TURNS = (2, 4)  # of five looks at an engine of the new version
EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50
BAD_ANSWERS = 50
ROLLBACK_S = 5.0


async def play(run):
    """Return whether EXPOSURE was broken."""
    routes = [
        deployment.route('order-place', 'non_idempotent', 'pedidos-app'),
        deployment.route('stock-look', 'idempotent', 'pedidos-app'),
    ]
    run.store.put('config', 'main', deployment.manifest(routes))
    for number in (1, 2, 3):
        await run.start_engine(f'old-{number}', 'pedidos-app', WORK_S)
    await run.start_machines(2)
    attempts = []
    for machine in run.machines:
        for route, channels, pause_s in (
            ('order-place', ORDER_CHANNELS, ORDER_PAUSE_S),
            ('stock-look', LOOK_CHANNELS, LOOK_PAUSE_S),
        ):
            for _ in range(channels):
                run.keep(
                    requesters.keep_asking(
                        run.machines, machine, attempts, route, pause_s
                    )
                )
    await asyncio.sleep(2 * deployment.STABILITY_S)
    order = {
        'Service': 'pedidos-app',
        'Target': 'v2',
        'DurationS': DURATION_S,
    }
    run.store.put('rollouts', 'pedidos-app', order)
    ordered_s = asyncio.get_running_loop().time()
    run.record.say('a roll-out to v2 is ordered')
    new = [
        await run.start_engine(
            f'new-{number}', 'pedidos-app', WORK_S, version='v2'
        )
        for number in (1, 2, 3)
    ]
    if run.trouble:
        for engine in new:
            engine.fails = fails_on_looks()
    stopped = False
    while asyncio.get_running_loop().time() < ordered_s + DURATION_S:
        await asyncio.sleep(0.05)
        status = run.store.get('rollouts', 'pedidos-app')['Status'] or {}
        if status.get('State') == 'completed' and not stopped:
            stopped = True
            run.record.say('completed; the old engines stop')
            for engine in run.engines[:3]:
                engine.leave_store()
                engine.stop()
        if status.get('State') == 'rolled_back':
            run.record.say('rolled back')
            break
    run.add_all(attempts)
    return judge(run, attempts, new, ordered_s)


def fails_on_looks():
    """Return a function that fails part of the looks, and nothing else."""
    turns = itertools.count()

    def fails(run):
        return run.route == 'stock-look' and next(turns) % 5 in BAD_TURNS

    return fails


def judge(run, attempts, new, ordered_s):
    """Return whether EXPOSURE was broken.

    A bad version gets more than ExposeShare of all requests that reach its
    service between the order and its time limit, and ExposeSlack; or one that
    was sent later than RollbackMs after its 50th bad answer. All machines are
    in touch all the time.
    """
    if not run.trouble:
        return False
    runs = [r for e in run.engines for r in e.runs if r.at_s >= ordered_s]
    exposed = sorted(
        (r for engine in new for r in engine.runs), key=lambda r: r.at_s
    )
    bad = [r for r in exposed if r.outcome == 'failed']
    most = EXPOSE_SHARE * len(runs) + EXPOSE_SLACK
    sent_s = {a.id: a.sent_s for a in attempts}
    late = []
    if len(bad) >= BAD_ANSWERS:
        until_s = bad[BAD_ANSWERS - 1].at_s + ROLLBACK_S
        late = [r for r in exposed if sent_s.get(r.id, 0.0) > until_s]
    run.record.say(
        f'{len(exposed)} of {len(runs)} requests reached v2, which may get'
        f' {most:.0f}; {len(bad)} failed there; {len(late)} were sent over'
        f' {ROLLBACK_S} s after the 50th failure'
    )
    return len(exposed) > most or bool(late)


if __name__ == '__main__':
    deployment.main(__file__, play)
