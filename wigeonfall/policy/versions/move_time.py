"""Decides when all requests of a service move to its new version.

A version may turn bad at any time until the end of its order, and the old
targets stop for good once the move is final. So requests move as late as the
old targets can still finish what they have, and no earlier than a version
that turns bad meanwhile would keep within the bound on exposure.
"""

import collections
import math

import attrs

TRIAL_SHARE = 0.05  # half of the usual bound on exposure
EARLIEST_SHARE = 0.5  # of the duration; requests move no earlier
# Of the duration, for moves that came early so that old targets can finish:
# the load changes until the end, and the versions are compared across it.
EARLY_FINAL_SHARE = 0.6  # once old targets are idle
EARLY_VERDICT_SHARE = 0.8
MIN_MARGIN_S = 0.8  # to store the verdict in time, with one repetition
MARGIN_SHARE = 0.04  # of the duration; an order may be seen late
MAX_MARGIN_S = 3.0  # in which a version that turns bad cannot be taken back
SETTLE_S = 0.5  # until all instances move their requests
USED_PART = 0.8  # of the bound; instances do not move at the same moment
DRAINED_SHARE = 0.95  # of the requests at old targets to wait for
_BUCKET_RATIO = 1.25  # between the durations that are told apart


@attrs.frozen
class ExposureBound:
    """How many requests may reach a version that turns out to be bad.

    Attributes:
        share: part of the requests of its service, within the duration of
            the order.
        requests: requests beside that.
    """

    share: float = 0.1
    requests: float = 50.0


@attrs.frozen
class Durations:
    """How long requests took, in classes of similar durations."""

    _counts: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )

    def add(self, lasted_s: float) -> None:
        """Add the duration of a request."""
        if lasted_s > 0:
            bucket = math.ceil(math.log(lasted_s, _BUCKET_RATIO))
            self._counts[bucket] += 1

    def quantile_s(self, share: float) -> float:
        """Return a duration that a share of the requests did not exceed.

        Returns:
            The duration in seconds, 0 if there was no request.
        """
        missing = share * self._counts.total()
        for bucket in sorted(self._counts):
            missing -= self._counts[bucket]
            if missing <= 0:
                return _BUCKET_RATIO**bucket
        return 0.0


def verdict_after_s(duration_s: float, old_busy: bool) -> float:
    """Return when the verdict on an order is due, from its arrival on.

    Not before, as a version that is completed cannot be taken back.

    Args:
        duration_s: duration of the order.
        old_busy: whether old targets still have requests, which a verdict
            for the new version cuts off.
    """
    margin_s = max(MIN_MARGIN_S, MARGIN_SHARE * duration_s)
    margin_s = min(MAX_MARGIN_S, margin_s)
    if old_busy:
        margin_s /= 2
    return duration_s - min(margin_s, duration_s / 2)


def allowed_after_s(
    duration_s: float, requests_per_s: float, bound: ExposureBound
) -> float:
    """Return from when on all requests keep within the bound on exposure.

    Args:
        duration_s: duration of the order.
        requests_per_s: requests of the service.
        bound: bound on the exposure to a bad version.
    """
    spare = (bound.share - TRIAL_SHARE) * requests_per_s * duration_s
    spare = USED_PART * max(0.0, spare + bound.requests)
    return duration_s - spare / max(0.001, requests_per_s)


def move_after_s(
    duration_s: float, allowed_s: float, old_durations: Durations
) -> float:
    """Return when all requests may move, from the arrival of an order on.

    Args:
        duration_s: duration of the order.
        allowed_s: when they keep within the bound on exposure.
        old_durations: how long requests took at the old targets.
    """
    drain_s = SETTLE_S + old_durations.quantile_s(DRAINED_SHARE)
    drained_s = verdict_after_s(duration_s, False) - drain_s
    return max(EARLIEST_SHARE * duration_s, min(allowed_s, drained_s))
