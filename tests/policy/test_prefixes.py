"""Tests of the model of prefix caches."""

import hypothesis
from hypothesis import strategies

from wigeonfall.policy.targets import prefixes


def test_sampled_hashes_match_for_common_prefix():
    """A hit is the longest sampled prefix that two prompts share."""
    model = prefixes.PrefixCacheModel()
    model.add(prefixes.sample_hashes(list(range(1, 41))))
    other = [*range(1, 21), *range(100, 140)]
    cached = model.cached_tokens(prefixes.sample_hashes(other))
    assert cached == 18 * prefixes.BLOCK_TOKENS
    assert model.cached_tokens(()) == 0


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 200),
            strategies.integers(0, 64),
            strategies.booleans(),
        ),
        max_size=300,
    )
)
def test_size_is_bounded(prompts):
    """No sequence of prompts and reports exceeds the maximum capacity."""
    model = prefixes.PrefixCacheModel()
    for number, blocks, hit in prompts:
        hashes = prefixes.sample_hashes(
            [number * 100 + n for n in range(blocks)]
        )
        expected = model.cached_tokens(hashes)
        model.add(hashes)
        model.record_cache_hit(expected, expected if hit else 0)
        assert len(model) <= prefixes.MAX_CAPACITY_BLOCKS
        assert model.cached_tokens(hashes) <= blocks * prefixes.BLOCK_TOKENS


def test_least_recently_used_prompt_is_evicted():
    """Beyond the capacity, the least recently used prompt is evicted."""
    model = prefixes.PrefixCacheModel()
    prompts = [
        prefixes.sample_hashes([number * 100 + n for n in range(64)])
        for number in range(1, 18)
    ]
    for hashes in prompts:
        model.add(hashes)
    assert model.cached_tokens(prompts[0]) == 0
    assert model.cached_tokens(prompts[-1]) == 64 * prefixes.BLOCK_TOKENS


def test_capacity_follows_reported_hits():
    """Reported misses shrink the capacity, and reported hits raise it."""
    model = prefixes.PrefixCacheModel()
    prompts = [
        prefixes.sample_hashes([number * 100 + n for n in range(32)])
        for number in range(1, 9)
    ]
    for hashes in prompts * 3:
        expected = model.cached_tokens(hashes)
        model.add(hashes)
        model.record_cache_hit(expected, 0)
    cached = [model.cached_tokens(hashes) for hashes in prompts]
    assert cached[0] == 0
    assert cached[-1] == 32 * prefixes.BLOCK_TOKENS
    hashes = prompts[-1]
    for _ in range(200):
        expected = model.cached_tokens(hashes)
        model.add(hashes)
        model.record_cache_hit(expected, expected)
    for hashes in prompts:
        model.add(hashes)
    assert all(model.cached_tokens(hashes) for hashes in prompts)
