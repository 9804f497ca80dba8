"""Entry instances: the processes of wigeonfall itself."""

import attrs


@attrs.frozen
class Instance:
    """One entry instance.

    Attributes:
        name: unique name of the instance.
        data_center: name of the data centre that it stands in.
        peers_address: "host:port" on which it serves other instances.
        incarnation: start time in milliseconds, which tells a replaced
            instance from an old one of the same name.
    """

    name: str
    data_center: str
    peers_address: str
    incarnation: int = 0
