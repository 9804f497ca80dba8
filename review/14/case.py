"""A planned stop cuts streams whose engines pause for a moment."""

import asyncio
import itertools
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from deployment_3 import Deployment  # noqa: E402
from deployment_3 import Record  # noqa: E402
from engines_3 import Engines  # noqa: E402
from manifests_3 import manifest  # noqa: E402
from store_3 import Store  # noqa: E402
from wire_3 import Caller  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SERVICE = 'huvo11a'
ROUTE = {
    'PathPrefix': '/pufi791/',
    'MaxAttempts': 2,
    'ResumeStreams': True,
    'Priority': 1,
}
SETTLED_S = 4.0  # from the start, more than StabilityMs
EARLIER_STREAMS = 12  # of the same length, whole before the stop
STREAMS = 6  # under way at the stop, each on a channel of its own
STOPPED_AFTER_S = 0.2  # after the streams were sent
PREEMPTED_AFTER_S = 1.5  # after the SIGTERM
PAUSE_S = 1.5  # requesters of this route wait for 3.2 s
WAYS = {'events': 48, 'step_s': 0.1, 'chunked': True, 'preempted_s': PAUSE_S}


class Requesters:
    """Sends streams to one instance.

    Args:
        record: takes a line for each thing that was seen.
    """

    def __init__(self, record):
        self.record = record
        self._numbers = itertools.count(1)

    def on_line(self, engine, line):
        """Take a line that an engine has printed."""
        self.record.line(f'engine {engine}: {line}')

    async def ask(self, instance):
        """Return the id of a request and its answer."""
        number = next(self._numbers)
        run = f'{number:016x}'
        headers = {
            'Host': 'ficu95.example',
            'X-Wigeonfall-Request-Id': run,
            'X-Wigeonfall-Model': 'm',
            'X-Wigeonfall-Token-Counts': '460,240',
            'X-Wigeonfall-Prefix-Hash': f'5c1e07a2:60,{number:08x}:400',
            'X-Wigeonfall-Deadline-Ms': '15000',
        }
        self.record.line(f'{run} sent to {instance.name}')
        caller = Caller(instance.front)
        await caller.open()
        caller.send('POST', '/pufi791/2f', headers, b'{}')
        answer = await caller.answer()
        caller.close()
        self.record.line(
            f'{run} gets {answer.status}, whole: {answer.whole},'
            f' {answer.body.count(b"data:")} events {answer.problem}'
        )
        return run, answer


async def play(requesters, engines, instance):
    """Return the streams that were under way at the stop."""
    say = requesters.record.say
    await asyncio.sleep(SETTLED_S)
    earlier = [requesters.ask(instance) for _ in range(EARLIER_STREAMS)]
    await asyncio.gather(*earlier)
    await asyncio.sleep(0.5)
    streams = [
        asyncio.create_task(requesters.ask(instance)) for _ in range(STREAMS)
    ]
    await asyncio.sleep(STOPPED_AFTER_S)
    if TROUBLE:
        say(f'{requesters.record.now_s():.1f} s: SIGTERM to {instance.name}')
        instance.signal(signal.SIGTERM)
    await asyncio.sleep(PREEMPTED_AFTER_S)
    say(
        f'{requesters.record.now_s():.1f} s: memory runs out at the engines,'
        f' their newest requests pause for {PAUSE_S} s'
    )
    engines.preempt()
    return await asyncio.gather(*streams)


def judge(record, streams):
    """Return 1 if the rule was broken, 0 if it held.

    Without the SIGTERM the same is asked, though the rule speaks of planned
    work alone.
    """
    cut = [(run, answer) for run, answer in streams if not answer.whole]
    for run, answer in cut:
        record.say(f'{run}: no complete answer, {answer.problem}')
    record.say(
        f'{len(cut)} of {len(streams)} streams were read whole, passed on to'
        ' an engine and ended without a complete answer'
    )
    broken = bool(cut)
    record.say('LOST broken' if broken else 'held')
    return int(broken)


async def main():
    record = Record(HERE / 'record.txt')
    requesters = Requesters(record)
    store = Store()
    await store.start()
    store.put('config', 'main', manifest(SERVICE, ROUTE))
    engines = Engines(store, SERVICE, WAYS, requesters.on_line)
    try:
        await engines.start(5)
        async with Deployment(3, store) as deployment:
            streams = await play(requesters, engines, deployment.instances[0])
    finally:
        await engines.stop()
        store.stop()
    return judge(record, streams)


if __name__ == '__main__':
    try:
        code = asyncio.run(main())
    except Exception as error:
        print(f'the case could not run: {error!r}')
        code = 2
    sys.exit(code)
