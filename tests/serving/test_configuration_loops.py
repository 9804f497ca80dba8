"""Tests of the loops that keep the configuration up to date."""

import attrs

from tests.fakes.memory_configuration_store import MemoryStore
from tests.serving.test_configuration import make_node
from tests.serving.test_configuration import make_revision
from wigeonfall.ports.configuration import ConfigurationStore
from wigeonfall.ports.configuration import StoredRevision
from wigeonfall.serving.configuration import ConfigurationState
from wigeonfall.serving import configuration_loops


@attrs.frozen
class Loops:
    """What the watch needs of an instance."""

    state: ConfigurationState
    store: ConfigurationStore


def test_change_is_seen_whose_version_a_restored_store_gave_out_again():
    """A watch from a later version returned nothing, until the next change."""
    store = MemoryStore(StoredRevision(make_revision(1), 90))
    loops = Loops(make_node('i1').state, store.port())
    known = configuration_loops._read(loops)
    store.stored = StoredRevision(make_revision(2), 85)
    known = configuration_loops._watch(loops, known)
    loops.state.apply(100)
    assert loops.state.current.version == 2
    assert known.object_version == 85


def test_revision_in_force_outlives_the_one_that_a_restored_store_has():
    store = MemoryStore(StoredRevision(make_revision(3), 90))
    loops = Loops(make_node('i1').state, store.port())
    known = configuration_loops._read(loops)
    store.stored = StoredRevision(make_revision(2), 80)
    known = configuration_loops._watch(loops, known)
    store.stored = StoredRevision(make_revision(3), 81)
    assert configuration_loops._watch(loops, known).object_version == 81
    loops.state.apply(100)
    assert loops.state.current.version == 3
