"""Pauses that double with each failure, up to a bound."""

import math

MAX_DOUBLINGS = 32  # more would pass every bound, and then all numbers


def doubled_s(first_s: float, doublings: int, most_s: float) -> float:
    """Return a pause after a number of failures, however large that is.

    Args:
        first_s: the pause without any doubling.
        doublings: how often it has doubled.
        most_s: longest pause.
    """
    return min(most_s, math.ldexp(first_s, min(doublings, MAX_DOUBLINGS)))
