"""Which instance places the requests of all, once there are many instances.

Load pattern: dozens of instances share the few places of each target. Each
knows a small part of the load, and telling all of them everything costs more
than serving. So one instance, the arbiter, places what all others ask for, and
a few stand ready to take over. A small number of instances needs none: each
hears all others.
"""

from collections.abc import Iterable

import attrs

MESH_MAX_INSTANCES = (
    16  # instances that tell each other all; messages grow squared
)
HUB_COUNT = 4  # one for each data centre of the largest published sites
SETTLE_S = 2.0  # several heartbeats, after which an instance knows its peers


@attrs.frozen
class Candidate:
    """An instance that may be the arbiter.

    Attributes:
        name: name of the instance.
        address: "host:port" of its datagrams.
        data_center: where it stands.
        capacity: processors that it may use.
        age_s: time since its start.
        leaving: whether it stops.
    """

    name: str
    address: str
    data_center: str
    capacity: float
    age_s: float
    leaving: bool = False


def choose_hubs(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the arbiter and those that stand ready, in order.

    The strongest of each data centre come first, so that one that is cut off
    has its own. All instances that hear these choose the same.
    """
    places: dict[str, int] = {}
    ordered = []
    for candidate in sorted(candidates, key=_strength):
        place = places.get(candidate.data_center, 0)
        places[candidate.data_center] = place + 1
        ordered.append((place, candidate))
    ordered.sort(key=lambda item: (_new(item[1]), item[0]))
    return [candidate for _, candidate in ordered[:HUB_COUNT]]


def _new(candidate: Candidate) -> bool:
    return candidate.leaving or candidate.age_s < SETTLE_S


def _strength(candidate: Candidate) -> tuple[bool, float, str]:
    return _new(candidate), -candidate.capacity, candidate.name
