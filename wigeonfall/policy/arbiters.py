"""Chooses the instance that places the requests of all instances.

Load pattern: dozens to hundreds of instances share the few slots of each
target. Each knows only a small part of the load, and exchanging everything
between all of them costs more than serving. So one instance, the arbiter,
places the requests of all others, and a few instances (hubs) are ready to take
over. A small number of instances needs no arbiter, as each hears all others.
"""

from collections.abc import Iterable

import attrs

MESH_MAX_INSTANCES = 16  # full mesh up to here, as messages grow quadratically
MIN_HUB_COUNT = 4  # and one for each data centre
MIN_AGE_S = 2.0  # several heartbeats; an instance knows its peers then


@attrs.frozen
class Candidate:
    """An instance that may be the arbiter.

    Attributes:
        name: name of the instance.
        address: "host:port" of its datagrams.
        data_center: its data centre.
        capacity: number of processors that it may use.
        age_s: time since its start.
        leaving: whether it is shutting down.
    """

    name: str
    address: str
    data_center: str
    capacity: float
    age_s: float
    leaving: bool = False


def choose_hubs(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the hubs in order of preference; the first is the arbiter.

    The instances with the most capacity of each data centre come first, so
    that each data centre that is cut off has a hub of its own. All instances
    that hear the hubs choose the same ones.
    """
    counts: dict[str, int] = {}
    ordered = []
    for candidate in sorted(candidates, key=_preference):
        position = counts.get(candidate.data_center, 0)
        counts[candidate.data_center] = position + 1
        ordered.append((position, candidate))
    ordered.sort(key=lambda item: (_unsuitable(item[1]), item[0]))
    hub_count = max(MIN_HUB_COUNT, len(counts))
    return [candidate for _, candidate in ordered[:hub_count]]


def _unsuitable(candidate: Candidate) -> bool:
    return candidate.leaving or candidate.age_s < MIN_AGE_S


def _preference(candidate: Candidate) -> tuple[bool, float, str]:
    return _unsuitable(candidate), -candidate.capacity, candidate.name
