"""Services: named groups of like targets that requests are sent to."""

import enum

import attrs


class ServiceKind(enum.Enum):
    """How the targets of a service are spoken to."""

    MODEL = 'model'
    PLAIN = 'plain'


@attrs.frozen
class Service:
    """A group of targets that can answer the same requests.

    Attributes:
        name: the name of the service, as in the live list.
        kind: the protocol of its targets.
        models: names of the models that callers may ask for.
        outstanding_requests: most requests in progress at one target.
        outstanding_tokens: most tokens in progress at one target.
        deadline_s: time for a whole answer if the caller gives none.
        first_byte_timeout_s: silence after which an attempt is given up.
        between_bytes_timeout_s: silence inside an answer that ends it.
        connect_timeout_s: time for a connection to a target.
        queued_requests: most requests waiting at one instance.
        relay_interval_s: shortest time between two reads of a stream, so
            that tokens of a fast engine are passed on together.
    """

    name: str
    kind: ServiceKind
    models: tuple[str, ...] = ()
    outstanding_requests: int = 16
    outstanding_tokens: int = 60_000
    deadline_s: float = 60.0
    first_byte_timeout_s: float = 10.0
    between_bytes_timeout_s: float = 3.0
    connect_timeout_s: float = 1.0
    queued_requests: int = 1000
    relay_interval_s: float = 0.04
