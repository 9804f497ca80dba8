"""Tests of the versions that targets should serve."""

import attrs
import hypothesis
from hypothesis import strategies

from wigeonfall.model.rollout import Phase
from wigeonfall.model.rollout import Rollout
from wigeonfall.model.target import Target
from wigeonfall.policy.targets import target_versions

ROLLOUT = Rollout('lm', 1, 'v1', 'v2', 0.0, 600.0, 100.0)


def _targets(number, version='v1'):
    return [
        Target(f't{n}', 'lm', 'dc', f'127.0.0.1:{n}', version=version)
        for n in range(number)
    ]


@hypothesis.given(strategies.integers(2, 30), strategies.floats(0, 1))
def test_both_versions_have_targets_during_rollout(number, share):
    """The old version keeps a target; a share above 0 has one too."""
    targets = _targets(number)
    desired = target_versions.desired_versions(ROLLOUT, share, targets)
    new = sum(version == 'v2' for version in desired.values())
    assert new <= number - 1
    assert (new >= 1) == (share > 0)


def test_targets_with_new_version_are_chosen_first():
    """Versions stay the same once they have been applied."""
    targets = _targets(6)
    first = target_versions.desired_versions(ROLLOUT, 0.4, targets)
    applied = [attrs.evolve(t, version=first[t.name]) for t in targets]
    assert target_versions.desired_versions(ROLLOUT, 0.4, applied) == first


def test_final_phase_leaves_one_version():
    """All targets get the version that the rollout ended with."""
    for phase, version in (
        (Phase.COMPLETED, 'v2'),
        (Phase.ROLLED_BACK, 'v1'),
    ):
        rollout = attrs.evolve(ROLLOUT, phase=phase)
        desired = target_versions.desired_versions(rollout, 0.5, _targets(3))
        assert set(desired.values()) == {version}
