"""Tests of the choice of a target by its expected cost in a pool."""

import attrs
import pytest

from wigeonfall.model import target
from wigeonfall.policy.room import admission
from wigeonfall.policy.room import grants
from wigeonfall.policy.targets import prefixes

LIMITS = grants.PoolLimits(16, 1_000_000, 100)
TARGETS = ('a', 'b', 'c')
LONG_TOKENS = 8192
SHORT_TOKENS = 64


class Engines:
    """A pool with simulated targets that process prompts one by one."""

    def __init__(self, prefill_per_s, pace_s=0.02, version='v1'):
        self.prefill_per_s = dict(zip(TARGETS, prefill_per_s, strict=False))
        self.pace_s = dict.fromkeys(self.prefill_per_s, pace_s)
        self.pool = admission.Pool(LIMITS)
        self.configure(version)
        self.count = 0

    def configure(self, version):
        """Configure all targets with a version."""
        self.pool.configure(
            LIMITS,
            [
                target.Target(name, 's', 'dc', '', 0, version)
                for name in self.prefill_per_s
            ],
        )

    def send(self, now_s, tokens=SHORT_TOKENS, hashes=(), excluded=()):
        """Send a request; return its identifier and target."""
        self.count += 1
        pending = grants.PendingRequest(
            f'r{self.count}', 'i/1', 'c', 1.0, 0, tokens + 50, now_s,
            now_s + 60, True, excluded_targets=frozenset(excluded),
            prefix_hashes=hashes, prompt_tokens=tokens, answer_tokens=50,
        )  # fmt: skip
        self.pool.enqueue(pending)
        (granted,) = self.pool.decide(now_s)
        return granted.id, granted.target

    def answer(self, sent, now_s, read_tokens, cached_tokens=0):
        """Report the answer to a request; return the time of its end."""
        name = sent[1]
        began_s = now_s + read_tokens / self.prefill_per_s[name]
        report = grants.AnswerReport(sent[0], cached_tokens)
        self.pool.report(report, began_s)
        ended_s = began_s + 50 * self.pace_s[name]
        paced = attrs.evolve(report, pace_s=self.pace_s[name])
        self.pool.report(paced, ended_s)
        self.pool.release(sent[0])
        return ended_s

    def measure_all(self, now_s=0.0):
        """Let every target answer a request of 1024 tokens."""
        for name in self.prefill_per_s:
            excluded = set(self.prefill_per_s) - {name}
            sent = self.send(now_s, 1024, excluded=excluded)
            now_s = self.answer(sent, now_s, 1024)
        return now_s


def prompt_hashes(number, tokens=LONG_TOKENS):
    """Return the sampled hashes of a unique prompt."""
    blocks = tokens // prefixes.BLOCK_TOKENS
    return prefixes.sample_hashes(
        [number * 1000 + n + 1 for n in range(blocks)]
    )


def test_faster_engine_gets_more_requests():
    """An engine eight times as fast gets the first three requests."""
    engines = Engines((2000, 16_000, 2000))
    now_s = engines.measure_all()
    assert [engines.send(now_s, 1024)[1] for _ in range(3)] == ['b'] * 3


@pytest.mark.parametrize('slower', ['prefill', 'decode'])
def test_slowdown_is_detected_within_a_few_requests(slower):
    """A target that becomes six times slower gets at most four requests."""
    engines = Engines((16_000, 8000))
    now_s = engines.measure_all()
    if slower == 'prefill':
        engines.prefill_per_s['a'] /= 6
    else:
        engines.pace_s['a'] *= 6
    sent_to = []
    for _ in range(8):
        sent = engines.send(now_s, 1024)
        sent_to.append(sent[1])
        now_s = engines.answer(sent, now_s, 1024)
    assert sent_to[0] == 'a'
    assert sent_to.count('a') <= 4
    assert sent_to[-1] == 'b'


def test_recovered_engine_is_tried_again():
    """Old measurements decay towards the mean of the targets."""
    engines = Engines((500, 8000, 8000))
    now_s = engines.measure_all()
    engines.prefill_per_s['a'] = 16_000
    late_s = now_s + 600
    targets = [engines.send(late_s, 1024)[1] for _ in range(3)]
    assert sorted(targets) == ['a', 'b', 'c']


def test_new_version_starts_without_measurements():
    """The speed of a version does not apply to the next one."""
    engines = Engines((16_000, 2000))
    now_s = engines.measure_all()
    assert engines.send(now_s, 1024)[1] == 'a'
    engines = Engines((16_000, 2000))
    now_s = engines.measure_all()
    engines.configure('v2')
    first = engines.send(now_s, 1024)[1]
    assert {first, engines.send(now_s, 1024)[1]} == {'a', 'b'}


def test_prompt_returns_to_the_target_that_cached_it():
    """Each of several documents stays at the target that read it first."""
    engines = Engines((8000, 8000, 8000))
    now_s = engines.measure_all()
    sent = [
        engines.send(now_s, LONG_TOKENS, prompt_hashes(number))
        for number in range(6)
    ]
    assert len({name for _, name in sent}) == len(TARGETS)
    for each in sent:
        now_s = engines.answer(each, now_s, LONG_TOKENS)
    for number in reversed(range(6)):
        again = engines.send(now_s, LONG_TOKENS, prompt_hashes(number))
        assert again[1] == sent[number][1]
        now_s = engines.answer(again, now_s, 0, LONG_TOKENS)


def test_full_engine_is_avoided():
    """A request does not queue while another engine has a free slot."""
    engines = Engines((16_000, 8000))
    now_s = engines.measure_all()
    for name, count in (('a', 2), ('b', 6)):
        sent = [
            engines.send(now_s, excluded=set(TARGETS) - {name})
            for _ in range(count)
        ]
        for wait_id, _ in sent:
            engines.pool.report(grants.AnswerReport(wait_id, 0), now_s + 0.01)
        if name == 'b':
            for wait_id, _ in sent:
                engines.pool.release(wait_id)
    assert engines.send(now_s + 0.02)[1] == 'b'


def test_hot_prefix_does_not_overload_one_target():
    """Many concurrent requests for one document use all targets."""
    engines = Engines((8000, 8000, 8000))
    now_s = engines.measure_all()
    hashes = prompt_hashes(1, 1024)
    first = engines.send(now_s, 1024, hashes)
    now_s = engines.answer(first, now_s, 1024)
    sent_to = [engines.send(now_s, 1200, hashes)[1] for _ in range(45)]
    assert max(map(sent_to.count, TARGETS)) <= LIMITS.outstanding_requests
    early = sent_to[:24]
    assert set(early) == set(TARGETS)
    assert max(map(early.count, TARGETS)) <= 12


def test_short_requests_avoid_a_long_prefill():
    """Short prompts do not queue behind a long one if a target is idle."""
    engines = Engines((8000, 7000, 7000))
    now_s = engines.measure_all()
    _, busy = engines.send(now_s, LONG_TOKENS)
    sent_to = [engines.send(now_s + 0.01 * n)[1] for n in range(6)]
    assert busy == 'a'
    assert busy not in sent_to


def test_unknown_reports_and_releases_are_ignored():
    """Reports can arrive after their request ended, or twice."""
    engines = Engines((8000,))
    sent = engines.send(0.0)
    engines.answer(sent, 0.0, SHORT_TOKENS)
    engines.pool.report(grants.AnswerReport(sent[0], 10), 9.0)
    engines.pool.release('unknown')
    assert engines.pool.held() == ()


def test_untried_target_is_tried():
    """A slow target does not get all requests because no other is known."""
    engines = Engines((500, 8000))
    first = engines.send(0.0, 1024)
    now_s = engines.answer(first, 0.0, 1024)
    second = engines.send(now_s, 1024)
    now_s = engines.answer(second, now_s, 1024)
    third = engines.send(now_s, 1024)
    assert [first[1], second[1], third[1]] == ['a', 'b', 'b']
