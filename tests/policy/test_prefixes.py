"""Tests of the memory of prefixes."""

import hypothesis
from hypothesis import strategies

from wigeonfall.policy import prefixes


def test_sampled_hashes_match_for_equal_beginnings():
    """Two prompts agree as far as their common blocks, in samples."""
    memory = prefixes.PrefixCacheModel()
    memory.add(prefixes.sample_hashes(list(range(1, 41))))
    other = [*range(1, 21), *range(100, 140)]
    cached = memory.cached_tokens(prefixes.sample_hashes(other))
    assert cached == 18 * prefixes.BLOCK_TOKENS
    assert memory.cached_tokens(()) == 0


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
def test_memory_is_bounded(prompts):
    """No order of prompts and corrections makes the memory grow."""
    memory = prefixes.PrefixCacheModel()
    for number, blocks, held in prompts:
        hashes = prefixes.sample_hashes(
            [number * 100 + n for n in range(blocks)]
        )
        expected = memory.cached_tokens(hashes)
        memory.add(hashes)
        memory.record_cache_hit(expected, expected if held else 0)
        assert len(memory) <= prefixes.MAX_CAPACITY_BLOCKS
        assert memory.cached_tokens(hashes) <= blocks * prefixes.BLOCK_TOKENS


def test_least_used_prompt_is_forgotten():
    """Beyond the capacity the prompt unused for longest goes."""
    memory = prefixes.PrefixCacheModel()
    prompts = [
        prefixes.sample_hashes([number * 100 + n for n in range(64)])
        for number in range(1, 18)
    ]
    for hashes in prompts:
        memory.add(hashes)
    assert memory.cached_tokens(prompts[0]) == 0
    assert memory.cached_tokens(prompts[-1]) == 64 * prefixes.BLOCK_TOKENS


def test_contradicted_memory_shrinks_to_the_cache():
    """Prompts that the cache keeps dropping are no longer expected there."""
    memory = prefixes.PrefixCacheModel()
    prompts = [
        prefixes.sample_hashes([number * 100 + n for n in range(32)])
        for number in range(1, 9)
    ]
    for hashes in prompts * 3:
        expected = memory.cached_tokens(hashes)
        memory.add(hashes)
        memory.record_cache_hit(expected, 0)
    held = [memory.cached_tokens(hashes) for hashes in prompts]
    assert held[0] == 0
    assert held[-1] == 32 * prefixes.BLOCK_TOKENS
    hashes = prompts[-1]
    for _ in range(200):
        expected = memory.cached_tokens(hashes)
        memory.add(hashes)
        memory.record_cache_hit(expected, expected)
    for hashes in prompts:
        memory.add(hashes)
    assert all(memory.cached_tokens(hashes) for hashes in prompts)
