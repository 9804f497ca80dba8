"""Faults of a run that overlap with those of instances and targets."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

from tests.fakes.odd_entries import ODD
from tests.fakes.odd_entries import odd_entry
from tests.fakes.odd_entries import ODD_NAMES
from tests.fakes.tcp_proxy import TcpProxy

Undo = Callable[[], object]
Lane = tuple[str, tuple]

# What a target sends without end in place of events.
ENDLESS = {
    'newlines': b'\n',
    'comments': b':\n\n',
    'other bytes': b'x',
}
LOST_WRITES = 200  # before a restore; revisions do not catch up in a run
EVACUATED = 'y'
EVACUATED_S = 3.0  # besides the time of other faults


def restore_lane(soak: Any) -> Lane:
    """The store comes back from an older copy."""
    objects = soak.store.objects

    def restore() -> Undo:
        copy = objects.copy()
        for _ in range(LOST_WRITES):
            objects.put('other', 'counter', {})
        change()

        def undo() -> None:
            objects.restore(copy)
            soak.write_again()

        return undo

    def change() -> None:
        soak.version += 1
        objects.put('config', 'main', soak.manifest())

    return 'restores', (('restore', restore),)


def endless_lane(soak: Any) -> Lane:
    """A target sends without end in its streams."""
    target = soak.targets[0]

    def send(part: bytes) -> Callable[[], Undo]:
        def cause() -> Undo:
            target.endless = part
            return lambda: setattr(target, 'endless', b'')

        return cause

    kinds = tuple((name, send(part)) for name, part in ENDLESS.items())
    return 'endless', kinds


def signal_lane(soak: Any) -> Lane:
    """A target says that it leaves, and starts anew, or asks for a pause."""
    number = min(1, soak.plan.targets - 1)
    target = soak.targets[number]

    def leave() -> Undo:
        target.leaving = True

        def start_anew() -> None:
            target.leaving = False
            soak.starts[number] += 1
            if number not in soak.lapsed:
                soak.list_target(number)

        return start_anew

    def pause() -> Undo:
        target.mode = 'pauses'
        return lambda: setattr(target, 'mode', 'fine')

    return 'signals', (('leave', leave), ('pause', pause))


def evacuation_lane(soak: Any) -> Lane:
    """An operator evacuates a data centre and takes it back."""
    objects = soak.store.objects

    def evacuate() -> Undo:
        soak.evacuated = True
        objects.put('evacuations', EVACUATED, {})
        span = soak.seen.evacuation_began(EVACUATED, time.monotonic())

        async def lift() -> None:
            await asyncio.sleep(EVACUATED_S)
            span[1] = time.monotonic()
            soak.evacuated = False
            objects.discard('evacuations', EVACUATED)

        return lift

    return 'evacuations', (('evacuate', evacuate),)


def odd_lane(soak: Any) -> Lane:
    """Another writer leaves odd entries among those of the targets."""
    objects = soak.store.objects

    def write(kind: str) -> Callable[[], Undo]:
        name = ODD_NAMES.get(kind, 'odd')

        def cause() -> Undo:
            if kind in ODD:
                soak.store.raw[kind] = odd_entry(kind, Service='s')
            objects.put('servers', name, {'raw': kind})
            return lambda: objects.discard('servers', name)

        return cause

    kinds = sorted((*ODD, *ODD_NAMES))
    return 'entries', tuple((kind, write(kind)) for kind in kinds)


def link_faults(link: TcpProxy) -> tuple:
    """Return the faults of a link, by name."""

    def fault(cause: Callable[[], None]) -> Callable[[], Undo]:
        def run() -> Undo:
            cause()
            return link.restore

        return run

    return (
        ('cut', fault(link.disconnect)),
        ('silence', fault(link.stall)),
        ('silence answers', fault(link.stall_responses)),
        ('delay', fault(lambda: link.delay(0.1))),
    )
