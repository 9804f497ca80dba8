"""Seeded synthetic traffic on an old and a new version."""

from collections.abc import Callable
import random

import attrs

from wigeonfall.model.rollout import Outcome

ROUTES = (('report', 0.6), ('question', 0.3), ('tag', 0.1))
OLD_ERROR_SHARE = 0.005
FIRST_TOKEN_S = 0.4
FIRST_TOKEN_SIGMA = 0.5
PACE_S = 0.03
PACE_SIGMA = 0.3
NOISE_SHARE = 0.05
NOISE_LENGTH_S = 5.0
REQUESTS_PER_S = 40.0
THIN_REQUESTS_PER_S = 0.1


@attrs.frozen
class Condition:
    """How a version behaves for one request.

    Attributes:
        error_share: probability of an error.
        slowness: factor on all times.
    """

    error_share: float = OLD_ERROR_SHARE
    slowness: float = 1.0

    @property
    def bad(self) -> bool:
        """Whether this is worse than the old version."""
        return self != Condition()


# Arguments: time since the start, share of the new version, route.
Behaviour = Callable[[float, float, str], Condition]


@attrs.frozen
class Case:
    """One seeded rollout.

    Attributes:
        name: name of the case.
        good: whether the new version is as good as the old one.
        requests_per_s: traffic on both versions together.
        behaviour: behaviour of the new version.
        noise: returns the behaviour that both versions share.
    """

    name: str
    good: bool
    requests_per_s: float
    behaviour: Behaviour
    noise: Callable[[float], Condition]


def _steady(condition: Condition) -> Behaviour:
    return lambda at_s, share, route: condition


def _quiet(at_s: float) -> Condition:
    return Condition()


def _bad_at_once(rng: random.Random, length_s: float) -> Behaviour:
    return _steady(Condition(error_share=rng.uniform(0.2, 1.0)))


def _bad_late(rng: random.Random, length_s: float) -> Behaviour:
    since_s = rng.uniform(0.05, 0.3) * length_s
    bad = Condition(error_share=rng.uniform(0.2, 1.0))
    return lambda at_s, share, route: bad if at_s >= since_s else Condition()


def _bad_under_load(rng: random.Random, length_s: float) -> Behaviour:
    above = rng.uniform(0.2, 0.8)
    bad = Condition(rng.uniform(0.05, 0.3), rng.uniform(1.5, 3.0))
    return lambda at_s, share, route: bad if share >= above else Condition()


def _bad_on_one_route(rng: random.Random, length_s: float) -> Behaviour:
    where = rng.choice(ROUTES)[0]
    bad = Condition(error_share=rng.uniform(0.3, 1.0))
    return lambda at_s, share, route: bad if route == where else Condition()


def _slow(rng: random.Random, length_s: float) -> Behaviour:
    return _steady(Condition(slowness=rng.uniform(1.5, 3.0)))


def _good(rng: random.Random, length_s: float) -> Behaviour:
    return _steady(Condition())


def _bursts(
    rng: random.Random, length_s: float
) -> Callable[[float], Condition]:
    slots = int(length_s / NOISE_LENGTH_S) + 1
    noisy = {s for s in range(slots) if rng.random() < NOISE_SHARE}
    burst = Condition(rng.uniform(0.05, 0.2), rng.uniform(1.2, 2.0))

    def noise(at_s: float) -> Condition:
        return burst if int(at_s / NOISE_LENGTH_S) in noisy else Condition()

    return noise


_BEHAVIOURS = {
    'bad-at-once': _bad_at_once,
    'bad-late': _bad_late,
    'bad-under-load': _bad_under_load,
    'bad-on-one-route': _bad_on_one_route,
    'slow': _slow,
    'good': _good,
    'good-noisy': _good,
    'too-little-traffic': _good,
}
NAMES = tuple(_BEHAVIOURS)


def new_case(name: str, seed: int, length_s: float) -> Case:
    """Return the rollout of a case with a seed."""
    rng = random.Random(f'{name}/{seed}')
    behaviour = _BEHAVIOURS[name](rng, length_s)
    noisy = name == 'good-noisy'
    return Case(
        name,
        name.startswith(('good', 'too-little')),
        THIN_REQUESTS_PER_S if name.startswith('too') else REQUESTS_PER_S,
        behaviour,
        _bursts(rng, length_s) if noisy else _quiet,
    )


def outcome(condition: Condition, rng: random.Random) -> Outcome:
    """Return a random outcome under a condition."""
    if rng.random() < condition.error_share:
        return Outcome(ok=False)
    first_s = FIRST_TOKEN_S * rng.lognormvariate(0, FIRST_TOKEN_SIGMA)
    pace_s = PACE_S * rng.lognormvariate(0, PACE_SIGMA)
    slowness = condition.slowness
    return Outcome(True, first_s * slowness, pace_s * slowness)


def combined(first: Condition, second: Condition) -> Condition:
    """Return the condition of a version under a shared disturbance."""
    return Condition(
        max(first.error_share, second.error_share),
        first.slowness * second.slowness,
    )


def route(rng: random.Random) -> str:
    """Return a random route."""
    names = [name for name, _ in ROUTES]
    weights = [weight for _, weight in ROUTES]
    return rng.choices(names, weights)[0]
