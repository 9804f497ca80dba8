"""The state that an instance sends to its peers, and its encoding."""

from collections.abc import Callable
import json
from typing import Any
import zlib

import attrs
from result import Err

from .. import decoding
from . import message_fields
from ..model import address as address_module
from ..policy.targets.moving_average import PeerAverage
from ..policy.targets.target_stats import TargetLoad

MAX_STATE_BYTES = 4 << 20  # of a datagram, once decompressed
_COMPRESSION_LEVEL = 1  # fastest, as messages are small and frequent


@attrs.frozen
class PeerState:
    """The state of one instance, as it is sent to peers.

    Attributes:
        name: name of the instance.
        incarnation: random number, chosen at each start of the instance.
        sequence: number of the message; grows within an incarnation.
        address: "host:port" of its datagrams and its snapshot.
        targets: load by target.
        waiting: number of waiting requests by service and class.
        age_s: time since its start.
        taken: tokens charged since its start by customer.
        used: tokens charged in the last window by customer.
        revisions: newest known position in the store's history by kind of
            object, as store_position encodes it.
        peers: addresses of its live peers.
        data_center: its data centre.
        capacity: processors that it may use.
        instances: number of instances that it knows, itself included.
        leaving: whether it is shutting down.
        store_reachable: whether it reaches the store.
        evidence: counts of answers by service, version and outcome.
    """

    name: str
    incarnation: int
    sequence: int
    address: str
    age_s: float
    targets: dict[str, TargetLoad]
    waiting: dict[str, dict[int, int]]
    taken: dict[str, float]
    used: dict[str, float]
    revisions: dict[str, int]
    peers: tuple[str, ...] = ()
    data_center: str = ''
    capacity: float = 1.0
    instances: int = 1
    leaving: bool = False
    store_reachable: bool = False
    evidence: dict[str, int] = attrs.field(factory=dict)


def encode(state: PeerState) -> bytes:
    """Encode a state."""
    fields = attrs.asdict(state)
    fields['targets'] = {
        name: (
            load.requests,
            round(load.prefill_tokens),
            *_rounded(load.prefill_s),
            *_rounded(load.decode_s),
        )
        for name, load in state.targets.items()
    }
    text = json.dumps(fields, separators=(',', ':'))
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def decode(data: bytes) -> PeerState:
    """Decode a state.

    Raises:
        ValueError: the bytes are not a valid state.
    """
    decoded = decoding.decode(_decode, data)
    if isinstance(decoded, Err):
        raise ValueError(f'invalid peer state: {decoded.err_value}')
    return decoded.ok_value


def _decode(data: bytes) -> PeerState:
    fields: dict[str, Any] = decoding.loads(
        decoding.inflate(data, MAX_STATE_BYTES), keeps_values=False
    )
    return PeerState(
        **{name: _CHECKS[name](value) for name, value in fields.items()}
    )


def _target_loads(value: Any) -> dict[str, TargetLoad]:
    return {
        name: _target_load(
            message_fields.whole(load[0]),
            *map(message_fields.number, load[1:]),
        )
        for name, load in value.items()
    }


def _waiting(value: Any) -> dict[str, dict[int, int]]:
    return {
        service: {
            int(rank): message_fields.whole(count)
            for rank, count in counts.items()
        }
        for service, counts in value.items()
    }


def _addresses(value: Any) -> tuple[str, ...]:
    return tuple(message_fields.text(address) for address in value)


def _address(value: Any) -> str:
    address_module.parse(message_fields.text(value))
    return value


_CHECKS: dict[str, Callable[[Any], Any]] = {
    'name': message_fields.text,
    'incarnation': message_fields.whole,
    'sequence': message_fields.whole,
    'address': _address,
    'targets': _target_loads,
    'waiting': _waiting,
    'age_s': message_fields.number,
    'taken': message_fields.mapping(message_fields.number),
    'used': message_fields.mapping(message_fields.number),
    'revisions': message_fields.mapping(message_fields.whole),
    'peers': _addresses,
    'data_center': message_fields.text,
    'capacity': message_fields.number,
    'instances': message_fields.whole,
    'leaving': message_fields.flag,
    'store_reachable': message_fields.flag,
    'evidence': message_fields.mapping(message_fields.whole),
}


def _rounded(said: PeerAverage) -> tuple[float, float]:
    return float(f'{said.value:.3g}'), round(said.weight, 1)


def _target_load(
    requests: int,
    prefill_tokens: float,
    prefill_s: float,
    prefill_weight: float,
    decode_s: float,
    decode_weight: float,
) -> TargetLoad:
    return TargetLoad(
        int(requests),
        float(prefill_tokens),
        PeerAverage(float(prefill_s), float(prefill_weight)),
        PeerAverage(float(decode_s), float(decode_weight)),
    )
