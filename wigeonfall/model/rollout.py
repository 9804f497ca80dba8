"""Rollouts: gradual replacement of a version of a service by another."""

import enum

import attrs

MAX_MOVES = 20


class Phase(enum.Enum):
    """Phase of a rollout."""

    RUNNING = 'running'
    PAUSED = 'paused'
    COMPLETED = 'completed'
    ROLLED_BACK = 'taken-back'

    @property
    def final(self) -> bool:
        """Whether the rollout has ended."""
        return self in (Phase.COMPLETED, Phase.ROLLED_BACK)


@attrs.frozen
class Outcome:
    """Outcome of one request to a version.

    Attributes:
        ok: whether the complete answer arrived without an error.
        first_token_s: time to the first token or byte, or None.
        pace_s: mean time between tokens, or None.
        check_ok: whether the answer passed its check, None if unchecked.
    """

    ok: bool
    first_token_s: float | None = None
    pace_s: float | None = None
    check_ok: bool | None = None


@attrs.frozen
class Criteria:
    """Criteria for a new version, with the accepted error probabilities.

    Attributes:
        false_alarm: maximum probability that a version within the
            tolerances is rolled back because of its outcomes.
        false_growth: maximum probability that the share grows in one step
            although a criterion misses its tolerance by the smallest
            alternative.
        error_tolerance: accepted increase of the proportion of errors.
        slow_tolerance: accepted increase of the proportion of slow answers.
        slow_factor: an answer is slow above this multiple of the old
            version's 90th percentile.
        first_requests: maximum number of requests that all instances
            together send to the new version before its share first grows.
        first_share: minimum initial share.
        least_step_s: minimum time at one share.
    """

    false_alarm: float = 0.01
    false_growth: float = 0.02
    error_tolerance: float = 0.01
    slow_tolerance: float = 0.05
    slow_factor: float = 1.25
    first_requests: int = 300
    first_share: float = 0.01
    least_step_s: float = 10.0


@attrs.frozen
class Move:
    """One change of a rollout, as reported.

    Attributes:
        id: unique identifier, by which the writer finds it if the response
            to the write was lost.
        what: "start", "grow", "complete", "take-back", "pause", "resume" or
            "control".
        who: operator or instance that made the change.
        why: reason in one sentence.
        at_unix_s: time of the change.
        share: share of the new version after the change.
    """

    id: str
    what: str
    who: str
    why: str
    at_unix_s: float
    share: float


@attrs.frozen
class Rollout:
    """The rollout of a new version of one service.

    Attributes:
        service: name of the service.
        number: number that increases with each rollout of the service.
        old_version: version to be replaced.
        new_version: version to replace it.
        started_unix_s: time of the start.
        deadline_unix_s: time by which the new version is to have replaced
            the old one.
        bake_s: time for which the new version must serve the full load.
        phase: current phase.
        share: share of requests sent to the new version, from 0 to 1.
        steps: number of increases of the share.
        step_unix_s: time at which the current share was set.
        fencing: fencing token of the control lease of the last write.
        criteria: criteria for the new version.
        bad_versions: versions of the service that were rolled back.
        moves: the latest changes, oldest first.
        orders: whether targets are instructed to load the version.
    """

    service: str
    number: int
    old_version: str
    new_version: str
    started_unix_s: float
    deadline_unix_s: float
    bake_s: float
    phase: Phase = Phase.RUNNING
    share: float = 0.0
    steps: int = 0
    step_unix_s: float = 0.0
    fencing: int = 0
    criteria: Criteria = attrs.field(factory=Criteria)
    bad_versions: tuple[str, ...] = ()
    moves: tuple[Move, ...] = ()
    orders: bool = False

    @property
    def id(self) -> str:
        """Identifier that no other rollout has."""
        return f'{self.service}/{self.number}'
