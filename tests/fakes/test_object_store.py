"""Tests of the store of objects in memory."""

from tests.fakes.object_store import MemoryObjects
from wigeonfall.ports.platform import PlatformErrorKind

SOON_S = 0.02


def test_a_restore_forgets_later_changes_and_gives_revisions_out_again():
    objects = MemoryObjects()
    store = objects.port()
    kept = objects.put('k', 'a', {'n': 1})
    copy = objects.copy()
    lost = objects.put('k', 'b', {})
    objects.put('k', 'a', {'n': 2})
    before = store.list('k', False).ok_value
    objects.restore(copy)
    after = store.list('k', False).ok_value
    assert after.objects == (kept,)
    assert (before.era, after.era) == (1, 2)
    assert after.revision < before.revision
    assert objects.put('k', 'c', {}).version == lost.version


def test_a_watch_from_a_revision_that_a_restore_took_back_is_gone():
    objects = MemoryObjects()
    store = objects.port()
    copy = objects.copy()
    objects.put('k', 'a', {})
    since = store.list('k', False).ok_value.revision
    objects.restore(copy)
    gone = store.watch('k', since, SOON_S).err_value
    assert gone.kind is PlatformErrorKind.GONE
    objects.put('k', 'b', {})
    assert store.watch('k', since, SOON_S).ok_value.era == 2
