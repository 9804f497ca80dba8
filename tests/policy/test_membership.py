"""Tests of merging, liveness, roles and the choice of gossip peers."""

import collections

import attrs
import hypothesis
from hypothesis import strategies

from wigeonfall.model.instance import Instance
from wigeonfall.policy import membership
from wigeonfall.policy.membership import Role

members = strategies.builds(
    membership.Member,
    strategies.builds(
        Instance,
        strategies.just('a'),
        strategies.just('zac-a'),
        strategies.sampled_from(['127.0.0.1:1', '127.0.0.1:2']),
        strategies.integers(0, 2),
    ),
    strategies.booleans(),
    strategies.integers(0, 3),
)
name_sets = strategies.sets(
    strategies.text('abcdefgh', min_size=1), min_size=1, max_size=12
)


def _instance(name: str, incarnation: int = 1) -> Instance:
    return Instance(name, 'zac-a', '127.0.0.1:1', incarnation)


@hypothesis.given(members, members, members)
def test_merge_laws(
    a: membership.Member, b: membership.Member, c: membership.Member
) -> None:
    merge = membership.merge
    assert merge(a, b) == merge(b, a)
    assert merge(a, merge(b, c)) == merge(merge(a, b), c)
    assert merge(a, a) == a


@hypothesis.given(strategies.lists(members, min_size=1))
def test_leaving_is_final_for_an_incarnation(
    reports: list[membership.Member],
) -> None:
    known = None
    for now_s, report in enumerate(reports):
        known = membership.observe(known, report, now_s)
    latest = known.member.instance.incarnation
    said = any(r.leaving for r in reports if r.instance.incarnation == latest)
    assert known.member.leaving == said
    assert not (said and membership.is_alive(known, 0, 1))


def test_only_growing_heartbeats_keep_an_instance_alive() -> None:
    member = membership.Member(_instance('a'), heartbeats=5)
    known = membership.observe(None, member, 100)
    limit_s = membership.fail_after_s(9)
    repeated = membership.observe(known, member, 100 + limit_s)
    assert membership.is_alive(repeated, 99.9 + limit_s, 9)
    assert not membership.is_alive(repeated, 100.1 + limit_s, 9)
    grown = attrs.evolve(member, heartbeats=6)
    assert membership.is_alive(
        membership.observe(known, grown, 101 + limit_s), 101 + limit_s, 9
    )
    assert membership.is_alive(
        membership.add_pause(repeated, 50), 150 + limit_s, 9
    )


def test_an_older_incarnation_is_ignored() -> None:
    new = membership.Member(_instance('a', 2), heartbeats=1)
    known = membership.observe(None, new, 100)
    old = membership.Member(_instance('a', 1), heartbeats=99, leaving=True)
    assert membership.observe(known, old, 200) == known


def test_own_incarnation_exceeds_that_of_a_foreign_report() -> None:
    own = _instance('a', 5)
    higher = membership.next_incarnation
    assert higher(own, own) == 5
    assert higher(own, _instance('a', 4)) == 5
    assert higher(own, _instance('a', 7)) == 8
    other = attrs.evolve(own, peers_address='127.0.0.1:9')
    assert higher(own, other) == 6


@hypothesis.given(name_sets, strategies.randoms(use_true_random=False))
def test_role_holders_agree_given_equal_views(names: set[str], random) -> None:
    live = [_instance(name) for name in names]
    shuffled = list(live)
    random.shuffle(shuffled)
    for role in Role:
        holders = membership.role_holders(role, 'key', live)
        assert holders == membership.role_holders(role, 'key', shuffled)
        assert len(holders) == min(
            membership.HOLDERS_PER_ROLE[role], len(names)
        )


@hypothesis.given(name_sets)
def test_a_role_moves_only_when_its_holder_leaves(names: set[str]) -> None:
    live = [_instance(name) for name in names]
    holder = membership.role_holders(Role.ARBITER, 'target', live)[0]
    for gone in live:
        rest = [i for i in live if i != gone]
        after = membership.role_holders(Role.ARBITER, 'target', rest)
        assert gone.name == holder or after == (holder,)


@hypothesis.given(name_sets)
def test_small_clusters_contact_all_live_and_each_silent_address(
    names: set[str],
) -> None:
    most = membership.MESH_INSTANCES - 1
    live = set(sorted(name for name in names if name < 'd')[:most])
    silent = names - live
    contacted: set[str] = set()
    for turn in range(len(names)):
        now_s = turn * membership.PEER_ROTATION_S
        chosen = membership.gossip_peers('self', live, silent, now_s)
        assert len(set(chosen)) == len(chosen)
        assert len(chosen) <= membership.MESH_INSTANCES
        assert set(chosen) >= live
        contacted.update(chosen)
    assert contacted == names


@hypothesis.given(strategies.integers(membership.MESH_INSTANCES, 60))
def test_large_clusters_contact_few_peers_and_all_in_rotation(
    others: int,
) -> None:
    names = {f'i{number}' for number in range(others)}
    contacted: set[str] = set()
    for turn in range(others):
        now_s = turn * membership.PEER_ROTATION_S
        chosen = membership.gossip_peers('self', names, [], now_s)
        assert len(set(chosen)) == membership.FANOUT + 1
        contacted.update(chosen)
    assert contacted == names


def test_most_gossip_peers_stay() -> None:
    names = [f'i{n}' for n in range(90)]
    first = set(membership.gossip_peers('self', names, [], 0))
    later = set(
        membership.gossip_peers('self', names, [], membership.PEER_ROTATION_S)
    )
    assert len(first & later) == membership.FANOUT


def test_digest_covers_all_but_heartbeats() -> None:
    member = membership.Member(_instance('a'), heartbeats=1)
    same = attrs.evolve(member, heartbeats=2)
    others = [
        attrs.evolve(member, leaving=True),
        membership.Member(_instance('a', 2)),
        membership.Member(_instance('b')),
    ]
    digests = {membership.digest(one) for one in (member, same, *others)}
    assert len(digests) == 4


def test_messages_are_bounded_and_leave_none_out() -> None:
    observations = [
        membership.ObservedMember(membership.Member(_instance(f'i{n}')), n)
        for n in range(500)
    ]
    seen: collections.Counter[str] = collections.Counter()
    half = membership.HEARTBEATS_PER_MESSAGE // 2
    for number in range(-(-500 // half)):
        sent = membership.heartbeats_to_send(observations, number)
        assert len(sent) <= membership.HEARTBEATS_PER_MESSAGE
        assert 'i499' in [m.instance.name for m in sent]
        seen.update(member.instance.name for member in sent)
    assert len(seen) == 500
