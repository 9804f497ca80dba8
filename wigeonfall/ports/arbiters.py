"""Interface to the arbiter that grants requests of a pool to instances."""

from collections.abc import Callable

import attrs

from ..policy.room.grants import AnswerReport
from ..policy.room.grants import HeldGrant
from ..policy.room.grants import PendingRequest


@attrs.frozen
class ArbiterLink:
    """Messages of an instance to an arbiter; none of the calls blocks.

    Attributes:
        send_state: sends the held grants and the pending requests of the
            instance; called once, before any other message.
        enqueue: requests a grant.
        release: cancels a pending request or releases a grant, by its id.
        report: reports on the answer to a granted request.
    """

    send_state: Callable[
        [tuple[HeldGrant, ...], tuple[PendingRequest, ...]], None
    ]
    enqueue: Callable[[PendingRequest], None]
    release: Callable[[str], None]
    report: Callable[[AnswerReport], None] = lambda _report: None
