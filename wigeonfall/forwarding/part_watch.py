"""Keeps requests with quarantined prompt parts from targets.

Instances tell each other of suspected and quarantined parts in datagrams of
their own. Each repeats all that is still open, so lost, late and reordered
datagrams do no harm.
"""

from collections.abc import Callable
import json
import time
from typing import Any
import zlib

import attrs
import xxhash

from ..events import Event
from ..model.target import Target
from ..policy.quarantine import Hold
from ..policy.quarantine import PartNews
from ..policy.quarantine import PROOF_S
from ..policy.quarantine import Quarantines
from ..policy.quarantine import Suspect
from ..recorder import Record
from .routed_request import RoutedRequest

# First byte of a message; states and messages of arbiters begin otherwise.
PREFIX = b'#'
MAX_PART_CHARS = 64  # of an identifier; longer ones are hashed
_COMPRESSION_LEVEL = 1  # fastest, as messages are small and frequent


@attrs.frozen
class PartWatch:
    """Applies the quarantines of prompt parts to requests.

    Attributes:
        quarantines: the suspected and quarantined parts.
        fleet_size: returns the number of instances.
        record: records events.
    """

    quarantines: Quarantines
    fleet_size: Callable[[float], int]
    record: Record

    def hold(self, request: RoutedRequest) -> Hold | None:
        """Return why a request must not be sent, or None if it may be."""
        now_s = time.monotonic()
        return self.quarantines.hold(
            _keys(request), self.fleet_size(now_s), now_s
        )

    def record_sent(self, request: RoutedRequest) -> None:
        """Record that a request is sent to a target."""
        self.quarantines.record_sent(_keys(request), time.monotonic())

    def record_lost(
        self, request: RoutedRequest, target: Target, lasted_s: float
    ) -> None:
        """Record a request whose connection to its target ended.

        Args:
            request: the request.
            target: the target.
            lasted_s: time since its answer began, 0 if it had not.
        """
        if request.shared_parts and lasted_s < PROOF_S:
            incarnation = f'{target.name}\0{target.incarnation}'
            self.quarantines.record_lost(
                _keys(request),
                xxhash.xxh32_hexdigest(incarnation.encode()),
                time.monotonic(),
            )
            self._record_changes()

    def record_answered(self, request: RoutedRequest) -> None:
        """Record a request whose answer shows that its prompt is sound."""
        if request.shared_parts:
            self.quarantines.record_answered(_keys(request), time.monotonic())
            self._record_changes()

    def make_message(self, now_s: float) -> bytes | None:
        """Return the message for peers, None if there is nothing to tell."""
        news = self.quarantines.news(now_s)
        self._record_changes()
        return None if news is None else encode(news)

    def receive(self, data: bytes) -> None:
        """Apply a message of a peer.

        Raises:
            ValueError: the bytes are not a valid message.
        """
        self.quarantines.merge(decode(data), time.monotonic())
        self._record_changes()

    def _record_changes(self) -> None:
        held = self.quarantines.held_count()
        for change in self.quarantines.take_changes():
            if change.number:
                self.record(
                    Event.PART_QUARANTINED,
                    part=change.part,
                    number=change.number,
                    for_s=round(change.for_s, 1),
                    targets=change.targets,
                    companions=sorted(change.companions),
                    held=held,
                )
            else:
                self.record(Event.PART_RELEASED, part=change.part, held=held)


def encode(news: PartNews) -> bytes:
    """Encode news of parts."""
    fields = {
        'lost': {
            part: [
                {t: round(age_s, 2) for t, age_s in suspect.lost_s.items()},
                sorted(suspect.companions),
            ]
            for part, suspect in news.lost.items()
        },
        'answered': {
            part: round(age_s, 2) for part, age_s in news.answered.items()
        },
        'held': {
            part: [number, round(age_s, 2)]
            for part, (number, age_s) in news.held.items()
        },
    }
    text = json.dumps(fields, separators=(',', ':'))
    return PREFIX + zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def decode(data: bytes) -> PartNews:
    """Decode news of parts; unknown fields are ignored.

    Raises:
        ValueError: the bytes are not a valid message.
    """
    try:
        fields: dict[str, Any] = json.loads(
            zlib.decompress(data[len(PREFIX) :])
        )
        return PartNews(
            lost={
                part: Suspect(
                    {t: _age_s(age_s) for t, age_s in lost_s.items()},
                    frozenset(companions),
                )
                for part, (lost_s, companions) in fields['lost'].items()
            },
            answered={
                part: _age_s(age_s)
                for part, age_s in fields['answered'].items()
            },
            held={
                part: (int(number), _age_s(age_s))
                for part, (number, age_s) in fields['held'].items()
            },
        )
    except (
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
        zlib.error,
    ) as error:
        raise ValueError(f'invalid news of parts: {error!r}') from error


def _age_s(value: Any) -> float:
    age_s = float(value)
    if not 0 <= age_s < float('inf'):
        raise ValueError(f'age of {value} s')
    return age_s


def _keys(request: RoutedRequest) -> list[str]:
    """Return the shared parts, distinguished by service."""
    return [
        f'{request.service}/{_shortened(part)}'
        for part in request.shared_parts
    ]


def _shortened(part: str) -> str:
    if len(part) <= MAX_PART_CHARS:
        return part
    return xxhash.xxh3_128_hexdigest(part.encode())
