"""Routes: which service answers a call, and what a repeat of it may do."""

import enum

import attrs


class Repeat(enum.Enum):
    """What may be done again after a failure that may have run."""

    SAFE = 'safe'
    ONCE = 'once'
    STREAM = 'stream'


@attrs.frozen
class ServiceWeight:
    """One of the services that a route sends to.

    Attributes:
        service: name of the service.
        weight: share against the other services of the route.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """A rule that sends calls of one host and path prefix to services.

    Attributes:
        name: name of the route.
        host: host that callers name, in lower case, without a port.
        path_prefix: prefix of the path; begins and ends with a slash.
        repeat: what may run more than once.
        resumable: whether a stream may go on at another target.
        timeout_s: longest time that a caller is kept waiting.
        answer_goal_s: time to the whole answer, or a stream's first event.
        pace_goal_s: longest pause between two events of a stream.
        rank: urgency; 0 goes first.
        services: services that the route sends to.
        attempts_limit: most targets that may run one request.
        anonymous: whether calls need no key.
    """

    name: str
    host: str
    path_prefix: str
    repeat: Repeat
    resumable: bool
    timeout_s: float
    answer_goal_s: float
    pace_goal_s: float
    rank: int
    services: tuple[ServiceWeight, ...]
    attempts_limit: int
    anonymous: bool

    @property
    def repeatable(self) -> bool:
        """Whether a run in doubt may be followed by another run."""
        return self.repeat is Repeat.SAFE or (
            self.repeat is Repeat.STREAM and self.resumable
        )

    @property
    def streaming(self) -> bool:
        """Whether answers are streams of events."""
        return self.repeat is Repeat.STREAM


@attrs.frozen
class KeyHolder:
    """A customer of the routing table, with its keys and token allowance.

    Attributes:
        name: name of the customer.
        keys: keys that its callers present.
        rank: urgency that replaces that of routes, or None.
        tokens_per_s: sustained rate; 0 means no limit.
        burst_tokens: tokens that may come at once above the rate.
        plain_tokens: tokens of a request that names none.
        counts_tokens: whether the limit counts tokens, or else requests.
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None
    tokens_per_s: float
    burst_tokens: float
    plain_tokens: float
    counts_tokens: bool


@attrs.frozen
class CallerLimits:
    """What callers may send, and how long they may take.

    Attributes:
        header_bytes: most bytes of a head.
        body_bytes: most bytes of a body.
        header_timeout_s: time for a whole head.
        idle_timeout_s: time that a kept connection may stay without a call.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class RoutingTable:
    """The routes, customers and limits that operators put in force.

    Attributes:
        version: number that grows with each change.
        routes: all routes.
        services: names of all services.
        customers: all customers.
        limits: limits on what callers send.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[str, ...]
    customers: tuple[KeyHolder, ...]
    limits: CallerLimits
