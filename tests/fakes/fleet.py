"""A whole fleet as processes: platform, targets and entry instances."""

import configparser
import contextlib
import pathlib
import shutil
from typing import Any

import attrs
import urllib3

from . import processes
from .ports import free_ports
from .tcp_proxy import TcpProxy

EXAMPLES = processes.REPOSITORY / 'etc'
OPERATORS_KEY = 'operators-key-of-the-tests'
START_TIMEOUT_S = 60.0
HOST = '127.0.0.1'


@attrs.frozen
class TargetPlan:
    """A target to start.

    Attributes:
        name: name of the target.
        service: service that it belongs to.
        data_center: data centre that it stands in.
        options: further options of the stand-in, by name.
    """

    name: str
    service: str
    data_center: str
    options: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class Plan:
    """A fleet to start.

    Attributes:
        example: directory below etc/ whose INI files it runs with.
        instances: names of instances by data centre.
        engines: model engines.
        services: plain services.
        platform_options: options of the platform, by name.
        settings: changes to the settings of all instances, by section.
        base: changes to the base configuration, by section.
        binary: zipapp that instances run from, or None for the module.
    """

    example: str
    instances: dict[str, tuple[str, ...]]
    engines: tuple[TargetPlan, ...] = ()
    services: tuple[TargetPlan, ...] = ()
    platform_options: dict[str, Any] = attrs.field(factory=dict)
    settings: dict[str, dict[str, str]] = attrs.field(factory=dict)
    base: dict[str, dict[str, str]] = attrs.field(factory=dict)
    binary: pathlib.Path | None = None


@attrs.define
class RunningTarget:
    """A started target."""

    plan: TargetPlan
    process: processes.Process
    address: str


@attrs.define
class RunningInstance:
    """A started entry instance.

    Attributes:
        name: name of the instance.
        data_center: data centre that it stands in.
        settings_file: its INI file.
        callers_address: where callers reach it.
        operators_address: where operators reach it.
        peers_address: where peers reach it.
        platform_link: what its calls to the platform go through.
        process: the process.
    """

    name: str
    data_center: str
    settings_file: pathlib.Path
    callers_address: str
    operators_address: str
    peers_address: str
    platform_link: TcpProxy
    process: processes.Process


class Fleet:
    """The running parts of a fleet."""

    def __init__(self, plan: Plan, directory: pathlib.Path) -> None:
        self.plan = plan
        self.directory = directory
        self.targets: dict[str, RunningTarget] = {}
        self.instances: dict[str, RunningInstance] = {}
        self.platform_address = ''
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> 'Fleet':
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    def close(self) -> None:
        """End all processes that still run."""
        self._stack.close()

    def start_process(self, name: str, *arguments: str) -> processes.Process:
        """Start a process that ends with the fleet at the latest."""
        return self._keep(
            processes.start(
                name, *arguments, WIGEONFALL_OPERATORS_KEY=OPERATORS_KEY
            )
        )

    def _keep(self, started: processes.Process) -> processes.Process:
        self._stack.callback(_end, started)
        return started

    def start_target(self, module: str, plan: TargetPlan) -> RunningTarget:
        """Start a target that registers itself with the platform."""
        options = {
            'name': plan.name,
            'service': plan.service,
            'data-center': plan.data_center,
            'platform': self.platform_address,
            **plan.options,
        }
        process = self.start_process(plan.name, module, *_options(options))
        target = RunningTarget(plan, process, process.address())
        self.targets[plan.name] = target
        return target

    def restart_instance(self, name: str) -> RunningInstance:
        """Start an instance again after its process has ended."""
        instance = self.instances[name]
        instance.process = self._start_instance(name, instance.settings_file)
        self.wait_until_ready(instance)
        return instance

    def wait_until_ready(self, instance: RunningInstance) -> None:
        """Wait until an instance takes calls."""
        url = f'http://{instance.operators_address}/ready'
        processes.wait_until_answers(url, START_TIMEOUT_S)

    def call(
        self,
        instance: str,
        method: str,
        path: str,
        key: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 60.0,
    ) -> urllib3.BaseHTTPResponse:
        """Send a call of a caller through an instance."""
        address = self.instances[instance].callers_address
        return urllib3.request(
            method,
            f'http://{address}{path}',
            json=body,
            headers={
                'Authorization': f'Bearer {key}',
                'Connection': 'close',
                **(headers or {}),
            },
            timeout=timeout_s,
            retries=False,
        )

    def show(self, instance: str, path: str) -> Any:
        """Return what an instance's operators' port shows at a path."""
        address = self.instances[instance].operators_address
        headers = {'Authorization': f'Bearer {OPERATORS_KEY}'}
        return urllib3.request(
            'GET',
            f'http://{address}{path}',
            headers=headers,
            timeout=10.0,
            retries=False,
        ).json()

    def _start(self) -> None:
        platform = self.start_process(
            'platform',
            'tests.fakes.platform',
            *_options(self.plan.platform_options),
        )
        self.platform_address = platform.address()
        for plan in self.plan.engines:
            self.start_target('tests.fakes.engine', plan)
        for plan in self.plan.services:
            self.start_target('tests.fakes.plain_service', plan)
        self._place_instances()
        for instance in self.instances.values():
            self.wait_until_ready(instance)

    def _place_instances(self) -> None:
        source = EXAMPLES / self.plan.example
        shutil.copytree(source, self.directory, dirs_exist_ok=True)
        _change(self.directory / 'base.ini', self.plan.base)
        placed = [
            (data_center, name)
            for data_center, names in self.plan.instances.items()
            for name in names
        ]
        ports = iter(free_ports(3 * len(placed)))
        addresses = {
            name: tuple(f'{HOST}:{next(ports)}' for _ in range(3))
            for _, name in placed
        }
        seeds = ', '.join(peers for _, _, peers in addresses.values())
        for data_center, name in placed:
            self._place_instance(name, data_center, addresses[name], seeds)

    def _place_instance(
        self,
        name: str,
        data_center: str,
        addresses: tuple[str, ...],
        seeds: str,
    ) -> None:
        link = TcpProxy(self.platform_address)
        self._stack.callback(link.close)
        settings = configparser.ConfigParser(interpolation=None)
        settings.read_dict(
            {
                'instance': {'name': name, 'data_center': data_center},
                'listen': dict(
                    zip(
                        (
                            'callers_address',
                            'operators_address',
                            'peers_address',
                        ),
                        addresses,
                        strict=True,
                    )
                ),
                'platform': {'address': link.address},
                'peers': {'addresses': seeds},
                'configuration': {
                    'base_file': 'base.ini',
                    'overlay_file': f'{data_center}.ini',
                },
                'stop': {'settle_s': '0.2', 'quiet_s': '0.2'},
            }
        )
        for section, values in self.plan.settings.items():
            settings.read_dict({section: values})
        path = self.directory / f'{name}.instance.ini'
        with path.open('w') as file:
            settings.write(file)
        process = self._start_instance(name, path)
        self.instances[name] = RunningInstance(
            name, data_center, path, *addresses, link, process
        )
        self._register(name, data_center, addresses[2])

    def _start_instance(
        self, name: str, path: pathlib.Path
    ) -> processes.Process:
        arguments = ('serve', '--settings', str(path))
        binary = self.plan.binary
        if binary is None:
            return self.start_process(name, 'wigeonfall', *arguments)
        return self._keep(
            processes.start_binary(
                name,
                binary,
                *arguments,
                SHIV_ROOT=str(self.directory / 'unpacked'),
                WIGEONFALL_OPERATORS_KEY=OPERATORS_KEY,
            )
        )

    def _register(self, name: str, data_center: str, address: str) -> None:
        entry = {
            'name': name,
            'dataCenter': data_center,
            'peersAddress': address,
            'incarnation': 0,
            'state': 'ready',
        }
        urllib3.request(
            'POST',
            f'http://{self.platform_address}/live/instances',
            json=entry,
            retries=False,
        )


def _change(path: pathlib.Path, changes: dict[str, dict[str, str]]) -> None:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(path)
    for section, values in changes.items():
        parser.read_dict({section: values})
    with path.open('w') as file:
        parser.write(file)


def _options(values: dict[str, Any]) -> list[str]:
    options = []
    for name, value in values.items():
        option = '--' + name.replace('_', '-')
        if value is True:
            options.append(option)
        elif value is not False:
            options.extend((option, str(value)))
    return options


def _end(process: processes.Process) -> None:
    if process.running():
        process.resume()
        process.kill()
