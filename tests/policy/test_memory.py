"""Tests of the account of memory that is held for others."""

import pytest

from wigeonfall.policy import memory
from wigeonfall.policy.memory import Cause
from wigeonfall.policy.memory import Holder
from wigeonfall.policy.memory import Kind

MB = 1 << 20
BODY = 4 * MB


class Site:
    """An account, and what happens to its connections."""

    def __init__(self, memory_mb=80, descriptors=400):
        self.account = memory.make_account(memory_mb, descriptors)
        self.closed = []

    def connect(self, address, arriving=True, **state):
        def close(cause):
            self.closed.append((holder, cause))
            self.account.forget(holder)

        holder = Holder(
            address, lambda _now_s: None, close, 0.0, arriving, **state
        )
        assert self.account.open(holder, 0.0) is None
        return holder

    def fill(self, address, kind=Kind.BODIES, size=BODY, most=100):
        """Let connections hold something until there is no room."""
        holders = []
        while len(holders) < most:
            holder = self.connect(address, idle=False)
            holders.append(holder)
            if not self.account.resize(holder, kind, size, 0.0):
                break
        return holders


def test_bodies_find_room_up_to_their_share():
    site = Site()
    assert len(site.fill('a')) == 4
    bodies = site.account.used_bytes[Kind.BODIES]
    assert bodies == memory.SHARES[Kind.BODIES] * site.account.limit_bytes


def test_one_body_of_any_size_is_admitted_in_calm():
    site = Site(memory_mb=64)
    large = site.connect('a')
    assert site.account.resize(large, Kind.BODIES, 60 * MB, 0.0)
    other = site.connect('a')
    assert not site.account.resize(other, Kind.BODIES, BODY, 0.0)


def test_a_small_request_finds_room_beside_large_ones():
    site = Site()
    site.fill('a')
    site.fill('a', Kind.UNREAD, MB, 5)
    small = site.connect('a')
    size = memory.SMALL_BYTES - memory.CONNECTION_BYTES
    assert site.account.resize(small, Kind.BODIES, size, 0.0)
    assert not site.closed


def test_connections_without_progress_are_closed_first():
    site = Site()
    first, second, *_ = site.fill('a')
    first.progress_s, second.progress_s = 5.0, 4.0
    for holder in site.account._holders:
        holder.progress_s = holder.progress_s or 9.5
    late = site.connect('a')
    assert site.account.resize(late, Kind.BODIES, BODY, 10.0)
    assert site.closed == [(second, Cause.NO_PROGRESS)]


def test_the_largest_address_gives_way_to_others():
    site = Site()
    crowd = site.fill('a')
    late = site.connect('b')
    assert site.account.resize(late, Kind.BODIES, BODY, 0.0)
    ((closed, cause),) = site.closed
    assert closed in crowd and cause is Cause.LARGEST
    assert site.account.used_bytes[Kind.BODIES] <= 12 * MB


def test_requests_that_run_are_not_closed_for_others():
    site = Site()
    for holder in site.fill('a'):
        size = holder.held_bytes[Kind.BODIES]
        site.account.put(holder, Kind.BODIES, 0)
        site.account.put(holder, Kind.REQUESTS, size)
        holder.arriving = False
    late = site.connect('b')
    assert not site.account.resize(late, Kind.BODIES, BODY, 10.0)
    assert not site.closed


def test_the_largest_unread_answer_is_closed_for_smaller_ones():
    site = Site()
    most = memory.SHARES[Kind.UNREAD] * site.account.limit_bytes
    crowd = site.fill('a', Kind.UNREAD, MB, int(most / MB))
    reader = site.connect('a', arriving=False)
    assert site.account.resize(reader, Kind.UNREAD, MB, 0.5)
    assert [closed in crowd for closed, _ in site.closed] == [True]


@pytest.mark.parametrize('kind', [Kind.UNREAD, Kind.BODIES])
def test_a_sweep_closes_what_makes_no_progress(kind):
    site = Site()
    (holder,) = site.fill('a', kind, 100_000, 1)
    holder.arriving = kind is Kind.BODIES
    site.account.sweep(15.0, 15.0)
    assert not site.closed
    site.account.sweep(15.1, 15.0)
    assert site.closed == [(holder, Cause.TIMED_OUT)]
    assert site.account.total_bytes == 0


def test_idle_connections_give_way_to_new_ones_and_to_targets():
    site = Site()
    idle = [site.connect('a', arriving=False) for _ in range(180)]
    new = site.connect('a', idle=False)
    assert len(site.closed) == memory.CLOSED_AT_ONCE
    assert site.account.begin_answer(new, 0.0)
    assert site.account.answering == 1
    site.account.forget(new)
    assert site.account.answering == 0
    for holder in idle:
        holder.idle = False
        site.account.begin_answer(holder, 0.0)
    # As many callers as targets; the others gave way.
    assert site.account.answering == len(site.account._holders) == 100
    assert site.account.max_sockets == 200


def test_nothing_is_counted_for_closed_connections():
    site = Site()
    holders = site.fill('a')
    site.fill('a', Kind.HEADS, 400_000)
    for holder in tuple(site.account._holders):
        site.account.forget(holder)
    site.account.put(holders[0], Kind.REQUESTS, 100)
    assert not site.account.resize(holders[0], Kind.HEADS, 100, 0.0)
    assert site.account.used_bytes == [0] * len(Kind)


def test_a_flood_of_connections_does_not_search_all_each_time():
    """Each new connection looked at thousands that could not be closed."""
    site = Site()
    searches = []

    def connect(now_s):
        holder = Holder(
            'a',
            searches.append,
            lambda _cause: None,
            now_s,
            answering=True,
            idle=False,
        )
        refused = site.account.open(holder, now_s) is not None
        if refused:
            site.account.forget(holder)
        return refused

    assert not any(connect(0.0) for _ in range(180))
    assert all(connect(1.0 + n / 1000) for n in range(90))
    assert len(searches) == 181
    assert connect(1.0 + memory.SEARCH_PAUSE_S)
    assert len(searches) == 2 * 181
