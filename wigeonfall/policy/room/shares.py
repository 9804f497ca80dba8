"""Shares of a target's limits while instances lack a common arbiter."""

import attrs

from ...model.service import Service
from .grants import PoolLimits

LOCAL_FRACTION = 0.5


def pool_limits(service: Service, instances: int) -> PoolLimits:
    """Return the limits of a service's pool.

    Args:
        service: the service, as configured.
        instances: number of instances whose queues are combined.
    """
    return PoolLimits(
        service.outstanding_requests,
        service.outstanding_tokens,
        service.queued_requests * max(1, instances),
    )


def scaled(limits: PoolLimits, fraction: float) -> PoolLimits:
    """Return the limits at each target times a fraction, at least 1."""
    return attrs.evolve(
        limits,
        outstanding_requests=max(
            1, int(limits.outstanding_requests * fraction)
        ),
        outstanding_tokens=max(1, int(limits.outstanding_tokens * fraction)),
    )


def local_share(limits: PoolLimits, instances: int) -> PoolLimits:
    """Return the limits for an instance that has no arbiter.

    Args:
        limits: limits of the pool.
        instances: number of instances that may be serving.
    """
    return scaled(limits, LOCAL_FRACTION / max(1, instances))


def connected_share(
    limits: PoolLimits, connected: int, missing: int
) -> PoolLimits:
    """Return the limits for an arbiter that lacks some instances.

    Args:
        limits: limits of the pool.
        connected: number of instances connected to the arbiter.
        missing: number of instances that may use another arbiter or none.
    """
    total = connected + missing
    if not missing or not total:
        return limits
    return scaled(limits, connected / total)
