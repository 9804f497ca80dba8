"""Services: named groups of interchangeable targets."""

import enum

import attrs


class ServiceKind(enum.Enum):
    """Protocol of the targets of a service."""

    MODEL = 'model'
    PLAIN = 'plain'


@attrs.frozen
class Service:
    """A group of targets that can run the same requests.

    Attributes:
        name: name of the service, as in the live list.
        kind: protocol of its targets.
        models: names of the models that callers may request.
        outstanding_requests: maximum number of requests in progress at one
            target.
        outstanding_tokens: maximum number of tokens in progress at one
            target.
        deadline_s: time limit for a complete answer if the caller sets none.
        first_byte_timeout_s: time limit for the head of the answer to an
            attempt.
        between_bytes_timeout_s: time limit for each read of the body.
        connect_timeout_s: time limit for connecting to a target.
        queued_requests: maximum number of requests queued at one instance.
        relay_interval_s: minimum time between two reads of a stream, so
            that tokens of a fast engine are forwarded in batches.
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
