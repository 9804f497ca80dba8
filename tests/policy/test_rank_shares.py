"""Tests of the shares of requests served by rank."""

import hypothesis
from hypothesis import strategies

from wigeonfall.policy.room.rank_shares import RankShares


def count(shares, rank, served, lost):
    for _ in range(served):
        shares.count_served(rank)
    for _ in range(lost):
        shares.count_lost(rank)


def test_nothing_is_held_back_without_losses():
    shares = RankShares()
    count(shares, 0, 1, 0)
    count(shares, 2, 100, 0)
    assert shares.held_back({}, 0.0) == frozenset()


def test_rank_served_more_often_than_a_more_urgent_one_is_held_back():
    shares = RankShares()
    count(shares, 0, 100, 0)
    count(shares, 1, 50, 50)
    count(shares, 2, 90, 10)
    assert shares.held_back({}, 0.0) == {2}


def test_late_requests_count_as_lost_until_they_are_served():
    shares = RankShares()
    count(shares, 0, 10, 0)
    count(shares, 1, 10, 0)
    assert shares.held_back({0: 10}, 0.0) == {1}
    assert shares.held_back({0: 0}, 0.0) == frozenset()


def test_old_losses_are_forgotten():
    shares = RankShares()
    count(shares, 0, 0, 5)
    count(shares, 1, 10, 0)
    assert shares.held_back({}, 0.0) == {1}
    assert shares.held_back({}, 60.0) == frozenset()


COUNTS = strategies.lists(
    strategies.tuples(strategies.integers(0, 50), strategies.integers(0, 50)),
    min_size=1,
    max_size=5,
)


@hypothesis.given(COUNTS)
def test_rank_that_is_not_held_back_is_not_ahead_of_a_more_urgent_one(counts):
    shares = RankShares()
    for rank, (served, lost) in enumerate(counts):
        count(shares, rank, served, lost)
    held = shares.held_back({}, 0.0)

    def share(rank):
        served, lost = counts[rank]
        return served / (served + lost) if lost else 1.0

    for rank in range(len(counts)):
        ahead = any(share(rank) > share(r) + 0.05 for r in range(rank))
        assert rank in held or not ahead
