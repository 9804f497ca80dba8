"""Tests of decoding manifests, entries of engines and rollout orders."""

import copy

from hypothesis import given
from hypothesis import strategies as st
import pytest
from wigeonfall_fleet import fields
from wigeonfall_fleet import manifest
from wigeonfall_fleet import rollouts
from wigeonfall_fleet import servers

from wigeonfall.model.routing import ColdService
from wigeonfall.model.routing import Repeat
from wigeonfall.model.routing import ServiceWeight
from wigeonfall.model.target import TargetState
from wigeonfall.policy.versions.version_trial import State
from wigeonfall.ports.platform import StoredObject

MANIFEST = {
    'Version': 9,
    'Routes': [
        {
            'Name': 'reports',
            'Host': 'Meat.example',
            'PathPrefix': '/reports/',
            'Kind': 'streaming',
            'TimeoutMs': 9000,
            'TargetLatencyMs': 700,
            'Priority': 2,
            'WeightedServices': [
                {'Service': 'pool', 'Weight': 80},
                {'Service': 'other', 'Weight': 20},
            ],
            'MaxAttempts': 3,
            'ResumeStreams': True,
            'GapAimMs': 150,
        },
        {
            'Name': 'orders',
            'Host': 'meat.example',
            'PathPrefix': '/orders/',
            'Kind': 'non_idempotent',
            'TimeoutMs': 1200,
            'Service': 'shop',
            'AllowAnonymous': True,
            'LaterField': 1,
        },
    ],
    'Services': [
        {'Name': 'pool', 'ColdStartS': 3, 'ColdPerS': 16},
        {'Name': 'other'},
        {'Name': 'shop', 'ColdStartS': 0, 'ColdPerS': 0},
    ],
    'Limits': {'MaxBodyBytes': 1000, 'IdleTimeoutMs': 5000},
    'Tenants': [
        {
            'Name': 'butcher',
            'ApiKeys': ['k1', 'k2'],
            'Unit': 'tokens',
            'PlainTokens': 120,
            'RatePerS': 500,
            'Burst': 800,
        }
    ],
}
ENTRY = {
    'Service': 'pool',
    'Address': '10.0.0.9:81',
    'Zone': 'z',
    'Version': 'v1',
    'Slots': 14,
    'State': 'ready',
    'Sequence': 4,
    'born': 1776000000000,
    'ColdRemainingMs': 2500,
}


def entry(value, **status):
    return StoredObject('servers', 'e1', 7, value, status or None)


@pytest.mark.parametrize(
    ('engine', 'expected'),
    [
        ({'KvTokens': 600_000, 'Slots': 8}, {'pool': 600_000.0}),
        ({'KvTokens': '600000'}, {}),
        ({'KvTokens': -1}, {}),
        ({'Slots': 8}, {}),
        ('none', {}),
    ],
)
def test_memory_of_engines_is_known_where_a_service_declares_it(
    engine, expected
):
    value = copy.deepcopy(MANIFEST)
    value['Services'][0]['Engine'] = engine
    assert manifest.decode(value).memory_tokens == expected


def test_a_manifest_is_decoded_to_a_routing_table():
    table = manifest.decode(MANIFEST)
    stream, once = table.routes
    assert table.version == 9
    assert stream.repeat is Repeat.STREAM and stream.repeatable
    assert stream.host == 'meat.example'
    assert (stream.timeout_s, stream.answer_goal_s) == (9.0, 0.7)
    assert (stream.pace_goal_s, stream.rank) == (0.15, 2)
    assert stream.services == (
        ServiceWeight('pool', 80),
        ServiceWeight('other', 20),
    )
    assert once.repeat is Repeat.ONCE and not once.repeatable
    assert once.attempts_limit == 1 and once.anonymous
    assert once.answer_goal_s == once.timeout_s == 1.2
    (customer,) = table.customers
    assert customer.counts_tokens and customer.rank is None
    assert table.cold_services == (ColdService('pool', 16, 3),)
    assert table.limits.body_bytes == 1000
    assert table.limits.header_bytes == 16384
    assert table.limits.idle_timeout_s == 5.0


@pytest.mark.parametrize(
    ('path', 'value'),
    [
        (('Version',), 'nine'),
        (('Routes', 0, 'Kind'), 'sometimes'),
        (('Routes', 0, 'TimeoutMs'), None),
        (('Routes', 0, 'ResumeStreams'), 'yes'),
        (('Tenants', 0, 'Name'), 5),
        (('Routes',), {}),
    ],
)
def test_an_invalid_field_is_an_error(path, value):
    changed = copy.deepcopy(MANIFEST)
    parent = changed
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = value
    with pytest.raises(fields.FieldError):
        manifest.decode(changed)


def test_a_change_of_one_route_leaves_the_others_decoded():
    """Each change of a large table decoded all of it anew."""
    decode = manifest.make_decoder()
    before = decode(copy.deepcopy(MANIFEST))
    changed = copy.deepcopy(MANIFEST) | {'Version': 12}
    changed['Routes'][1]['TimeoutMs'] = 900
    after = decode(changed)
    assert after == manifest.decode(changed)
    assert after.routes[0] is before.routes[0]
    assert after.routes[1].timeout_s == 0.9
    changed['Routes'][1]['AllowAnonymous'] = 1  # equals True
    with pytest.raises(fields.FieldError):
        decode(changed)


def test_an_entry_is_decoded_to_a_target():
    target = servers.decode(entry(ENTRY))
    assert (target.name, target.service) == ('e1', 'pool')
    assert (target.address, target.slots) == ('10.0.0.9:81', 14)
    assert target.incarnation == 1776000000000
    assert (target.cold_s, target.entry_version) == (2.5, 7)
    silent = {k: v for k, v in ENTRY.items() if k != 'ColdRemainingMs'}
    assert servers.decode(entry(silent)).cold_s is None
    leaving = servers.decode(entry(ENTRY | {'State': 'draining'}))
    assert leaving.state is TargetState.LEAVING


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text() | st.floats(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


@given(st.sampled_from(sorted(ENTRY)), json_values)
def test_an_entry_with_any_value_is_decoded_or_refused(name, value):
    try:
        target = servers.decode(entry(ENTRY | {name: value}))
    except ValueError:
        return
    assert target.service and target.address


@given(json_values)
def test_a_manifest_of_any_value_is_refused(value):
    with pytest.raises(ValueError):
        manifest.decode(value)


def test_a_rollout_state_is_taken_from_the_status_of_its_version():
    value = {'Service': 'pool', 'Target': 'v2', 'DurationS': 12}
    assert rollouts.decode(entry(value)).state is State.RUNNING
    done = rollouts.decode(entry(value, State='completed', Target='v2'))
    assert done.state is State.COMPLETED
    older = rollouts.decode(entry(value, State='rolled_back', Target='v1'))
    assert older.state is State.RUNNING
    assert rollouts.encode(older, State.ROLLED_BACK) == {
        'State': 'rolled_back',
        'Target': 'v2',
    }
