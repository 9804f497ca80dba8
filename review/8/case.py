"""A key is taken away from requesters while another writer's entry stands."""

import asyncio
import collections
import copy
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import fleet_2 as fleet
import manifest_2 as manifest
import wire_2 as wire
from engine_2 import Engine
from store_2 import Store

FOLDER = pathlib.Path(__file__).resolve().parent
ZONES = ('zac-a', 'sal-b', 'mty-c') * 6
APPLY_S = 3.0  # ConfigApplyMs of the site
SETTLE_S = 8.0  # StabilityMs of the site is 4 s
LATER_S = 10.0  # after the confirmation
TAKEN_KEY = 'k7w0taken1awayq2m4x8'
DEPTH = 600


def table(version, keys):
    value = copy.deepcopy(manifest.manifest(version))
    value['Tenants'].append({'Name': 'orchard7', 'ApiKeys': keys})
    return value


async def ask(record, machine, request_id, key):
    message = manifest.request('POST', '/order/new', request_id, b'{}')
    message = message.replace(manifest.KEY.encode(), key.encode())
    status = 0
    try:
        async with asyncio.timeout(4):
            reader, writer = await machine.connect()
            writer.write(message)
            status = (await wire.read_answer(reader)).status
            writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        record.write(f'{request_id} at {machine.name}: {error!r}')
    record.write(f'{request_id} at {machine.name}: {status or "no answer"}')
    return status


async def ask_all(record, machines, name, key):
    """Ask each machine once; return the statuses by machine."""
    statuses = {}
    for machine in machines:
        statuses[machine.name] = await ask(
            record, machine, f'{name}-{machine.name}', key
        )
    return statuses


async def scenario(record, directory, machines):
    engines = [
        *(Engine(f'i-app{n}', 'app', slots=6) for n in range(3)),
        *(Engine(f'i-pool{n}', 'pool') for n in range(2)),
    ]
    store = Store()
    deployed = await fleet.start_deployment(
        directory, machines, store, engines, table(1, [TAKEN_KEY]), ZONES
    )
    await asyncio.sleep(SETTLE_S)
    first = await ask_all(record, machines, 'first', TAKEN_KEY)
    if fleet.with_trouble():
        # It names no engine to use.
        value = 0
        for _ in range(DEPTH):
            value = [value]
        odd = {'Service': 'app', 'Sequence': 1, 'Labels': value}
        store.put('servers', 'i-other', odd)
        record.write('another writer wrote an entry to servers')
    await asyncio.sleep(SETTLE_S / 4)
    leaving = deployed.of('app')[2]
    store.put('servers', leaving.name, leaving.entry('draining', 2))
    record.write(f'{leaving.name} reports that it is draining')
    await asyncio.sleep(SETTLE_S / 4)
    store.put('config', 'main', table(2, []))
    confirmed_s = time.monotonic()
    record.write('version 2 is confirmed, which takes the key away')
    await asyncio.sleep(LATER_S)
    later = await ask_all(record, machines, 'later', TAKEN_KEY)
    sound = await ask_all(record, machines, 'sound', manifest.KEY)
    late_s = APPLY_S + confirmed_s
    ran = [
        request_id
        for _, at_s, request_id, _ in deployed.runs('app')
        if request_id.startswith('later') and at_s > late_s
    ]
    for name, found in (('first', first), ('later', later), ('sound', sound)):
        counts = dict(collections.Counter(found.values()))
        record.write(f'{name}: {counts}')
    for request_id in ran:
        record.write(f'ran with the taken key: {request_id}')
    if list(first.values()).count(200) < len(machines) - 1:
        raise fleet.NotRunnable('the first requests were not served')
    if ran:
        return (
            f'CONFIG: {len(ran)} of {len(machines)} machines ran a request'
            f' with a key taken away {LATER_S:.0f} s before'
        )
    return ''


fleet.run_case(FOLDER, scenario)
