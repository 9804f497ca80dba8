"""News of prompt parts and targets that instances tell each other.

Each datagram repeats all that is still open at its sender, so lost, late and
reordered ones do no harm. Instances of earlier versions reject them.
"""

from collections.abc import Callable
from collections.abc import Mapping
import json
import time
from typing import Any
import zlib

import attrs
from result import Err

from .. import decoding
from ..events import Event
from . import message_fields
from ..policy.targets.quarantine import PartNews
from ..policy.targets.quarantine import Suspect
from ..policy.targets.target_rates import RateNews
from ..policy.targets.target_rates import TargetRates
from ..policy.targets.target_signals import TargetSignals
from ..recorder import Record
from .observations import record_rate_limit
from .part_watch import PartWatch

# Of targets lost with a part that hubs tell all instances of. These need the
# part only to say that they know of an answer, before it is quarantined.
HUB_MIN_TARGETS = 2
# First byte of a message; states and messages of arbiters begin otherwise.
PREFIX = b'#'
MAX_NEWS_BYTES = 4 << 20  # of a datagram, once decompressed
_COMPRESSION_LEVEL = 1  # fastest, as messages are small and frequent


@attrs.frozen
class PeerNews:
    """The news of one instance.

    Attributes:
        name: name of the instance.
        incarnation: random number, chosen at each start of the instance.
        parts: suspected and quarantined prompt parts.
        rates: limits that targets named, by target.
        leaving: targets that said that they leave, with the age of that.
    """

    name: str
    incarnation: int
    parts: PartNews = PartNews()
    rates: Mapping[str, RateNews] = attrs.field(factory=dict)
    leaving: Mapping[str, float] = attrs.field(factory=dict)


@attrs.frozen
class NewsExchange:
    """Makes the news of this instance, and applies that of its peers.

    Attributes:
        name: name of this instance.
        incarnation: random number, chosen at each start of the instance.
        part_watch: suspected and quarantined prompt parts.
        rates: rates that targets accept.
        signals: what targets say of their leaving.
        peers_count: returns whether peers count the requests that this
            instance sends; with hubs, the arbiter counts those of all.
        is_hub: returns whether this instance tells all others, who need no
            limits as the arbiter keeps to them.
        record: records events.
    """

    name: str
    incarnation: int
    part_watch: PartWatch
    rates: TargetRates
    signals: TargetSignals
    peers_count: Callable[[float], bool]
    is_hub: Callable[[float], bool]
    record: Record

    def make_message(self, now_s: float) -> bytes | None:
        """Return the message for peers, None if there is nothing to tell."""
        is_hub = self.is_hub(now_s)
        parts = self.part_watch.news(now_s, HUB_MIN_TARGETS if is_hub else 1)
        rates = self.rates.news(self.peers_count(now_s), now_s)
        if is_hub:
            rates = {}
        leaving = {} if is_hub else self.signals.news(now_s)
        if parts is None and not rates and not leaving:
            return None
        return encode(
            PeerNews(
                self.name,
                self.incarnation,
                parts or PartNews(),
                rates,
                leaving,
            )
        )

    def receive(self, data: bytes) -> None:
        """Apply a message of a peer.

        Raises:
            ValueError: the bytes are not a valid message.
        """
        news = decode(data)
        if news.name == self.name:
            return
        now_s = time.monotonic()
        self.part_watch.merge(news.parts, now_s)
        changed = self.rates.merge(
            news.name, news.incarnation, news.rates, now_s
        )
        for key in changed:
            record_rate_limit(
                self.record, key.rpartition('/')[0], news.rates[key].per_s
            )
        for key in self.signals.merge(news.leaving, now_s):
            self.record(
                Event.TARGET_LEAVING,
                target=key.rpartition('/')[0],
                told_by=news.name,
            )


def encode(news: PeerNews) -> bytes:
    """Encode news."""
    parts = news.parts
    fields = {
        'name': news.name,
        'incarnation': news.incarnation,
        'lost': {
            part: [
                {t: round(age_s, 2) for t, age_s in suspect.lost_s.items()},
                sorted(suspect.companions),
            ]
            for part, suspect in parts.lost.items()
        },
        'answered': {
            part: round(age_s, 2) for part, age_s in parts.answered.items()
        },
        'held': {
            part: [number, round(age_s, 2)]
            for part, (number, age_s) in parts.held.items()
        },
        'rates': {
            target: [rate.per_s, round(rate.age_s, 2), rate.sent]
            for target, rate in news.rates.items()
        },
        'leaving': {
            target: round(age_s, 2) for target, age_s in news.leaving.items()
        },
    }
    text = json.dumps(fields, separators=(',', ':'))
    return PREFIX + zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def decode(data: bytes) -> PeerNews:
    """Decode news; unknown fields are ignored.

    Raises:
        ValueError: the bytes are not a valid message.
    """
    decoded = decoding.decode(_decode, data)
    if isinstance(decoded, Err):
        raise ValueError(f'invalid news of a peer: {decoded.err_value}')
    return decoded.ok_value


def _decode(data: bytes) -> PeerNews:
    fields: dict[str, Any] = decoding.loads(
        decoding.inflate(data[len(PREFIX) :], MAX_NEWS_BYTES)
    )
    return PeerNews(
        name=message_fields.text(fields['name']),
        incarnation=message_fields.whole(fields['incarnation']),
        parts=_parts(fields),
        rates={
            target: RateNews(
                None if per_s is None else _not_negative(per_s),
                _not_negative(age_s),
                message_fields.whole(sent),
            )
            for target, (per_s, age_s, sent) in fields['rates'].items()
        },
        # Earlier versions do not tell it.
        leaving={
            target: _not_negative(age_s)
            for target, age_s in fields.get('leaving', {}).items()
        },
    )


def _parts(fields: dict[str, Any]) -> PartNews:
    return PartNews(
        lost={
            part: Suspect(
                {t: _not_negative(age_s) for t, age_s in lost_s.items()},
                frozenset(map(message_fields.text, companions)),
            )
            for part, (lost_s, companions) in fields['lost'].items()
        },
        answered={
            part: _not_negative(age_s)
            for part, age_s in fields['answered'].items()
        },
        held={
            part: (message_fields.whole(number), _not_negative(age_s))
            for part, (number, age_s) in fields['held'].items()
        },
    )


def _not_negative(value: Any) -> float:
    number = message_fields.number(value)
    if number < 0:
        raise ValueError(f'{value!r} is not a number from 0 on')
    return number
