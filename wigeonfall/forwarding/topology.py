"""Decides which instances exchange state and which watch the store."""

from collections.abc import Callable
import random

import attrs

from ..policy import arbiters
from ..policy.arbiters import Candidate
from ..policy.room import token_quota
from ..policy.targets.cold_targets import PacedShare
from .peers import Peers
from .settings import ForwardingSettings

HUBS_PERIOD_S = 0.1  # far below the time after which a peer is silent
FIRST_LISTING_S = 0.3  # from the start until registered instances are known
START_SETTLE_S = 1.5  # from the start until instances know the hubs
UNKNOWN_INSTANCES = 100  # assumed while nobody has told their number
REGISTERED_AGE_S = 30.0  # from the start until peers tell all instances
OWN_VIEW_AGE_S = 3.0  # from the start until all peers were heard
OWN_WEIGHT = 0.75  # of instances in the data centre of a target
MOST_MEMORY_S = 120.0  # for which instances that fell silent still count
# Least and most; a short outage ends before most instances have tried.
HUBLESS_WATCH_DELAY_S = (1.0, 6.0)


@attrs.define
class Topology:
    """The role of this instance among its peers.

    A small fleet is a full mesh. In a larger one, instances exchange state
    with a few hubs, the first of which is the arbiter.

    Attributes:
        settings: returns the settings in force.
        peers: the peers of this instance.
        started_s: start of this instance, on the monotonic clock.
        leaving: whether this instance is shutting down.
        registered_count: instances that were registered at the last look, 0
            before the first.
    """

    settings: Callable[[], ForwardingSettings]
    peers: Peers
    started_s: float
    leaving: bool = False
    registered_count: int = 0
    _watch_from_s: float | None = None
    _acts_as_hub: bool = False
    _hubs: tuple[Candidate, ...] = ()
    _hubs_chosen_s: float = float('-inf')
    _most: int = 0
    _most_s: float = float('-inf')
    _most_in: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self.settings().instance.name

    @property
    def data_center(self) -> str:
        """Data centre of this instance."""
        return self.settings().instance.data_center

    @property
    def capacity(self) -> float:
        """Processors that this instance may use."""
        machine = self.settings().machine
        return machine.processor_share * machine.processor_speed

    def uses_hubs(self, now_s: float) -> bool:
        """Return whether the fleet is too large for a full mesh."""
        return self.peers.fleet_size(now_s) > arbiters.MESH_MAX_INSTANCES

    def hubs(self, now_s: float) -> tuple[Candidate, ...]:
        """Return the hubs in order of preference; the first is the arbiter.

        They are chosen anew after HUBS_PERIOD_S, as the choice takes longer
        the more instances are heard.
        """
        if abs(now_s - self._hubs_chosen_s) >= HUBS_PERIOD_S:
            self._hubs_chosen_s = now_s
            self._choose_hubs(now_s)
        return self._hubs

    def state_recipients(self, now_s: float) -> tuple[str, ...]:
        """Return the addresses that the state of this instance is sent to.

        A hub sends to all. So does an instance that hears no hub, so that new
        hubs are found when all old ones fail together.
        """
        if not self.uses_hubs(now_s) or self.is_hub(now_s):
            return self.peers.addresses()
        return tuple(hub.address for hub in self.hubs(now_s))

    def is_hub(self, now_s: float) -> bool:
        """Return whether this instance acts as a hub."""
        self.hubs(now_s)
        return self._acts_as_hub

    def decides(self, now_s: float) -> bool:
        """Return whether this instance stores decisions for the fleet."""
        return not self.uses_hubs(now_s) or self.is_hub(now_s)

    def passes_counts_on(self, now_s: float) -> bool:
        """Return whether peers rely on this instance for counts of others."""
        return self.uses_hubs(now_s) and self.is_hub(now_s)

    def knows_load(self, now_s: float) -> bool:
        """Return whether this instance knows the load of all others.

        Among hubs, the arbiter alone knows it.
        """
        if not self.uses_hubs(now_s):
            return True
        hubs = self.hubs(now_s)
        return bool(hubs) and hubs[0].name == self.name

    def places_all(self, now_s: float) -> bool:
        """Return whether this instance places the requests of all others."""
        if not self.uses_hubs(now_s):
            return self.peers.fleet_size(now_s) == 1
        return self.knows_load(now_s)

    def _choose_hubs(self, now_s: float) -> None:
        own = Candidate(
            self.name,
            self.settings().listen.peers_address,
            self.data_center,
            self.capacity,
            now_s - self.started_s,
            self.leaving,
        )
        chosen = arbiters.choose_hubs([own, *self.peers.candidates(now_s)])
        self._acts_as_hub = own in chosen and (
            self._acts_as_hub or self._may_become_hub(own.address, now_s)
        )
        if not self._acts_as_hub and own in chosen:
            chosen.remove(own)
        self._hubs = tuple(chosen)

    def _may_become_hub(self, own_address: str, now_s: float) -> bool:
        """Return whether the live hubs name this instance, or there is none.

        An instance that is no hub hears hubs alone. When one of them fails,
        it cannot tell whether it is the best one left; the other hubs can.
        """
        named = {
            p.state.address: p.state.peers for p in self.peers.live(now_s)
        }
        hubs = [
            address for address, peers in named.items() if address in peers
        ]
        return not hubs or any(own_address in named[hub] for hub in hubs)

    def peer_reaches_store(self, now_s: float) -> bool:
        """Return whether a live peer reaches the store."""
        return any(p.state.store_reachable for p in self.peers.live(now_s))

    def watches_store(self, now_s: float) -> bool:
        """Return whether this instance watches the store itself.

        Dozens of watches make reading the store expensive, so hubs watch and
        pass changes on. When no hub is live or none reaches the store, the
        other instances start to watch after random delays.
        """
        # An instance that has just lost all hubs takes itself for one.
        hubs_live = len(self.peers.live(now_s)) >= arbiters.MIN_HUB_COUNT - 1
        if not self.uses_hubs(now_s) or (hubs_live and self.is_hub(now_s)):
            self._watch_from_s = None
            return True
        if self.peer_reaches_store(now_s):
            self._watch_from_s = None
            return False
        if self._watch_from_s is None:
            self._watch_from_s = now_s + random.uniform(*HUBLESS_WATCH_DELAY_S)
        return now_s >= self._watch_from_s

    def settle_s(self, now_s: float) -> float:
        """Return for how long to wait before the first watch of the store.

        When hundreds of instances start together, each change of the store
        would end a watch of each of them, until they know of the hubs.
        """
        if not self.registered_count:
            until_s = self.started_s + FIRST_LISTING_S
        elif self.registered_count > arbiters.MESH_MAX_INSTANCES:
            until_s = self.started_s + START_SETTLE_S
        else:
            return 0.0
        return max(0.0, until_s - now_s)

    def advertised_addresses(self, now_s: float) -> tuple[str, ...]:
        """Return the addresses of peers to include in the state."""
        if self.uses_hubs(now_s):
            return tuple(hub.address for hub in self.hubs(now_s))
        return tuple(p.state.address for p in self.peers.live(now_s))

    def limit_share(self, now_s: float) -> float:
        """Return the part of targets' limits that may be used on this side.

        Instances and data centres that are not heard may use the rest.
        """
        if self.uses_hubs(now_s):
            return self.peers.live_data_center_share(self.data_center, now_s)
        return self.peers.live_share(now_s) or 1 / self.peers.fleet_size(now_s)

    def paced_share(self, client_count: int, now_s: float) -> PacedShare:
        """Return the part of rates that no side may exceed together.

        Each instance counts at the one that places its requests: the first
        hub for all that it hears, another one for its present clients. Those
        that are not heard may be cut off and use their own part. Most of the
        rate of a target belongs to the instances of its data centre, as these
        reach it when data centres are cut off from each other.

        Args:
            client_count: instances that have just asked this one for places.
            now_s: present time on the monotonic clock.
        """
        own_address = self.settings().listen.peers_address
        instances = self._most_instances(now_s)
        placed = 1
        parts: dict[str, float] = {}
        if self.uses_hubs(now_s):
            placed += client_count
            is_old = now_s - self.started_s >= OWN_VIEW_AGE_S
            if is_old and self.is_hub(now_s) and self.knows_load(now_s):
                placed = 1 + len(self.peers.live(now_s))
                parts = self._parts(placed / instances, instances, now_s)
        return PacedShare(
            min(1.0, placed / instances),
            parts,
            sum(a < own_address for a in self.peers.addresses()),
        )

    def _parts(
        self, part: float, instances: int, now_s: float
    ) -> dict[str, float]:
        """Return the part of this side of rates, by the data centre."""
        live = self.peers.live_counts(now_s)
        known = self.peers.known_counts(now_s)
        live[self.data_center] += 1
        known[self.data_center] += 1
        for data_center, count in known.items():
            most, most_s = self._most_in.get(data_center, (0, 0.0))
            if count >= most or now_s - most_s > MOST_MEMORY_S:
                self._most_in[data_center] = (count, now_s)
        # Those of which nothing was heard may be in any data centre.
        most_known = sum(most for most, _ in self._most_in.values())
        unheard = max(0, instances - most_known)
        return {
            data_center: min(
                1.0,
                OWN_WEIGHT * live[data_center] / (most + unheard)
                + (1.0 - OWN_WEIGHT) * part,
            )
            for data_center, (most, _) in self._most_in.items()
        }

    def _most_instances(self, now_s: float) -> int:
        """Return the most instances that were known lately."""
        count = self.peers.fleet_size(now_s)
        if now_s - self.started_s < REGISTERED_AGE_S:
            count = max(count, self.registered_count)
        if count == 1 and not self.registered_count:
            count = UNKNOWN_INSTANCES
        if count >= self._most or now_s - self._most_s > MOST_MEMORY_S:
            self._most, self._most_s = count, now_s
        return self._most

    def quota_visibility(self, now_s: float) -> token_quota.PeerVisibility:
        """Return which peers' quota usage is known."""
        own_age_s = now_s - self.started_s
        recent_share = self.peers.recently_started_share(
            self.settings().quota.window_s, own_age_s, now_s
        )
        heard_share = self.peers.live_share(now_s)
        if not self.uses_hubs(now_s):
            return token_quota.PeerVisibility(
                self.peers.live_names(now_s),
                recent_share,
                heard_share=heard_share,
            )
        return token_quota.PeerVisibility(
            self.peers.known_names(now_s),
            recent_share,
            self.peers.live_data_center_share(self.data_center, now_s),
            heard_share,
        )
