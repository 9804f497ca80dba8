"""Tests of the news that instances tell each other."""

import json
import random
import zlib

from hypothesis import given
from hypothesis import strategies as st
import pytest

from wigeonfall.forwarding.part_watch import PartWatch
from wigeonfall.forwarding import peer_news
from wigeonfall.forwarding.peer_news import NewsExchange
from wigeonfall.forwarding.peer_news import PeerNews
from wigeonfall.forwarding import peer_state
from wigeonfall.policy.targets import quarantine
from wigeonfall.policy.targets.quarantine import PartNews
from wigeonfall.policy.targets.quarantine import Quarantines
from wigeonfall.policy.targets.quarantine import Suspect
from wigeonfall.policy.targets import target_rates
from wigeonfall.policy.targets.target_rates import RateNews
from wigeonfall.policy.targets.target_rates import TargetRates
from wigeonfall.policy.targets import target_signals
from wigeonfall.policy.targets.target_signals import TargetSignals

MAX_DATAGRAM_BYTES = 65_507

NEWS = PeerNews(
    name='i2',
    incarnation=7,
    parts=PartNews(
        lost={
            's/bad': Suspect({'t1': 0.5, 't2': 0.25}, frozenset({'s/first'}))
        },
        answered={'s/sound': 1.5},
        held={'s/bad': (2, 10.25)},
    ),
    rates={'t/1': RateNews(2.5, 0.75, 4), 't/2': RateNews(None, 3.0, 0)},
    leaving={'t/3': 0.5},
)


def changed(path, value):
    """Return the encoded news with another value of one field."""
    data = peer_news.encode(NEWS)[len(peer_news.PREFIX) :]
    fields = json.loads(zlib.decompress(data))
    inner = fields
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return peer_news.PREFIX + zlib.compress(json.dumps(fields).encode())


def test_news_is_decoded_unchanged():
    assert peer_news.decode(peer_news.encode(NEWS)) == NEWS


def test_fields_of_later_versions_are_ignored():
    assert peer_news.decode(changed(['later'], 1)) == NEWS


@given(st.binary(max_size=60))
def test_invalid_bytes_raise_value_error(data):
    with pytest.raises(ValueError):
        peer_news.decode(peer_news.PREFIX + data)


@pytest.mark.parametrize('value', [float('nan'), -1, float('inf'), None, 'x'])
@pytest.mark.parametrize(
    'path',
    [
        ['answered', 's/sound'],
        ['lost', 's/bad', 0, 't1'],
        ['held', 's/bad', 1],
        ['rates', 't/1', 1],
        ['leaving', 't/3'],
    ],
)
def test_invalid_ages_raise_value_error(path, value):
    with pytest.raises(ValueError):
        peer_news.decode(changed(path, value))


@pytest.mark.parametrize('value', [float('nan'), -1, float('inf'), 'x', []])
def test_invalid_limits_raise_value_error(value):
    with pytest.raises(ValueError):
        peer_news.decode(changed(['rates', 't/1', 0], value))


def test_instances_of_an_earlier_version_reject_news_as_unreadable():
    """They read it as a state, record that and go on."""
    with pytest.raises(ValueError):
        peer_state.decode(peer_news.encode(NEWS))


@pytest.mark.parametrize('is_hub', [False, True])
def test_hubs_tell_all_instances_no_more_than_these_need(is_hub):
    quarantines = Quarantines('i1')
    quarantines.record_lost(['once'], 't1', 0.0)
    quarantines.record_lost(['often'], 't1', 0.0)
    quarantines.record_lost(['often'], 't2', 0.0)
    rates = TargetRates()
    rates.observe('t1/1', 2.0, 0.0)
    signals = TargetSignals()
    signals.mark_leaving('t2/1', 0.0)
    exchange = NewsExchange(
        name='i1',
        incarnation=1,
        part_watch=PartWatch(quarantines, lambda _: 500, ignore),
        rates=rates,
        signals=signals,
        peers_count=lambda _: False,
        is_hub=lambda _: is_hub,
        record=ignore,
    )
    news = peer_news.decode(exchange.make_message(0.5))
    assert set(news.parts.lost) == ({'often'} if is_hub else {'once', 'often'})
    assert set(news.rates) == (set() if is_hub else {'t1/1'})
    assert set(news.leaving) == (set() if is_hub else {'t2/1'})


def test_the_longest_news_fits_a_datagram():
    draw = random.Random(1)

    def name(digits):
        return f'{draw.getrandbits(4 * digits):0{digits}x}'

    def part():
        return f'service/{name(16)}'

    lost = {
        part(): Suspect(
            {name(8): 0.25 for _ in range(quarantine.MAX_TARGETS)},
            frozenset(part() for _ in range(quarantine.MAX_COMPANIONS)),
        )
        for _ in range(2 * quarantine.MAX_NEWS_PARTS)
    }
    rates = {
        f'i-{name(10)}/{name(12)}': RateNews(draw.random(), draw.random(), 9)
        for _ in range(target_rates.MAX_NEWS_TARGETS)
    }
    parts = PartNews(lost, {part(): 1.0 for _ in range(100)}, {})
    leaving = {
        f'i-{name(10)}/{name(12)}': draw.random()
        for _ in range(target_signals.MAX_NEWS_TARGETS)
    }
    message = peer_news.encode(PeerNews('i1', 1, parts, rates, leaving))
    assert len(message) < MAX_DATAGRAM_BYTES


def ignore(*_args, **_fields):
    """Record nothing."""
