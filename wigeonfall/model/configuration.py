"""The configuration that operators apply to the whole fleet."""

import attrs

from .customer import Customer
from .service import Service
from .tier import Tier


@attrs.frozen
class Configuration:
    """The checked configuration that one data centre runs with.

    Attributes:
        version: number that grows with each accepted change; 0 is the
            configuration that a process started with.
        tiers: all tiers, highest first.
        customers: all customers.
        services: all services.
    """

    version: int
    tiers: tuple[Tier, ...]
    customers: tuple[Customer, ...]
    services: tuple[Service, ...]

    def tier(self, name: str) -> Tier | None:
        """Return the tier of this name, or None."""
        return next((t for t in self.tiers if t.name == name), None)

    def customer_by_key(self, key_sha256: str) -> Customer | None:
        """Return the customer whose key has this digest, or None."""
        matches = (c for c in self.customers if c.key_sha256 == key_sha256)
        return next(matches, None)

    def service(self, name: str) -> Service | None:
        """Return the service of this name, or None."""
        return next((s for s in self.services if s.name == name), None)

    def service_for_model(self, model: str) -> Service | None:
        """Return the service that serves a model, or None."""
        return next((s for s in self.services if model in s.models), None)
