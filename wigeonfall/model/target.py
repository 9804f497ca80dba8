"""Targets: the back ends that run requests."""

import enum

import attrs


class TargetState(enum.Enum):
    """State of a target, as the live list or the target reports it."""

    READY = 'ready'
    LEAVING = 'leaving'


@attrs.frozen
class Target:
    """One back-end process.

    Attributes:
        name: unique name of the target.
        service: name of the service that it belongs to.
        data_center: name of the data centre that it runs in.
        address: "host:port" with an IP address.
        incarnation: number that increases with each start under this name.
        version: version of the model or program that it serves.
        state: last known state.
        slots: number of requests that it can run concurrently, 0 if unknown.
        cold_s: time for which it stays cold as of its entry, None if the
            entry does not tell.
        entry_version: version of its entry in the store.
    """

    name: str
    service: str
    data_center: str
    address: str
    incarnation: int = 0
    version: str = ''
    state: TargetState = TargetState.READY
    slots: int = 0
    # These change with time and make it no other target.
    cold_s: float | None = attrs.field(default=None, eq=False)
    entry_version: int = attrs.field(default=0, eq=False)
