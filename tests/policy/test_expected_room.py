"""Tests of the expected waits and of the times told to refused callers."""

import itertools

import pytest

from wigeonfall.policy.room.expected_room import ExpectedRoom


def test_wait_follows_from_the_work_ahead_and_the_slots():
    assert ExpectedRoom(slots=10.0).wait_s(20.0) == pytest.approx(2.0)


def test_callers_return_after_the_queue_and_after_each_other():
    room = ExpectedRoom(slots=10.0, queued_s=20.0)
    delays = [room.book(1.0, 100.0, 5.0) for _ in range(20)]
    assert delays[0] == pytest.approx(2.0)
    gaps = [b - a for a, b in itertools.pairwise(delays)]
    assert all(gap >= 0.1 for gap in gaps)


def test_caller_that_cannot_wait_that_long_gets_no_booking():
    room = ExpectedRoom(slots=1.0, queued_s=20.0)
    assert room.book(1.0, 3.0, 0.0) == 3.0
    assert room.booked_until_s == 0.0
