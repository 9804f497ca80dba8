"""Chooses a target by prompt prefix, under a bound on its load."""

from collections.abc import Sequence

from . import rendezvous
from .grants import Pending
from .grants import TargetLoad

LOAD_BOUND = 1.25


def choose(
    pending: Pending, targets: Sequence[TargetLoad], now_s: float
) -> str:
    """Return the name of the target that should run a request.

    Requests with the same prefix go to the same target, so that its prefix
    cache is of use, unless that target has more than its share of the load.

    Args:
        pending: the request.
        targets: the targets with room; at least one.
        now_s: present time; loads are as of now.
    """
    least = min(targets, key=lambda t: (t.tokens, t.requests, t.name))
    if not pending.prefix_hash:
        return least.name
    loads = {t.name: t.tokens for t in targets}
    mean_tokens = sum(loads.values()) / len(loads)
    bound_tokens = LOAD_BOUND * mean_tokens + pending.cost_tokens
    for name in rendezvous.ranked(str(pending.prefix_hash), loads):
        if loads[name] <= bound_tokens:
            return name
    return least.name
