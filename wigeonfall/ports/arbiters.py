"""The arbiter of a pool, as the instances that hold its grants see it."""

from collections.abc import Callable

import attrs

from ..policy.grants import Held
from ..policy.grants import Pending
from ..policy.grants import Report


@attrs.frozen
class Link:
    """Messages to an arbiter; none of the calls blocks.

    Attributes:
        begin: sends all that the instance holds and waits for, once.
        enqueue: asks for a grant.
        done: ends a wait or gives a grant back, by identifier.
        report: tells of the answer to a granted request.
    """

    begin: Callable[[tuple[Held, ...], tuple[Pending, ...]], None]
    enqueue: Callable[[Pending], None]
    done: Callable[[str], None]
    report: Callable[[Report], None] = lambda _report: None
