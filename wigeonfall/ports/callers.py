"""HTTP calls of callers and the type of their handler."""

from collections.abc import Callable
from collections.abc import Mapping

import attrs

from ..model.answer import Answer


@attrs.frozen
class Call:
    """One HTTP request of a caller, with its complete body.

    Attributes:
        method: HTTP method.
        path: path with the query string.
        headers: header values by lower-case name.
        body: the complete body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


HandleCall = Callable[[Call], Answer]
