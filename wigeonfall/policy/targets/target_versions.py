"""Decides which version each target of a service should serve."""

from collections.abc import Sequence
import math

from ...model.rollout import Phase
from ...model.rollout import Rollout
from ...model.target import Target
from .. import rendezvous


def new_targets(share: float, targets: int) -> int:
    """Return how many targets should serve the new version.

    At least one target keeps the old version until the rollout completes.

    Args:
        share: share of requests that go to the new version.
        targets: number of targets of the service.
    """
    if share <= 0:
        return 0
    return min(targets - 1, max(1, math.ceil(share * targets)))


def desired_versions(
    rollout: Rollout, share: float, targets: Sequence[Target]
) -> dict[str, str]:
    """Return the version that each target should serve.

    Args:
        rollout: the rollout of the targets' service.
        share: share of requests that the new version must be ready to serve.
        targets: all targets of the service.

    Returns:
        Versions by name of the target. Targets that serve the new version
        already are chosen first, so that few targets change their version.
    """
    names = [target.name for target in targets]
    if rollout.phase is Phase.COMPLETED:
        return dict.fromkeys(names, rollout.new_version)
    if rollout.phase is Phase.ROLLED_BACK:
        return dict.fromkeys(names, rollout.old_version)
    updated = {t.name for t in targets if t.version == rollout.new_version}
    order = rendezvous.ranked(rollout.id, names)
    chosen = sorted(order, key=lambda name: name not in updated)
    selected = set(chosen[: new_targets(share, len(targets))])
    return {
        name: rollout.new_version if name in selected else rollout.old_version
        for name in names
    }
