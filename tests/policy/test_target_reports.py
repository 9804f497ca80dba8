"""Tests of the correction of the list of targets by reports."""

import hypothesis
from hypothesis import strategies

from wigeonfall.model.target import Target
from wigeonfall.model.target import TargetState
from wigeonfall.policy.targets import target_reports
from wigeonfall.policy.targets.target_reports import Backoff
from wigeonfall.policy.targets.target_reports import TargetReport

reports = strategies.builds(
    TargetReport,
    strategies.just('e1'),
    strategies.integers(1, 3),
    strategies.booleans(),
    strategies.sampled_from(['', 'v1', 'v2']),
)


def _target(incarnation: int, name: str = 'e1', **values: object) -> Target:
    return Target(name, 'pool', 'zac-a', '127.0.0.1:1', incarnation, **values)


def _available(
    target: Target, *received: TargetReport, backoff: Backoff | None = None
) -> tuple[Target, ...]:
    known = {report.target: report for report in received}
    backoffs = {target.name: backoff} if backoff else {}
    return target_reports.available_targets([target], known, backoffs, 100)


@hypothesis.given(reports, reports, reports)
def test_merge_laws(a: TargetReport, b: TargetReport, c: TargetReport) -> None:
    merge = target_reports.merge
    assert merge(a, b) == merge(b, a)
    assert merge(a, merge(b, c)) == merge(merge(a, b), c)
    assert merge(a, a) == a


@hypothesis.given(reports, strategies.integers(1, 3))
def test_a_report_overrides_a_list_that_lags(
    report: TargetReport, listed: int
) -> None:
    found = _available(_target(listed), report)
    if report.leaving and report.incarnation >= listed:
        assert not found
    else:
        assert found[0].incarnation == max(listed, report.incarnation)


def test_a_new_incarnation_or_name_is_another_target() -> None:
    left = TargetReport('e1', 4, True)
    assert not _available(_target(4), left)
    assert _available(_target(5), left)
    assert _available(_target(1, name='e2'), left)


def test_target_listed_as_leaving_is_not_available() -> None:
    assert not _available(_target(4, state=TargetState.LEAVING))


def test_a_failed_target_is_available_after_its_backoff() -> None:
    assert not _available(_target(4), backoff=Backoff(4, 101))
    assert _available(_target(4), backoff=Backoff(4, 100))
    assert _available(_target(5), backoff=Backoff(4, 101))
    restarted = TargetReport('e1', 5, False, 'v2')
    found = _available(_target(4), restarted, backoff=Backoff(4, 101))
    assert found[0].incarnation == 5
    assert found[0].version == 'v2'


def test_reports_are_kept_as_long_as_the_list_lags() -> None:
    left = TargetReport('e1', 4, True)
    old_s = target_reports.RETENTION_S + 1
    is_expired = target_reports.is_expired
    assert not is_expired(left, {'e1': _target(4)}, old_s)
    assert not is_expired(left, {}, old_s - 2)
    assert is_expired(left, {}, old_s)
    assert is_expired(left, {'e1': _target(5)}, old_s)
