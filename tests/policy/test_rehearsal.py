"""Tests of what would become of a request, under load."""

from collections.abc import Mapping

import attrs

from tests.policy.test_kept_parts import HOT
from tests.policy.test_kept_parts import Load
from tests.policy.test_waiting import make_request
from wigeonfall.policy.room.rehearsal import rehearse
from wigeonfall.policy.room.rehearsal import Standing
from wigeonfall.policy.targets.target_stats import RequestSize


def state_of(value):
    """Return all that a value holds, but for functions."""
    if isinstance(value, Mapping):
        return {key: state_of(item) for key, item in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [state_of(item) for item in value]
    if attrs.has(type(value)):
        names = [field.name for field in attrs.fields(type(value))]
        return {name: state_of(getattr(value, name)) for name in names}
    if type(value).__module__.startswith('wigeonfall'):
        return state_of(vars(value)) if hasattr(value, '__dict__') else value
    return None if callable(value) else value


def ask(load, now_s=2.0, names=None, **fields):
    """Rehearse a request; check that nothing changed."""
    size = RequestSize(3100, 50)
    fields = {'parts': HOT, 'size': size} | fields
    request = attrs.evolve(make_request('asked', now_s), **fields)
    before = state_of(load.queue)
    told = rehearse(load.queue, request, names or load.names, {}, now_s)
    assert state_of(load.queue) == before
    return told


def fill(load):
    for _ in range(8 * len(load.names)):
        load.send((), 2.0)


def test_it_names_the_target_that_a_request_then_gets():
    load = Load()
    load.send(HOT, 2.0)
    for _ in range(30):
        told = ask(load)
        name, kept = load.send(HOT, 2.0)
        assert (told.target, told.scores[0].target) == (name, name)
        assert told.scores[0].kept_tokens == kept
        assert told.has_room


def test_standing_says_why_a_target_does_not_get_it():
    load = Load(tuple('abcde'))
    load.balancer.record_broken_connection('a', 1.9)
    load.balancer.record_rate_limit('b', 0.3, 1.9)
    for _ in range(8):
        load.balancer.request_sent('c', RequestSize())
    load.balancer.request_sent('d', RequestSize(prompt_tokens=1e6))
    told = ask(load, is_eligible=lambda name: name != 'e')
    assert {score.target: score.standing for score in told.scores} == {
        'a': Standing.BACKED_OFF,
        'b': Standing.RATE_LIMITED,
        'c': Standing.FULL,
        'd': Standing.TOO_SLOW,
        'e': Standing.NOT_ELIGIBLE,
    }
    assert told.target == ''


def test_request_waits_behind_those_that_came_before():
    load = Load(('a',))
    fill(load)
    for number in range(3):
        load.queue.add(make_request(f'w{number}', 2.0))
    told = ask(load, 2.05)
    assert (told.target, told.expired, told.ahead) == ('', False, 3)
    assert told.wait_s > 0
    assert not told.has_room


def test_hopeless_request_is_refused_with_the_time_to_come_back():
    load = Load(('a',))
    fill(load)
    for number in range(200):
        load.queue.add(make_request(f'w{number}', 2.0))
    told = ask(load, 2.05, queue_deadline_s=2.5)
    assert told.expired
    assert told.retry_after_s > 0
    assert len(load.queue) == 200
