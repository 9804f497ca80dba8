"""Tests of the parts of prompts that targets hold, under load."""

import itertools

import attrs
import pytest

from tests.policy.test_load_balancer import make_balancer
from tests.policy.test_load_balancer import train
from tests.policy.test_waiting import GOAL_S
from tests.policy.test_waiting import make_request
from wigeonfall.model.prompt import PromptPart
from wigeonfall.model.target import Target
from wigeonfall.policy.room.waiting import RequestQueue
from wigeonfall.policy.targets import kept_parts
from wigeonfall.policy.targets.kept_parts import KeptParts
from wigeonfall.policy.targets.kept_parts import Option
from wigeonfall.policy.targets.kept_parts import prefer_holder
from wigeonfall.policy.targets.load_balancer import LoadBalancer
from wigeonfall.policy.targets.target_stats import RequestSize

MEMORY_TOKENS = 40_000.0
NAMES = tuple('abcdefgh')
HOT = (PromptPart('hot', 3000),)


class Load:
    """Requests that come and end at equal targets."""

    def __init__(self, names=NAMES, memory_tokens=MEMORY_TOKENS):
        self.names = names
        self.balancer = make_balancer(*names, slots=8)
        for name in names:
            train(self.balancer, name, 0.1)
        self.kept = KeptParts(lambda _service: memory_tokens)
        self.queue = RequestQueue(self.balancer, lambda: 0.5, kept=self.kept)
        self.numbers = itertools.count()

    def send(self, parts, now_s, rest_tokens=100):
        """Send a request; return its target and the tokens kept there."""
        prompt_tokens = sum(part.tokens for part in parts) + rest_tokens
        request = attrs.evolve(
            make_request(f'r{next(self.numbers)}', now_s),
            parts=parts,
            size=RequestSize(prompt_tokens, 50),
        )
        self.queue.add(request)
        ((sent, stats),) = self.queue.dispatch(self.names, {}, now_s)
        return stats.target.name, sent.kept_tokens

    def end(self, name, size):
        self.balancer.mark_prompt_read(name, size)
        self.balancer.request_ended(name)
        self.kept.ended(name, size)

    def run(self, parts, now_s, rest_tokens=100):
        """Send a request that ends at once."""
        name, kept = self.send(parts, now_s, rest_tokens)
        prompt_tokens = sum(p.tokens for p in parts) + rest_tokens
        self.end(name, RequestSize(prompt_tokens - kept, 50))
        return name, kept

    def restart(self, name, **fields):
        self.balancer.set_targets(
            Target(n, 's', 'dc', '10.0.0.1:1', slots=8)
            if n != name
            else Target(n, 's', 'dc', '10.0.0.1:1', slots=8, **fields)
            for n in self.names
        )
        train(self.balancer, name, 0.1)


def session(number):
    return HOT[0], PromptPart(f'session-{number}', 1000)


def test_turns_of_many_sessions_go_where_their_prompts_are_held():
    load = Load(memory_tokens=200_000.0)
    homes = {}
    for turn in range(5):
        for number in range(40):
            now_s = 2.0 + turn + number / 40
            name, kept = load.run(session(number), now_s)
            assert homes.setdefault(number, name) == name
            if turn:
                assert kept == 4000


@pytest.mark.parametrize(
    ('hot_tokens', 'rest_tokens', 'most_apart'),
    [(3000, 100, 8), (300, 3000, 1)],
)
def test_hot_prefix_is_spread_before_it_overloads_its_target(
    hot_tokens, rest_tokens, most_apart
):
    """Requests go elsewhere once they would begin sooner there."""
    load = Load()
    parts = (PromptPart('hot', hot_tokens),)
    size = RequestSize(hot_tokens + rest_tokens, 50)
    for _ in range(60):
        estimates = {
            e.stats.target.name: e
            for e in load.balancer.estimates(load.names, 2.0)
            if e.is_open(2.0)
        }
        held = load.kept.kept_tokens(parts, estimates, 2.0)
        expected_s = {
            name: e.first_s(size.without(held.get(name, 0.0)))
            for name, e in estimates.items()
        }
        name, _ = load.send(parts, 2.0, rest_tokens)
        tolerance_s = kept_parts.TOLERANCE_SHARE * GOAL_S
        assert expected_s[name] <= min(expected_s.values()) + tolerance_s
    counts = [s.outstanding for s in load.balancer.all_stats()]
    assert max(counts) <= 8
    assert max(counts) - min(counts) <= most_apart


def test_choice_is_later_than_without_kept_parts_by_the_tolerance_at_most():
    options = [
        (number, Option(first_s, first_s + decode_s, kept, kept * 2e-5))
        for number, (first_s, decode_s, kept) in enumerate(
            itertools.product((0.1, 0.11, 0.13, 0.5), (0.0, 0.2), (0, 60, 900))
        )
    ]
    for chosen_from in itertools.combinations(options, 3):
        best = min(chosen_from, key=lambda o: o[1].cost_s)[1]
        number = prefer_holder(chosen_from, goal_s=1.0)
        chosen = options[number][1]
        most_s = min(0.02, chosen.spared_s)
        assert chosen.first_s <= best.first_s + most_s
        assert chosen.cost_s <= best.cost_s + most_s
        assert chosen.kept_tokens >= best.kept_tokens * 0.8


@pytest.mark.parametrize('fields', [{'incarnation': 1}, {'version': 'v2'}])
def test_restarted_target_holds_nothing(fields):
    load = Load(('a',))
    load.run(HOT, 2.0)
    assert load.run(HOT, 2.1) == ('a', 3000)
    load.restart('a', **fields)
    assert load.run(HOT, 2.2) == ('a', 0.0)
    assert load.run(HOT, 2.3) == ('a', 3000)


def test_part_that_crashes_its_target_draws_no_requests_there():
    load = Load()
    name, _ = load.send(HOT, 2.0)
    load.balancer.record_broken_connection(name, 2.1)
    load.end(name, RequestSize(3100, 50))
    other, kept = load.send(HOT, 5.0)
    assert (other != name, kept) == (True, 0.0)


def test_more_prefixes_than_memory_push_out_the_least_recently_used():
    load = Load(('a',))
    parts = [(PromptPart(f'p{n}', 4000),) for n in range(20)]
    for part in parts:
        load.run(part, 2.0, rest_tokens=0)
    estimates = {'a': load.balancer.estimates(('a',), 2.1)[0]}
    held = [
        load.kept.kept_tokens(part, estimates, 2.1).get('a', 0.0)
        for part in parts
    ]
    assert held == sorted(held)
    assert not any(held[:10])
    assert held[-6:] == [4000.0] * 6
    assert 0 < held[11] < 4000


def test_running_requests_take_memory_from_kept_parts():
    load = Load(('a',))
    load.run(HOT, 2.0)
    load.send((PromptPart('big', 30_000),), 2.1)
    assert load.run(HOT, 2.2)[1] == 0.0


def test_part_counts_only_with_all_before_it_and_not_for_ever():
    load = Load(('a',))
    first, last = session(1)
    load.run((first, last), 2.0)
    assert load.run((PromptPart('other', 50), last), 2.1)[1] == 0.0
    late_s = 2.1 + kept_parts.MAX_AGE_S
    assert load.run((first, last), late_s + 0.1)[1] == 0.0


def test_nothing_is_held_where_no_memory_is_declared():
    load = Load(memory_tokens=None)
    load.run(HOT, 2.0)
    assert load.run(HOT, 2.1)[1] == 0.0


def test_nothing_is_learned_while_others_place_requests_too():
    load = Load(('a',))
    load.run(HOT, 2.0)
    load.kept.set_learning(False)
    assert [load.run(HOT, t)[1] for t in (2.1, 2.2)] == [0.0, 0.0]
    load.kept.set_learning(True)
    load.run(HOT, 2.3)
    assert load.run(HOT, 2.4)[1] == 3000


def test_targets_that_are_gone_leave_nothing_behind():
    load = Load()
    for number in range(100):
        load.run(session(number), 2.0)
    load.kept.keep_targets(())
    assert not load.kept._holders
    assert not load.kept._memories


def test_the_parts_known_of_all_targets_are_bounded(monkeypatch):
    monkeypatch.setattr(kept_parts, 'MAX_PARTS', 40)
    kept = KeptParts(lambda _: 1e9)
    balancer = LoadBalancer('dc')
    names = [f't{number}' for number in range(10)]
    balancer.set_targets(
        Target(name, 's', 'dc', '10.0.0.1:1', slots=8) for name in names
    )
    for number in range(1000):
        for stats in balancer.stats_of(names):
            part = PromptPart(f'{number}', 10)
            kept.sent(stats, (part,), RequestSize(10, 1), 0.01 * number)
    assert sum(len(m.uses) for m in kept._memories.values()) <= 40


def test_parts_are_forgotten_after_their_age():
    kept = KeptParts(lambda _: 1e9)
    balancer = LoadBalancer('dc')
    balancer.set_targets((Target('t', 's', 'dc', '10.0.0.1:1', slots=8),))
    (stats,) = balancer.stats_of(('t',))
    for at_s in (0.0, 2 * kept_parts.MAX_AGE_S):
        part = PromptPart(f'{at_s}', 10)
        kept.sent(stats, (part,), RequestSize(10, 1), at_s)
    assert len(kept._memories['t'].uses) == 1
