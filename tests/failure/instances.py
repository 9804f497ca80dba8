"""Entry instances as processes, between a platform and a plain service."""

from collections.abc import Iterator
import contextlib
import pathlib

import attrs
import urllib3

from tests.fakes import http_server
from tests.fakes import plain_service
from tests.fakes import platform
from tests.fakes import processes
from tests.fakes import target

KEY = 'example-key-of-carniceros-norte'
BASE_FILE = processes.REPOSITORY / 'etc' / 'co-op' / 'base.ini'
SERVICE = 'pedidos-app'

_SETTINGS = """
[instance]
name = {name}
data_center = zac-a
[listen]
callers_address = 127.0.0.1:{ports[0]}
operators_address = 127.0.0.1:{ports[1]}
peers_address = 127.0.0.1:{ports[2]}
[platform]
address = {platform}
[peers]
addresses = {peers}
[configuration]
base_file = {base}
[stop]
settle_s = 0
quiet_s = 0.2
"""


@attrs.frozen
class Instance:
    """A running entry instance.

    Attributes:
        process: its process.
        callers_address: "host:port" for callers.
        operators_address: "host:port" for operators.
    """

    process: processes.Process
    callers_address: str
    operators_address: str


@attrs.frozen
class Site:
    """A platform, a plain service and entry instances."""

    platform: http_server.Handle
    service: http_server.Handle
    instances: tuple[Instance, ...]

    def runs(self) -> dict[str, int]:
        """Return how often the service ran each key."""
        return processes.records(self.service.address)['by_key']


@contextlib.contextmanager
def running(path: pathlib.Path, count: int) -> Iterator[Site]:
    """Run a site with some instances, whose files are under a path."""
    with contextlib.ExitStack() as stack:
        store = platform.start(live_lag_ms=20)
        stack.callback(store.stop)
        identity = target.Identity(
            name='pedidos-1', service=SERVICE, platform=store.address
        )
        service = plain_service.start(identity=identity)
        stack.callback(service.stop)
        processes.wait_for(lambda: _is_listed(store.address))
        instances = _start_instances(path, count, store.address)
        for instance in instances:
            stack.callback(instance.process.kill)
        for instance in instances:
            processes.wait_until_answers(_ready_url(instance))
        yield Site(store, service, instances)


def _start_instances(
    path: pathlib.Path, count: int, platform_address: str
) -> tuple[Instance, ...]:
    ports = processes.free_ports(3 * count)
    peers = ', '.join(f'127.0.0.1:{p}' for p in ports[2::3])
    started = []
    for number in range(count):
        own = ports[3 * number : 3 * number + 3]
        file = path / f'instance-{number}.ini'
        text = _SETTINGS.format(
            name=f'zac-a-{number}',
            ports=own,
            platform=platform_address,
            peers=peers,
            base=BASE_FILE,
        )
        file.write_text(text)
        process = processes.start(
            f'zac-a-{number}',
            'wigeonfall',
            'serve',
            '--settings',
            str(file),
            WIGEONFALL_OPERATORS_KEY='operators',
        )
        callers, operators, _ = (f'127.0.0.1:{port}' for port in own)
        started.append(Instance(process, callers, operators))
    return tuple(started)


def _ready_url(instance: Instance) -> str:
    return f'http://{instance.operators_address}/ready'


def _is_listed(address: str) -> bool:
    answer = urllib3.request('GET', f'http://{address}/live', retries=False)
    return bool(answer.json()['targets'])
