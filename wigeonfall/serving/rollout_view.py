"""The state of a rollout that routing a request reads."""

import attrs

from ..model.rollout import Rollout


@attrs.frozen
class View:
    """The rollout of one service, as one instance applies it.

    Attributes:
        rollout: the newest known rollout of a service.
        share: share of the new version at this instance.
        quota: requests that this instance may send to the new version in
            total, None without a limit.
    """

    rollout: Rollout
    share: float
    quota: int | None
