"""Settings of one process, and the configuration that it starts with."""

from collections.abc import Mapping
import os
import pathlib
import re
from typing import Any, TypeVar

import attrs
from result import Err
from result import Ok
from result import Result

from . import configuration_file
from . import ini
from .model.configuration import Configuration

_ADDRESS = re.compile(r'^\[?[0-9a-fA-F.:]+\]?:[0-9]{1,5}$')
_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
_SECRET_PREFIX = 'WIGEONFALL_'

_Settings = TypeVar('_Settings', bound=attrs.AttrsInstance)

_MOST_WAIT_S = 86_400
_MOST_BODY_BYTES = 1 << 30


@attrs.frozen
class InstanceSettings:
    """Who this process is."""

    name: str
    data_center: str


@attrs.frozen
class ListenSettings:
    """Addresses that this process serves, each "host:port"."""

    callers_address: str
    operators_address: str
    peers_address: str


@attrs.frozen
class PlatformSettings:
    """Where the platform's object API is."""

    address: str


@attrs.frozen
class PeersSettings:
    """Addresses at which other instances are first looked for."""

    addresses: tuple[str, ...] = ()


@attrs.frozen
class ConfigurationSettings:
    """Files of the configuration that a process starts with."""

    base_file: str
    overlay_file: str = ''


@attrs.frozen
class LimitsSettings:
    """What one process takes from its callers."""

    body_limit_bytes: int = 8 << 20
    header_limit_bytes: int = 32 << 10
    callers_threads: int = 256
    connections: int = 1000
    memory_mb: float = 1024.0


@attrs.frozen
class StopSettings:
    """Times of a planned stop.

    Attributes:
        settle_s: time that the balancer gets to see the instance unready.
        quiet_s: time without a new request after which listening ends.
    """

    settle_s: float = 3.0
    quiet_s: float = 1.0


@attrs.frozen
class LogSettings:
    """What goes to standard output."""

    level: str = 'INFO'


@attrs.frozen
class TlsSettings:
    """Certificates, keys and authorities; plain text where there is none."""

    callers_certificate_file: str = ''
    callers_key_file: str = ''
    peers_certificate_file: str = ''
    peers_key_file: str = ''
    peers_authority_file: str = ''
    operators_certificate_file: str = ''
    operators_key_file: str = ''
    operators_authority_file: str = ''
    platform_authority_file: str = ''


@attrs.frozen
class SecretsSettings:
    """Files that hold secrets; the environment goes before them."""

    operators_key_file: str = ''


@attrs.frozen
class ProcessSettings:
    """The settings of one process."""

    instance: InstanceSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeersSettings
    configuration: ConfigurationSettings
    limits: LimitsSettings
    stop: StopSettings
    log: LogSettings
    tls: TlsSettings
    secrets: SecretsSettings


def check_address(value: str) -> str:
    """Return what is wrong with an address, or ''."""
    if _ADDRESS.match(value):
        return ''
    return 'must be an IP number and a port, such as 10.0.0.1:8080'


def check_addresses(values: tuple[str, ...]) -> str:
    """Return what is wrong with the first bad address, or ''."""
    return next((m for m in map(check_address, values) if m), '')


def check_level(value: str) -> str:
    """Return what is wrong with a log level, or ''."""
    return '' if value in _LEVELS else 'must be one of ' + ', '.join(_LEVELS)


_PROCESS_CHECKS: Mapping[str, ini.Check] = {
    'name': configuration_file.check_name,
    'data_center': configuration_file.check_name,
    'callers_address': check_address,
    'operators_address': check_address,
    'peers_address': check_address,
    'address': check_address,
    'addresses': check_addresses,
    'body_limit_bytes': ini.in_range(1, _MOST_BODY_BYTES),
    'header_limit_bytes': ini.in_range(1024, 1 << 20),
    'callers_threads': ini.in_range(1, 10_000),
    'connections': ini.in_range(1, 100_000),
    'memory_mb': ini.in_range(64, 1_000_000),
    'settle_s': ini.in_range(0, _MOST_WAIT_S),
    'quiet_s': ini.in_range(0, _MOST_WAIT_S),
    'level': check_level,
}


def read_process_settings(
    path: pathlib.Path,
) -> Result[ProcessSettings, ini.Faults]:
    """Read the settings of one process.

    Args:
        path: INI file; files that it names are relative to its directory.

    Returns:
        The settings, or all faults of the file.
    """
    read = read_sections(path, ProcessSettings, _PROCESS_CHECKS)
    return read.map(lambda settings: _resolve_all(settings, path.parent))


def read_sections(
    path: pathlib.Path, cls: type[_Settings], checks: Mapping[str, ini.Check]
) -> Result[_Settings, ini.Faults]:
    """Read a file with one section for each field of a class.

    Args:
        path: INI file.
        cls: attrs class whose fields are attrs classes.
        checks: checks of options by their names.

    Returns:
        The settings, or all faults of the file.
    """
    loaded = ini.load(path).and_then(ini.parse)
    if isinstance(loaded, Err):
        return loaded
    document = loaded.ok_value
    fields = attrs.fields_dict(cls)
    faults = [
        section.fault('unknown section')
        for name, section in document.items()
        if name not in fields
    ]
    values = {}
    for name, field in fields.items():
        section = document.get(name, ini.Section(name, str(path), 0, {}))
        section_cls: type[Any] = field.type  # type: ignore[assignment]
        outcome = ini.read_section(section, section_cls, checks)
        if isinstance(outcome, Ok):
            values[name] = outcome.ok_value
        else:
            faults.extend(outcome.err_value)
    if faults:
        return Err(tuple(faults))
    return Ok(cls(**values))


def read_secret(name: str, file: str) -> str:
    """Return a secret from the environment or a file.

    Args:
        name: name of the secret; "operators_key" is looked for in
            WIGEONFALL_OPERATORS_KEY.
        file: file that holds the secret, or ''.

    Returns:
        The secret, or '' if neither holds one.

    Raises:
        OSError: the file cannot be read.
    """
    value = os.environ.get(_SECRET_PREFIX + name.upper(), '')
    if value or not file:
        return value
    return pathlib.Path(file).read_text('utf-8').strip()


def read_configuration(
    base_path: pathlib.Path,
    overlay_path: pathlib.Path | None,
    data_center: str,
) -> Result[Configuration, ini.Faults]:
    """Read the configuration files that a process starts with.

    Args:
        base_path: file that holds for all data centres.
        overlay_path: file of one data centre, or None.
        data_center: data centre that the configuration is for.

    Returns:
        The configuration with version 0, or all faults.
    """
    base = ini.load(base_path)
    if isinstance(base, Err):
        return base
    overlay = None
    if overlay_path is not None:
        loaded = ini.load(overlay_path)
        if isinstance(loaded, Err):
            return loaded
        overlay = loaded.ok_value
    return configuration_file.parse(base.ok_value, overlay, data_center, 0)


def _resolve_all(
    settings: ProcessSettings, directory: pathlib.Path
) -> ProcessSettings:
    names = attrs.fields_dict(ProcessSettings)
    return ProcessSettings(
        **{
            name: _resolve_files(getattr(settings, name), directory)
            for name in names
        }
    )


def _resolve_files(value: Any, directory: pathlib.Path) -> Any:
    names = [
        field.name
        for field in attrs.fields(type(value))
        if field.name.endswith('_file') and getattr(value, field.name)
    ]
    paths = {name: str(directory / getattr(value, name)) for name in names}
    return attrs.evolve(value, **paths)
