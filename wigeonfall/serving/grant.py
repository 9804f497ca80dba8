"""Leave to send one request to one target."""

from collections.abc import Callable
import threading

import attrs

from ..model.target import Target

LiveTargets = Callable[[str, float], tuple[Target, ...]]


@attrs.frozen
class Grant:
    """Leave to send one request to one target.

    Attributes:
        target: the target to send to.
        revoked: set when the work must give way to a higher tier.
        release: gives the room back; called once, when the attempt is over.
        began: tells that the answer has begun, and how many tokens of the
            prompt the target's cache held, if it says so.
        paced: tells the mean time between the tokens of a whole answer.
    """

    target: Target
    revoked: threading.Event
    release: Callable[[], None]
    began: Callable[[int | None], None] = lambda _cached_tokens: None
    paced: Callable[[float], None] = lambda _pace_s: None
