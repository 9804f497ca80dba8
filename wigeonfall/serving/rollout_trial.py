"""The evidence of one rollout under way, as one instance sees it.

Under the full load the old version gives no outcomes in the same window, and
right after a growth the first outcomes of the new version are mostly errors,
as these come sooner than whole answers. Trouble which both versions share
would then look like a bad version. A first finding at such a time is a
suspicion: it only lowers the share at this instance, which brings the
comparison back. A finding under suspicion is a verdict, and so is the last of
several suspicions under the full load. Outcomes of the first seconds of a
suspicion do not count, as they belong to requests from before it.
"""

import math

from ..model.rollout import Rollout
from ..policy import outcome_counts
from ..policy import rollout as policy
from ..policy import version_comparison

RATE_HALF_LIFE_S = 10.0
GROWTH_SETTLES_S = 5.0
SUSPICION_S = 30.0
SUSPICION_SETTLES_S = 10.0
SUSPICIONS = 4
SUSPECT_FACTOR = 0.1


class Trial:
    """The running comparison of the two versions of one rollout."""

    def __init__(self, rollout: Rollout, instances: int) -> None:
        duration_s = rollout.deadline_unix_s - rollout.started_unix_s
        self._comparison = version_comparison.VersionComparison(
            rollout.criteria, duration_s, instances
        )
        self._steps = rollout.steps
        self._taken = 0
        self._recent_requests = 0.0
        self._recent_s = 0.0
        self._suspected_until_s = float('-inf')
        self._suspicions = 0
        self._grown_s = float('-inf')

    def take(self, allowed: int) -> bool:
        """Count a request for the new version, if the limit allows it."""
        if self._taken >= allowed:
            return False
        self._taken += 1
        return True

    def judge(
        self,
        rollout: Rollout,
        new: dict[outcome_counts.CountsKey, outcome_counts.Counts],
        now_s: float,
    ) -> version_comparison.Regression | None:
        """Take in new counts.

        Args:
            rollout: the rollout as it is known now.
            new: counts since the last call, also those of other rollouts.
            now_s: present time on the monotonic clock.

        Returns:
            The verdict if the new version is found to be bad.
        """
        old_part = _of_version(new, rollout.id, rollout.old_version)
        new_part = _of_version(new, rollout.id, rollout.new_version)
        parts = (*old_part.values(), *new_part.values())
        fade = 0.5 ** ((now_s - self._recent_s) / RATE_HALF_LIFE_S)
        self._recent_requests *= fade
        self._recent_requests += sum(part.requests for part in parts)
        self._recent_s = now_s
        unsure = self._unsure(rollout, now_s)
        verdict = self._comparison.add(old_part, new_part, now_s, unsure)
        if self._steps != rollout.steps:
            self._steps = rollout.steps
            self._grown_s = now_s
            self._comparison.start_step()
        if verdict is not None and unsure:
            return self._suspect(rollout, verdict, now_s)
        settled_s = self._suspected_until_s - SUSPICION_S + SUSPICION_SETTLES_S
        if now_s < settled_s:
            self._comparison.restart()
            return None
        return verdict

    def _unsure(self, rollout: Rollout, now_s: float) -> bool:
        """Return whether a finding is no more than a suspicion now."""
        if self.suspected(now_s):
            return False
        grown = rollout.steps > 1 and now_s < self._grown_s + GROWTH_SETTLES_S
        return grown or rollout.share >= policy.FULL_SHARE

    def _suspect(
        self,
        rollout: Rollout,
        verdict: version_comparison.Regression,
        now_s: float,
    ) -> version_comparison.Regression | None:
        """Begin a suspicion; return the verdict if it is the last one."""
        self._suspicions += rollout.share >= policy.FULL_SHARE
        if self._suspicions >= SUSPICIONS:
            return verdict
        self._suspected_until_s = now_s + SUSPICION_S
        self._comparison.restart()
        return None

    def suspected(self, now_s: float) -> bool:
        """Return whether the new version is suspected now."""
        return now_s < self._suspected_until_s

    def lowered(self, share: float, now_s: float) -> float:
        """Return what a suspicion leaves of a share."""
        return share * SUSPECT_FACTOR if self.suspected(now_s) else share

    def decision_inputs(
        self, rollout: Rollout, reporting_share: float, bad: str, now_s: float
    ) -> policy.DecisionInputs:
        """Return what is known for a decision.

        Args:
            rollout: the rollout as it is known now.
            reporting_share: share of instances that were heard from lately.
            bad: why the new version is bad, or ''.
            now_s: present time on the monotonic clock.
        """
        rate_per_s = self._recent_requests * math.log(2) / RATE_HALF_LIFE_S
        this_step = self._steps == rollout.steps
        return policy.DecisionInputs(
            has_baseline=self._comparison.has_baseline(),
            step_has_evidence=this_step
            and self._comparison.step_has_evidence(),
            routes_lacking_evidence=self._comparison.routes_lacking_evidence(),
            rate_per_s=rate_per_s,
            reporting_share=reporting_share,
            suspected=self.suspected(now_s),
            bad=bad,
        )


def _of_version(
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
