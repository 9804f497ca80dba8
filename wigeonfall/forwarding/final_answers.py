"""Final answers of this instance, to requests that no target answered."""

import http
import time

import attrs

from ..policy.room import patience
from ..policy.room.token_quota import OverLimit
from ..policy.targets.quarantine import Hold
from .calls import Reply
from .outcomes import Outcomes
from .outcomes import Progress
from .relaying import AttemptResult
from .relaying import Relay
from .routed_request import RoutedRequest
from .scheduler import NoRoom

SHUTDOWN_RETRY_S = 0.05  # a new connection goes to another instance
TARGETS_REFUSED_RETRY_S = 0.5  # about the time for which targets back off


@attrs.frozen
class FinalAnswers:
    """Chooses and sends final answers.

    Attributes:
        outcomes: sends refusals and records the outcomes of requests.
    """

    outcomes: Outcomes

    def over_limit(
        self,
        request: RoutedRequest,
        reply: Reply,
        progress: Progress,
        over: OverLimit,
    ) -> None:
        """Refuse a request whose customer is over its limit."""
        self.outcomes.refuse(
            request,
            reply,
            progress,
            http.HTTPStatus.TOO_MANY_REQUESTS,
            f'customer over its limit: {request.tokens:.0f} more than'
            f' {over.used_tokens:.0f} of {over.limit_tokens:.0f} tokens',
            over.delay_s,
        )

    def no_slot(
        self,
        request: RoutedRequest,
        reply: Reply,
        progress: Progress,
        relay: Relay,
        refused: NoRoom,
    ) -> None:
        """Refuse a request for which no target had room in time."""
        if progress.ran or relay.started:
            self.fail(request, reply, progress, relay, None)
            return
        self.outcomes.refuse(
            request,
            reply,
            progress,
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            'no target had room in time',
            refused.retry_after_s,
        )

    def stops(
        self,
        request: RoutedRequest,
        reply: Reply,
        progress: Progress,
        relay: Relay,
    ) -> None:
        """Refuse a request that a target would answer after the stop."""
        if progress.ran or relay.started:
            self.fail(request, reply, progress, relay, None)
            return
        self.outcomes.refuse(
            request,
            reply,
            progress,
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            'instance stops',
            SHUTDOWN_RETRY_S,
        )

    def held(
        self,
        request: RoutedRequest,
        reply: Reply,
        progress: Progress,
        relay: Relay,
        hold: Hold,
    ) -> None:
        """Refuse a request with a quarantined part of its prompt."""
        if progress.ran or relay.started:
            self.fail(request, reply, progress, relay, None)
            return
        self.outcomes.refuse(
            request,
            reply,
            progress,
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            f'prompt part {hold.part} crashed targets',
            hold.left_s,
        )

    def fail(
        self,
        request: RoutedRequest,
        reply: Reply,
        progress: Progress,
        relay: Relay,
        result: AttemptResult | None,
    ) -> None:
        """Send the final answer after the last attempt failed."""
        if relay.started:
            self.outcomes.record_refusal(
                request, progress, 0, 'answer broke off'
            )
            return
        if result is not None and result.answer is not None:
            answer = result.answer
            reply.send(answer.status, answer.headers, answer.body)
            self.outcomes.record_answer(request, progress, result)
            return
        if progress.ran:
            self.outcomes.refuse(
                request,
                reply,
                progress,
                http.HTTPStatus.BAD_GATEWAY,
                'attempt failed',
                None,
            )
            return
        left_s = (
            request.call.arrived_s
            + request.caller_timeout_s
            - time.monotonic()
        )
        self.outcomes.refuse(
            request,
            reply,
            progress,
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            'targets refused',
            min(TARGETS_REFUSED_RETRY_S, patience.RETRY_SHARE * left_s),
        )

    def out_of_time(
        self, request: RoutedRequest, reply: Reply, progress: Progress
    ) -> None:
        """Send the final answer at the deadline of a request."""
        stops = time.monotonic() < request.deadline_s
        reason = 'instance stops' if stops else 'out of time'
        if reply.started:
            self.outcomes.record_refusal(request, progress, 0, reason)
            return
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        if progress.ran:
            status = http.HTTPStatus.GATEWAY_TIMEOUT
        delay_s = SHUTDOWN_RETRY_S if stops and not progress.ran else None
        self.outcomes.refuse(request, reply, progress, status, reason, delay_s)
