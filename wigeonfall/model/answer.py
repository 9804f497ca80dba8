"""Answers to callers, streamed or complete."""

from collections.abc import Iterator

import attrs


@attrs.frozen
class Answer:
    """An answer whose body is streamed.

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
    """An answer that was read to its end and is known to be complete.

    Attributes:
        status: HTTP status.
        headers: headers for the caller.
        body: the complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
