"""Checks the fields of datagrams, which any sender may fill."""

from collections.abc import Callable
from collections.abc import Mapping
import math
from typing import Any, TypeVar

_Value = TypeVar('_Value')

MAX_NUMBER = 2**63


def text(value: Any) -> str:
    """Return a string.

    Raises:
        ValueError: the value is none.
    """
    if not isinstance(value, str):
        raise ValueError(f'{value!r} is no string')
    return value


def whole(value: Any) -> int:
    """Return a whole number.

    Raises:
        ValueError: the value is none, or out of range.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f'{value!r} is no whole number')
    if abs(value) > MAX_NUMBER:
        raise ValueError('whole number out of range')
    return value


def number(value: Any) -> float:
    """Return a finite number.

    Raises:
        ValueError: the value is none, or out of range.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f'{value!r} is no number')
    if not math.isfinite(value) or abs(value) > MAX_NUMBER:
        raise ValueError('number out of range')
    return value


def flag(value: Any) -> bool:
    """Return whether a value is true.

    Raises:
        ValueError: the value is neither true nor false.
    """
    if not isinstance(value, bool):
        raise ValueError(f'{value!r} is neither true nor false')
    return value


def mapping(
    convert: Callable[[Any], _Value],
) -> Callable[[Any], dict[str, _Value]]:
    """Return a check of a JSON object, given that of its values."""

    def check(value: Any) -> dict[str, _Value]:
        if not isinstance(value, Mapping):
            raise ValueError(f'{value!r} is no JSON object')
        return {name: convert(item) for name, item in value.items()}

    return check
