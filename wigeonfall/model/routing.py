"""Routes: the services that run a call, and whether it may be resent."""

from collections.abc import Mapping
import enum

import attrs


class Repeat(enum.Enum):
    """Whether a call may be resent after an attempt that may have run."""

    SAFE = 'safe'
    ONCE = 'once'
    STREAM = 'stream'


@attrs.frozen
class ServiceWeight:
    """One of the services that a route sends to.

    Attributes:
        service: name of the service.
        weight: share relative to the other services of the route.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """A rule that routes calls of one host and path prefix to services.

    Attributes:
        name: name of the route.
        host: host name of the call, in lower case, without a port.
        path_prefix: prefix of the path; begins and ends with a slash.
        repeat: whether a call may run more than once.
        resumable: whether a stream may be resumed at another target.
        timeout_s: maximum time that a caller waits.
        answer_goal_s: goal for the time to the complete answer, or to the
            first event of a stream.
        pace_goal_s: goal for the longest pause between events of a stream.
        rank: priority; 0 is served first.
        services: services that the route sends calls to.
        attempts_limit: maximum number of targets that may run one request.
        anonymous: whether calls without a key are accepted.
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
        """Whether a call that may have run may be run again."""
        return self.repeat is Repeat.SAFE or (
            self.repeat is Repeat.STREAM and self.resumable
        )

    @property
    def streaming(self) -> bool:
        """Whether answers are streams of events."""
        return self.repeat is Repeat.STREAM


@attrs.frozen
class KeyHolder:
    """A customer of the routing table, with its keys and rate limit.

    Attributes:
        name: name of the customer.
        keys: API keys of its callers.
        rank: priority that overrides that of routes, or None.
        tokens_per_s: sustained rate; 0 means no limit.
        burst_tokens: number of tokens that may exceed the rate at once.
        plain_tokens: tokens charged for a request that states no number.
        counts_tokens: whether the limit counts tokens rather than requests.
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
    """Size and time limits on the calls of callers.

    Attributes:
        header_bytes: maximum size of a request head.
        body_bytes: maximum size of a request body.
        header_timeout_s: time limit for receiving a complete head.
        idle_timeout_s: time limit for a persistent connection without a call.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class ColdService:
    """A service whose targets endure few requests while they are cold.

    Attributes:
        name: name of the service.
        per_s: requests a second that a cold target endures.
        longest_s: longest time for which a target stays cold.
    """

    name: str
    per_s: float
    longest_s: float


@attrs.frozen
class RoutingTable:
    """The routes, customers and limits that operators set.

    Attributes:
        version: number that increases with each change.
        routes: all routes.
        services: names of all services.
        customers: all customers.
        limits: limits on the calls of callers.
        memory_tokens: tokens that a target holds, by service; those that do
            not declare it are left out.
        cold_services: services whose cold targets endure few requests.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[str, ...]
    customers: tuple[KeyHolder, ...]
    limits: CallerLimits
    memory_tokens: Mapping[str, float] = attrs.field(factory=dict)
    cold_services: tuple[ColdService, ...] = ()
