"""Tests of turning bytes from outside into values."""

import copy
import json
import math
import time
import timeit
import zlib

from hypothesis import given
from hypothesis import strategies as st
import pytest
from result import Err
from result import Ok

from wigeonfall import decoding

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


@given(JSON)
def test_ordinary_values_are_read_unchanged(value):
    assert decoding.loads(json.dumps(value).encode()) == value
    assert decoding.loads(json.dumps(value, ensure_ascii=False)) == value


@given(st.binary(max_size=80))
def test_any_bytes_are_json_or_a_value_error(data):
    try:
        decoding.loads(data)
    except ValueError:
        pass


@pytest.mark.parametrize('depth', [20_000, 500_000])
def test_deep_values_are_null_and_leave_the_others(depth):
    """One such entry made a whole listing unreadable."""
    deep = '[' * depth + '{"a": "]"}' + ']' * depth
    text = '{"before": ["[", 1], "deep": %s, "after": {"x": 2}}' % deep
    value = decoding.loads(text.encode())
    while isinstance(value['deep'], list):
        (value['deep'],) = value['deep']  # as deep as is allowed
    assert value == {'before': ['[', 1], 'deep': None, 'after': {'x': 2}}


def depth_of(value):
    """Return how deeply lists and objects are nested."""
    depth = 0
    level = [value]
    while level := [v for v in level if isinstance(v, list | dict)]:
        depth += 1
        level = [
            inner
            for outer in level
            for inner in (outer.values() if isinstance(outer, dict) else outer)
        ]
    return depth


@pytest.mark.parametrize('opening', ['[', '{"a":'])
@pytest.mark.parametrize(
    'depth', [1, 63, 64, 65, 66, 100, 450, 600, 900, 985, 1100, 5000]
)
def test_limit_on_depth_holds_for_all_depths(opening, depth):
    """What the parser itself could read, up to about 1,000, was not cut."""
    closing = ']' if opening == '[' else '}'
    text = opening * depth + '"[x]"' + closing * depth
    value = decoding.loads(text)
    assert depth_of(value) == min(depth, decoding.MAX_DEPTH)
    # Whatever handles it later, deeper in the stack, can do so.
    assert copy.deepcopy(value) == value
    assert json.loads(json.dumps(value)) == value
    assert repr(value)


@given(JSON, st.integers(50, 80))
def test_limit_on_depth_keeps_all_around_it(value, depth):
    text = json.dumps({'before': value, 'after': '[' * 200})
    for _ in range(depth):
        text = f'[{text}]'
    inner = decoding.loads(text)
    assert depth_of(inner) <= decoding.MAX_DEPTH
    for _ in range(min(depth, decoding.MAX_DEPTH - 1)):
        (inner,) = inner
    if depth_of(json.loads(text)) <= decoding.MAX_DEPTH:
        assert inner == {'before': value, 'after': '[' * 200}


def test_deep_values_without_end_are_an_error_in_linear_time():
    times_s = []
    for size in (100_000, 800_000):
        started_s = time.process_time()
        with pytest.raises(ValueError):
            decoding.loads('[' * size)
        times_s.append(time.process_time() - started_s)
    assert times_s[1] < 64 * max(times_s[0], 0.001)


@pytest.mark.parametrize('digits', [401, 5000, 100_000])
def test_numbers_of_many_digits_are_infinite(digits):
    number = '9' * digits
    assert decoding.loads(f'[{number}, -{number}, 1e999, 7]') == [
        math.inf,
        -math.inf,
        math.inf,
        7,
    ]


def test_ordinary_numbers_are_read_as_fast_as_by_the_parser():
    """A function was called for each number of a large table."""
    text = json.dumps(list(range(100_000)))
    once = dict(timer=time.process_time, number=1, repeat=7)
    own_s, parser_s = (
        min(timeit.repeat(lambda r=read: r(text), **once))
        for read in (decoding.loads, json.loads)
    )
    assert own_s < 2 * parser_s


@given(JSON, st.integers(300, 320))
def test_long_numbers_change_nothing_beside_them(value, digits):
    number = '9' * digits
    text = '{"long": %s, "other": %s}' % (number, json.dumps(value))
    expected = math.inf if digits > decoding.MAX_DIGITS else int(number)
    assert decoding.loads(text) == {'long': expected, 'other': value}
    assert decoding.loads(text.encode()) == {'long': expected, 'other': value}


def test_bytes_that_are_no_text_are_replaced():
    assert decoding.loads(b'{"a": "\xff", "b": 1}') == {'a': '\ufffd', 'b': 1}


@pytest.mark.parametrize(
    'error', [ValueError('v'), OverflowError('o'), RecursionError('r')]
)
def test_whatever_a_decoder_raises_is_returned(error):
    def decoder(_source):
        raise error

    assert isinstance(decoding.decode(decoder, 1), Err)
    assert decoding.decode(str, 1) == Ok('1')


def test_a_datagram_is_inflated_up_to_a_limit():
    """64 KB may hold 64 MB of zeros."""
    data = zlib.compress(bytes(1000))
    assert decoding.inflate(data, 1000) == bytes(1000)
    for bad, limit in ((data, 999), (data[:-5], 1000), (b'x', 1000)):
        with pytest.raises(ValueError):
            decoding.inflate(bad, limit)


@pytest.mark.parametrize(
    ('text', 'number'),
    [
        ('17', 17),
        ('007', 7),
        ('9' * 5000, 1000),
        ('1001', 1000),
        ('', None),
        ('-1', None),
        ('1.0', None),
        ('\u00b2', None),
        ('\u0663', None),
    ],
)
def test_whole_numbers_are_ascii_digits(text, number):
    assert decoding.whole_number(text, 1000) == number


@given(st.lists(st.lists(JSON, max_size=6), max_size=4))
def test_items_are_decoded_anew_only_after_a_change(series):
    decoded = []

    def decoder(item):
        decoded.append(item)
        return [item, type(item)]

    decode_items = decoding.make_items_decoder(decoder)
    before = []
    for items in series:
        decoded.clear()
        assert list(decode_items(items)) == [[i, type(i)] for i in items]
        known = [repr(item) for item in before]
        assert not [item for item in decoded if repr(item) in known]
        before = items


def test_an_item_that_cannot_be_decoded_changes_nothing_that_is_known():
    decode_items = decoding.make_items_decoder(lambda item: [1 / item])
    (kept,) = decode_items([2])
    with pytest.raises(ZeroDivisionError):
        decode_items([2, 0])
    assert decode_items([4, 2])[1] is kept
