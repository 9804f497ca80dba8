"""Decisions on targets that leave or fail, against a list that lags."""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from ..model.target import Target
from ..model.target import TargetState

BACKOFF_S = 2.0
RETENTION_S = 600.0


@attrs.frozen
class TargetReport:
    """What instances tell each other of one target name.

    Attributes:
        target: name of the target.
        incarnation: latest incarnation that an instance has met.
        leaving: whether this incarnation said that it leaves, which is final.
        version: version that this incarnation serves, or '' if not known.
    """

    target: str
    incarnation: int
    leaving: bool = False
    version: str = ''


@attrs.frozen
class Backoff:
    """A pause that this instance makes after a target failed.

    Attributes:
        incarnation: the incarnation that failed.
        until_s: end of the pause, on the monotonic clock.
    """

    incarnation: int
    until_s: float


def merge(first: TargetReport, second: TargetReport) -> TargetReport:
    """Return all that two reports on a target of one name tell."""
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
    """Return the targets that may get new work.

    Args:
        listed: targets in the last list from the platform.
        reports: latest news by name of target.
        backoffs: failures that this instance saw, by name of target.
        now_s: present time, on the monotonic clock.
    """
    current = (_current(target, reports) for target in listed)
    return tuple(
        target
        for target in current
        if target.state is TargetState.READY
        and not _held(target, backoffs, now_s)
    )


def _current(target: Target, reports: Mapping[str, TargetReport]) -> Target:
    report = reports.get(target.name)
    if report is None or report.incarnation < target.incarnation:
        return target
    if report.leaving:
        return attrs.evolve(target, state=TargetState.LEAVING)
    if report.incarnation == target.incarnation:
        return target
    # The list still shows the process that was replaced at this name.
    return attrs.evolve(
        target,
        incarnation=report.incarnation,
        version=report.version or target.version,
        state=TargetState.READY,
    )


def _held(
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
    """Return whether news of a target can be dropped.

    Args:
        report: the news.
        listed: targets in the last list from the platform, by name.
        age_s: time since the news was learned.
    """
    target = listed.get(report.target)
    stale = target is not None and target.incarnation <= report.incarnation
    return not stale and age_s > RETENTION_S
