"""Tests of entries of other writers among those of engines, on processes."""

import asyncio

import pytest

from tests.fakes.forwarding import ScriptedTarget
from tests.fakes.metadata_store import MetadataStore
from tests.fakes.odd_entries import ODD
from tests.fakes.odd_entries import odd_entry
from tests.fakes.odd_entries import ODD_NAMES
from tests.fakes.odd_entries import SOUND
from tests.fakes.users_platform import Instance
from tests.users_platform.test_endless_answers import answer
from tests.users_platform.test_endless_answers import make_route

DRAIN_S = 2.0  # published
MANIFEST = {
    'Version': 1,
    'Routes': [make_route('r', 'idempotent', 3000)],
    'Services': [{'Name': 'r'}],
    'Limits': {},
    'Tenants': [],
}


def register(store, target, **changes):
    entry = {**SOUND, 'Address': target.address, **changes}
    store.objects.put('servers', target.name, entry)


def follow_beside(tmp_path, write_odd):
    """Check that instances follow the list of engines beside an odd entry.

    Args:
        tmp_path: directory for their files.
        write_odd: writes the entry to a store.
    """

    async def scenario():
        targets = [ScriptedTarget(f'e{n}', answer) for n in range(3)]
        for target in targets:
            await target.start()
        first, second, third = targets
        with MetadataStore() as store:
            store.objects.put('config', 'main', MANIFEST)
            register(store, first)
            register(store, second)
            async with Instance(tmp_path, store) as instance:
                write_odd(store)
                await asyncio.sleep(0.3)
                register(store, first, State='draining')
                register(store, third)
                await asyncio.sleep(DRAIN_S)
                before = len(first.served)
                # An instance that starts now reads the entry in a listing.
                async with Instance(tmp_path, store, 'i2') as late:
                    for number in range(30):
                        for process in (instance, late):
                            status, *_ = await process.ask(number)
                            assert status == 200
                assert len(first.served) == before
                assert third.served

    asyncio.run(asyncio.wait_for(scenario(), 60.0))


@pytest.mark.parametrize('kind', ODD)
def test_an_odd_entry_leaves_the_others_in_use(kind, tmp_path):
    """Machines followed no change of the list any more, or served nobody."""

    def write_odd(store):
        store.raw['odd'] = odd_entry(kind)
        store.objects.put('servers', 'odd', {'raw': 'odd'})

    follow_beside(tmp_path, write_odd)


@pytest.mark.parametrize('kind', ODD_NAMES)
def test_an_odd_name_leaves_the_others_in_use(kind, tmp_path):
    """No machine came back while an entry with such a name stood."""
    name = ODD_NAMES[kind]
    follow_beside(
        tmp_path,
        lambda store: store.objects.put('servers', name, {'Service': 'r'}),
    )
