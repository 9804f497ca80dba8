"""A request that waits for a slot."""

from collections.abc import Callable

import attrs

from ...model.prompt import PromptPart
from ..targets.target_stats import RequestSize


@attrs.frozen
class PendingRequest:
    """A request that waits for a slot at a target.

    Attributes:
        id: identifier of the request.
        rank: priority; 0 goes first.
        is_retry: whether its caller was refused before.
        arrived_s: arrival, on the monotonic clock.
        goal_s: time by which the first event is due.
        patience_s: time at which the caller gives up without one.
        deadline_s: time by which the answer must be complete.
        queue_deadline_s: time at which it is refused if it still waits.
        size: its size in tokens.
        is_eligible: returns whether a target may get it, by its name.
        kind: name of its route, '' if an older peer did not tell it.
        customer: name of its customer, '' if unknown.
        parts: parts of its prompt, in order.
        kept_tokens: tokens of its prompt that its target is believed to hold,
            once it has one.
        is_booked: whether its caller was told to return now.
    """

    id: str
    rank: int
    is_retry: bool
    arrived_s: float
    goal_s: float
    patience_s: float
    deadline_s: float
    queue_deadline_s: float
    size: RequestSize = RequestSize()
    is_eligible: Callable[[str], bool] = lambda _name: True
    kind: str = ''
    customer: str = ''
    parts: tuple[PromptPart, ...] = ()
    kept_tokens: float = 0.0
    is_booked: bool = False
