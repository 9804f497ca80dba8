"""Creates the membership and the configuration of one process."""

import threading
import time

import attrs

from .. import settings as settings_module
from ..adapters import configuration_store
from ..adapters import configuration_topic
from ..adapters import live_list_topic
from ..adapters import membership_topic
from . import configuration_loops
from . import list_sharing
from ..model.configuration import Configuration
from ..model.instance import Instance
from ..policy import membership as membership_policy
from ..ports.platform import LiveList
from ..ports.platform import Platform
from ..recorder import Record
from .configuration import ConfigurationState
from .exchange import Exchange
from .membership import Membership


@attrs.frozen
class Control:
    """The state that a process keeps in agreement with its peers.

    Attributes:
        membership: live instances, roles and available targets.
        configuration: the configuration in force and the newest revision.
        loops: what the loops work with that update the configuration.
    """

    membership: Membership
    configuration: ConfigurationState
    loops: configuration_loops.Loops

    def peer_addresses(self, _now_unix_s: float) -> tuple[str, ...]:
        """Return the addresses of the peers to swap topics with now."""
        return self.membership.peer_addresses(time.monotonic())

    def apply_live_list(self, listed: LiveList) -> None:
        """Apply the platform's live list; drop state of instances not live."""
        now_s = time.monotonic()
        self.membership.apply_live_list(listed, now_s)
        live = self.membership.live_instances(now_s)
        self.configuration.forget_peers(i.name for i in live)

    def list_period_s(self) -> float:
        """Return the time between two reads of the live list."""
        live = self.membership.live_instances(time.monotonic())
        return membership_policy.list_period_s(len(live))

    def page(self) -> dict[str, object]:
        """Return the page for operators on membership and configuration."""
        now_s = time.monotonic()
        position = self.configuration.position
        return {
            'instance': self.membership.own.name,
            'live_instances': [
                instance.name
                for instance in self.membership.live_instances(now_s)
            ],
            'duties': [
                role.value
                for role in membership_policy.SITE_ROLES
                if self.membership.has_role(role, now_s)
            ],
            'version': self.configuration.current.version,
            'version_seen': position.version,
            'change_id': position.change_id,
            'confirmed': self.configuration.confirmed,
        }


def make_control(
    own: Instance,
    settings: settings_module.ProcessSettings,
    initial: Configuration,
    platform: Platform,
    exchange: Exchange,
    record: Record,
) -> Control:
    """Create membership and configuration; add their topics to the exchange.

    Args:
        own: this instance.
        settings: settings of the process.
        initial: configuration from the process's own files.
        platform: calls to the platform.
        exchange: exchanges topics with peers.
        record: records events.
    """
    membership = Membership(
        own,
        settings.peers.addresses,
        record,
        time.monotonic(),
        exchange.trigger_exchange,
    )
    configuration = ConfigurationState(
        own.name, own.data_center, initial, record, exchange.trigger_exchange
    )
    exchange.topics += (
        membership_topic.make_topic(membership),
        live_list_topic.make_topic(
            list_sharing.ListSharing(membership.targets)
        ),
        configuration_topic.make_topic(
            configuration, own.data_center, membership.data_center_of
        ),
    )
    loops = configuration_loops.Loops(
        configuration,
        configuration_store.make_store(platform),
        membership,
        record,
        threading.Event(),
    )
    return Control(membership, configuration, loops)
