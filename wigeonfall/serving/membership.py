"""The live instances of the cluster and their roles, as one process sees them.

Instances exchange heartbeats by gossip. A digest of all other fields of a
member goes with each heartbeat; the member itself is sent only while it is
new or to a peer that asks for it.
"""

from collections.abc import Callable
from collections.abc import Iterable
import threading
import time

import attrs

from ..events import Event
from ..model.instance import Instance
from ..policy import membership as policy
from ..policy.membership import Member
from ..policy.membership import ObservedMember
from ..policy.membership import Role
from ..policy.targets.target_reports import TargetReport
from ..ports.platform import LiveList
from ..recorder import Record
from .available_targets import AvailableTargets

MEMBER_SHARING_S = 3.0
RETENTION_S = 600.0
MEMBERS_PER_MESSAGE = 16
REQUESTS_PER_MESSAGE = 16


@attrs.frozen
class Message:
    """The membership state that one instance sends to another.

    Attributes:
        own: the sender.
        members: members that the receiver asked for or that are new.
        heartbeats: pairs of the digest of a member and its heartbeats.
        wanted: digests whose members the sender does not know.
        targets: reports on targets.
    """

    own: Member
    members: tuple[Member, ...] = ()
    heartbeats: tuple[tuple[int, int], ...] = ()
    wanted: tuple[int, ...] = ()
    targets: tuple[TargetReport, ...] = ()


class Membership:
    """The instances and targets that one process knows of.

    Attributes:
        targets: the targets that may get new requests.
    """

    def __init__(
        self,
        own: Instance,
        seeds: Iterable[str],
        record: Record,
        now_s: float,
        trigger_exchange: Callable[[], None] = lambda: None,
    ) -> None:
        """Start with this instance as the only known one.

        Args:
            own: this instance.
            seeds: addresses of peers to contact before others are known.
            record: records events.
            now_s: present time, on the monotonic clock.
            trigger_exchange: asks for an exchange with peers at once.
        """
        self._lock = threading.RLock()
        self._own = Member(own)
        self._seeds = frozenset(seeds)
        self.targets = AvailableTargets(record, trigger_exchange)
        self._record = record
        self._trigger_exchange = trigger_exchange
        self._started_s = now_s
        self._last_call_s = now_s
        self._observations: dict[str, ObservedMember] = {}
        self._by_digest: dict[int, Member] = {}
        self._first_seen_s: dict[int, float] = {}
        self._live_names: frozenset[str] = frozenset()
        self._unknown_digests: set[int] = set()
        self._wanted_by_peer: dict[str, tuple[int, ...]] = {}
        self._message_count = 0
        self._listed: dict[str, ObservedMember] = {}

    @property
    def own(self) -> Instance:
        """This instance."""
        return self._own.instance

    def leave(self) -> None:
        """Announce to the peers that this instance stops."""
        with self._lock:
            self._own = attrs.evolve(self._own, leaving=True)
        self._trigger_exchange()

    def live_instances(self, now_s: float) -> tuple[Instance, ...]:
        """Return the live instances, sorted by name.

        A change since the last call is recorded.
        """
        with self._lock:
            self._add_pause(now_s)
            live = {
                name: observed.member.instance
                for name, observed in self._observations.items()
                if self._is_alive(observed, now_s)
            }
            for name, listed in self._listed.items():
                if name not in self._observations and self._is_alive(
                    listed, now_s
                ):
                    live[name] = listed.member.instance
            if not self._own.leaving:
                live[self.own.name] = self.own
            self._record_changes(frozenset(live))
        return tuple(live[name] for name in sorted(live))

    def live_in_data_center(self, now_s: float) -> tuple[Instance, ...]:
        """Return the live instances of this data centre, sorted by name."""
        return tuple(
            instance
            for instance in self.live_instances(now_s)
            if instance.data_center == self.own.data_center
        )

    def data_center_of(self, name: str) -> str:
        """Return the data centre of an instance, '' if not known."""
        observed = self._observations.get(name)
        return observed.member.instance.data_center if observed else ''

    def role_holders(
        self, role: Role, now_s: float, key: str = ''
    ) -> tuple[str, ...]:
        """Return the names of the instances that hold a role.

        Args:
            role: the role.
            now_s: present time, on the monotonic clock.
            key: the target, for an arbiter; other roles are held for this
                data centre.
        """
        if role is Role.ARBITER:
            return policy.role_holders(role, key, self.live_instances(now_s))
        data_center = self.own.data_center
        return policy.role_holders(
            role, data_center, self.live_in_data_center(now_s)
        )

    def has_role(self, role: Role, now_s: float, key: str = '') -> bool:
        """Return whether this instance holds a role."""
        return self.own.name in self.role_holders(role, now_s, key)

    def peer_addresses(self, now_s: float) -> tuple[str, ...]:
        """Return the addresses of the peers to exchange state with now."""
        own = self.own.peers_address
        live = {i.peers_address for i in self.live_instances(now_s)}
        with self._lock:
            listed = {
                listed.member.instance.peers_address
                for listed in self._listed.values()
            }
            known = {
                observed.member.instance.peers_address
                for observed in self._observations.values()
            }
        others = (self._seeds | listed | known) - live - {own}
        return policy.gossip_peers(own, live - {own}, others, now_s)

    def message(self, peer: str, now_s: float) -> Message:
        """Return the message to send to a peer.

        Args:
            peer: name of the peer, '' if it is not known.
            now_s: present time, on the monotonic clock.
        """
        with self._lock:
            self._add_pause(now_s)
            self._message_count += 1
            current = [
                observed
                for observed in self._observations.values()
                if now_s - observed.heartbeat_s <= self._fail_after_s()
            ]
            chosen = policy.heartbeats_to_send(current, self._message_count)
            return Message(
                self._own_member(now_s),
                self._members_for(peer, now_s),
                tuple((policy.digest(one), one.heartbeats) for one in chosen),
                tuple(self._unknown_digests)[:REQUESTS_PER_MESSAGE],
                self.targets.reports(now_s),
            )

    def merge(self, message: Message, sender: str, now_s: float) -> None:
        """Merge a message of a peer.

        Args:
            message: the message.
            sender: name of the peer.
            now_s: present time, on the monotonic clock.
        """
        with self._lock:
            self._add_pause(now_s)
            changed = False
            for member in (message.own, *message.members):
                changed |= self._observe(member, now_s)
            for digest, heartbeats in message.heartbeats:
                known = self._by_digest.get(digest)
                if known is not None:
                    self._observe(
                        attrs.evolve(known, heartbeats=heartbeats), now_s
                    )
                elif digest != policy.digest(self._own):
                    self._unknown_digests.add(digest)
            self._wanted_by_peer[sender] = message.wanted
        changed |= self.targets.merge(message.targets, now_s)
        if changed:
            self._trigger_exchange()

    def apply_live_list(self, listed: LiveList, now_s: float) -> None:
        """Apply the platform's live list of instances and targets.

        Args:
            listed: the list, which may be out of date.
            now_s: present time, on the monotonic clock.
        """
        with self._lock:
            self._add_pause(now_s)
            previous = self._listed
            self._listed = {
                instance.name: policy.observe(
                    previous.get(instance.name), Member(instance), now_s
                )
                for instance in listed.instances
                if instance.name != self.own.name
            }
            self._drop_old(now_s)
        self.targets.apply_live_list(listed.targets, now_s)

    def _observe(self, member: Member, now_s: float) -> bool:
        """Merge a report on a member; return whether it is a new state."""
        name = member.instance.name
        if name == self.own.name:
            self._raise_incarnation(member)
            return False
        known = self._observations.get(name)
        observed = policy.observe(known, member, now_s)
        self._observations[name] = observed
        digest = policy.digest(observed.member)
        self._unknown_digests.discard(policy.digest(member))
        self._by_digest.setdefault(policy.digest(member), member)
        if digest in self._first_seen_s:
            return False
        self._by_digest[digest] = observed.member
        self._first_seen_s[digest] = now_s
        return True

    def _raise_incarnation(self, member: Member) -> None:
        """Exceed the incarnation of another process of the same name."""
        incarnation = policy.next_incarnation(self.own, member.instance)
        if incarnation == self.own.incarnation:
            return
        instance = attrs.evolve(self.own, incarnation=incarnation)
        self._own = attrs.evolve(self._own, instance=instance)
        self._record(
            Event.INCARNATION_RAISED,
            incarnation=incarnation,
            other_address=member.instance.peers_address,
        )

    def _own_member(self, now_s: float) -> Member:
        heartbeats = int((now_s - self._started_s) / policy.HEARTBEAT_PERIOD_S)
        return attrs.evolve(self._own, heartbeats=heartbeats)

    def _members_for(self, peer: str, now_s: float) -> tuple[Member, ...]:
        wanted = self._wanted_by_peer.pop(peer, ())
        new = [
            digest
            for digest, first_seen_s in reversed(self._first_seen_s.items())
            if now_s - first_seen_s <= MEMBER_SHARING_S
        ]
        digests = dict.fromkeys((*wanted, *new))
        found = [
            self._by_digest[digest]
            for digest in digests
            if digest in self._by_digest
        ]
        return tuple(found[:MEMBERS_PER_MESSAGE])

    def _fail_after_s(self) -> float:
        return policy.fail_after_s(len(self._observations) + 1)

    def _is_alive(self, observed: ObservedMember, now_s: float) -> bool:
        return policy.is_alive(observed, now_s, len(self._observations) + 1)

    def _record_changes(self, live: frozenset[str]) -> None:
        if live == self._live_names:
            return
        self._record(
            Event.INSTANCES_CHANGED,
            came=sorted(live - self._live_names),
            went=sorted(self._live_names - live),
        )
        self._live_names = live

    def _add_pause(self, now_s: float) -> None:
        """Leave out a pause of this process from the age of heartbeats."""
        pause_s = now_s - self._last_call_s
        self._last_call_s = max(now_s, self._last_call_s)
        if pause_s <= policy.PAUSE_S:
            return
        for observations in (self._observations, self._listed):
            for name, observed in observations.items():
                observations[name] = policy.add_pause(observed, pause_s)

    def _drop_old(self, now_s: float) -> None:
        """Drop instances without recent heartbeats, and outdated digests."""
        expired = {
            name
            for name, observed in self._observations.items()
            if now_s - observed.heartbeat_s > RETENTION_S
        }
        for name in expired:
            del self._observations[name]
        dropped_digests = [
            digest
            for digest, member in self._by_digest.items()
            if member.instance.name not in self._observations
            or now_s - self._first_seen_s.get(digest, 0) > RETENTION_S
            and self._is_outdated(member)
        ]
        for digest in dropped_digests:
            del self._by_digest[digest]
            self._first_seen_s.pop(digest, None)
        self._unknown_digests.clear()

    def _is_outdated(self, member: Member) -> bool:
        current = self._observations[member.instance.name].member.instance
        return member.instance.incarnation < current.incarnation


def make_membership(
    own: Instance, seeds: Iterable[str], record: Record
) -> Membership:
    """Return the membership of a process that starts now."""
    return Membership(own, seeds, record, time.monotonic())
