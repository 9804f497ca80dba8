"""Tests how a group of processes learns of instances and targets."""

import attrs

from wigeonfall.adapters import membership_topic
from wigeonfall.model.instance import Instance
from wigeonfall.model.target import Target
from wigeonfall.policy import membership as policy
from wigeonfall.policy.membership import Role
from wigeonfall.policy.targets import target_reports
from wigeonfall.ports.platform import LiveList
from wigeonfall.serving.membership import Membership


def _instance(name: str, incarnation: int = 1) -> Instance:
    number = sum(map(ord, name))
    return Instance(name, 'zac-a', f'127.0.0.1:{number}', incarnation)


def _member(name: str, now_s: float = 100, incarnation: int = 1) -> Membership:
    return Membership(
        _instance(name, incarnation), [], lambda *_a, **_f: None, now_s
    )


def _swap(caller: Membership, server: Membership, now_s: float) -> None:
    for sender, receiver in ((caller, server), (server, caller)):
        payload = membership_topic.encode(
            sender.message(receiver.own.name, now_s)
        )
        message = membership_topic.decode(payload)
        receiver.merge(message, sender.own.name, now_s)


def _run(members: list[Membership], from_s: int, until_s: int) -> None:
    """Swap state between each member and its peers once per second."""
    by_address = {m.own.peers_address: m for m in members}
    for now_s in range(from_s, until_s):
        for member in members:
            for address in member.peer_addresses(now_s):
                if address in by_address:
                    _swap(member, by_address[address], now_s)


def _names(member: Membership, now_s: float) -> set[str]:
    return {instance.name for instance in member.live_instances(now_s)}


def _group(names: str, now_s: float = 100) -> list[Membership]:
    members = [_member(name, now_s) for name in names]
    listed = LiveList(tuple(m.own for m in members), ())
    for member in members:
        member.apply_live_list(listed, now_s)
    return members


def test_all_instances_know_each_other_and_agree_on_roles() -> None:
    members = _group('abcdefghi')
    _run(members, 100, 130)
    for member in members:
        assert _names(member, 130) == set('abcdefghi')
        for role in policy.SITE_ROLES:
            assert member.role_holders(role, 130) == members[0].role_holders(
                role, 130
            )
    watchers = [m for m in members if m.has_role(Role.WATCHER, 130)]
    assert len(watchers) == policy.HOLDERS_PER_ROLE[Role.WATCHER]


def test_a_killed_instance_is_dropped_though_still_listed() -> None:
    members = _group('abcdefghi')
    listed = LiveList(tuple(m.own for m in members), ())
    _run(members, 100, 110)
    survivors = members[1:]
    failed_s = 110 + int(policy.fail_after_s(9)) + 4
    _run(survivors, 110, failed_s)
    for member in survivors:
        member.apply_live_list(listed, failed_s)
        assert _names(member, failed_s) == set('bcdefghi')


def test_a_leaving_instance_is_dropped_at_once_and_its_successor_joins() -> (
    None
):
    members = _group('abcd')
    _run(members, 100, 105)
    members[0].leave()
    _run(members, 105, 107)
    assert _names(members[3], 107) == set('bcd')
    members[0] = _member('a', 107, incarnation=2)
    members[0].apply_live_list(
        LiveList(tuple(m.own for m in members), ()), 107
    )
    _run(members, 107, 110)
    assert _names(members[3], 110) == set('abcd')


def test_a_pause_of_the_process_does_not_age_heartbeats() -> None:
    members = _group('abc')
    _run(members, 100, 105)
    assert _names(members[0], 200) == set('abc')


def test_partitioned_groups_find_each_other_again() -> None:
    members = _group('abcd')
    _run(members, 100, 110)
    for group in (members[:2], members[2:]):
        _run(group, 110, 125)
    assert _names(members[0], 125) == set('ab')
    _run(members, 125, 150)
    assert _names(members[0], 150) == set('abcd')


def test_an_instance_exceeds_the_incarnation_of_its_namesake() -> None:
    first, second = _group('ab')
    old = attrs.evolve(_instance('a', 9), peers_address='127.0.0.1:9')
    second.merge(membership_topic.Message(policy.Member(old)), 'a', 100)
    _swap(first, second, 101)
    _swap(first, second, 102)
    assert first.own.incarnation == 10
    assert first.own in second.live_instances(102)


def test_a_late_instance_asks_for_members_no_longer_shared() -> None:
    members = _group('abc')
    _run(members, 100, 110)
    late = _member('d', 110)
    _swap(late, members[0], 110)
    _swap(late, members[0], 111)
    assert _names(late, 111) == set('abcd')


def test_messages_stay_bounded_with_many_instances() -> None:
    member = _member('a')
    for number in range(500):
        other = Instance(f'i{number}', 'sal-b', f'10.0.0.1:{number}', 1)
        message = membership_topic.Message(policy.Member(other))
        member.merge(message, other.name, 100)
    payload = membership_topic.encode(member.message('b', 101))
    assert len(payload) < 2500
    assert len(member.peer_addresses(101)) <= policy.FANOUT + 2


def test_a_leaving_target_is_unavailable_everywhere_though_still_listed() -> (
    None
):
    members = _group('abcd')
    target = Target('e1', 'pool', 'zac-a', '127.0.0.1:1', 4)
    listed = LiveList(tuple(m.own for m in members), (target,))
    for member in members:
        member.apply_live_list(listed, 100)
        assert member.targets.live('pool', 100) == (target,)
    _run(members, 100, 102)
    members[0].targets.mark_leaving(target, 102)
    assert not members[0].targets.live('pool', 102)
    _run(members, 102, 105)
    for member in members:
        member.apply_live_list(listed, 105)
        assert not member.targets.live('pool', 105)
    successor = attrs.evolve(target, incarnation=5)
    relisted = attrs.evolve(listed, targets=(successor,))
    for member in members:
        member.apply_live_list(relisted, 106)
        assert member.targets.live('pool', 106) == (successor,)


def test_an_older_report_on_a_target_changes_nothing() -> None:
    member = _member('a')
    target = Target('e1', 'pool', 'zac-a', '127.0.0.1:1', 4)
    member.apply_live_list(LiveList((), (target,)), 100)
    member.targets.mark_leaving(target, 100)
    older = [
        target_reports.TargetReport('e1', 3, True),
        target_reports.TargetReport('e1', 4, False, 'v9'),
        target_reports.TargetReport('e1', 2, False),
    ]
    for report in older:
        member.targets.merge([report], 101)
        assert not member.targets.live('pool', 101)


def test_a_failed_target_backs_off_on_one_instance_only() -> None:
    first, second = _group('ab')
    target = Target('e1', 'pool', 'zac-a', '127.0.0.1:1', 4)
    for member in (first, second):
        member.apply_live_list(LiveList((), (target,)), 100)
    first.targets.back_off(target, 100)
    _swap(first, second, 101)
    assert not first.targets.live('pool', 101)
    assert second.targets.live('pool', 101) == (target,)
    assert first.targets.live('pool', 110) == (target,)
    restarted = attrs.evolve(target, incarnation=5, version='v2')
    first.targets.update_incarnation(restarted, 111)
    _swap(first, second, 111)
    assert second.targets.live('pool', 111) == (restarted,)
