"""Applying configurations: races, lost answers, outages."""

import pathlib

import attrs
import hypothesis
from hypothesis import strategies
import pytest
from result import Err
from result import Ok

from .fakes.memory_configuration_store import MemoryStore
from wigeonfall.model.revision import Change
from wigeonfall.model.revision import Texts
from wigeonfall.model.site_status import SiteStatus
from wigeonfall import operations
from wigeonfall.operations import Failure

ETC = pathlib.Path(__file__).parent.parent / 'etc'


@pytest.fixture(autouse=True)
def _no_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operations, 'RETRY_PAUSE_S', 0)


def _texts(rank: int) -> Texts:
    return Texts(f'[tier orders]\nrank = {rank}\n')


def _change(name: str) -> Change:
    return Change(0, name, f'operator-{name}', 'why', 0)


def _draft(store: MemoryStore, rank: int) -> operations.Draft:
    return operations.draft(store.port(), _texts(rank)).unwrap()


def test_versions_grow_by_one_and_name_their_changes() -> None:
    store = MemoryStore()
    for number in range(1, 4):
        draft = _draft(store, number)
        applied = operations.apply(store.port(), draft, _change(f'c{number}'))
        assert applied.unwrap().version == number
    assert [c.id for c in store.stored.revision.earlier] == ['c2', 'c1']


def test_the_slower_of_two_operators_sees_what_the_other_changed() -> None:
    store = MemoryStore()
    operations.apply(store.port(), _draft(store, 1), _change('first'))
    slow = _draft(store, 3)
    operations.apply(store.port(), _draft(store, 2), _change('fast'))
    outcome = operations.apply(store.port(), slow, _change('slow'))
    assert isinstance(outcome, Err)
    error = outcome.err_value
    assert error.failure is Failure.CONFLICT
    assert error.winner.operator == 'operator-fast'
    assert [(d.before, d.after) for d in error.differences] == [('1', '2')]
    assert store.stored.revision.version == 2


@hypothesis.given(
    strategies.integers(0, 3), strategies.integers(0, 3), strategies.booleans()
)
def test_a_lost_answer_is_resolved_by_reading_again(
    dropped: int, lost: int, superseded: bool
) -> None:
    store = MemoryStore(drop_writes=dropped, lose_answers=lost)
    draft = _draft(store, 1)
    port = store.port()
    if superseded and lost:

        def write_and_lose_race(revision, read):
            written = store.port().write(revision, read)
            if policy_includes(store, 'mine'):
                other = _draft(store, 2)
                operations.apply(store.port(), other, _change('next'))
            return written

        port = attrs.evolve(port, write=write_and_lose_race)
    applied = operations.apply(port, draft, _change('mine'))
    assert applied.unwrap().version == 1
    assert policy_includes(store, 'mine')


def policy_includes(store: MemoryStore, change_id: str) -> bool:
    return operations.policy.includes(store.stored.revision, change_id)


def test_an_outage_is_told_apart_from_an_unknown_outcome() -> None:
    away = MemoryStore()
    draft = _draft(away, 1)
    away.away = True
    outcome = operations.apply(away.port(), draft, _change('c'))
    assert outcome.unwrap_err().failure is Failure.UNREACHABLE
    dropping = MemoryStore(drop_writes=99)
    draft = _draft(dropping, 1)
    outcome = operations.apply(dropping.port(), draft, _change('c'))
    assert outcome.unwrap_err().failure is Failure.UNKNOWN
    assert dropping.stored.revision is None


def test_a_store_that_lost_its_object_goes_on_above_what_sites_run() -> None:
    store = MemoryStore()
    store.statuses.append(SiteStatus('zac-a', 41, 3))
    applied = operations.apply(store.port(), _draft(store, 1), _change('c'))
    assert applied.unwrap().version == 42


def test_files_are_checked_for_all_sites_at_once(
    tmp_path: pathlib.Path,
) -> None:
    base = ETC / 'co-op' / 'base.ini'
    good = {'zac-a': ETC / 'co-op' / 'zac-a.ini'}
    assert isinstance(operations.read_texts(base, good), Ok)
    broken = tmp_path / 'mty-c.ini'
    broken.write_text('[service pedidos-app]\nsize = 1\n')
    wrong = {**good, 'sal-b': good['zac-a'], 'mty-c': broken}
    error = operations.read_texts(base, wrong).unwrap_err()
    assert error.failure is Failure.FAULTS
    assert {fault.file for fault in error.faults} == {
        str(good['zac-a']),
        str(broken),
    }
