"""Decisions on membership: which instances are alive and hold which role.

All instances compute these with the same functions from their own views. The
views lag and differ, so two instances may hold one role for a while: roles
only avoid duplicate work, and correctness must not depend on a single holder.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import enum

import attrs
import xxhash

from ..model.instance import Instance
from . import rendezvous

HEARTBEAT_PERIOD_S = 1.0
PEER_ROTATION_S = 10.0
FANOUT = 3
MESH_INSTANCES = 12
FAIL_AFTER_S = 5.0
FAIL_AFTER_PER_INSTANCE_S = 0.05
PAUSE_S = 3.0
HEARTBEATS_PER_MESSAGE = 64
LIST_PERIOD_S = 1.0
LIST_READS_PER_S = 50.0


class Role(enum.Enum):
    """Work that a few instances do for all others."""

    WATCHER = 'watcher'
    PROBER = 'prober'
    REPORTER = 'reporter'
    ARBITER = 'arbiter'


SITE_ROLES = (Role.WATCHER, Role.PROBER, Role.REPORTER)
HOLDERS_PER_ROLE = {
    Role.WATCHER: 2,
    Role.PROBER: 1,
    Role.REPORTER: 1,
    Role.ARBITER: 1,
}


@attrs.frozen
class Member:
    """What is known of one instance.

    Attributes:
        instance: the instance and its incarnation.
        leaving: whether it announced that it stops.
        heartbeats: number of heartbeats in this incarnation.
    """

    instance: Instance
    leaving: bool = False
    heartbeats: int = 0


@attrs.frozen
class ObservedMember:
    """A member and the local time at which its heartbeats last increased."""

    member: Member
    heartbeat_s: float


def merge(first: Member, second: Member) -> Member:
    """Merge two reports on an instance of the same name.

    A later incarnation replaces an earlier one. Within an incarnation
    heartbeats only increase, and leaving is final.
    """
    if first.instance.incarnation != second.instance.incarnation:
        return max(first, second, key=lambda m: m.instance.incarnation)
    return Member(
        max(first.instance, second.instance, key=attrs.astuple),
        first.leaving or second.leaving,
        max(first.heartbeats, second.heartbeats),
    )


def observe(
    known: ObservedMember | None, reported: Member, now_s: float
) -> ObservedMember:
    """Return the observation of a member after a report.

    Args:
        known: the observation before, or None.
        reported: report by a peer or by the member itself.
        now_s: present time, on the monotonic clock.
    """
    if known is None:
        return ObservedMember(reported, now_s)
    merged = merge(known.member, reported)
    if _progress(merged) > _progress(known.member):
        return ObservedMember(merged, now_s)
    return ObservedMember(merged, known.heartbeat_s)


def _progress(member: Member) -> tuple[int, int]:
    return member.instance.incarnation, member.heartbeats


def fail_after_s(instances: int) -> float:
    """Return the time without heartbeats after which an instance has failed.

    Heartbeats take longer to reach all instances of a larger cluster.
    """
    return FAIL_AFTER_S + FAIL_AFTER_PER_INSTANCE_S * instances


def is_alive(observed: ObservedMember, now_s: float, instances: int) -> bool:
    """Return whether an instance is alive and can be given work.

    Args:
        observed: the observation of the instance.
        now_s: present time, on the monotonic clock.
        instances: number of known instances.
    """
    if observed.member.leaving:
        return False
    return now_s - observed.heartbeat_s <= fail_after_s(instances)


def add_pause(observed: ObservedMember, pause_s: float) -> ObservedMember:
    """Return an observation that leaves out a pause of this process."""
    return attrs.evolve(observed, heartbeat_s=observed.heartbeat_s + pause_s)


def next_incarnation(own: Instance, reported: Instance) -> int:
    """Return the incarnation to use after a report on this instance.

    A different report stems from a process of the same name that started by a
    faster clock. This instance exceeds it, or its reports would be ignored.
    """
    if reported.incarnation < own.incarnation or reported == own:
        return own.incarnation
    return reported.incarnation + 1


def role_holders(
    role: Role, key: str, live: Iterable[Instance]
) -> tuple[str, ...]:
    """Return the names of the instances that hold a role.

    Args:
        role: the role.
        key: what the role is for, such as a data centre or a target.
        live: instances that may hold it.
    """
    names = [instance.name for instance in live]
    ranked = rendezvous.ranked(f'{role.value}/{key}', names)
    return ranked[: HOLDERS_PER_ROLE[role]]


def gossip_peers(
    own: str, live: Iterable[str], silent: Iterable[str], now_s: float
) -> tuple[str, ...]:
    """Return the addresses of the peers to exchange state with now.

    In a cluster of up to MESH_INSTANCES these are all live instances. In a
    larger one they are the first FANOUT in an order specific to this
    instance, which keeps connections open, and one more in rotation, which
    connects groups that would otherwise not exchange state. One silent
    address is tried in rotation, so that a network partition heals.

    Args:
        own: address of this instance.
        live: addresses of the other live instances.
        silent: further addresses at which an instance may be reachable.
        now_s: present time, on the monotonic clock.
    """
    rotation = int(now_s / PEER_ROTATION_S)
    ranked = rendezvous.ranked(own, live)
    kept = len(ranked) if len(ranked) < MESH_INSTANCES else FANOUT
    chosen = ranked[:kept]
    for rest in (ranked[kept:], rendezvous.ranked(own, silent)):
        if rest:
            chosen += (rest[rotation % len(rest)],)
    return chosen


def list_period_s(instances: int) -> float:
    """Return the time between two reads of the platform's live list.

    All instances read it; their total rate is at most LIST_READS_PER_S.
    """
    return max(LIST_PERIOD_S, instances / LIST_READS_PER_S)


def digest(member: Member) -> int:
    """Return a hash of all fields of a member but its heartbeats."""
    instance = member.instance
    fields = (
        instance.name,
        instance.data_center,
        instance.peers_address,
        str(instance.incarnation),
        str(member.leaving),
    )
    return xxhash.xxh64_intdigest('\0'.join(fields).encode())


def heartbeats_to_send(
    observations: Sequence[ObservedMember], round_number: int
) -> tuple[Member, ...]:
    """Return the members whose heartbeats go into one message.

    Half of a full message are the latest heartbeats, and the other half
    rotates through all members, so that none is left out for long.

    Args:
        observations: all known members, in a stable order.
        round_number: number of the message, from 0.
    """
    if len(observations) <= HEARTBEATS_PER_MESSAGE:
        return tuple(observed.member for observed in observations)
    half = HEARTBEATS_PER_MESSAGE // 2
    fresh = sorted(observations, key=lambda s: s.heartbeat_s, reverse=True)[
        :half
    ]
    first = round_number * half
    turn = [observations[(first + n) % len(observations)] for n in range(half)]
    chosen = {s.member.instance.name: s.member for s in (*fresh, *turn)}
    return tuple(chosen.values())
