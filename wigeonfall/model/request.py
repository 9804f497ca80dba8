"""Validated requests of callers."""

import attrs

from .customer import Customer
from .service import Service
from .tier import Tier

IDEMPOTENT_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'})


@attrs.frozen
class Request:
    """A validated request to be sent to a target.

    Attributes:
        id: identifier, included in all log lines and in the answer.
        customer: the customer whose key the caller sent.
        tier: tier that the request is served in.
        service: service that runs the request.
        method: HTTP method.
        path: path with the query string, as sent to the target.
        headers: headers to forward to the target.
        body: the complete body.
        arrived_s: arrival time on the monotonic clock.
        deadline_s: time on the same clock by which the answer must be
            complete.
        idempotency_key: key that identifies a non-idempotent call, or ''.
        model: requested model, or ''.
        stream: whether the caller wants server-sent events.
        prompt_tokens: estimated number of tokens of the prompt.
        answer_tokens: maximum number of tokens to generate.
        prefix_hashes: hashes of the leading blocks of the prompt.
        route: name of the route; outcomes of versions are counted per route.
        version: required version of the target, or '' for any.
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
        """Whether running the request twice is harmless."""
        return bool(self.model) or self.method in IDEMPOTENT_METHODS

    @property
    def cost_tokens(self) -> int:
        """Number of prompt and answer tokens that a target processes."""
        return self.prompt_tokens + self.answer_tokens
