"""Manifests of the cases."""

from typing import Any

LIMITS = {
    'MaxHeaderBytes': 16384,
    'MaxBodyBytes': 4194304,
    'HeaderTimeoutMs': 3000,
    'IdleTimeoutMs': 15000,
}


def manifest(service: str, route: dict[str, Any]) -> dict[str, Any]:
    """Return a manifest with one service and one route to it.

    Args:
        service: name of the service.
        route: fields of the route that differ from the usual ones.
    """
    usual = {
        'Name': 'r-1',
        'Host': 'ficu95.example',
        'Kind': 'streaming',
        'TimeoutMs': 15000,
        'TargetLatencyMs': 800,
        'GapAimMs': 200,
        'Priority': 0,
        'Service': service,
        'MaxAttempts': 1,
        'AllowAnonymous': True,
        'StickySessions': True,
        'ResumeStreams': False,
    }
    return {
        'Version': 7,
        'Routes': [usual | route],
        'Services': [
            {
                'Name': service,
                'HealthPath': '/healthz',
                'MaxConnections': 630,
            }
        ],
        'Limits': LIMITS,
        'Tenants': [],
    }
