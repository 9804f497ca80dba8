"""Tests of the order and differences of revisions and of site status."""

import functools
import itertools

import attrs
import hypothesis
from hypothesis import strategies

from wigeonfall.model.revision import Change
from wigeonfall.model.revision import Revision
from wigeonfall.model.revision import Texts
from wigeonfall.model.site_status import Report
from wigeonfall.model.site_status import SiteStatus
from wigeonfall.policy import configuration

changes = strategies.builds(
    Change,
    version=strategies.integers(1, 4),
    id=strategies.sampled_from('abc'),
    operator=strategies.just('ana'),
    reason=strategies.just(''),
    accepted_ms=strategies.just(0),
)
revisions = strategies.one_of(
    strategies.none(),
    strategies.builds(Revision, strategies.just(Texts('')), changes),
)
reports = strategies.lists(
    strategies.builds(
        Report,
        strategies.sampled_from('xyz'),
        strategies.integers(0, 3),
        strategies.integers(0, 3),
    )
)


@hypothesis.given(revisions, revisions, revisions)
def test_newest_is_commutative_associative_and_idempotent(
    a: Revision | None, b: Revision | None, c: Revision | None
) -> None:
    newest = configuration.newest
    assert newest(a, b) == newest(b, a)
    assert newest(a, newest(b, c)) == newest(newest(a, b), c)
    assert newest(a, a) == a


@hypothesis.given(strategies.lists(revisions))
def test_versions_never_decrease(seen: list[Revision | None]) -> None:
    kept = itertools.accumulate(seen, configuration.newest)
    versions = [configuration.position(one) for one in kept]
    assert versions == sorted(versions)


@hypothesis.given(reports, reports)
def test_reports_merge_in_any_order(a: list[Report], b: list[Report]) -> None:
    merge = configuration.merge_reports
    assert merge(merge({}, a), b) == merge(merge({}, b), a)
    assert merge(merge({}, a), a) == merge({}, a)


@hypothesis.given(revisions, strategies.lists(strategies.integers(0, 9)))
def test_next_version_is_above_all_known(
    stored: Revision | None, reported: list[int]
) -> None:
    change = Change(0, 'new', 'ana', '', 0)
    made = configuration.next_revision(stored, reported, Texts(''), change)
    known = [configuration.position(stored).version, *reported]
    assert made.version == max(known) + 1
    assert configuration.includes(made, 'new')
    assert stored is None or configuration.includes(made, stored.change.id)


def test_earlier_changes_are_bounded() -> None:
    def follow(stored: Revision | None, number: int) -> Revision:
        change = Change(0, f'c{number}', 'ana', '', 0)
        return configuration.next_revision(stored, [], Texts(''), change)

    last = functools.reduce(follow, range(100), None)
    assert last.version == 100
    assert len(last.earlier) == configuration.MAX_EARLIER_CHANGES
    assert configuration.includes(last, 'c90')
    assert not configuration.includes(last, 'c10')


def test_differences_name_site_section_and_option() -> None:
    before = {'': {'tier a': {'rank': '0'}, 'tier b': {'rank': '1'}}}
    after = {
        '': {'tier a': {'rank': '2'}},
        'zac-a': {'service x': {}},
    }
    found = configuration.differences(before, after)
    assert [attrs.astuple(one) for one in found] == [
        ('', 'tier a', 'rank', '0', '2'),
        ('', 'tier b', 'rank', '1', None),
        ('zac-a', 'service x', '', None, ''),
    ]


def test_status_is_written_once_when_all_instances_have_the_version() -> None:
    seen = {name: Report(name, 5, at) for name, at in (('x', 30), ('y', 10))}
    partly = configuration.site_status('zac-a', 5, 'xyz', seen)
    assert (partly.first_ms, partly.last_ms) == (10, 30)
    assert partly.missing == ('z',)
    due = configuration.status_due
    assert not due(partly, None, since_s=100, now_s=101)
    assert due(partly, None, since_s=100, now_s=102)
    whole = configuration.site_status('zac-a', 5, 'xy', seen)
    assert due(whole, None, since_s=100, now_s=100)
    assert due(whole, partly, since_s=100, now_s=100)
    assert not due(whole, whole, since_s=0, now_s=100)
    assert not due(partly, whole, since_s=0, now_s=100)
    newer = attrs.evolve(whole, version=6)
    assert due(newer, whole, since_s=100, now_s=100)
    older = attrs.evolve(whole, version=4)
    assert not due(older, whole, since_s=0, now_s=100)


def test_a_complete_status_is_not_replaced() -> None:
    whole = SiteStatus('zac-a', 5, 9)
    partly = SiteStatus('zac-a', 5, 8, ('x',))
    assert configuration.adds_to_history([], partly)
    assert configuration.adds_to_history([partly], whole)
    assert not configuration.adds_to_history([partly], partly)
    assert not configuration.adds_to_history([whole], whole)
    assert configuration.adds_to_history(
        [whole], attrs.evolve(partly, version=6)
    )
