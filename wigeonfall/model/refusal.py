"""Refusals: explicit errors that callers get instead of an answer."""

import enum

import attrs


class Run(enum.Enum):
    """Whether the refused request ran at a target."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Code(enum.Enum):
    """Stable codes of refusals, with the HTTP status of each."""

    BAD_REQUEST = ('bad-request', 400)
    KEY_UNKNOWN = ('key-unknown', 401)
    TIER_NOT_ALLOWED = ('tier-not-allowed', 403)
    NOT_FOUND = ('not-found', 404)
    KEY_REUSED = ('key-reused', 422)
    KEY_EXPIRED = ('key-expired', 422)
    BODY_TOO_LARGE = ('body-too-large', 413)
    LIMIT_EXCEEDED = ('limit-exceeded', 429)
    OVERLOADED = ('overloaded', 503)
    NO_TARGET = ('no-target', 503)
    CLAIM_UNAVAILABLE = ('claim-unavailable', 503)
    IN_PROGRESS = ('in-progress', 409)
    OUTCOME_UNKNOWN = ('outcome-unknown', 504)
    ATTEMPT_FAILED = ('attempt-failed', 502)
    ANSWER_BROKEN = ('answer-broken', 502)
    DEADLINE_EXCEEDED = ('deadline-exceeded', 504)
    STOPPING = ('stopping', 503)
    INTERNAL = ('internal', 500)

    def __init__(self, label: str, status: int) -> None:
        self.label = label
        self.status = status


@attrs.frozen
class Refusal:
    """An explicit error for a caller.

    Attributes:
        code: stable code.
        run: whether the request ran.
        message: one sentence for people.
        retry_after_s: delay after which a retry makes sense, or None.
    """

    code: Code
    run: Run
    message: str
    retry_after_s: float | None = None


def not_run(
    code: Code, message: str, retry_after_s: float | None = None
) -> Refusal:
    """Return a refusal of a request that reached no target."""
    return Refusal(code, Run.NOT_RUN, message, retry_after_s)


def unknown(code: Code, message: str) -> Refusal:
    """Return a refusal of a request that a target may have run."""
    return Refusal(code, Run.UNKNOWN, message)
