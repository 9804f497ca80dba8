"""Encodes the datagrams between instances and their arbiter.

An instance sends the slot requests that wait and the slots that it holds; the
arbiter answers with grants and denials. Each message repeats the whole state
that is still open at its sender, so lost, late and reordered datagrams do no
harm. Only reports are sent once: if their datagram is lost, so are they.
"""

from collections.abc import Callable
from collections.abc import Iterable
import json
import operator
from typing import Any
import zlib

import attrs
from result import Err

from .. import decoding
from ..model.prompt import PromptPart

# First byte of a message; the state of a peer begins with a different one.
PLAIN_PREFIX = b'['
COMPRESSED_PREFIX = b'~'
# Formats that an instance reads, as it tells peers. In the first one, a slot
# request ends before its kind and a grant before its kept tokens; releases
# that know no other read nothing else.
FIRST_FORMAT = 1
NEWEST_FORMAT = 2
COMPRESS_ABOVE_BYTES = 4000  # keeps long messages below the datagram limit
MAX_MESSAGE_BYTES = 4 << 20  # once decompressed
_COMPRESSION_LEVEL = 1  # fastest, as messages are small and frequent


def _string_tuple(values: Iterable[str]) -> tuple[str, ...]:
    return tuple(values)


def _parts(values: Iterable[Any]) -> tuple[PromptPart, ...]:
    return tuple(
        value if isinstance(value, PromptPart) else PromptPart(*value)
        for value in values
    )


def _number_tuple(values: Iterable[float]) -> tuple[float, ...]:
    return tuple(values)


@attrs.frozen
class SlotRequest:
    """A request that waits for a slot at a target.

    Times are relative to the time of sending.

    Attributes:
        id: identifier of the request.
        service: service that is to answer it.
        rank: priority; 0 is served first.
        is_retry: whether its caller was refused before.
        age_s: time since its arrival.
        goal_s: time left until its first event is due.
        patience_s: time left until its caller disconnects.
        time_left_s: time left until its deadline.
        wait_left_s: time that it may still wait for a slot.
        prompt_tokens: tokens of the prompt.
        answer_tokens: most tokens to generate.
        ineligible: names of targets that may not get it.
        customer: customer whose quota is charged, '' if it was charged
            before.
        tokens: tokens to charge.
        charge_is_retry: whether its caller was refused before, by its quota.
        most_wait_s: longest delay after which its caller retries.
        kind: name of its route.
        holder: its customer, also if it was charged before.
        parts: parts of its prompt, in order.
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
    ineligible: tuple[str, ...] = attrs.field(converter=_string_tuple)
    customer: str
    tokens: float
    charge_is_retry: bool
    most_wait_s: float
    kind: str = ''
    holder: str = ''
    parts: tuple[PromptPart, ...] = attrs.field(default=(), converter=_parts)


@attrs.frozen
class HeldSlot:
    """A slot that an instance uses.

    Attributes:
        id: identifier of the request.
        service: service of the target.
        target: name of the target.
        prompt_tokens: tokens of the prompt.
        prefilling: whether the target may still be processing the prompt.
    """

    id: str
    service: str
    target: str
    prompt_tokens: float
    prefilling: bool


@attrs.frozen
class Report:
    """An observation of a target, or a refund of tokens to a customer.

    Attributes:
        kind: kind of the report.
        name: name of the target or customer.
        values: measurements, as its kind defines them.
    """

    kind: str
    name: str
    values: tuple[float, ...] = attrs.field(converter=_number_tuple)


@attrs.frozen
class ClientState:
    """The requests and slots of one instance.

    Attributes:
        name: name of the instance.
        incarnation: random number, chosen at each start of the instance.
        sequence: number of the message; grows within an incarnation.
        address: "host:port" for decisions.
        requests: requests that wait for a slot.
        held: slots in use.
        reports: reports since the last message.
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
    """A slot for a request.

    Attributes:
        id: identifier of the request.
        target: name of the target.
        prefill_tokens: prompt tokens that the target has yet to process,
            those of this request included.
        outstanding: requests of all instances there, this one included.
        kept_tokens: tokens of the prompt that the target is believed to hold.
    """

    id: str
    target: str
    prefill_tokens: float
    outstanding: int
    kept_tokens: float = 0.0


@attrs.frozen
class Denial:
    """The refusal of a slot.

    Attributes:
        id: identifier of the request.
        over_limit: whether its customer is over its quota; if not, no
            target had a free slot in time.
        delay_s: time until the quota allows the request, or until there
            should be a free slot; 0 if its caller has too little time.
        used_tokens: tokens that the customer used in the window.
        limit_tokens: most tokens in a window.
    """

    id: str
    over_limit: bool
    delay_s: float = 0.0
    used_tokens: float = 0.0
    limit_tokens: float = 0.0


@attrs.frozen
class ArbiterDecisions:
    """The arbiter's decisions for one instance.

    Attributes:
        name: name of the arbiter.
        incarnation: incarnation of the instance.
        grants: slots that the instance has not confirmed yet.
        denials: refusals that the instance has not confirmed yet.
    """

    name: str
    incarnation: int
    grants: tuple[Grant, ...]
    denials: tuple[Denial, ...]


def _fields_of(cls: type[attrs.AttrsInstance]) -> Callable[[Any], Any]:
    """Return a function that returns the values of an object's fields."""
    # Several times faster than attrs.astuple, which follows nested values.
    return operator.attrgetter(*(field.name for field in attrs.fields(cls)))


_all_request_fields = _fields_of(SlotRequest)
_REQUEST_FIELDS = len(attrs.fields(SlotRequest))
_FIRST_REQUEST_FIELDS = [f.name for f in attrs.fields(SlotRequest)].index(
    'kind'
)
_held_fields = _fields_of(HeldSlot)
_report_fields = _fields_of(Report)
_all_grant_fields = _fields_of(Grant)
_GRANT_FIELDS = len(attrs.fields(Grant))
_denial_fields = _fields_of(Denial)


def _request_fields(request: SlotRequest, message_format: int) -> list[Any]:
    *values, parts = _all_request_fields(request)
    if message_format < NEWEST_FORMAT:
        return values[:_FIRST_REQUEST_FIELDS]
    return [*values, [(part.id, part.tokens) for part in parts]]


def _grant_fields(grant: Grant, message_format: int) -> tuple[Any, ...]:
    fields = _all_grant_fields(grant)
    return fields[:-1] if message_format < NEWEST_FORMAT else fields


def _values(
    message: ClientState | ArbiterDecisions, message_format: int
) -> list[Any]:
    """Return the values of a message, in the order of its fields."""
    if isinstance(message, ClientState):
        return [
            'asking',
            message.name,
            message.incarnation,
            message.sequence,
            message.address,
            [
                _request_fields(request, message_format)
                for request in message.requests
            ],
            [_held_fields(slot) for slot in message.held],
            [_report_fields(report) for report in message.reports],
        ]
    return [
        'answering',
        message.name,
        message.incarnation,
        [_grant_fields(grant, message_format) for grant in message.grants],
        [_denial_fields(denial) for denial in message.denials],
    ]


def encode(
    message: ClientState | ArbiterDecisions,
    message_format: int = NEWEST_FORMAT,
) -> bytes:
    """Encode a message in a format that its recipient reads."""
    value = _values(message, message_format)
    data = json.dumps(value, separators=(',', ':')).encode()
    if len(data) > COMPRESS_ABOVE_BYTES:
        return COMPRESSED_PREFIX + zlib.compress(data, _COMPRESSION_LEVEL)
    return data


def decode(data: bytes) -> ClientState | ArbiterDecisions:
    """Decode a message.

    Raises:
        ValueError: the bytes are not a valid message.
    """
    decoded = decoding.decode(_decode, data)
    if isinstance(decoded, Err):
        raise ValueError(f'invalid arbiter message: {decoded.err_value}')
    return decoded.ok_value


def _decode(data: bytes) -> ClientState | ArbiterDecisions:
    if data.startswith(COMPRESSED_PREFIX):
        data = decoding.inflate(
            data[len(COMPRESSED_PREFIX) :], MAX_MESSAGE_BYTES
        )
    kind, *values = decoding.loads(data, keeps_values=False)
    if kind == 'asking':
        return _client_state(*values)
    if kind == 'answering':
        return _arbiter_decisions(*values)
    raise ValueError(f'unknown kind {kind!r}')


def _client_state(
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
        # Later releases may append fields.
        tuple(SlotRequest(*request[:_REQUEST_FIELDS]) for request in requests),
        tuple(HeldSlot(*slot) for slot in held),
        tuple(Report(*report) for report in reports),
    )


def _arbiter_decisions(
    name: str,
    incarnation: int,
    grants: list[list[Any]],
    denials: list[list[Any]],
) -> ArbiterDecisions:
    return ArbiterDecisions(
        name,
        incarnation,
        tuple(Grant(*grant[:_GRANT_FIELDS]) for grant in grants),
        tuple(Denial(*denial) for denial in denials),
    )
