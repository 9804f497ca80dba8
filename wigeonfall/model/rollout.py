"""Rollouts: the move of a service from one version to another."""

import enum

import attrs

MAX_MOVES = 20


class Phase(enum.Enum):
    """How far a rollout has come."""

    RUNNING = 'running'
    PAUSED = 'paused'
    COMPLETED = 'completed'
    ROLLED_BACK = 'taken-back'

    @property
    def final(self) -> bool:
        """Whether the rollout can never move again."""
        return self in (Phase.COMPLETED, Phase.ROLLED_BACK)


@attrs.frozen
class Outcome:
    """What one request to a version came to.

    Attributes:
        ok: whether the whole answer came without an error.
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
    """What a new version has to prove, and at which risk.

    Attributes:
        false_alarm: largest probability that a version which is within the
            tolerances is taken back for its evidence.
        false_growth: largest probability that one step grows although one
            criterion misses its tolerance by the least alternative.
        error_tolerance: accepted excess of the proportion of errors.
        slow_tolerance: accepted excess of the proportion of slow answers.
        slow_factor: an answer is slow above this multiple of the old
            version's 90th percentile.
        first_requests: most requests that all instances together give the
            new version before its share first grows.
        first_share: smallest first share.
        least_step_s: shortest time at one share.
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
    """One change of a rollout, as it is reported.

    Attributes:
        id: unique identifier, by which its writer finds it again after a
            lost answer.
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
    """The move of one service to a new version.

    Attributes:
        service: name of the service.
        number: grows with each rollout of the service.
        old_version: version that serves now.
        new_version: version that shall take over.
        started_unix_s: time of the start.
        deadline_unix_s: time by which the new version has taken over.
        bake_s: time that the new version must hold the full load.
        phase: how far the rollout has come.
        share: share of requests for the new version, from 0 to 1.
        steps: number of times that the share has grown.
        step_unix_s: time at which the present share was set.
        fencing: fencing number of the control lease that last wrote this.
        criteria: what the new version has to prove.
        bad_versions: versions of the service that were taken back.
        moves: the latest changes, oldest first.
        orders: whether targets are ordered to load the version.
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
