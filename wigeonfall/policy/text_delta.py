"""Line-based deltas between two versions of a text.

A change of configuration touches few lines of a long text, so a delta only
contains the lines between the common head and the common tail.
"""

import attrs


@attrs.frozen
class Delta:
    """The difference between an older and a newer text.

    Attributes:
        head_lines: number of unchanged lines at the beginning.
        tail_lines: number of unchanged lines at the end.
        middle: new text between them.
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
    """Apply a delta and return the newer text.

    Raises:
        ValueError: the delta was made for another, longer text.
    """
    old = older.splitlines(keepends=True)
    if delta.head_lines + delta.tail_lines > len(old):
        raise ValueError('the delta belongs to another text')
    head = ''.join(old[: delta.head_lines])
    tail = ''.join(old[len(old) - delta.tail_lines :])
    return head + delta.middle + tail
