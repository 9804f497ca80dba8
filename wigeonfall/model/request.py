"""Requests as callers send them."""

import attrs

from .customer import Customer
from .service import Service
from .tier import Tier

IDEMPOTENT_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'})


@attrs.frozen
class Request:
    """A checked request that waits for a target.

    Attributes:
        id: identifier that every log line and the answer carry.
        customer: the customer whose key the caller gave.
        tier: tier that the request is served in.
        service: service that answers it.
        method: HTTP method.
        path: path and query that the target gets.
        headers: headers to pass to the target.
        body: the whole body.
        arrived_s: arrival, on the monotonic clock.
        deadline_s: time by which the answer must be whole, on the same clock.
        idempotency_key: key that names a non-idempotent call, or ''.
        model: model that is asked for, or ''.
        stream: whether the caller wants server-sent events.
        prompt_tokens: estimated tokens to read.
        answer_tokens: most tokens to generate.
        prefix_hashes: hashes of the leading blocks of the prompt.
        route: name of the route, under which evidence on versions is kept.
        version: version that the target must serve, or '' for any.
    """

    id: str
    customer: Customer
    tier: Tier
    service: Service
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_s: float
    deadline_s: float
    idempotency_key: str = ''
    model: str = ''
    stream: bool = False
    prompt_tokens: int = 0
    answer_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    route: str = ''
    version: str = ''

    @property
    def idempotent(self) -> bool:
        """Whether running the request twice does no harm."""
        return bool(self.model) or self.method in IDEMPOTENT_METHODS

    @property
    def cost_tokens(self) -> int:
        """Tokens that the request keeps a target busy with."""
        return self.prompt_tokens + self.answer_tokens
