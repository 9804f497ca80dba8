"""The comparison of the versions of one running rollout at one instance.

At the full share the old version gives no outcomes in the same window. Right
after a growth the first outcomes of the new version are mostly errors, as
errors arrive sooner than complete answers. A fault that affects both versions
would then look like a regression of the new one. A regression found at such a
time is a suspicion: it only lowers the share at this instance, so that both
versions get requests and can be compared again. A regression found during a
suspicion is final, and so is the last of SUSPICIONS_TO_FAIL suspicions at the
full share. Outcomes of the first seconds of a suspicion do not count, as they
belong to requests sent before it.
"""

import math

from ..model.rollout import Rollout
from ..policy.versions import outcome_counts
from ..policy.versions import rollout as policy
from ..policy.versions import version_comparison

REQUEST_RATE_HALF_LIFE_S = 10.0
GROWTH_SETTLE_S = 5.0
SUSPICION_S = 30.0
SUSPICION_SETTLE_S = 10.0
SUSPICIONS_TO_FAIL = 4
SUSPECTED_SHARE_FACTOR = 0.1


class Trial:
    """The running comparison of the two versions of one rollout."""

    def __init__(self, rollout: Rollout, instances: int) -> None:
        duration_s = rollout.deadline_unix_s - rollout.started_unix_s
        self._comparison = version_comparison.VersionComparison(
            rollout.criteria, duration_s, instances
        )
        self._steps = rollout.steps
        self._quota_used = 0
        self._recent_requests = 0.0
        self._recent_updated_s = 0.0
        self._suspected_until_s = float('-inf')
        self._suspicions = 0
        self._last_growth_s = float('-inf')

    def use_quota(self, quota: int) -> bool:
        """Count a request to the new version; return whether quota is left."""
        if self._quota_used >= quota:
            return False
        self._quota_used += 1
        return True

    def evaluate(
        self,
        rollout: Rollout,
        new: dict[outcome_counts.CountsKey, outcome_counts.Counts],
        now_s: float,
    ) -> version_comparison.Regression | None:
        """Compare the versions with new counts of outcomes.

        Args:
            rollout: newest known state of the rollout.
            new: counts since the last call, also those of other rollouts.
            now_s: current time on the monotonic clock.

        Returns:
            The regression of the new version if one is certain, else None.
        """
        old_counts = _counts_of_version(new, rollout.id, rollout.old_version)
        new_counts = _counts_of_version(new, rollout.id, rollout.new_version)
        counts = (*old_counts.values(), *new_counts.values())
        decay = 0.5 ** (
            (now_s - self._recent_updated_s) / REQUEST_RATE_HALF_LIFE_S
        )
        self._recent_requests *= decay
        self._recent_requests += sum(c.requests for c in counts)
        self._recent_updated_s = now_s
        uncertain = self._is_uncertain(rollout, now_s)
        regression = self._comparison.add(
            old_counts, new_counts, now_s, uncertain
        )
        if self._steps != rollout.steps:
            self._steps = rollout.steps
            self._last_growth_s = now_s
            self._comparison.start_step()
        if regression is not None and uncertain:
            return self._suspect(rollout, regression, now_s)
        settled_s = self._suspected_until_s - SUSPICION_S + SUSPICION_SETTLE_S
        if now_s < settled_s:
            self._comparison.restart()
            return None
        return regression

    def _is_uncertain(self, rollout: Rollout, now_s: float) -> bool:
        """Return whether a regression found now is only a suspicion."""
        if self.suspected(now_s):
            return False
        recent_growth = (
            rollout.steps > 1 and now_s < self._last_growth_s + GROWTH_SETTLE_S
        )
        return recent_growth or rollout.share >= policy.FULL_SHARE

    def _suspect(
        self,
        rollout: Rollout,
        regression: version_comparison.Regression,
        now_s: float,
    ) -> version_comparison.Regression | None:
        """Start a suspicion; return the regression if no more are allowed."""
        self._suspicions += rollout.share >= policy.FULL_SHARE
        if self._suspicions >= SUSPICIONS_TO_FAIL:
            return regression
        self._suspected_until_s = now_s + SUSPICION_S
        self._comparison.restart()
        return None

    def suspected(self, now_s: float) -> bool:
        """Return whether the new version is under suspicion."""
        return now_s < self._suspected_until_s

    def reduced_share(self, share: float, now_s: float) -> float:
        """Return a share, reduced while the version is under suspicion."""
        return (
            share * SUSPECTED_SHARE_FACTOR if self.suspected(now_s) else share
        )

    def decision_inputs(
        self, rollout: Rollout, reporting_share: float, bad: str, now_s: float
    ) -> policy.DecisionInputs:
        """Return the inputs of a decision on the rollout.

        Args:
            rollout: newest known state of the rollout.
            reporting_share: share of instances that reported recently.
            bad: the regression of the new version, or ''.
            now_s: current time on the monotonic clock.
        """
        rate_per_s = (
            self._recent_requests * math.log(2) / REQUEST_RATE_HALF_LIFE_S
        )
        step_is_current = self._steps == rollout.steps
        return policy.DecisionInputs(
            has_baseline=self._comparison.has_baseline(),
            step_has_evidence=step_is_current
            and self._comparison.step_has_evidence(),
            routes_lacking_evidence=self._comparison.routes_lacking_evidence(),
            rate_per_s=rate_per_s,
            reporting_share=reporting_share,
            suspected=self.suspected(now_s),
            bad=bad,
        )


def _counts_of_version(
    new: dict[outcome_counts.CountsKey, outcome_counts.Counts],
    rollout_id: str,
    version: str,
) -> dict[str, outcome_counts.Counts]:
    """Return the counts of one version by route."""
    return {
        key.route: counts
        for key, counts in new.items()
        if key.rollout == rollout_id and key.version == version
    }
