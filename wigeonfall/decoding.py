"""Turns bytes from outside into values, or into a stated error.

Peers and other writers send values that nobody foresaw: numbers too large to
convert, values nested too deeply to parse, bytes that are no text. What a
decoder raises for one of them must not reach the code that handles the others.
"""

from collections.abc import Callable
import json
import marshal
import math
import re
from typing import Any, TypeVar
import zlib

from result import Err
from result import Ok
from result import Result
import xxhash

MAX_DEPTH = 64  # of JSON values; those that are nested deeper count as null
MAX_DIGITS = 308  # of a whole number; more have no floating point number
_DIGITS_TO_ZEROS = bytes.maketrans(b'123456789', b'0' * 9)
_LONG_NUMBER = b'0' * (MAX_DIGITS + 1)
_MARSHAL_FORMAT = 2  # the newest in which equal values give equal bytes
_DEPTH_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)

_Source = TypeVar('_Source')
_Value = TypeVar('_Value')


def decode(
    decoder: Callable[[_Source], _Value], source: _Source
) -> Result[_Value, str]:
    """Return what a decoder returns, or why it cannot decode a source.

    Args:
        decoder: may raise any exception.
        source: the value to decode.
    """
    try:
        return Ok(decoder(source))
    except ValueError as error:
        return Err(str(error))
    except Exception as error:
        return Err(repr(error))


def make_items_decoder(
    decoder: Callable[[Any], _Value],
) -> Callable[[list[Any]], tuple[_Value, ...]]:
    """Return a decoder of lists that decodes only what has changed.

    Items that stand in the list before, whatever their place, keep their
    decoded form. The function may be called in several threads.

    Args:
        decoder: decodes one item of JSON values; may raise ValueError, which
            is passed on.
    """
    known: dict[bytes, _Value] = {}

    def decode_items(items: list[Any]) -> tuple[_Value, ...]:
        nonlocal known
        before = known
        decoded: dict[bytes, _Value] = {}
        values = []
        for item in items:
            # Values that are equal but of other types, as 1 and True, differ.
            key = xxhash.xxh3_128_digest(marshal.dumps(item, _MARSHAL_FORMAT))
            value = before[key] if key in before else decoder(item)
            decoded[key] = value
            values.append(value)
        known = decoded
        return tuple(values)

    return decode_items


def loads(data: bytes | str, keeps_values: bool = True) -> Any:
    """Return JSON values.

    Bytes that are no UTF-8 are replaced, numbers that are too large are
    infinite, and values that are nested too deeply are None.

    Args:
        data: the JSON text.
        keeps_values: False if the caller decodes the values to fields of its
            own at once, in decode, and keeps none of them. Their depth is
            not looked at then, as it takes time on frequent messages.

    Raises:
        ValueError: the data are not JSON.
    """
    text = data if isinstance(data, str) else data.decode('utf-8', 'replace')
    encoded = (
        data if isinstance(data, bytes) else text.encode('ascii', 'replace')
    )
    # Without a function for whole numbers, the parser is twice as fast.
    has_long_number = _LONG_NUMBER in encoded.translate(_DIGITS_TO_ZEROS)
    try:
        value = json.loads(
            text, parse_int=_whole_number if has_long_number else None
        )
    except RecursionError:
        return json.loads(_without_deep(text), parse_int=_whole_number)
    if not keeps_values:
        return value
    # Counting brackets is fast, and few texts have so many.
    if text.count('[') + text.count('{') > MAX_DEPTH and _is_deep(value):
        return json.loads(_without_deep(text), parse_int=_whole_number)
    return value


def inflate(data: bytes, max_bytes: int) -> bytes:
    """Return decompressed data.

    Raises:
        ValueError: the data are not compressed, or longer than max_bytes.
    """
    decompressor = zlib.decompressobj()
    try:
        inflated = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise ValueError(f'not compressed: {error}') from error
    if not decompressor.eof:
        raise ValueError(f'incomplete, or over {max_bytes} bytes')
    return inflated


def whole_number(text: bytes | str, most: int) -> int | None:
    """Return a number of ASCII digits, None for anything else.

    Args:
        text: the digits.
        most: returned in place of larger numbers.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    if len(text) > MAX_DIGITS:
        return most
    return min(int(text), most)


def _whole_number(text: str) -> int | float:
    if len(text) <= MAX_DIGITS:
        return int(text)
    return -math.inf if text.startswith('-') else math.inf


def _is_deep(value: Any) -> bool:
    """Return whether lists and objects are nested deeper than MAX_DEPTH."""
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [
            inner
            for outer in level
            for inner in (outer.values() if type(outer) is dict else outer)
            if type(inner) in (list, dict)
        ]
        if not level:
            return False
    return True


def _without_deep(text: str) -> str:
    """Return a JSON text with null in place of what is nested too deeply."""
    kept = []
    depth = 0
    kept_from = 0
    for token in _DEPTH_TOKEN.finditer(text):
        bracket = token[0]
        if bracket in ('[', '{'):
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept.append(text[kept_from : token.start()])
        elif bracket in (']', '}'):
            if depth == MAX_DEPTH + 1:
                kept.append('null')
                kept_from = token.end()
            depth -= 1
    if depth > MAX_DEPTH:
        raise ValueError('JSON value without end')
    kept.append(text[kept_from:])
    return ''.join(kept)
