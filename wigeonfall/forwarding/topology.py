"""The instances as one of them sees them: how many, and who places for all."""

from collections.abc import Callable
import random

import attrs

from ..policy import arbiters
from ..policy.arbiters import Candidate
from ..policy import token_quota
from .peers import Peers
from .settings import ForwardingSettings

HUBLESS_WATCH_DELAY_S = (
    1.0,
    6.0,
)  # a short outage ends before most have tried


@attrs.define
class Topology:
    """This instance among its peers.

    Attributes:
        settings: returns the settings in force.
        peers: the peers of this instance.
        started_s: its start, on the monotonic clock.
        leaving: whether it stops.
    """

    settings: Callable[[], ForwardingSettings]
    peers: Peers
    started_s: float
    leaving: bool = False
    _watch_from_s: float | None = None

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self.settings().instance.name

    @property
    def data_center(self) -> str:
        """Where this instance stands."""
        return self.settings().instance.data_center

    @property
    def capacity(self) -> float:
        """Processors that this instance may use."""
        machine = self.settings().machine
        return machine.processor_share * machine.processor_speed

    def uses_hubs(self, now_s: float) -> bool:
        """Whether there are too many instances to tell each other all."""
        return self.peers.fleet_size(now_s) > arbiters.MESH_MAX_INSTANCES

    def candidates(self, now_s: float) -> list[Candidate]:
        """Return all that may be the arbiter, this instance included."""
        own = Candidate(
            self.name,
            self.settings().listen.peers_address,
            self.data_center,
            self.capacity,
            now_s - self.started_s,
            self.leaving,
        )
        return [own, *self.peers.candidates(now_s)]

    def state_recipients(self, now_s: float) -> tuple[str, ...]:
        """Return where this instance's state goes.

        Whoever hears of few others takes itself for a hub and tells all, so
        that new hubs are found when the old ones are gone together.
        """
        if not self.uses_hubs(now_s):
            return self.peers.addresses()
        if self.is_hub(now_s):
            return self.peers.addresses()
        hubs = arbiters.choose_hubs(self.candidates(now_s))
        return tuple(hub.address for hub in hubs)

    def is_hub(self, now_s: float) -> bool:
        """Whether this instance takes itself for a hub."""
        hubs = arbiters.choose_hubs(self.candidates(now_s))
        return any(hub.name == self.name for hub in hubs)

    def peer_reaches_store(self, now_s: float) -> bool:
        """Whether a peer that watches the store is heard."""
        return any(p.state.store_reachable for p in self.peers.live(now_s))

    def watches_store(self, now_s: float) -> bool:
        """Whether this instance watches the store itself.

        Load pattern: reading the store is dear when dozens watch it. Hubs
        watch, and others hear from them. When no hub is heard or none reaches
        the store, the others do not try all at once.
        """
        # Who has just lost all hubs takes itself for one.
        found = len(self.peers.live(now_s)) >= arbiters.HUB_COUNT - 1
        if not self.uses_hubs(now_s) or (found and self.is_hub(now_s)):
            self._watch_from_s = None
            return True
        if self.peer_reaches_store(now_s):
            self._watch_from_s = None
            return False
        if self._watch_from_s is None:
            self._watch_from_s = now_s + random.uniform(*HUBLESS_WATCH_DELAY_S)
        return now_s >= self._watch_from_s

    def advertised_addresses(self, now_s: float) -> tuple[str, ...]:
        """Return the addresses that peers are told of."""
        if self.uses_hubs(now_s):
            hubs = arbiters.choose_hubs(self.candidates(now_s))
            return tuple(hub.address for hub in hubs)
        return tuple(p.state.address for p in self.peers.live(now_s))

    def quota_visibility(self, now_s: float) -> token_quota.PeerVisibility:
        """Return whose use of limits is known."""
        own_age_s = now_s - self.started_s
        young = self.peers.recently_started_share(
            token_quota.WINDOW_S, own_age_s, now_s
        )
        if not self.uses_hubs(now_s):
            return token_quota.PeerVisibility(
                self.peers.live_names(now_s), young
            )
        return token_quota.PeerVisibility(
            self.peers.known_names(now_s),
            young,
            self.peers.live_data_center_share(self.data_center, now_s),
        )
