"""The configuration that operators apply to all instances."""

import functools

import attrs

from .customer import Customer
from .service import Service
from .tier import Tier


@attrs.frozen
class Configuration:
    """The validated configuration of one data centre.

    Attributes:
        version: number that increases with each accepted change; 0 is the
            configuration that a process started with.
        tiers: all tiers, highest first.
        customers: all customers.
        services: all services.
    """

    version: int
    tiers: tuple[Tier, ...]
    customers: tuple[Customer, ...]
    services: tuple[Service, ...]

    @functools.cached_property
    def _tiers_by_name(self) -> dict[str, Tier]:
        return {tier.name: tier for tier in self.tiers}

    @functools.cached_property
    def _customers_by_key(self) -> dict[str, Customer]:
        return {item.key_sha256: item for item in self.customers}

    @functools.cached_property
    def _services_by_name(self) -> dict[str, Service]:
        return {service.name: service for service in self.services}

    @functools.cached_property
    def _services_by_model(self) -> dict[str, Service]:
        return {
            model: service
            for service in self.services
            for model in service.models
        }

    def tier(self, name: str) -> Tier | None:
        """Return the tier of this name, or None."""
        return self._tiers_by_name.get(name)

    def customer_by_key(self, key_sha256: str) -> Customer | None:
        """Return the customer whose key has this SHA-256 digest, or None."""
        return self._customers_by_key.get(key_sha256)

    def service(self, name: str) -> Service | None:
        """Return the service of this name, or None."""
        return self._services_by_name.get(name)

    def service_for_model(self, model: str) -> Service | None:
        """Return the service that serves a model, or None."""
        return self._services_by_model.get(model)
