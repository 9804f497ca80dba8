"""Chooses the route, the service and the customer of a call."""

from collections.abc import Mapping
import math

import attrs
import xxhash

from ..model.routing import KeyHolder
from ..model.routing import Route
from ..model.routing import RoutingTable


@attrs.frozen
class HostRoutes:
    """The routes of one host.

    Attributes:
        by_prefix: routes by their path prefixes.
        lengths: lengths of these prefixes, longest first.
    """

    by_prefix: Mapping[str, Route]
    lengths: tuple[int, ...]


@attrs.frozen
class RoutingIndex:
    """A routing table indexed for look-ups.

    Attributes:
        table: the table.
        by_host: routes of each host.
        by_key: customer of each key.
        by_name: customers by their names.
    """

    table: RoutingTable
    by_host: Mapping[str, HostRoutes]
    by_key: Mapping[str, KeyHolder]
    by_name: Mapping[str, KeyHolder]


def make_index(table: RoutingTable) -> RoutingIndex:
    """Return an index of a table."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in table.routes:
        # Of routes with the same prefix, the first is in force.
        by_host.setdefault(route.host, {}).setdefault(route.path_prefix, route)
    return RoutingIndex(
        table,
        {
            host: HostRoutes(
                by_prefix,
                tuple(sorted(set(map(len, by_prefix)), reverse=True)),
            )
            for host, by_prefix in by_host.items()
        },
        {key: c for c in table.customers for key in c.keys},
        {c.name: c for c in table.customers},
    )


def find_route(index: RoutingIndex, host: str, target: str) -> Route | None:
    """Return the route with the longest prefix that matches a path.

    The time it takes depends on how many lengths the prefixes have, not on
    the number of routes.

    Args:
        index: index of the routing table in force.
        host: Host header of the call.
        target: request target: the path with its query.

    Returns:
        The route, or None if none matches.
    """
    name = host.rsplit(':', 1)[0].lower()
    path = target.partition('?')[0]
    routes = index.by_host.get(name)
    if routes is None:
        return None
    for length in routes.lengths:
        route = routes.by_prefix.get(path[:length])
        if route is not None:
            return route
    return None


def choose_service(route: Route, request_id: str) -> str:
    """Return the service for a request, by the weights of its route.

    The choice depends on the identifier only, so that all instances choose
    alike. It is weighted rendezvous hashing: a change of one weight does not
    change the scores of the other services.
    """
    if len(route.services) == 1:
        return route.services[0].service
    best = ''
    best_score = -math.inf
    for item in route.services:
        if item.weight <= 0:
            continue
        digest = xxhash.xxh64_intdigest(
            f'{item.service}/{request_id}'.encode()
        )
        score = item.weight / -math.log((digest + 1) / (2**64 + 1))
        if score > best_score:
            best, best_score = item.service, score
    return best
