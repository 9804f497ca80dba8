"""Tests of finding a version that is bad in a part of its requests."""

import random

import attrs
import pytest

from tests.policy.test_version_trial import DUE_S
from tests.policy.test_version_trial import MOVED_S
from tests.policy.test_version_trial import ORDER
from wigeonfall.policy.versions import version_failures
from wigeonfall.policy.versions.version_failures import Answers
from wigeonfall.policy.versions.version_failures import Comparison
from wigeonfall.policy.versions.version_trial import State
from wigeonfall.policy.versions.version_trial import Trials

DURATION_S = 60.0
STEP_S = 0.5
EXPOSE_SHARE = 0.1  # published
EXPOSE_SLACK = 50
ROLLBACK_S = 5.0
BAD_ANSWERS = 50
# Routes by their share of the requests, with the failures of sound versions.
ROUTES = {'place': (0.7, 0.004), 'look': (0.3, 0.14)}
CUSTOMERS = ('a', 'b', 'c', 'd', 'e')
DATA_CENTERS = ('x', 'y', 'z')


@attrs.define
class Rollout:
    """What a played rollout came to."""

    verdict: State | None = None
    part: str | None = None
    requests: int = 0
    exposed: int = 0
    bad: int = 0
    fiftieth_s: float | None = None
    last_exposed_s: float = 0.0


def play(seed, fails, per_s=17, routes=None):
    """Play a rollout over its whole duration.

    Args:
        seed: seed of the requests.
        fails: returns the share of additional failures of the new version,
            given route, customer, data centre and time.
        per_s: requests per second.
        routes: share and failures of sound versions by route.
    """
    draw = random.Random(seed)
    routes = routes or ROUTES
    order = attrs.evolve(ORDER, duration_s=DURATION_S)
    trials = Trials()
    trials.set_orders([order], 0.0)
    played = Rollout()
    for step in range(int(DURATION_S / STEP_S)):
        now_s = step * STEP_S
        for number in range(int(per_s * STEP_S) + draw.randrange(2)):
            route = draw.choices(
                list(routes), [share for share, _ in routes.values()]
            )[0]
            customer = draw.choice(CUSTOMERS)
            center = draw.choice(DATA_CENTERS)
            new = trials.allows('s', 'v2', f'{seed}-{step}-{number}')
            failure = draw.random() < routes[route][1]
            bad = new and draw.random() < fails(route, customer, center, now_s)
            trials.add_evidence(
                's',
                'v2' if new else 'v1',
                not (failure or bad),
                0.1,
                0.1,
                (
                    version_failures.ROUTE + route,
                    version_failures.CUSTOMER + customer,
                    version_failures.DATA_CENTER + center,
                ),
            )
            played.requests += 1
            if new:
                played.exposed += 1
                played.last_exposed_s = now_s
                played.bad += failure or bad
            if played.bad >= BAD_ANSWERS and played.fiftieth_s is None:
                played.fiftieth_s = now_s
        if played.verdict is None:
            played.verdict = trials.decide('s', False, now_s)
            played.part = trials.summary(order).get('part')
    return played


def assert_exposure_is_bounded(played):
    most = EXPOSE_SHARE * played.requests + EXPOSE_SLACK
    assert played.exposed <= most
    if played.fiftieth_s is not None:
        assert played.last_exposed_s <= played.fiftieth_s + ROLLBACK_S


REGRESSIONS = {
    'on one route': lambda route, _c, _d, _t: 0.4 * (route == 'look'),
    'of one customer': lambda _r, customer, _d, _t: 0.9 * (customer == 'b'),
    'in one data centre': lambda _r, _c, center, _t: 0.6 * (center == 'y'),
    'everywhere': lambda _r, _c, _d, _t: 0.4,
    'later': lambda _r, _c, _d, at_s: 0.5 * (at_s > 20),
    'later on one route': lambda route, _c, _d, at_s: (
        0.9 * (route == 'place' and at_s > 20)
    ),
    'after the move': lambda _r, _c, _d, at_s: 0.6 * (at_s > 31),
}


@pytest.mark.parametrize('seed', range(8))
@pytest.mark.parametrize('kind', REGRESSIONS)
def test_a_version_that_fails_in_a_part_is_taken_back(kind, seed):
    """One that failed on a route with a tenth of the traffic took over."""
    played = play(seed, REGRESSIONS[kind])
    assert played.verdict is State.ROLLED_BACK
    assert_exposure_is_bounded(played)


@pytest.mark.parametrize('bad_from_s', range(0, 60, 2))
@pytest.mark.parametrize('per_s', [17, 60])
def test_a_version_may_turn_bad_at_any_time(bad_from_s, per_s):
    """One that did after the move had got over half of all requests."""
    played = play(
        bad_from_s, lambda _r, _c, _d, at_s: 0.4 * (at_s >= bad_from_s), per_s
    )
    assert_exposure_is_bounded(played)
    # Later, there are too few answers to tell before the verdict is due.
    if bad_from_s <= 50:
        assert played.verdict is State.ROLLED_BACK


@pytest.mark.parametrize('seed', range(8))
def test_failures_on_a_small_route_are_not_hidden_by_the_others(seed):
    routes = {'place': (0.9, 0.0), 'look': (0.1, 0.0)}
    fails = REGRESSIONS['on one route']
    played = play(seed, fails, per_s=120, routes=routes)
    assert played.verdict is State.ROLLED_BACK
    assert_exposure_is_bounded(played)


@pytest.mark.parametrize('per_s', [5, 17, 60])
def test_equal_versions_are_rarely_blamed_by_chance(per_s):
    """Of all rollouts, FALSE_ALARM may be; the odds cover all parts."""
    rollouts = [play(seed, lambda *_: 0.0, per_s) for seed in range(100)]
    # Of 100 with odds of 0.05 each; more than 10 have odds of 0.01.
    assert sum(played.part is not None for played in rollouts) <= 10
    if per_s >= 17:  # below, too few answers are in after half of the time
        completed = [r for r in rollouts if r.verdict is State.COMPLETED]
        assert len(completed) >= 90


def test_two_failures_are_not_blamed_on_a_route_that_had_none():
    """They may have had one cause, such as a connection that was lost."""
    parts = {'route r': Comparison(Answers(2, 4), Answers(0, 1000))}
    test = version_failures.FailureTest(DURATION_S, 0.0)
    assert test.find(parts, 1.0) is None
    assert version_failures.is_doubtful(parts)


def test_a_route_where_the_old_version_fails_as_much_is_not_blamed():
    parts = {
        '': Comparison(Answers(20, 100), Answers(400, 2000)),
        'route r': Comparison(Answers(18, 30), Answers(360, 600)),
    }
    test = version_failures.FailureTest(DURATION_S, 0.0)
    assert test.find(parts, 1.0) is None
    assert not version_failures.is_doubtful(parts)


def test_a_part_without_answers_of_the_old_version_proves_nothing():
    parts = {'route new': Comparison(Answers(9, 10), Answers())}
    test = version_failures.FailureTest(DURATION_S, 0.0)
    assert test.find(parts, 1.0) is None


def test_parts_are_found_by_the_counts_of_all_instances():
    trials = Trials()
    trials.set_orders([ORDER], 0.0)
    counts = {
        '~s/v2/good': 90,
        '~s/v2/bad': 5,
        '~s/v2/good route r': 5,
        '~s/v2/bad route r': 5,
        '~s/before v2/good': 1000,
        '~s/before v2/good route r': 100,
    }
    trials.evidence.set_peer_counts('hub', 1, counts)
    assert trials.decide('s', True, 1.0) is State.ROLLED_BACK
    assert trials.summary(ORDER)['part'] == 'route r'


def test_counts_of_the_last_release_have_no_parts_and_are_judged_together():
    trials = Trials()
    trials.set_orders([ORDER], 0.0)
    counts = {'s/v2/good': 40, 's/before v2/good': 400, 's/before v2/bad': 4}
    trials.evidence.set_peer_counts('peer', 1, counts)
    assert trials.decide('s', False, MOVED_S) is None
    assert trials.decide('s', False, DUE_S) is State.COMPLETED


def test_the_number_of_parts_in_messages_is_bounded():
    trials = Trials()
    trials.set_orders([ORDER], 0.0)
    for number in range(1000):
        part = (f'{version_failures.CUSTOMER}{number}',)
        trials.add_evidence('s', 'v2', True, 0.1, 0.1, part)
    assert len(trials.evidence.advertised(False)) < 100
