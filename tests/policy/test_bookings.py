"""Tests of recognising callers that were told to return."""

import attrs
import pytest

from tests.policy.test_waiting import dispatch
from tests.policy.test_waiting import make_queue
from tests.policy.test_waiting import make_request
from wigeonfall.policy.room import bookings
from wigeonfall.policy.room.bookings import Bookings


def came_back(first, arrived_s):
    """Return the next request of a caller whose time ends as before."""
    new = make_request(f'{first.id}-again', arrived_s)
    return attrs.evolve(new, deadline_s=first.deadline_s)


def test_caller_keeps_the_goal_of_its_first_request():
    known = Bookings()
    first = make_request('first', 0.0)
    known.add(first, 3.0, True)
    again = known.recognise(came_back(first, 3.05))
    assert again.goal_s == first.goal_s
    assert again.is_retry and again.is_booked
    assert known.recognise(came_back(first, 3.05)) is None


@pytest.mark.parametrize('arrived_s', (0.3, 4.0))
def test_room_is_kept_only_around_the_time_told(arrived_s):
    known = Bookings()
    first = make_request('first', 0.0)
    known.add(first, 3.0, True)
    assert not known.recognise(came_back(first, arrived_s)).is_booked


def test_new_caller_that_sends_the_same_is_not_taken_for_one():
    known = Bookings()
    known.add(make_request('first', 0.0), 3.0, True)
    assert known.recognise(make_request('new', 3.0)) is None


def test_callers_that_stay_away_are_forgotten(monkeypatch):
    monkeypatch.setattr(bookings, 'MAX_RETURNS', 2)
    known = Bookings()
    first = [make_request(str(n), 0.0) for n in range(3)]
    for pending in first:
        known.add(pending, 3.0, True)
    assert len(known) == 2
    assert known.recognise(came_back(first[0], 30.0)) is None
    assert not len(known)


def test_booked_caller_goes_before_late_ones_but_not_before_one_in_time():
    _, queue = make_queue(slots=3)
    first = make_request('first', 0.0)
    due_s = 1.0 + queue.retry_after_s(first, 1.0)
    queue.add(make_request('late', due_s - 1.0))
    queue.add(came_back(first, due_s))
    queue.add(make_request('in-time', due_s))
    assert dispatch(queue, due_s) == ['in-time', 'first-again', 'late']
