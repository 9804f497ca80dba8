"""Tests of routes, weights and customers."""

import collections
import time
import timeit

from hypothesis import given
from hypothesis import strategies as st

from wigeonfall.model.routing import CallerLimits
from wigeonfall.model.routing import KeyHolder
from wigeonfall.model.routing import Repeat
from wigeonfall.model.routing import Route
from wigeonfall.model.routing import RoutingTable
from wigeonfall.model.routing import ServiceWeight
from wigeonfall.policy import routing


def make_route(name='r', prefix='/a/', services=(('s', 1.0),), **fields):
    values = dict(
        name=name,
        host='shop.example',
        path_prefix=prefix,
        repeat=Repeat.STREAM,
        resumable=False,
        timeout_s=15.0,
        answer_goal_s=0.8,
        pace_goal_s=0.2,
        rank=0,
        services=tuple(ServiceWeight(*pair) for pair in services),
        attempts_limit=1,
        anonymous=False,
    )
    return Route(**(values | fields))


def make_customer(name='c', keys=('k',), **fields):
    values = dict(
        name=name,
        keys=keys,
        rank=None,
        tokens_per_s=1000.0,
        burst_tokens=2000.0,
        plain_tokens=200.0,
        counts_tokens=True,
    )
    return KeyHolder(**(values | fields))


def make_index(*routes, customers=()):
    table = RoutingTable(1, routes, ('s',), customers, CallerLimits())
    return routing.make_index(table)


def test_longest_prefix_of_the_host_is_chosen():
    index = make_index(
        make_route('short', '/a/'),
        make_route('long', '/a/b/'),
        make_route('other', '/a/b/c/', host='other.example'),
    )
    found = routing.find_route(index, 'Shop.example:80', '/a/b/c/d?x=/z/')
    assert found is not None and found.name == 'long'
    assert routing.find_route(index, 'shop.example', '/b/') is None
    assert routing.find_route(index, 'none.example', '/a/') is None


PATHS = st.text('ab/', max_size=6).map(lambda text: f'/{text}')


@given(st.lists(PATHS, max_size=12), PATHS)
def test_route_is_the_first_of_the_longest_prefix(prefixes, path):
    routes = [make_route(str(n), p) for n, p in enumerate(prefixes)]
    matching = [r for r in routes if path.startswith(r.path_prefix)]
    expected = max(matching, key=lambda r: len(r.path_prefix), default=None)
    index = make_index(*routes)
    assert routing.find_route(index, 'shop.example', path) is expected


def test_look_ups_take_no_longer_in_a_large_table():
    """Each request looked at all routes of its host."""
    times_s = []
    for count in (50, 5650):
        routes = [make_route(str(n), f'/r{n:05}/') for n in range(count)]
        index = make_index(*routes)
        last = f'/r{count - 1:05}/x'
        timer = timeit.Timer(
            lambda i=index, p=last: routing.find_route(i, 'shop.example', p),
            timer=time.process_time,
        )
        times_s.append(min(timer.repeat(5, 1000)))
    assert times_s[1] < 5 * times_s[0]


def test_prefix_matches_only_the_start_of_the_path():
    index = make_index(make_route(prefix='/a/'))
    assert routing.find_route(index, 'shop.example', '/x?/a/') is None


def test_weights_divide_requests_deterministically():
    route = make_route(services=(('s', 90.0), ('t', 10.0), ('u', 0.0)))
    chosen = [routing.choose_service(route, f'id-{n}') for n in range(4000)]
    counts = collections.Counter(chosen)
    assert 0.87 < counts['s'] / 4000 < 0.93
    assert counts['u'] == 0
    assert chosen == [
        routing.choose_service(route, f'id-{n}') for n in range(4000)
    ]
