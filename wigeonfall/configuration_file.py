"""Configuration files: a base text, with one overlay per data centre."""

from collections.abc import Mapping
import re

import attrs
from result import Err
from result import Ok
from result import Result

from . import ini
from .model.configuration import Configuration
from .model.customer import Customer
from .model.service import Service
from .model.tier import Tier

Outcome = Result[Configuration, ini.Faults]

_NAME = re.compile(r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$')
_KEY_SHA256 = re.compile(r'^[0-9a-f]{64}$')

_MOST_REQUESTS = 1_000_000
_MOST_TOKENS = 1_000_000_000
_MOST_WAIT_S = 86_400


def check_name(value: str) -> str:
    """Return what is wrong with a name, or ''."""
    if _NAME.match(value):
        return ''
    return 'must be letters, digits, dots, dashes and underscores'


def _check_key_sha256(value: str) -> str:
    if _KEY_SHA256.match(value):
        return ''
    return 'must be 64 hexadecimal digits in lower case'


_SERVICE_CHECKS: Mapping[str, ini.Check] = {
    'outstanding_requests': ini.in_range(1, _MOST_REQUESTS),
    'outstanding_tokens': ini.in_range(1, _MOST_TOKENS),
    'deadline_s': ini.in_range(0.001, _MOST_WAIT_S),
    'first_byte_timeout_s': ini.in_range(0.001, _MOST_WAIT_S),
    'between_bytes_timeout_s': ini.in_range(0.001, _MOST_WAIT_S),
    'connect_timeout_s': ini.in_range(0.001, _MOST_WAIT_S),
    'queued_requests': ini.in_range(0, _MOST_REQUESTS),
}

_CUSTOMER_CHECKS: Mapping[str, ini.Check] = {
    'key_sha256': _check_key_sha256,
    'rate_requests_per_s': ini.in_range(0.001, _MOST_REQUESTS),
    'burst_requests': ini.in_range(1, _MOST_REQUESTS),
    'weight': ini.in_range(0.001, 1000),
}

_TIER_CHECKS: Mapping[str, ini.Check] = {'rank': ini.in_range(0, 1000)}


@attrs.frozen
class _Site:
    data_center: str


def parse(
    base: ini.Source,
    overlay: ini.Source | None,
    data_center: str,
    version: int,
) -> Outcome:
    """Check the configuration of one data centre as a whole.

    Args:
        base: text that holds for all data centres.
        overlay: text of one data centre, or None.
        data_center: data centre that the configuration is for.
        version: version to give it.

    Returns:
        The configuration, or all faults.
    """
    parsed = ini.parse(base)
    if isinstance(parsed, Err):
        return parsed
    document = parsed.ok_value
    faults: list[ini.Fault] = _misplaced(document, 'site')
    if overlay is not None:
        above = ini.parse(overlay)
        if isinstance(above, Err):
            return above
        # Tiers are compared between sites, so they must be alike at all.
        faults += _misplaced(above.ok_value, 'tier')
        document = ini.overlay(document, above.ok_value)
    reader = _ConfigurationReader(document, data_center)
    configuration = reader.read(version)
    faults += reader.faults
    if faults:
        return Err(tuple(faults))
    return Ok(configuration)


class _ConfigurationReader:
    """The sections of a configuration and the faults found in them."""

    def __init__(self, document: ini.Document, data_center: str) -> None:
        self.faults: list[ini.Fault] = []
        self._document = document
        self._data_center = data_center
        self._tiers: dict[str, Tier] = {}
        self._customers: dict[str, Customer] = {}
        self._services: dict[str, Service] = {}

    def read(self, version: int) -> Configuration:
        """Return what could be read; see the faults before using it."""
        for title, section in self._document.items():
            self._read_section(title.split(), section)
        if not self._tiers:
            self.faults.append(ini.Fault('', 0, '', '', 'there is no tier'))
        self._check_tiers()
        self._check_customers()
        self._check_services()
        tiers = sorted(self._tiers.values(), key=lambda tier: tier.rank)
        return Configuration(
            version,
            tuple(tiers),
            tuple(self._customers.values()),
            tuple(self._services.values()),
        )

    def _read_section(self, title: list[str], section: ini.Section) -> None:
        match title:
            case ['site']:
                self._read_site(section)
            case [_, name] if check_name(name):
                self.faults.append(section.fault(check_name(name)))
            case ['tier', name]:
                self._keep(section, Tier, _TIER_CHECKS, self._tiers, name)
            case ['customer', name]:
                self._keep(
                    section, Customer, _CUSTOMER_CHECKS, self._customers, name
                )
            case ['service', name]:
                self._keep(
                    section, Service, _SERVICE_CHECKS, self._services, name
                )
            case _:
                self.faults.append(section.fault('unknown section'))

    def _keep(
        self,
        section: ini.Section,
        cls: type[ini.Value],
        checks: Mapping[str, ini.Check],
        kept: dict[str, ini.Value],
        name: str,
    ) -> None:
        outcome = ini.read_section(section, cls, checks, name=name)
        if isinstance(outcome, Ok):
            kept[name] = outcome.ok_value
        else:
            self.faults.extend(outcome.err_value)

    def _read_site(self, section: ini.Section) -> None:
        outcome = ini.read_section(
            section, _Site, {'data_center': self._check_site}
        )
        if isinstance(outcome, Err):
            self.faults.extend(outcome.err_value)

    def _check_site(self, value: str) -> str:
        if value == self._data_center:
            return ''
        return f'is the overlay of {value}, not of {self._data_center}'

    def _fault(self, kind: str, name: str, option: str, message: str) -> None:
        section = self._document[f'{kind} {name}']
        self.faults.append(section.fault(message, option))

    def _check_tiers(self) -> None:
        ranks: dict[int, str] = {}
        for tier in self._tiers.values():
            other = ranks.setdefault(tier.rank, tier.name)
            if other != tier.name:
                message = f'is the rank of tier {other} too'
                self._fault('tier', tier.name, 'rank', message)

    def _check_customers(self) -> None:
        keys: dict[str, str] = {}
        for customer in self._customers.values():
            name = customer.name
            if f'tier {customer.tier}' not in self._document:
                message = f'there is no tier {customer.tier}'
                self._fault('customer', name, 'tier', message)
            other = keys.setdefault(customer.key_sha256, name)
            if other != name:
                message = f'is the key of customer {other} too'
                self._fault('customer', name, 'key_sha256', message)

    def _check_services(self) -> None:
        models: dict[str, str] = {}
        for service in self._services.values():
            for model in service.models:
                other = models.setdefault(model, service.name)
                if other != service.name:
                    message = f'{model} is a model of service {other} too'
                    self._fault('service', service.name, 'models', message)


def _misplaced(document: ini.Document, kind: str) -> list[ini.Fault]:
    return [
        section.fault('may not stand in this file')
        for title, section in document.items()
        if title.split()[0] == kind
    ]
