"""Callers, as serving sees them."""

from collections.abc import Callable
from collections.abc import Mapping

import attrs

from ..model.answer import Answer


@attrs.frozen
class Call:
    """One HTTP request of a caller, read to its end.

    Attributes:
        method: HTTP method.
        path: path with its query.
        headers: header values by name in lower case.
        body: the whole body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


HandleCall = Callable[[Call], Answer]
