"""Customers and their rate limits."""

import attrs


@attrs.frozen
class Customer:
    """A customer whose callers present one API key.

    Attributes:
        name: the customer's name in the configuration.
        key_sha256: hexadecimal SHA-256 digest of the API key.
        tier: name of the highest tier that the customer may request.
        rate_requests_per_s: sustained request rate over all instances.
        burst_requests: number of requests that may exceed the rate at once.
        weight: share relative to other customers of the same tier.
    """

    name: str
    key_sha256: str
    tier: str
    rate_requests_per_s: float
    burst_requests: float
    weight: float = 1.0
