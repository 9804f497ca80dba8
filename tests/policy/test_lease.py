"""Tests of the decisions on control leases."""

import hypothesis
from hypothesis import strategies

from wigeonfall.policy import lease

DURATION_S = 10.0


def _observed(holder: str, fencing: int = 3, since_s: float = 0.0):
    return lease.ObservedLease(
        lease.Lease(holder, fencing, DURATION_S), 1, since_s
    )


def test_unchanged_lease_keeps_the_time_it_was_first_observed():
    """Only a new version of the object restarts the wait of a reader."""
    stored = lease.Lease('a', 1, DURATION_S)
    first = lease.observe(None, stored, 7, 1.0)
    assert lease.observe(first, stored, 7, 9.0).since_s == 1.0
    assert lease.observe(first, stored, 8, 9.0).since_s == 9.0


@hypothesis.given(strategies.floats(0, 30))
def test_lease_of_another_holder_is_claimed_after_its_duration(now_s):
    """A lease of another holder must stay unchanged for its duration."""
    free = lease.may_claim(_observed('a'), 'b', now_s)
    assert free == (now_s >= DURATION_S)
    assert lease.may_claim(_observed('b'), 'b', now_s)
    assert lease.may_claim(_observed(''), 'b', now_s)


@hypothesis.given(strategies.integers(0, 9), strategies.integers(0, 9))
def test_fencing_token_increases_with_each_change_of_holder(fencing, floor):
    """Renewals keep the token; claims exceed it and the floor."""
    seen = _observed('a', fencing)
    assert lease.next_lease(seen, 'a', 5, floor).fencing == fencing
    claimed = lease.next_lease(seen, 'b', 5, floor)
    assert claimed.fencing > max(fencing, floor)
    assert lease.next_lease(None, 'b', 5, floor).fencing > floor


def test_holder_stops_before_others_may_claim():
    """The lease expires for its holder a safety margin early."""
    assert lease.expiry_s(100.0, DURATION_S) == 107.5
