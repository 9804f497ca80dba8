"""What instances and their arbiter tell each other of requests that wait.

Messages repeat all that is still open at their sender, so that lost, late and
reordered ones do no harm. Reports are the exception: one that is lost is a
lost observation.
"""

from collections.abc import Iterable
import json
from typing import Any
import zlib

import attrs

# First bytes; the state of peers begins with another one.
PLAIN = b'['
COMPRESSED = b'~'
PLAIN_BYTES = 4000  # longer messages are compressed, to stay datagrams
_COMPRESSION_LEVEL = 1  # messages are small and many


def _texts(values: Iterable[str]) -> tuple[str, ...]:
    return tuple(values)


def _figures(values: Iterable[float]) -> tuple[float, ...]:
    return tuple(values)


@attrs.frozen
class SlotRequest:
    """A request that wants a place.

    Attributes:
        id: identifier of the request.
        service: service that answers it.
        rank: urgency; 0 goes first.
        is_retry: whether its caller was refused before.
        age_s: time since its arrival.
        goal_s: time left for its first event.
        patience_s: time left until its caller leaves.
        left_s: time left for the whole answer.
        wait_s: time left for waiting.
        prompt_tokens: tokens to read.
        answer_tokens: most tokens to generate.
        unsuited: targets that may not get it.
        customer: customer whose tokens are taken, '' if they were.
        tokens: these tokens.
        charge_is_retry: whether its caller was refused for its limit before.
        most_wait_s: longest delay after which its caller comes back.
    """

    id: str
    service: str
    rank: int
    is_retry: bool
    age_s: float
    goal_s: float
    patience_s: float
    time_left_s: float
    wait_left_s: float
    prompt_tokens: float
    answer_tokens: float
    ineligible: tuple[str, ...] = attrs.field(converter=_texts)
    customer: str
    tokens: float
    charge_is_retry: bool
    most_wait_s: float


@attrs.frozen
class HeldSlot:
    """A place that an instance uses.

    Attributes:
        id: identifier of the request.
        service: service of the target.
        target: name of the target.
        prompt_tokens: tokens of the prompt.
        reading: whether the prompt is not known to be read.
    """

    id: str
    service: str
    target: str
    prompt_tokens: float
    reading: bool


@attrs.frozen
class Report:
    """What an instance saw of a target, or tokens that it gives back.

    Attributes:
        kind: what was seen.
        name: name of the target or customer.
        values: figures of it.
    """

    kind: str
    name: str
    values: tuple[float, ...] = attrs.field(converter=_figures)


@attrs.frozen
class ClientState:
    """All that an instance asks for and holds.

    Attributes:
        name: name of the instance.
        incarnation: random number that tells its starts apart.
        sequence: grows with each message of one start.
        address: "host:port" for answers.
        requests: requests that wait.
        held: places in use.
        reports: what it saw since the last message.
    """

    name: str
    incarnation: int
    sequence: int
    address: str
    requests: tuple[SlotRequest, ...]
    held: tuple[HeldSlot, ...]
    reports: tuple[Report, ...]


@attrs.frozen
class Grant:
    """A place for a request.

    Attributes:
        id: identifier of the request.
        target: name of the target.
        prefill_tokens: prompts that the target reads first, this included.
        outstanding: requests of all instances there, this included.
    """

    id: str
    target: str
    prefill_tokens: float
    outstanding: int


@attrs.frozen
class Denial:
    """That a request gets no place.

    Attributes:
        id: identifier of the request.
        over_limit: whether its customer is over its limit.
        delay_s: time until there is room below the limit.
        used_tokens: tokens of the customer in the window.
        limit_tokens: most tokens in a window.
    """

    id: str
    over_limit: bool
    delay_s: float = 0.0
    used_tokens: float = 0.0
    limit_tokens: float = 0.0


@attrs.frozen
class ArbiterDecisions:
    """What an arbiter has decided for one instance.

    Attributes:
        name: name of the arbiter.
        incarnation: incarnation of the instance that asked.
        grants: places that it is not known to use yet.
        denials: requests that it is not known to have given up yet.
    """

    name: str
    incarnation: int
    grants: tuple[Grant, ...]
    denials: tuple[Denial, ...]


def encode(message: ClientState | ArbiterDecisions) -> bytes:
    """Return the bytes of a message."""
    kind = 'asking' if isinstance(message, ClientState) else 'answering'
    value = [kind, *attrs.astuple(message)]
    data = json.dumps(value, separators=(',', ':')).encode()
    if len(data) > PLAIN_BYTES:
        return COMPRESSED + zlib.compress(data, _COMPRESSION_LEVEL)
    return data


def decode(data: bytes) -> ClientState | ArbiterDecisions:
    """Return the message of some bytes.

    Raises:
        ValueError: the bytes are no message.
    """
    try:
        if data.startswith(COMPRESSED):
            data = zlib.decompress(data[len(COMPRESSED) :])
        kind, *values = json.loads(data)
        if kind == 'asking':
            return _asking(*values)
        if kind == 'answering':
            return _answering(*values)
    except (TypeError, zlib.error) as error:
        raise ValueError(f'no message on requests: {error!r}') from error
    raise ValueError(f'unknown kind of message: {kind!r}')


def _asking(
    name: str,
    incarnation: int,
    sequence: int,
    address: str,
    requests: list[list[Any]],
    held: list[list[Any]],
    reports: list[list[Any]],
) -> ClientState:
    return ClientState(
        name,
        incarnation,
        sequence,
        address,
        tuple(SlotRequest(*ask) for ask in requests),
        tuple(HeldSlot(*slot) for slot in held),
        tuple(Report(*report) for report in reports),
    )


def _answering(
    name: str,
    incarnation: int,
    grants: list[list[Any]],
    denials: list[list[Any]],
) -> ArbiterDecisions:
    return ArbiterDecisions(
        name,
        incarnation,
        tuple(Grant(*grant) for grant in grants),
        tuple(Denial(*denial) for denial in denials),
    )
