"""Tests of the news that instances tell each other."""

import json
import zlib

from hypothesis import given
from hypothesis import strategies as st
import pytest

from wigeonfall.forwarding import peer_news
from wigeonfall.forwarding.peer_news import PeerNews
from wigeonfall.forwarding import peer_state
from wigeonfall.policy.quarantine import PartNews
from wigeonfall.policy.quarantine import Suspect
from wigeonfall.policy.target_rates import RateNews

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
