"""Answers on their way to callers."""

from collections.abc import Iterator

import attrs


@attrs.frozen
class Answer:
    """An answer whose body is read while it is sent.

    Attributes:
        status: HTTP status.
        headers: headers for the caller.
        body: chunks of the body; closing the iterator cancels the attempt.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]


@attrs.frozen
class WholeAnswer:
    """An answer that was read to its proven end.

    Attributes:
        status: HTTP status.
        headers: headers for the caller.
        body: the whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
