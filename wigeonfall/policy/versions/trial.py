"""An order to move a service to a new version, and how far it has come."""

import enum

import attrs

from .move_time import Durations
from .version_failures import FailureTest
from .version_failures import Finding


class State(enum.Enum):
    """State of the move of a service."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'taken-back'


@attrs.frozen
class Order:
    """An order to move a service to a version.

    Attributes:
        name: name of its entry in the store.
        service: name of the service.
        version: the new version.
        duration_s: time in which the move has to be completed.
        state: state that is stored.
    """

    name: str
    service: str
    version: str
    duration_s: float
    state: State


@attrs.define
class Trial:
    """An order as this instance carries it out.

    Attributes:
        order: the order.
        seen_s: when it was first seen, on the monotonic clock.
        verdict: decision of this instance.
        moving: whether all requests go to the new version.
        moved_early: whether they moved before the bound on exposure allows
            it, as requests at old targets last long.
        failures: compares the failures of the versions.
        finding: the part of the requests that is worse, None if none is.
        parts: parts of the requests whose answers are counted.
        old_durations: how long requests took at old targets.
    """

    order: Order
    seen_s: float
    failures: FailureTest
    verdict: State = State.RUNNING
    moving: bool = False
    moved_early: bool = False
    finding: Finding | None = None
    parts: set[str] = attrs.field(factory=set)
    old_durations: Durations = attrs.field(factory=Durations)
