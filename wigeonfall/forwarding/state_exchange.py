"""Makes the state that an instance sends to its peers, and applies theirs."""

from collections.abc import Callable
from collections.abc import Iterator
import itertools
import random

import attrs

from . import arbiter_messages
from ..policy.room import token_quota
from ..policy.room.token_quota import TokenQuotas
from ..policy.targets.load_balancer import LoadBalancer
from ..policy.targets.target_stats import TargetLoad
from ..policy.versions.version_evidence import Evidence
from . import store_position
from .cluster_state import ClusterState
from .peer_state import PeerState
from .peers import FORMAT_KEY
from .peers import Peers
from .scheduler import Scheduler
from .topology import Topology


@attrs.frozen
class StateExchange:
    """What the exchange of states with peers needs.

    Attributes:
        peers: the peers of this instance.
        topology: its role among them.
        balancer: load balancer over the targets.
        scheduler: its scheduler.
        quotas: token limits of customers.
        cluster_state: what it knows of the store.
        evidence: counts of answers by version.
        arbiter: returns the name of the arbiter in use, '' for none.
        watches_store: returns whether it watches the store itself.
        incarnation: random number, chosen at each start of the instance.
    """

    peers: Peers
    topology: Topology
    balancer: LoadBalancer
    scheduler: Scheduler
    quotas: TokenQuotas
    cluster_state: ClusterState
    evidence: Evidence
    arbiter: Callable[[], str]
    watches_store: Callable[[], bool]
    incarnation: int = attrs.field(factory=lambda: random.getrandbits(53))
    _sequence: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))

    def make_state(self, now_s: float) -> PeerState:
        """Return the state of this instance."""
        topology = self.topology
        return PeerState(
            name=topology.name,
            incarnation=self.incarnation,
            sequence=next(self._sequence),
            address=topology.settings().listen.peers_address,
            age_s=round(now_s - topology.started_s, 1),
            targets=self._advertised_load(now_s),
            waiting=self.scheduler.waiting(),
            taken=self.quotas.taken(),
            used=self.quotas.used(now_s),
            revisions={
                **self._advertised_revisions(now_s),
                FORMAT_KEY: arbiter_messages.NEWEST_FORMAT,
            },
            peers=topology.advertised_addresses(now_s),
            data_center=topology.data_center,
            capacity=topology.capacity,
            instances=self.peers.known_count(now_s),
            leaving=topology.leaving,
            store_reachable=self.watches_store()
            and self.cluster_state.store_reachable,
            evidence=self.evidence.advertised(
                with_totals=topology.passes_counts_on(now_s)
            ),
        )

    def apply(self, state: PeerState, now_s: float) -> bool:
        """Apply the state of a peer; return False if it is not newer."""
        if not self.peers.receive(state, now_s):
            return False
        usage = token_quota.PeerUsage(
            state.incarnation, state.taken, state.used
        )
        self.quotas.set_peer_usage(state.name, usage, now_s)
        self.evidence.set_peer_counts(
            state.name, state.incarnation, state.evidence
        )
        return True

    def _advertised_load(self, now_s: float) -> dict[str, TargetLoad]:
        """Return the load to include in the state for peers.

        With hubs, the arbiter counts the outstanding requests of all instances
        itself, so these are left out. Clients of an arbiter send no load; the
        others send what they learned of the targets.
        """
        if not self.topology.uses_hubs(now_s):
            return self.balancer.own_load(now_s)
        if self.arbiter():
            return {}
        return {
            name: attrs.evolve(load, requests=0, prefill_tokens=0.0)
            for name, load in self.balancer.own_load(now_s).items()
        }

    def _advertised_revisions(self, now_s: float) -> dict[str, int]:
        view = self.cluster_state.view
        if self.topology.uses_hubs(now_s):
            return store_position.encode(view.advertised_positions())
        return store_position.encode(view.positions())
