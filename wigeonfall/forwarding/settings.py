"""Settings of a process that forwards requests by host and path."""

from collections.abc import Callable
from collections.abc import Mapping
import pathlib

import attrs
from result import Result

from .. import ini
from .. import settings
from ..configuration_file import check_name
from ..policy.room import expected_room
from ..policy.room import kind_shares
from ..policy.room import resend_budget
from ..policy.room.terms import RoomTerms
from ..policy.room import token_quota
from ..policy.versions.move_time import ExposureBound
from ..policy.view_lag import LagTerms
from ..settings import InstanceSettings
from ..settings import LogSettings
from ..settings import PlatformSettings


@attrs.frozen
class ListenSettings:
    """Addresses that this process listens on, each "host:port".

    Attributes:
        callers_address: for requests of callers.
        ready_address: for health checks of the external load balancer.
        peers_address: for the state and requests of other instances.
        metrics_address: for reading metrics.
        callers_backlog: maximum number of callers' connections that wait to
            be accepted.
    """

    callers_address: str
    ready_address: str
    peers_address: str
    metrics_address: str
    callers_backlog: int = 512


@attrs.frozen
class PeersSettings:
    """How other instances are discovered.

    Attributes:
        seeds: addresses of some instances; only the hosts are used.
    """

    seeds: tuple[str, ...] = ()


@attrs.frozen
class StopSettings:
    """Times of a graceful shutdown.

    Attributes:
        grace_s: time from the signal until the process is killed.
        settle_s: time for the external load balancer to notice that the
            instance is not ready; later calls are rejected, to be retried
            at other instances.
    """

    grace_s: float = 8.0
    settle_s: float = 2.8


@attrs.frozen
class MachineSettings:
    """Resources of its machine that the process may use.

    Attributes:
        processor_share: share of a processor.
        processor_speed: speed of that processor relative to the slowest one.
        memory_mb: memory above which the process is ended, in 2**20 bytes.
        descriptors: file descriptors that it may have open, files included.
    """

    processor_share: float = 1.0
    processor_speed: float = 1.0
    memory_mb: float = 150.0
    descriptors: int = 4096


@attrs.frozen
class RetrySettings:
    """Limits on resends, for the fleet as a whole.

    Attributes:
        ratio: maximum resends per request of a service.
        slack_requests: resends of a service allowed beyond the ratio in each
            window.
        window_s: length of the window.
    """

    ratio: float = 0.2
    slack_requests: float = 50.0
    window_s: float = resend_budget.WINDOW_S


@attrs.frozen
class QuotaSettings:
    """How the token limits of customers are measured.

    Attributes:
        window_s: length of the window.
        overage: share by which a limit may be exceeded in a window.
        slack_tokens: tokens by which it may be exceeded besides.
    """

    window_s: float = token_quota.WINDOW_S
    overage: float = 0.0
    slack_tokens: float = 0.0


@attrs.frozen
class ColdSettings:
    """Bound on the requests that reach a cold target in a second.

    Attributes:
        overage: factor by which the rate that it endures may be exceeded; 0
            for no bound.
        slack_requests: requests by which it may be exceeded besides.
    """

    overage: float = 0.0
    slack_requests: float = 0.0


@attrs.frozen
class EvacuationSettings:
    """Whether operators evacuate data centres.

    Attributes:
        stop_ms: time in which new requests to the targets of an evacuated
            data centre stop; 0 if none is evacuated.
    """

    stop_ms: float = 0.0


@attrs.frozen
class ChangesSettings:
    """How soon changes of the store must be in force at all instances.

    Attributes:
        apply_ms: time from the change on.
        store_reads_per_s: reads that the store answers all instances.
    """

    apply_ms: float = LagTerms().apply_s * 1000
    store_reads_per_s: float = LagTerms().store_reads_per_s

    @property
    def terms(self) -> LagTerms:
        """The terms of following the store."""
        return LagTerms(self.apply_ms / 1000, self.store_reads_per_s)


@attrs.frozen
class RolloutSettings:
    """Bound on the requests that reach a new version which is bad.

    Attributes:
        exposed_share: part of the requests of its service, within the
            duration of the order.
        exposed_requests: requests beside that.
    """

    exposed_share: float = ExposureBound().share
    exposed_requests: float = ExposureBound().requests

    @property
    def bound(self) -> ExposureBound:
        """The bound."""
        return ExposureBound(self.exposed_share, self.exposed_requests)


@attrs.frozen
class SharesSettings:
    """How requests share scarce room.

    Attributes:
        floor: part of the mean share served over the kinds of a service
            below which a kind goes first; 0 for none.
        booked: share of the slots kept for callers that were told to return;
            0 for none.
    """

    floor: float = kind_shares.DEFAULT_FLOOR
    booked: float = expected_room.BOOKED_SHARE

    def terms(self, rate_of: Callable[[str], float]) -> RoomTerms:
        """Return the terms of queues; rate_of returns a customer's rate."""
        return RoomTerms(self.floor, self.booked, rate_of)


@attrs.frozen
class ForwardingSettings:
    """The settings of one process."""

    instance: InstanceSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeersSettings
    stop: StopSettings
    retry: RetrySettings
    machine: MachineSettings
    log: LogSettings
    quota: QuotaSettings = QuotaSettings()
    cold: ColdSettings = ColdSettings()
    evacuation: EvacuationSettings = EvacuationSettings()
    shares: SharesSettings = SharesSettings()
    rollout: RolloutSettings = RolloutSettings()
    changes: ChangesSettings = ChangesSettings()

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """Addresses of the seeds as peers; all use the same port."""
        port = self.listen.peers_address.rpartition(':')[2]
        hosts = (seed.rpartition(':')[0] for seed in self.peers.seeds)
        return tuple(f'{host}:{port}' for host in hosts)


_CHECKS: Mapping[str, ini.Check] = {
    'name': check_name,
    'data_center': check_name,
    'callers_address': settings.check_address,
    'ready_address': settings.check_address,
    'peers_address': settings.check_address,
    'metrics_address': settings.check_address,
    'callers_backlog': ini.in_range(1, 65_535),
    'address': settings.check_address,
    'seeds': settings.check_addresses,
    'grace_s': ini.in_range(0, 86_400),
    'settle_s': ini.in_range(0, 86_400),
    'processor_share': ini.in_range(0, 1_000),
    'processor_speed': ini.in_range(0, 1_000),
    'memory_mb': ini.in_range(64, 1_000_000),
    'descriptors': ini.in_range(256, 10_000_000),
    'ratio': ini.in_range(0, 100),
    'slack_requests': ini.in_range(0, 1_000_000),
    'window_s': ini.in_range(0.1, 86_400),
    'overage': ini.in_range(0, 100),
    'slack_tokens': ini.in_range(0, 1_000_000_000),
    'apply_ms': ini.in_range(100, 86_400_000),
    'store_reads_per_s': ini.in_range(1, 1_000_000_000),
    'stop_ms': ini.in_range(0, 86_400_000),
    'floor': ini.in_range(0, 1),
    'booked': ini.in_range(0, 1),
    'exposed_share': ini.in_range(0, 1),
    'exposed_requests': ini.in_range(0, 1_000_000_000),
    'level': settings.check_level,
}


def read(path: pathlib.Path) -> Result[ForwardingSettings, ini.Faults]:
    """Read the settings of one process.

    Args:
        path: INI file.

    Returns:
        The settings, or all errors in the file.
    """
    return settings.read_sections(path, ForwardingSettings, _CHECKS)
