"""The arbiter of a pool, as the instances that hold its grants see it."""

from collections.abc import Callable

import attrs

from ..policy.grants import AnswerReport
from ..policy.grants import HeldGrant
from ..policy.grants import PendingRequest


@attrs.frozen
class ArbiterLink:
    """Messages to an arbiter; none of the calls blocks.

    Attributes:
        begin: sends all that the instance holds and waits for, once.
        enqueue: asks for a grant.
        done: ends a wait or gives a grant back, by identifier.
        report: tells of the answer to a granted request.
    """

    send_state: Callable[
        [tuple[HeldGrant, ...], tuple[PendingRequest, ...]], None
    ]
    enqueue: Callable[[PendingRequest], None]
    release: Callable[[str], None]
    report: Callable[[AnswerReport], None] = lambda _report: None
