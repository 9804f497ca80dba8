"""Priority tiers of requests."""

import attrs


@attrs.frozen
class Tier:
    """A priority tier.

    Attributes:
        name: name of the tier, as used by operators and callers.
        rank: priority; 0 is served first and shed last.
    """

    name: str
    rank: int


def outranks(first: Tier, second: Tier) -> bool:
    """Return whether the first tier is served before the second."""
    return first.rank < second.rank
