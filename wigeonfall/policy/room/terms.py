"""Terms on which requests share scarce room, from settings and routes."""

from collections.abc import Callable

import attrs

from .expected_room import BOOKED_SHARE
from .kind_shares import DEFAULT_FLOOR


@attrs.frozen
class RoomTerms:
    """Terms on which requests share scarce room.

    Attributes:
        floor: share of a kind's requests below which it goes first, as a
            part of the mean share over the kinds of its service; 0 for none.
        booked: share of the slots kept for callers that were told to return;
            0 for none.
        rate_of: returns the rate of a customer, in any unit, to which its
            part of the room is in proportion; 0 if it is unknown.
    """

    floor: float = DEFAULT_FLOOR
    booked: float = BOOKED_SHARE
    rate_of: Callable[[str], float] = lambda _customer: 0.0
