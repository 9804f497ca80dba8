"""Corrects the platform's list of targets, which lags, by recent reports."""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from ...model.target import Target
from ...model.target import TargetState

BACKOFF_S = 2.0
RETENTION_S = 600.0


@attrs.frozen
class TargetReport:
    """What instances report to each other on one target.

    Attributes:
        target: name of the target.
        incarnation: latest incarnation that an instance observed.
        leaving: whether this incarnation announced that it leaves; final.
        version: version that this incarnation serves, or '' if not known.
    """

    target: str
    incarnation: int
    leaving: bool = False
    version: str = ''


@attrs.frozen
class Backoff:
    """A time without new work to a target after it failed.

    Attributes:
        incarnation: the incarnation that failed.
        until_s: end of the backoff, on the monotonic clock.
    """

    incarnation: int
    until_s: float


def merge(first: TargetReport, second: TargetReport) -> TargetReport:
    """Merge two reports on a target of the same name."""
    if first.incarnation != second.incarnation:
        return max(first, second, key=lambda r: r.incarnation)
    return attrs.evolve(
        first,
        leaving=first.leaving or second.leaving,
        version=max(first.version, second.version),
    )


def available_targets(
    listed: Iterable[Target],
    reports: Mapping[str, TargetReport],
    backoffs: Mapping[str, Backoff],
    now_s: float,
) -> tuple[Target, ...]:
    """Return the targets that may receive new work.

    Args:
        listed: targets in the last list from the platform.
        reports: latest report by name of target.
        backoffs: backoffs after failures at this instance, by name of target.
        now_s: present time, on the monotonic clock.
    """
    corrected = (_corrected(target, reports) for target in listed)
    return tuple(
        target
        for target in corrected
        if target.state is TargetState.READY
        and not _is_in_backoff(target, backoffs, now_s)
    )


def _corrected(target: Target, reports: Mapping[str, TargetReport]) -> Target:
    report = reports.get(target.name)
    if report is None or report.incarnation < target.incarnation:
        return target
    if report.leaving:
        return attrs.evolve(target, state=TargetState.LEAVING)
    if report.incarnation == target.incarnation:
        return target
    # The list still shows the replaced process of this name.
    return attrs.evolve(
        target,
        incarnation=report.incarnation,
        version=report.version or target.version,
        state=TargetState.READY,
    )


def _is_in_backoff(
    target: Target, backoffs: Mapping[str, Backoff], now_s: float
) -> bool:
    backoff = backoffs.get(target.name)
    if backoff is None or target.incarnation > backoff.incarnation:
        return False
    return now_s < backoff.until_s


def is_expired(
    report: TargetReport,
    listed: Mapping[str, Target],
    age_s: float,
) -> bool:
    """Return whether a report on a target can be dropped.

    Args:
        report: the report.
        listed: targets in the last list from the platform, by name.
        age_s: time since the report was received.
    """
    target = listed.get(report.target)
    list_lags = target is not None and target.incarnation <= report.incarnation
    return not list_lags and age_s > RETENTION_S
