"""Permission to send one request to one target."""

from collections.abc import Callable
import threading

import attrs

from ..model.target import Target

LiveTargets = Callable[[str, float], tuple[Target, ...]]


@attrs.frozen
class Grant:
    """Permission to send one request to one target.

    Attributes:
        target: the target to send to.
        revoked: set when the request must be cancelled in favour of a
            higher tier.
        release: frees the capacity; called once, when the attempt is over.
        report_cached_tokens: called when the answer has begun, with the
            number of prompt tokens in the target's cache, or None if the
            target does not say.
        report_pace: called at the end of a complete answer, with the mean
            time between its tokens in seconds.
    """

    target: Target
    revoked: threading.Event
    release: Callable[[], None]
    report_cached_tokens: Callable[[int | None], None] = (
        lambda _cached_tokens: None
    )
    report_pace: Callable[[float], None] = lambda _pace_s: None
