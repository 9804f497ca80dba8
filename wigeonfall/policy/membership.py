"""Decisions on membership: who is alive and who holds which role.

All instances compute these alike from what they know. What they know lags and
differs, so two may hold one role for a while: duties save work, and nothing
may rest on there being one holder.
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
    """Work that few instances do for others."""

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
        leaving: whether it said that it stops.
        heartbeats: heartbeats that it has made in this incarnation.
    """

    instance: Instance
    leaving: bool = False
    heartbeats: int = 0


@attrs.frozen
class ObservedMember:
    """A member and when its heartbeats last grew, on our clock."""

    member: Member
    heartbeat_s: float


def merge(first: Member, second: Member) -> Member:
    """Return all that two reports on an instance of one name tell.

    A later incarnation replaces an earlier one. In one incarnation
    heartbeats only grow, and leaving is final.
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
    """Return what is known of a member after one more report.

    Args:
        known: what was known, or None.
        reported: what a peer or the member itself reports.
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
    """Return the silence after which an instance counts as failed.

    Heartbeats take longer to reach all instances when there are more.
    """
    return FAIL_AFTER_S + FAIL_AFTER_PER_INSTANCE_S * instances


def is_alive(observed: ObservedMember, now_s: float, instances: int) -> bool:
    """Return whether an instance can be given work.

    Args:
        observed: what is known of it.
        now_s: present time, on the monotonic clock.
        instances: number of instances that are known.
    """
    if observed.member.leaving:
        return False
    return now_s - observed.heartbeat_s <= fail_after_s(instances)


def add_pause(observed: ObservedMember, pause_s: float) -> ObservedMember:
    """Return an observation that leaves out a pause of this process."""
    return attrs.evolve(observed, heartbeat_s=observed.heartbeat_s + pause_s)


def next_incarnation(own: Instance, reported: Instance) -> int:
    """Return the incarnation to use after a report on ourselves.

    A report that is not ours stems from a process of our name that started
    by a faster clock; we go above it, or nobody would listen to us.
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
        key: what it is done for, such as a data centre or a target.
        live: instances that may hold it.
    """
    names = [instance.name for instance in live]
    ranked = rendezvous.ranked(f'{role.value}/{key}', names)
    return ranked[: HOLDERS_PER_ROLE[role]]


def gossip_peers(
    own: str, live: Iterable[str], silent: Iterable[str], now_s: float
) -> tuple[str, ...]:
    """Return the addresses to exchange state with now.

    In a fleet of up to MESH_INSTANCES these are all live ones. In a larger
    one the first FANOUT in an order of our own stay, so that few connections
    are opened, and one more takes turns, which joins groups that would else
    not meet. One of the silent ones is tried in turn, which ends a cut
    between them and us.

    Args:
        own: address of this instance.
        live: addresses of the other live instances.
        silent: further addresses at which an instance may be.
        now_s: present time, on the monotonic clock.
    """
    turn = int(now_s / PEER_ROTATION_S)
    ranked = rendezvous.ranked(own, live)
    kept = len(ranked) if len(ranked) < MESH_INSTANCES else FANOUT
    chosen = ranked[:kept]
    for rest in (ranked[kept:], rendezvous.ranked(own, silent)):
        if rest:
            chosen += (rest[turn % len(rest)],)
    return chosen


def list_period_s(instances: int) -> float:
    """Return the time between two reads of the platform's live list.

    All instances read it, and the reads of all together are bounded.
    """
    return max(LIST_PERIOD_S, instances / LIST_READS_PER_S)


def digest(member: Member) -> int:
    """Return a number that stands for all of a member but its heartbeats."""
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

    Half of a full message are those that grew last, and the other half goes
    through all members in turn, so that none is left out for long.

    Args:
        observations: all that are known, in a stable order.
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
