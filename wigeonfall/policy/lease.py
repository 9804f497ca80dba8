"""Decisions on control leases.

A lease is an object in the platform's store. Its holder counts its time from
before it sent the write, on its own monotonic clock, and stops a margin
early. Everyone else judges the lease only by seeing it unchanged for its
whole duration on their own clock. No two clocks are ever compared, so two
holders at once need clocks whose rates differ by more than the margin.
"""

import attrs

MARGIN_SHARE = 0.25


@attrs.frozen
class Lease:
    """A lease as it is stored.

    Attributes:
        holder: name and incarnation of the holder, '' when released.
        fencing: number that grows with each change of holder.
        duration_s: time for which a write keeps the lease.
        renewal: grows with each write of one holder.
    """

    holder: str
    fencing: int
    duration_s: float
    renewal: int = 0


@attrs.frozen
class ObservedLease:
    """A stored lease as one reader sees it.

    Attributes:
        lease: the stored lease.
        version: version of the object in the store.
        since_s: when the reader first saw this version, on its monotonic
            clock.
    """

    lease: Lease
    version: int
    since_s: float


def observe(
    earlier: ObservedLease | None, lease: Lease, version: int, now_s: float
) -> ObservedLease:
    """Return what a reader knows of the lease after one more read."""
    if earlier is not None and earlier.version == version:
        return earlier
    return ObservedLease(lease, version, now_s)


def may_claim(
    observed: ObservedLease | None, holder: str, now_s: float
) -> bool:
    """Return whether a candidate may write itself into the lease.

    Args:
        observed: what the candidate sees, None if there is no lease.
        holder: name and incarnation of the candidate.
        now_s: present time on the candidate's monotonic clock.
    """
    if observed is None or observed.lease.holder in ('', holder):
        return True
    return now_s - observed.since_s >= observed.lease.duration_s


def next_lease(
    observed: ObservedLease | None, holder: str, duration_s: float, floor: int
) -> Lease:
    """Return the lease to write for a claim or a renewal.

    Args:
        observed: what the writer sees, None if there is no lease.
        holder: name and incarnation of the writer.
        duration_s: time for which the write keeps the lease.
        floor: highest fencing number known from elsewhere, which keeps the
            numbers growing when the lease was deleted.

    Returns:
        The lease; its fencing number is new unless the holder stays.
    """
    if observed is None:
        return Lease(holder, floor + 1, duration_s)
    seen = observed.lease
    if seen.holder == holder:
        return Lease(holder, seen.fencing, duration_s, seen.renewal + 1)
    return Lease(holder, max(seen.fencing, floor) + 1, duration_s)


def expiry_s(sent_s: float, duration_s: float) -> float:
    """Return when the holder has to stop acting.

    Args:
        sent_s: when the holder began the write, on its monotonic clock.
        duration_s: duration that was written.
    """
    return sent_s + duration_s * (1 - MARGIN_SHARE)
