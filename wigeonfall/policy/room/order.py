"""The order in which the waiting requests of a service get room.

Load pattern: more requests wait than can begin while they are of use. One
that misses its goal is worth little to its caller, and takes as much room as
one that meets it. So those that can meet their goal go first over all ranks,
by rank among themselves, except that kinds that have got less than their floor
go before the others, late or not, and so do the large requests of a kind.
Callers that return when they were told to go next, then within each rank
others that were refused before and those that have waited too long. Short
requests that can meet their goal occupy a slot only briefly and go before all
but large ones, unless more urgent ranks are served less often.
"""

from collections.abc import Collection

import attrs

from .best_times import BestTimes
from .pending import PendingRequest

MAX_SHORT_S = 0.3  # from dispatch to the end of a short answer
TRANSIT_S = 0.02  # to the target and back to the caller
GOAL_MARGIN = 0.2  # of a goal; the free target is slower than the best one
CLASSES = 3  # of one rank
IN_TIME, RETRY, LATE = range(CLASSES)
# Offsets of classes, which exceed the classes of all ranks. Peers compare the
# numbers; older releases use only that of short requests.
LARGE_OFFSET = -15_000
SHORT_OFFSET = -10_000
BELOW_FLOOR_OFFSET = -5_000
BOOKED_OFFSET = 5_000
LATE_OFFSET = 10_000


@attrs.frozen
class Precedence:
    """What changes the order by rank at present.

    Attributes:
        held_back: ranks whose short requests do not go before others.
        below_floor: kinds that have got less than their floor.
        large_below_floor: kinds whose large requests have got less than
            theirs.
        over: ranks and names of customers that have used more than their
            part; within a class they go after the others.
    """

    held_back: Collection[int] = frozenset()
    below_floor: Collection[str] = frozenset()
    large_below_floor: Collection[str] = frozenset()
    over: Collection[tuple[int, str]] = frozenset()


def class_of(
    pending: PendingRequest,
    best: BestTimes | None,
    precedence: Precedence,
    now_s: float,
    is_large: bool = False,
) -> int:
    """Return the priority class of a request; lower ones go first.

    Args:
        pending: the request.
        best: shortest times over the targets, None if nothing waits.
        precedence: what changes the order by rank.
        now_s: present time on the monotonic clock.
        is_large: whether it is among the largest of its kind.
    """
    number = pending.rank * CLASSES
    if pending.is_booked:
        return BOOKED_OFFSET + number
    if best is None:
        return number
    first_s = best.first_s(pending.size)
    margin_s = GOAL_MARGIN * max(0.0, pending.goal_s - pending.arrived_s)
    place = IN_TIME
    if now_s + first_s + TRANSIT_S + margin_s > pending.goal_s:
        place = RETRY if pending.is_retry else LATE
    if is_large and pending.kind in precedence.large_below_floor:
        return LARGE_OFFSET + number
    short = first_s + best.answer_s(pending.size) <= MAX_SHORT_S
    if short and place != LATE and pending.rank not in precedence.held_back:
        return SHORT_OFFSET + number + place
    if pending.kind in precedence.below_floor:
        return BELOW_FLOOR_OFFSET + number + place
    if place == IN_TIME:
        return number
    return LATE_OFFSET + number + place
