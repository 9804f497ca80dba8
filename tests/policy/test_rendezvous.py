"""Tests of rendezvous hashing."""

import hypothesis
from hypothesis import strategies

from wigeonfall.policy import rendezvous

NAMES = strategies.lists(strategies.text(max_size=8), unique=True, max_size=9)


@hypothesis.given(strategies.text(), NAMES, strategies.randoms())
def test_order_of_names_does_not_matter(key, names, random):
    """Every process computes the same ranking."""
    shuffled = list(names)
    random.shuffle(shuffled)
    assert rendezvous.ranked(key, names) == rendezvous.ranked(key, shuffled)
    first = rendezvous.ranked(key, names)[:1]
    assert rendezvous.owner(key, shuffled) == (first[0] if first else None)


@hypothesis.given(strategies.text(), NAMES.filter(bool), strategies.text())
def test_only_keys_of_a_removed_name_move(key, names, removed):
    """Removing a name keeps the order of the others."""
    before = rendezvous.ranked(key, [*names, removed])
    after = rendezvous.ranked(key, [n for n in names if n != removed])
    assert after == tuple(n for n in before if n != removed)


def test_keys_spread_evenly():
    """Each of eight names owns its share of keys within a quarter."""
    names = [f'instance-{n}' for n in range(8)]
    owners = [rendezvous.owner(f'key-{k}', names) for k in range(8000)]
    assert all(750 <= owners.count(name) <= 1250 for name in names)
