"""Entry instances: the processes of wigeonfall that serve callers."""

import attrs


@attrs.frozen
class Instance:
    """One entry instance.

    Attributes:
        name: unique name of the instance.
        data_center: name of the data centre that it runs in.
        peers_address: "host:port" on which it serves its peers.
        incarnation: start time in milliseconds, which distinguishes an
            instance from its predecessor of the same name.
    """

    name: str
    data_center: str
    peers_address: str
    incarnation: int = 0
