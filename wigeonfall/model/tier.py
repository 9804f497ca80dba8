"""Priority tiers of requests."""

import attrs


@attrs.frozen
class Tier:
    """A priority tier.

    Attributes:
        name: the name that operators and callers use.
        rank: position in the order of tiers; 0 is served first and shed last.
    """

    name: str
    rank: int


def outranks(first: Tier, second: Tier) -> bool:
    """Return whether the first tier is served before the second."""
    return first.rank < second.rank
