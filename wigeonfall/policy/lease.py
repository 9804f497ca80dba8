"""Decisions on control leases.

A lease is an object in the platform's store. The holder counts the duration
from before it sent the write, on its own monotonic clock, and stops a safety
margin early. Other candidates treat the lease as expired only after they have
observed it unchanged for its whole duration on their own clocks. Clocks of
different processes are never compared: two instances hold a lease at once
only if their clock rates differ by more than the margin.

A store that was restored from an older copy may name an earlier holder, with
its fencing token. Whoever has seen a later term takes such a lease for that of
an unknown holder, until it has been unchanged for its duration.
"""

import attrs

SAFETY_MARGIN_FRACTION = 0.25


@attrs.frozen
class Lease:
    """A lease as stored.

    Attributes:
        holder: name and incarnation of the holder, '' when released.
        fencing: fencing token; increases with each change of holder.
        duration_s: time for which a write keeps the lease.
        renewal: increases with each renewal by one holder.
    """

    holder: str
    fencing: int
    duration_s: float
    renewal: int = 0


@attrs.frozen
class ObservedLease:
    """A stored lease as observed by one reader.

    Attributes:
        lease: the stored lease.
        version: version of the object in the store, 0 if it has none.
        since_s: when the reader first observed this version, on its
            monotonic clock.
        newest_fencing: highest fencing token that the reader has observed.
    """

    lease: Lease
    version: int
    since_s: float
    newest_fencing: int = 0

    @property
    def outdated(self) -> bool:
        """Whether the store has lost a later term of the lease."""
        return self.lease.fencing < self.newest_fencing


def observe(
    earlier: ObservedLease | None, lease: Lease, version: int, now_s: float
) -> ObservedLease:
    """Return the observation after a read; an unchanged one keeps its time."""
    if earlier is None:
        return ObservedLease(lease, version, now_s, lease.fencing)
    if (earlier.version, earlier.lease) == (version, lease):
        return earlier
    newest_fencing = max(earlier.newest_fencing, lease.fencing)
    return ObservedLease(lease, version, now_s, newest_fencing)


def may_claim(
    observed: ObservedLease | None,
    holder: str,
    now_s: float,
    holds: bool = False,
) -> bool:
    """Return whether a candidate may claim the lease.

    Args:
        observed: the lease as observed, None if there is none.
        holder: name and incarnation of the candidate.
        now_s: present time on the candidate's monotonic clock.
        holds: whether the term of the candidate still lasts.
    """
    if observed is None or (holds and observed.outdated):
        return True
    if observed.lease.holder in ('', holder) and not observed.outdated:
        return True
    return now_s - observed.since_s >= observed.lease.duration_s


def next_lease(
    observed: ObservedLease | None, holder: str, duration_s: float, floor: int
) -> Lease:
    """Return the lease to write for a claim or a renewal.

    Args:
        observed: the lease as observed, None if there is none.
        holder: name and incarnation of the writer.
        duration_s: time for which the write keeps the lease.
        floor: highest fencing token known from elsewhere, so that tokens
            keep increasing after the lease object was deleted.

    Returns:
        The lease; its fencing token is new unless the holder stays the same.
    """
    if observed is None:
        return Lease(holder, floor + 1, duration_s)
    seen = observed.lease
    if seen.holder == holder and not observed.outdated:
        return Lease(holder, seen.fencing, duration_s, seen.renewal + 1)
    highest = max(seen.fencing, observed.newest_fencing, floor)
    return Lease(holder, highest + 1, duration_s)


def expiry_s(sent_s: float, duration_s: float) -> float:
    """Return when the holder has to stop acting on the lease.

    Args:
        sent_s: when the holder started the write, on its monotonic clock.
        duration_s: duration that was written.
    """
    return sent_s + duration_s * (1 - SAFETY_MARGIN_FRACTION)
