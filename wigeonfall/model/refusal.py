"""Refusals: errors that callers get instead of an answer."""

import enum

import attrs


class Run(enum.Enum):
    """Whether a target ran the refused request."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Code(enum.Enum):
    """Codes of refusals with their HTTP status; the codes are stable."""

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
    """An error response to a caller.

    Attributes:
        code: stable code.
        run: whether a target ran the request.
        message: description in one sentence.
        retry_after_s: delay after which to retry, or None.
    """

    code: Code
    run: Run
    message: str
    retry_after_s: float | None = None


def not_run(
    code: Code, message: str, retry_after_s: float | None = None
) -> Refusal:
    """Return a refusal of a request that no target ran."""
    return Refusal(code, Run.NOT_RUN, message, retry_after_s)


def unknown(code: Code, message: str) -> Refusal:
    """Return a refusal of a request that a target may have run."""
    return Refusal(code, Run.UNKNOWN, message)
