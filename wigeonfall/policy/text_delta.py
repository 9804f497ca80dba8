"""Deltas between two versions of a text.

A change of configuration touches few lines of a long text, so that a delta
holds the lines between the common head and the common tail.
"""

import attrs


@attrs.frozen
class Delta:
    """What turns an older text into a newer one.

    Attributes:
        head_lines: lines at the beginning that stay.
        tail_lines: lines at the end that stay.
        middle: text that comes between them.
    """

    head_lines: int
    tail_lines: int
    middle: str


def make_delta(older: str, newer: str) -> Delta:
    """Return the delta from one text to another."""
    old = older.splitlines(keepends=True)
    new = newer.splitlines(keepends=True)
    shorter = min(len(old), len(new))
    head = 0
    while head < shorter and old[head] == new[head]:
        head += 1
    tail = 0
    while tail < shorter - head and old[-1 - tail] == new[-1 - tail]:
        tail += 1
    return Delta(head, tail, ''.join(new[head : len(new) - tail]))


def apply_delta(older: str, delta: Delta) -> str:
    """Return the newer text.

    Raises:
        ValueError: the delta was made for a longer text.
    """
    old = older.splitlines(keepends=True)
    if delta.head_lines + delta.tail_lines > len(old):
        raise ValueError('the delta belongs to another text')
    head = ''.join(old[: delta.head_lines])
    tail = ''.join(old[len(old) - delta.tail_lines :])
    return head + delta.middle + tail
