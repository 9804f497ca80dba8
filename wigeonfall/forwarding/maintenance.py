"""What an instance does every half second, whatever it serves."""

from collections.abc import Callable

import attrs

from ..events import Event
from ..model.routing import CallerLimits
from ..policy.memory import MemoryAccount
from ..policy.room.token_quota import TokenQuotas
from ..policy.targets.load_balancer import LoadBalancer
from ..policy.targets.load_balancer import target_key
from ..recorder import Record
from .arbiter import Arbiter
from .cluster_state import ClusterState
from .exchange import ConnectionPool
from .peers import Peers
from .scheduler import Scheduler
from .topology import Topology


@attrs.define
class Maintenance:
    """Drops what has expired, and tells the parts of an instance.

    Attributes:
        account: memory held for others.
        arbiter: arbiter of other instances.
        balancer: load balancer over the targets.
        cluster_state: what is known of the store.
        connections: connections to targets.
        limits: returns the limits on requests of callers.
        peers: the peers of the instance.
        quotas: token limits of customers.
        scheduler: its scheduler.
        topology: its role among its peers.
        record: records events.
    """

    account: MemoryAccount
    arbiter: Arbiter
    balancer: LoadBalancer
    cluster_state: ClusterState
    connections: ConnectionPool
    limits: Callable[[], CallerLimits]
    peers: Peers
    quotas: TokenQuotas
    scheduler: Scheduler
    topology: Topology
    record: Record
    _live_names: frozenset[str] = frozenset()

    def run(self, now_s: float) -> None:
        """Run it once.

        Args:
            now_s: present time on the monotonic clock.
        """
        self.connections.close_idle(now_s)
        self.account.sweep(now_s, self.limits().idle_timeout_s)
        self._record_peer_changes(now_s)
        self.arbiter.drop_silent_clients(now_s)
        self.peers.drop_silent(now_s)
        known = self.peers.known_names(now_s)
        self.quotas.keep_peers(known)
        self.cluster_state.refresh(now_s)
        self._update_balancer(known, now_s)

    def _update_balancer(self, known: frozenset[str], now_s: float) -> None:
        balancer = self.balancer
        balancer.set_peer_loads(self.peers.loads(now_s))
        targets = [stats.target for stats in balancer.all_stats()]
        self.scheduler.update_kept(
            (target.name for target in targets),
            self.topology.places_all(now_s),
        )
        balancer.rates.keep_peers(known)
        balancer.rates.set_share(self.topology.limit_share(now_s))
        balancer.signals.keep(map(target_key, targets), now_s)

    def _record_peer_changes(self, now_s: float) -> None:
        live = self.peers.live_names(now_s)
        for name in sorted(self._live_names - live):
            self.record(Event.PEER_UNREACHABLE, peer=name)
        for name in sorted(live - self._live_names):
            self.record(Event.PEER_REACHABLE, peer=name)
        self._live_names = live
