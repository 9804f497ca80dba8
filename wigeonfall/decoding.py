"""Turns bytes from outside into values, or into a stated error.

Peers and other writers send values that nobody foresaw: numbers too large to
convert, values nested too deeply to parse, bytes that are no text. What a
decoder raises for one of them must not reach the code that handles the others.
"""

from collections.abc import Callable
import json
import math
import re
from typing import Any, TypeVar
import zlib

from result import Err
from result import Ok
from result import Result

MAX_DEPTH = 64  # of JSON values; those that are nested deeper count as null
MAX_DIGITS = 308  # of a whole number; more have no floating point number
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
    try:
        value = json.loads(text, parse_int=_whole_number)
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
