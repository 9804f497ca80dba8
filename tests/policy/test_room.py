"""Tests of room at targets and of the choice between them."""

import attrs

from wigeonfall.model.target import Target
from wigeonfall.policy.learned import Said
from wigeonfall.policy.room import Bounds
from wigeonfall.policy.room import PeerLoad
from wigeonfall.policy.room import Rooms
from wigeonfall.policy.room import Size
from wigeonfall.policy.room import TargetLoad
from wigeonfall.policy.room import UNSEEN_REQUESTS

EASY = Bounds(goal_s=1.0, patience_s=3.0, left_s=15.0)
SMALL = Size(600, 100)


def make_rooms(*names, slots=4):
    rooms = Rooms('dc')
    rooms.set_targets(
        Target(name, 's', 'dc', f'10.0.0.{n}:1', slots=slots)
        for n, name in enumerate(names)
    )
    return rooms


def teach(rooms, name, first_s, answer_s=0.5):
    for n in range(5):
        rooms.observed_first(name, 0, first_s, n * 0.1)
        rooms.observed_answer(name, SMALL, answer_s, n * 0.1)


def choose(rooms, names, size=SMALL, bounds=EASY, now_s=1.0):
    outlooks = rooms.outlooks(names, now_s)
    found = rooms.choose(outlooks, size, bounds, now_s)
    return found.room.target.name if found else None


def test_a_faster_target_goes_first_and_a_full_one_gets_nothing():
    rooms = make_rooms('slow', 'fast')
    teach(rooms, 'slow', 0.5)
    teach(rooms, 'fast', 0.1)
    for _ in range(4):
        assert choose(rooms, ('slow', 'fast')) == 'fast'
        rooms.sent('fast', Size())
    assert choose(rooms, ('slow', 'fast')) == 'slow'


def test_what_peers_have_outstanding_takes_room():
    rooms = make_rooms('a', 'b')
    teach(rooms, 'a', 0.1)
    teach(rooms, 'b', 0.3)
    nothing = Said(0.0, 0.0)
    load = TargetLoad(4, 0.0, nothing, nothing)
    rooms.set_peers([PeerLoad({'a': load}, {})])
    assert choose(rooms, ('a', 'b')) == 'b'


def test_prompts_that_are_not_read_yet_hold_up_a_new_one():
    rooms = make_rooms('a', 'b')
    teach(rooms, 'a', 0.10)
    teach(rooms, 'b', 0.12)
    rooms.sent('a', Size(prompt_tokens=50_000))
    assert choose(rooms, ('a', 'b')) == 'b'
    rooms.began('a', Size(prompt_tokens=50_000))
    rooms.ended('a')
    assert choose(rooms, ('a', 'b')) == 'a'


def test_a_target_that_would_outlast_patience_gets_nothing():
    """A wait that the caller does not bear is lost twice."""
    rooms = make_rooms('slow')
    teach(rooms, 'slow', 0.5)
    hurry = attrs.evolve(EASY, patience_s=0.4)
    assert choose(rooms, ('slow',), bounds=hurry) is None


def test_an_answer_goes_where_it_ends_in_time_if_it_does_anywhere():
    """Short time limits at a slow target ended without an answer."""
    rooms = make_rooms('slow', 'fast', slots=1)
    teach(rooms, 'slow', 0.1, answer_s=4.0)
    teach(rooms, 'fast', 0.1, answer_s=1.0)
    hurry = attrs.evolve(EASY, left_s=3.0)
    rooms.sent('fast', Size())
    assert choose(rooms, ('slow', 'fast'), bounds=hurry) is None
    assert choose(rooms, ('slow',), bounds=hurry) == 'slow'


def test_a_target_of_which_nothing_is_known_gets_few_requests():
    rooms = make_rooms('new', slots=14)
    sent = 0
    while choose(rooms, ('new',)) == 'new':
        rooms.sent('new', SMALL)
        sent += 1
    assert sent == UNSEEN_REQUESTS


def test_a_broken_target_is_probed_by_one_request():
    rooms = make_rooms('a')
    teach(rooms, 'a', 0.1)
    rooms.broken('a', 1.0)
    assert choose(rooms, ('a',), now_s=1.1) is None
    assert choose(rooms, ('a',), now_s=2.0) == 'a'
    rooms.sent('a', SMALL)
    assert choose(rooms, ('a',), now_s=2.0) is None
    rooms.observed_first('a', 0, 0.1, 2.1)
    assert choose(rooms, ('a',), now_s=2.2) == 'a'


def test_long_pauses_lower_a_limit_and_short_ones_raise_it():
    rooms = make_rooms('a', slots=10)
    for _ in range(9):
        rooms.sent('a', Size())
    rooms.paused('a', 0.19, 0.2, 10.0)
    (room,) = rooms.all()
    assert room.limit < 9
    lowered = room.limit
    for n in range(20):
        rooms.paused('a', 0.05, 0.2, 11.0 + n)
    assert lowered < room.limit <= 10


def test_a_new_start_under_the_same_name_is_learned_anew():
    rooms = make_rooms('a')
    teach(rooms, 'a', 0.1)
    rooms.set_targets([Target('a', 's', 'dc', '10.0.0.0:1', incarnation=2)])
    (room,) = rooms.all()
    assert room.outlook(1.0).first_s(SMALL) == 0.0
