"""Targets: the back ends that run requests."""

import enum

import attrs


class TargetState(enum.Enum):
    """What the live list or the target itself says of a target."""

    READY = 'ready'
    LEAVING = 'leaving'


@attrs.frozen
class Target:
    """One back end process.

    Attributes:
        name: unique name of the target.
        service: name of the service that it belongs to.
        data_center: name of the data centre that it stands in.
        address: "host:port" by IP number.
        incarnation: number that grows with each start at this name.
        version: version of the model or program that it serves.
        state: last known state.
        slots: requests that it runs at once, 0 if unknown.
    """

    name: str
    service: str
    data_center: str
    address: str
    incarnation: int = 0
    version: str = ''
    state: TargetState = TargetState.READY
    slots: int = 0
