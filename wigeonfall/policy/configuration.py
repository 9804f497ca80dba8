"""Order, differences and reported status of configuration versions."""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from ..model.revision import Change
from ..model.revision import Revision
from ..model.revision import Texts
from ..model.site_status import Report
from ..model.site_status import SiteStatus

MAX_EARLIER_CHANGES = 32
INCOMPLETE_STATUS_DELAY_S = 2.0

# Options by section, as written.
Options = Mapping[str, Mapping[str, str]]


@attrs.frozen(order=True)
class Position:
    """Position of a revision in the total order used by all instances.

    Two revisions of one version exist only after the store lost its objects;
    the id of the change then breaks the tie.
    """

    version: int
    change_id: str


NO_POSITION = Position(0, '')


@attrs.frozen
class Difference:
    """One option that differs between two configurations.

    Attributes:
        site: data centre whose overlay holds it, or '' for the base.
        section: title of the section.
        option: name of the option, or '' for a section without options.
        before: old value, or None if it was not set.
        after: new value, or None if it is not set any more.
    """

    site: str
    section: str
    option: str
    before: str | None
    after: str | None


def position(revision: Revision | None) -> Position:
    """Return the position of a revision; None is before all others."""
    if revision is None:
        return NO_POSITION
    return Position(revision.version, revision.change.id)


def newest(first: Revision | None, second: Revision | None) -> Revision | None:
    """Return the later one of two revisions."""
    return max(first, second, key=position)


def next_revision(
    stored: Revision | None,
    reported_versions: Iterable[int],
    texts: Texts,
    change: Change,
) -> Revision:
    """Return the revision that follows the stored one.

    Args:
        stored: revision in the store, or None.
        reported_versions: versions reported by sites; they exceed the stored
            one if the store lost its object.
        texts: the new files.
        change: the change; its version is set here.
    """
    version = max(position(stored).version, *reported_versions, 0) + 1
    earlier: tuple[Change, ...] = ()
    if stored is not None:
        earlier = (stored.change, *stored.earlier)[:MAX_EARLIER_CHANGES]
    change = attrs.evolve(change, version=version)
    return Revision(texts, change, earlier)


def includes(revision: Revision | None, change_id: str) -> bool:
    """Return whether a revision or a recent one before it has a change."""
    if revision is None:
        return False
    changes = (revision.change, *revision.earlier)
    return any(change.id == change_id for change in changes)


def differences(
    before: Mapping[str, Options], after: Mapping[str, Options]
) -> tuple[Difference, ...]:
    """Return the differences between two configurations.

    Args:
        before: options of each site, with the base under ''.
        after: the same of the other configuration.

    Returns:
        The differences by site, section and option.
    """
    found: list[Difference] = []
    for site in sorted({*before, *after}):
        old = _flat(before.get(site, {}))
        new = _flat(after.get(site, {}))
        for section, option in sorted({*old, *new}):
            was = old.get((section, option))
            now = new.get((section, option))
            if was != now:
                found.append(Difference(site, section, option, was, now))
    return tuple(found)


def _flat(options: Options) -> dict[tuple[str, str], str]:
    flat = {
        (section, option): value
        for section, values in options.items()
        for option, value in values.items()
    }
    flat.update({(s, ''): '' for s, values in options.items() if not values})
    return flat


def merge_reports(
    known: Mapping[str, Report], others: Iterable[Report]
) -> dict[str, Report]:
    """Return the latest report of each instance."""
    merged = dict(known)
    for report in others:
        mine = merged.get(report.instance)
        if mine is None or _report_order(report) > _report_order(mine):
            merged[report.instance] = report
    return merged


def _report_order(report: Report) -> tuple[int, int]:
    # For one version the earlier time wins: it came into force only once.
    return report.version, -report.in_force_ms


def site_status(
    data_center: str,
    version: int,
    live: Iterable[str],
    reports: Mapping[str, Report],
) -> SiteStatus:
    """Return the status of a version in a data centre.

    Args:
        data_center: the data centre.
        version: the version to report on.
        live: names of its live instances.
        reports: latest report of each instance.
    """
    names = set(live)
    done = [
        report
        for report in reports.values()
        if report.version == version and report.instance in names
    ]
    times_ms = [report.in_force_ms for report in done]
    return SiteStatus(
        data_center,
        version,
        len(done),
        tuple(sorted(names.difference(r.instance for r in done))),
        min(times_ms, default=0),
        max(times_ms, default=0),
    )


def status_due(
    status: SiteStatus,
    written: SiteStatus | None,
    since_s: float,
    now_s: float,
) -> bool:
    """Return whether the status of a site is to be written now.

    Args:
        status: the status to write.
        written: the status in the store, or None.
        since_s: when the status first differed from the written one.
        now_s: present time, on the same clock.

    Returns:
        True at once if the version is in force at the whole site, and
        after INCOMPLETE_STATUS_DELAY_S when some instances are missing.
    """
    if not status.in_force or status.version == 0:
        return False
    if written is not None and not _is_newer(status, written):
        return False
    return not status.missing or now_s - since_s >= INCOMPLETE_STATUS_DELAY_S


def _is_newer(status: SiteStatus, written: SiteStatus) -> bool:
    if status.version != written.version:
        return status.version > written.version
    # Later starts and stops of instances do not change the time in force.
    return bool(written.missing) and not status.missing


def adds_to_history(history: Iterable[SiteStatus], status: SiteStatus) -> bool:
    """Return whether a status adds information to those already written.

    Two reporters may write the status of one version, and the later one would
    give the times of instances that started since.
    """
    same = [one for one in history if one.version == status.version]
    return not same or bool(same[0].missing) and not status.missing
