"""Stamps of the hybrid logical clock."""

import itertools

import hypothesis
from hypothesis import strategies as st

from wigeonfall import clock

TIMES_S = st.integers(0, 4_000_000).map(lambda ms: ms / 1000)
STAMPS = st.builds(
    clock.Stamp, st.integers(0, 4_000_000), st.integers(0, 1_000)
)
STEPS = st.lists(st.tuples(st.none() | STAMPS, TIMES_S), min_size=1)


@hypothesis.given(STEPS)
def test_stamps_grow_whatever_the_wall_clock_does(
    steps: list[tuple[clock.Stamp | None, float]],
) -> None:
    own = clock.HybridClock()
    given: list[clock.Stamp] = []
    for other, now_s in steps:
        if other is None:
            given.append(own.tick(now_s))
            continue
        given.append(own.see(other, now_s))
        assert given[-1] > other
    assert all(a < b for a, b in itertools.pairwise(given))


@hypothesis.given(TIMES_S)
def test_a_stamp_follows_the_wall_clock_when_that_is_ahead(
    now_s: float,
) -> None:
    own = clock.HybridClock()
    own.tick(now_s)
    assert own.tick(now_s + 2) == clock.Stamp(int((now_s + 2) * 1000), 0)
