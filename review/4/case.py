"""A machine that cannot reach the store brings back an engine that left."""

import asyncio

import deployment
import requesters

CHANNELS = 16
PAUSE_S = 0.05
LIMIT_MS = 3000
DRAIN_S = 2.0
SERVES_ON_S = 16.0  # after its entry is gone, before it exits
AFTER_S = 3.0
CUT_S = 5.5
BEFORE_KILL_S = 0.5
DOWN_S = 2.0
WORK_S = 0.1


async def play(run):
    """Return whether DRAIN was broken."""
    routes = [deployment.route('order-place', 'non_idempotent', 'pedidos-app')]
    run.store.put('config', 'main', deployment.manifest(routes))
    for number in (1, 2, 3, 4):
        await run.start_engine(f'pedidos-{number}', 'pedidos-app', WORK_S)
    await run.start_machines(2)
    first, second = run.machines
    await asyncio.sleep(1.0)
    await scale_in(run, run.engines[3])
    leaving = run.engines[2]
    if run.trouble:
        second.link.cut()
        run.record.say(f'{second.name} is cut off from the store')
        run.keep(heal_later(run, second))
        await asyncio.sleep(BEFORE_KILL_S)
        await first.kill()
        run.record.say(f'{first.name} is killed')
    await asyncio.sleep(DOWN_S / 2)
    leaving.leave_store()
    gone_s = asyncio.get_running_loop().time()
    run.record.say(f'the entry of {leaving.id} is gone; it serves on')
    await asyncio.sleep(DOWN_S / 2)
    if run.trouble:
        await first.start()
        run.record.say(f'{first.name} is back')
    attempts = []
    for _ in range(CHANNELS):
        run.keep(
            requesters.keep_asking(
                [first],
                first,
                attempts,
                'order-place',
                PAUSE_S,
                limit_ms=LIMIT_MS,
            )
        )
    await asyncio.sleep(
        gone_s + SERVES_ON_S - asyncio.get_running_loop().time()
    )
    leaving.stop()
    run.record.say(f'{leaving.id} exited')
    await asyncio.sleep(AFTER_S)
    run.add_all(attempts)
    return judge(run, attempts, leaving, gone_s)


async def heal_later(run, machine):
    """Let a machine reach the store again."""
    await asyncio.sleep(CUT_S)
    machine.link.heal()
    run.record.say(f'{machine.name} reaches the store again')


async def scale_in(run, engine):
    """Empty an engine and take it away, while all reach the store."""
    engine.register(State='draining')
    await asyncio.sleep(DRAIN_S + 0.5)
    engine.leave_store()
    engine.stop()
    run.record.say(f'{engine.id} has left')
    await asyncio.sleep(1.0)


def judge(run, attempts, leaving, gone_s):
    """Return whether DRAIN was broken.

    A request reaches an engine later than DrainMs after the store confirmed
    that it is gone, taken from the requester and sent on by a machine in
    touch. Of the machines, only the first one gets requests; it is in
    touch from StabilityMs after its last start.
    """
    first = run.machines[0]
    in_touch_s = first.running_since_s + deployment.STABILITY_S
    sent_s = {a.id: a.sent_s for a in attempts}
    late = [
        r
        for r in leaving.runs
        if r.at_s > gone_s + DRAIN_S and sent_s.get(r.id, 0.0) > in_touch_s
    ]
    ran = {r.id for r in leaving.runs}
    lost = [
        a
        for a in attempts
        if a.id in ran and (a.outcome != 'answered' or a.status >= 500)
    ]
    run.record.say(
        f'{len(attempts)} orders: {len(late)} reached {leaving.id} later than'
        f' {DRAIN_S} s after its entry was gone, by a machine in touch;'
        f' {len(lost)} that it ran got no answer'
    )
    return bool(late)


if __name__ == '__main__':
    deployment.main(__file__, play)
