"""What the path of a request needs of a rollout."""

import attrs

from ..model.rollout import Rollout


@attrs.frozen
class View:
    """One service's rollout, as one instance acts on it.

    Attributes:
        rollout: the newest known rollout of a service.
        share: share of the new version at this instance.
        allowed: requests that this instance may give the new version in
            all, or None without a limit.
    """

    rollout: Rollout
    share: float
    allowed: int | None
