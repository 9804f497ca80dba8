"""Arbiters: grant requests of all instances for the targets of a pool.

An instance becomes the arbiter of a pool when a peer connects to it for that
pool; the peers choose which instance to connect to. A new arbiter grants
nothing until all live instances have sent their held grants, but waits for
them no longer than STARTUP_SYNC_S.
"""

from collections.abc import Callable

import attrs

from ..events import Event
from ..model.instance import Instance
from ..model.service import Service
from ..model.target import Target
from ..policy.room import admission
from ..policy.room.grants import AnswerReport
from ..policy.room.grants import Decision
from ..policy.room.grants import HeldGrant
from ..policy.room.grants import PendingRequest
from ..policy.room import shares
from ..recorder import Record
from .admission import holder_name
from .admission import instance_name
from .admission import LiveInstances
from .grant import LiveTargets

STARTUP_SYNC_S = 0.5
MISSING_GRACE_S = 30.0

Deliver = Callable[[tuple[Decision, ...]], None]
ServiceOf = Callable[[str], Service | None]


@attrs.define(eq=False)
class Session:
    """A connection of an instance to the arbiter of a pool.

    Attributes:
        pool: name of the pool.
        instance: the connected instance.
        deliver: sends decisions to the instance without blocking.
    """

    pool: str
    instance: Instance
    deliver: Deliver

    @property
    def holder(self) -> str:
        """The name under which the instance holds grants."""
        return holder_name(self.instance)


def _replaces(new: Instance, old: Instance) -> bool:
    return new.name == old.name and new.incarnation > old.incarnation


class PoolArbiter:
    """The arbiter of one pool.

    Args:
        service: the service whose targets make up the pool.
        now_s: present time on the monotonic clock.
    """

    def __init__(self, service: Service, now_s: float) -> None:
        self.pool = admission.Pool(shares.pool_limits(service, 1))
        self.pool.set_paused(True)
        self.sessions: dict[str, Session] = {}
        self._started_s = now_s
        self._disconnected_s: dict[str, float] = {}

    def connect(
        self,
        session: Session,
        held: tuple[HeldGrant, ...],
        waiting: tuple[PendingRequest, ...],
        now_s: float,
    ) -> None:
        """Start a session with the grants and waits that an instance reports.

        They replace what was known of the instance. A session of an older
        incarnation of it ends.
        """
        holder = session.holder
        for other in tuple(self.sessions.values()):
            if _replaces(session.instance, other.instance):
                self.disconnect(other, now_s)
        self.sessions[holder] = session
        self._disconnected_s.pop(holder, None)
        self.pool.drop_pending(holder)
        self.pool.drop_grants(holder)
        for item in held:
            self.pool.add_grant(item)
        for pending in waiting:
            self.pool.enqueue(pending)

    def disconnect(self, session: Session, now_s: float) -> None:
        """End a session: drop its waits, but keep counting its grants."""
        if self.sessions.get(session.holder) is session:
            del self.sessions[session.holder]
            self._disconnected_s[session.holder] = now_s
            self.pool.drop_pending(session.holder)

    def reclaim(self, live: tuple[Instance, ...], now_s: float) -> list[str]:
        """Drop the grants of instances that have stopped or were restarted.

        Grants of an instance that only lost its connection count until the
        deadlines of their requests, as it may still use the targets.

        Args:
            live: instances that may be serving.
            now_s: present time on the monotonic clock.

        Returns:
            The holders whose grants were dropped.
        """
        listed = {holder_name(instance) for instance in live}
        connected = {s.instance.name for s in self.sessions.values()}
        dropped = [
            holder
            for holder in self._disconnected_s
            if holder not in listed or instance_name(holder) in connected
        ]
        for holder in dropped:
            del self._disconnected_s[holder]
            self.pool.drop_grants(holder)
        for holder in self._disconnected_s:
            self.pool.drop_expired_grants(holder, now_s)
        return dropped

    def configure(
        self,
        service: Service,
        targets: tuple[Target, ...],
        live: tuple[Instance, ...],
        now_s: float,
    ) -> None:
        """Set the limits by the share of live instances that are connected.

        Grants are paused until all live instances are connected or the time
        for synchronising after the start is over.
        """
        missing = self._missing(live, now_s)
        connected = len(self.sessions)
        limits = shares.pool_limits(service, connected + missing)
        self.pool.configure(
            shares.connected_share(limits, connected, missing), targets
        )
        synced = not missing or now_s >= self._started_s + STARTUP_SYNC_S
        self.pool.set_paused(not synced)

    def _missing(self, live: tuple[Instance, ...], now_s: float) -> int:
        """Return how many instances may get grants without this arbiter."""
        absent = {holder_name(i) for i in live} - self.sessions.keys()
        return sum(
            now_s
            < self._disconnected_s.get(holder, self._started_s)
            + MISSING_GRACE_S
            for holder in absent
        )


class Arbiters:
    """The pools that this instance arbitrates; for use by a single thread.

    Args:
        service_of: returns a service by name, or None.
        live_targets: returns the ready targets of a service.
        live_instances: returns the instances that may be serving.
        record: records events.
    """

    def __init__(
        self,
        service_of: ServiceOf,
        live_targets: LiveTargets,
        live_instances: LiveInstances,
        record: Record,
    ) -> None:
        self._service_of = service_of
        self._live_targets = live_targets
        self._live_instances = live_instances
        self._record = record
        self._pools: dict[str, PoolArbiter] = {}

    def connect(
        self,
        session: Session,
        held: tuple[HeldGrant, ...],
        waiting: tuple[PendingRequest, ...],
        now_s: float,
    ) -> bool:
        """Start a session; return False if the pool is not configured here."""
        service = self._service_of(session.pool)
        if service is None:
            return False
        arbiter = self._pools.get(session.pool)
        if arbiter is None:
            arbiter = PoolArbiter(service, now_s)
            self._pools[session.pool] = arbiter
            self._record(Event.ARBITRATION_BEGUN, pool=session.pool)
        arbiter.connect(session, held, waiting, now_s)
        self._decide(session.pool, now_s)
        return True

    def receive(
        self,
        session: Session,
        waiting: tuple[PendingRequest, ...],
        done: tuple[str, ...],
        now_s: float,
        reports: tuple[AnswerReport, ...] = (),
    ) -> None:
        """Apply a message of an instance and send the decisions it leads to.

        Args:
            session: the session of the instance; ignored if it was replaced.
            waiting: new waits.
            done: identifiers of waits that ended and grants that were
                released.
            now_s: present time on the monotonic clock.
            reports: reports on answers to granted requests.
        """
        arbiter = self._pools.get(session.pool)
        if arbiter is None or arbiter.sessions.get(session.holder) != session:
            return
        for pending in waiting:
            arbiter.pool.enqueue(pending)
        for report in reports:
            arbiter.pool.report(report, now_s)
        for wait_id in done:
            arbiter.pool.cancel(wait_id)
        self._decide(session.pool, now_s)

    def disconnect(self, session: Session, now_s: float) -> None:
        """End a session."""
        arbiter = self._pools.get(session.pool)
        if arbiter is not None:
            arbiter.disconnect(session, now_s)

    def tick(self, now_s: float) -> None:
        """Apply the passing of time; drop pools without sessions."""
        live = self._live_instances()
        for name, arbiter in tuple(self._pools.items()):
            for holder in arbiter.reclaim(live, now_s):
                self._record(Event.GRANTS_RECLAIMED, pool=name, holder=holder)
            if not arbiter.sessions:
                del self._pools[name]
                continue
            self._decide(name, now_s)

    def _decide(self, name: str, now_s: float) -> None:
        arbiter = self._pools[name]
        service = self._service_of(name)
        if service is None:
            return
        targets = self._live_targets(name, now_s)
        arbiter.configure(service, targets, self._live_instances(), now_s)
        batches: dict[str, list[Decision]] = {}
        for decision in arbiter.pool.decide(now_s):
            batches.setdefault(decision.holder, []).append(decision)
        for holder, batch in batches.items():
            session = arbiter.sessions.get(holder)
            if session is not None:
                session.deliver(tuple(batch))
