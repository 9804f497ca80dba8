"""Settings of a process that passes calls on by host and path."""

from collections.abc import Mapping
import pathlib

import attrs
from result import Result

from .. import ini
from .. import settings
from ..configuration_file import check_name
from ..settings import InstanceSettings
from ..settings import LogSettings
from ..settings import PlatformSettings


@attrs.frozen
class ListenSettings:
    """Addresses that this process serves, each "host:port".

    Attributes:
        callers_address: where callers connect.
        ready_address: where the balancer asks whether it may send callers.
        peers_address: where other instances send their state.
        metrics_address: where counters are read.
    """

    callers_address: str
    ready_address: str
    peers_address: str
    metrics_address: str
    callers_backlog: int = 512


@attrs.frozen
class PeersSettings:
    """Where other instances may be found.

    Attributes:
        seeds: addresses of some instances; only their hosts are used.
    """

    seeds: tuple[str, ...] = ()


@attrs.frozen
class StopSettings:
    """Times of a planned stop.

    Attributes:
        grace_s: time until the process is killed.
        settle_s: time that the balancer gets to see the instance unready;
            calls that come later are sent to other instances.
    """

    grace_s: float = 8.0
    settle_s: float = 2.8


@attrs.frozen
class MachineSettings:
    """What the process may use.

    Attributes:
        processor_share: share of a processor.
        processor_speed: speed of that processor, against the slowest.
    """

    processor_share: float = 1.0
    processor_speed: float = 1.0


@attrs.frozen
class RetrySettings:
    """Bounds on resends of the whole fleet.

    Attributes:
        ratio: resends for each request of a service.
        slack_requests: resends of a service above the ratio, in a window.
    """

    ratio: float = 0.2
    slack_requests: float = 50.0


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
    'ratio': ini.in_range(0, 100),
    'slack_requests': ini.in_range(0, 1_000_000),
    'level': settings.check_level,
}


def read(path: pathlib.Path) -> Result[ForwardingSettings, ini.Faults]:
    """Read the settings of one process.

    Args:
        path: INI file.

    Returns:
        The settings, or all faults of the file.
    """
    return settings.read_sections(path, ForwardingSettings, _CHECKS)
