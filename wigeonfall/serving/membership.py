"""The membership of one process: live instances and their duties."""

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
from ..policy.target_reports import TargetReport
from ..ports.platform import LiveList
from ..recorder import Record
from .available_targets import AvailableTargets

NEWS_S = 3.0
FORGET_S = 600.0
MEMBERS_PER_MESSAGE = 16
WANTED_PER_MESSAGE = 16


@attrs.frozen
class Message:
    """What one instance tells another.

    Attributes:
        own: the sender.
        members: members that the receiver asked for or that are new.
        beats: heartbeats by digest of a member.
        wanted: digests that the sender cannot resolve.
        targets: news of targets.
    """

    own: Member
    members: tuple[Member, ...] = ()
    beats: tuple[tuple[int, int], ...] = ()
    wanted: tuple[int, ...] = ()
    targets: tuple[TargetReport, ...] = ()


class Membership:
    """What one process knows of instances and targets.

    Attributes:
        targets: the targets that may get new work.
    """

    def __init__(
        self,
        own: Instance,
        seeds: Iterable[str],
        record: Record,
        now_s: float,
        trigger_exchange: Callable[[], None] = lambda: None,
    ) -> None:
        """Start knowing only ourselves.

        Args:
            own: this instance.
            seeds: addresses at which others are first looked for.
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
        self._noted_s = now_s
        self._observations: dict[str, ObservedMember] = {}
        self._by_digest: dict[int, Member] = {}
        self._new_s: dict[int, float] = {}
        self._alive: frozenset[str] = frozenset()
        self._wanted: set[int] = set()
        self._wanted_by: dict[str, tuple[int, ...]] = {}
        self._messages = 0
        self._listed: dict[str, ObservedMember] = {}

    @property
    def own(self) -> Instance:
        """This instance."""
        return self._own.instance

    def leave(self) -> None:
        """Tell the others that this instance stops."""
        with self._lock:
            self._own = attrs.evolve(self._own, leaving=True)
        self._trigger_exchange()

    def live_instances(self, now_s: float) -> tuple[Instance, ...]:
        """Return the instances that can be given work, by name."""
        with self._lock:
            self._note_time(now_s)
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
            self._note_alive(frozenset(live))
        return tuple(live[name] for name in sorted(live))

    def live_in_site(self, now_s: float) -> tuple[Instance, ...]:
        """Return the live instances of our data centre."""
        return tuple(
            instance
            for instance in self.live_instances(now_s)
            if instance.data_center == self.own.data_center
        )

    def data_center_of(self, name: str) -> str:
        """Return the data centre of an instance, '' if it is not known."""
        observed = self._observations.get(name)
        return observed.member.instance.data_center if observed else ''

    def role_holders(
        self, role: Role, now_s: float, key: str = ''
    ) -> tuple[str, ...]:
        """Return the names of the instances that hold a role.

        Args:
            role: the role.
            now_s: present time, on the monotonic clock.
            key: the target of an arbiter; other duties are held for our
                data centre.
        """
        if role is Role.ARBITER:
            return policy.role_holders(role, key, self.live_instances(now_s))
        site = self.own.data_center
        return policy.role_holders(role, site, self.live_in_site(now_s))

    def has_role(self, role: Role, now_s: float, key: str = '') -> bool:
        """Return whether this instance holds a role."""
        return self.own.name in self.role_holders(role, now_s, key)

    def partner_addresses(self, now_s: float) -> tuple[str, ...]:
        """Return the addresses to exchange state with now."""
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
        """Return what to tell a peer.

        Args:
            peer: name of the peer, '' if it is not known.
            now_s: present time, on the monotonic clock.
        """
        with self._lock:
            self._note_time(now_s)
            self._messages += 1
            current = [
                observed
                for observed in self._observations.values()
                if now_s - observed.heartbeat_s <= self._fail_after_s()
            ]
            chosen = policy.heartbeats_to_send(current, self._messages)
            return Message(
                self._own_member(now_s),
                self._members_for(peer, now_s),
                tuple((policy.digest(one), one.heartbeats) for one in chosen),
                tuple(self._wanted)[:WANTED_PER_MESSAGE],
                self.targets.reports(now_s),
            )

    def merge(self, message: Message, sender: str, now_s: float) -> None:
        """Take in what a peer told.

        Args:
            message: what it told.
            sender: its name.
            now_s: present time, on the monotonic clock.
        """
        with self._lock:
            self._note_time(now_s)
            news = False
            for member in (message.own, *message.members):
                news |= self._observe(member, now_s)
            for digest, beats in message.beats:
                known = self._by_digest.get(digest)
                if known is not None:
                    self._observe(attrs.evolve(known, heartbeats=beats), now_s)
                elif digest != policy.digest(self._own):
                    self._wanted.add(digest)
            self._wanted_by[sender] = message.wanted
        news |= self.targets.merge(message.targets, now_s)
        if news:
            self._trigger_exchange()

    def apply_live_list(self, listed: LiveList, now_s: float) -> None:
        """Take in the platform's live list.

        Args:
            listed: the list, which lags.
            now_s: present time, on the monotonic clock.
        """
        with self._lock:
            self._note_time(now_s)
            before = self._listed
            self._listed = {
                instance.name: policy.observe(
                    before.get(instance.name), Member(instance), now_s
                )
                for instance in listed.instances
                if instance.name != self.own.name
            }
            self._forget(now_s)
        self.targets.apply_live_list(listed.targets, now_s)

    def _observe(self, member: Member, now_s: float) -> bool:
        name = member.instance.name
        if name == self.own.name:
            self._defend(member)
            return False
        known = self._observations.get(name)
        observed = policy.observe(known, member, now_s)
        self._observations[name] = observed
        digest = policy.digest(observed.member)
        self._wanted.discard(policy.digest(member))
        self._by_digest.setdefault(policy.digest(member), member)
        if digest in self._new_s:
            return False
        self._by_digest[digest] = observed.member
        self._new_s[digest] = now_s
        return True

    def _defend(self, member: Member) -> None:
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
        beats = int((now_s - self._started_s) / policy.HEARTBEAT_PERIOD_S)
        return attrs.evolve(self._own, heartbeats=beats)

    def _members_for(self, peer: str, now_s: float) -> tuple[Member, ...]:
        wanted = self._wanted_by.pop(peer, ())
        new = [
            digest
            for digest, since_s in reversed(self._new_s.items())
            if now_s - since_s <= NEWS_S
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

    def _note_alive(self, alive: frozenset[str]) -> None:
        if alive == self._alive:
            return
        self._record(
            Event.INSTANCES_CHANGED,
            came=sorted(alive - self._alive),
            went=sorted(self._alive - alive),
        )
        self._alive = alive

    def _note_time(self, now_s: float) -> None:
        pause_s = now_s - self._noted_s
        self._noted_s = max(now_s, self._noted_s)
        if pause_s <= policy.PAUSE_S:
            return
        for observations in (self._observations, self._listed):
            for name, observed in observations.items():
                observations[name] = policy.add_pause(observed, pause_s)

    def _forget(self, now_s: float) -> None:
        gone = {
            name
            for name, observed in self._observations.items()
            if now_s - observed.heartbeat_s > FORGET_S
        }
        for name in gone:
            del self._observations[name]
        forgotten = [
            digest
            for digest, member in self._by_digest.items()
            if member.instance.name not in self._observations
            or now_s - self._new_s.get(digest, 0) > FORGET_S
            and self._replaced(member)
        ]
        for digest in forgotten:
            del self._by_digest[digest]
            self._new_s.pop(digest, None)
        self._wanted.clear()

    def _replaced(self, member: Member) -> bool:
        current = self._observations[member.instance.name].member.instance
        return member.instance.incarnation < current.incarnation


def make_membership(
    own: Instance, seeds: Iterable[str], record: Record
) -> Membership:
    """Return the membership of a process that starts now."""
    return Membership(own, seeds, record, time.monotonic())
