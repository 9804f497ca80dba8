"""Decides which instances exchange state and which watch the store."""

from collections.abc import Callable
import random

import attrs

from ..policy import arbiters
from ..policy.arbiters import Candidate
from ..policy.room import token_quota
from .peers import Peers
from .settings import ForwardingSettings

HUBS_PERIOD_S = 0.1  # far below the time after which a peer is silent
FIRST_LISTING_S = 0.3  # from the start until registered instances are known
START_SETTLE_S = 1.5  # from the start until instances know the hubs
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
