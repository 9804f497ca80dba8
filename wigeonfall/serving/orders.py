"""Runs non-idempotent calls at most once.

An order is a non-idempotent call with an idempotency key. Its key is claimed
in the ledger before it is dispatched. Only the thread whose claim was granted
dispatches the order, and the key of an order that may have been dispatched is
never granted again.
"""

from collections.abc import Callable
from concurrent import futures
import time
from typing import Protocol
import uuid

import attrs
from result import Err
from result import Ok
from result import Result

from . import batching
from ..events import Event
from . import ledger as serving_ledger
from ..model import answer
from ..model import order
from ..model.order import OrderState
from ..model.order import Verdict
from ..model import refusal
from ..model.refusal import Code
from ..model import request as request_model
from ..policy.orders import ledger
from ..policy.orders import retention
from ..ports.ledger import LedgerError
from ..recorder import Record

CLAIM_TIMEOUT_S = 3.0
OUTCOME_TIMEOUT_S = 1.0
COPY_AFTER_S = 0.4  # leaves a copy time to arrive before the answer is given
# If a claim is still open this long after its deadline, its holder is taken to
# have stopped and the outcome of the order to be unknown.
HOLDER_MARGIN_S = 2.0
MIN_POLL_S = 0.05
MAX_POLL_S = 1.0
RETRY_AFTER_S = 1.0

Outcome = Result[answer.WholeAnswer, refusal.Refusal]
Dispatch = Callable[[request_model.Request], Outcome]
Decided = Result[order.Decision, LedgerError]


class Ledger(Protocol):
    """The interface of the ledger that orders use."""

    def submit(self, change: order.Change) -> batching.DecisionFuture:
        """Submit a change; the future gets the decision on it."""

    def copy(self, settle: order.Settle) -> None:
        """Hand an outcome that is not stored yet to another instance."""

    def known_decision(self, claim: order.Claim) -> order.Decision | None:
        """Return the decision on a claim if its order is known as done."""


@attrs.frozen
class Orders:
    """Runs the non-idempotent calls of one instance.

    Attributes:
        name: name of the instance.
        ledger: records claims and outcomes.
        record: records events.
        clocks: reads the time.
        sleep: blocks for a number of seconds.
    """

    name: str
    ledger: Ledger
    record: Record
    clocks: serving_ledger.Clocks
    sleep: Callable[[float], None]

    def run(
        self, request: request_model.Request, dispatch: Dispatch
    ) -> Outcome:
        """Run a call at most once.

        Args:
            request: the call.
            dispatch: sends the call to a target and reads the whole answer.
                It must send at most once, refuse after the deadline and
                return "not run" only if the target did not run the call.

        Returns:
            The answer of this or an earlier run, or a refusal that says
            whether this call ran.
        """
        if not request.idempotency_key:
            return dispatch(request)
        claimed = self._claim_key(request)
        if isinstance(claimed, Err):
            return claimed
        claim, decision = claimed.ok_value
        if decision.verdict is not Verdict.GRANTED:
            self.record(
                Event.ORDER_REPEATED,
                request_id=request.id,
                verdict=decision.verdict.value,
            )
            return _outcome_without_run(decision)
        self.record(
            Event.ORDER_CLAIMED, request_id=request.id, claim=claim.claim
        )
        outcome = self._dispatch(request, dispatch)
        self._settle(request, claim, outcome)
        return outcome

    def _make_claim(self, request: request_model.Request) -> order.Claim:
        now_unix_s = self.clocks.now_unix_s()
        time_left_s = request.deadline_s - self.clocks.now_s()
        key = request.idempotency_key
        return order.Claim(
            key=ledger.key_digest(request.customer.name, key),
            request=ledger.request_digest(
                request.service.name,
                request.method,
                request.path,
                request.body,
            ),
            claim=uuid.uuid4().hex,
            instance=self.name,
            deadline_unix_s=now_unix_s + time_left_s,
            key_unix_s=ledger.key_time_unix_s(key, now_unix_s),
        )

    def _claim_key(
        self, request: request_model.Request
    ) -> Result[tuple[order.Claim, order.Decision], refusal.Refusal]:
        """Wait until a claim is granted or the order's outcome is known.

        If another call holds the key, submits the claim again and again, at
        growing intervals, until the deadline.
        """
        claim = self._make_claim(request)
        is_repeat = False
        poll_s = MIN_POLL_S
        while True:
            decided = self._submit_claim(request, claim)
            if isinstance(decided, Err):
                if not is_repeat:
                    return Err(_claim_unavailable(decided.err_value))
                claim = self._make_claim(request)
            elif decided.ok_value.verdict is not Verdict.CLAIMED:
                return Ok((claim, decided.ok_value))
            elif self._is_holder_overdue(decided.ok_value):
                return Ok((claim, order.Decision(Verdict.IN_DOUBT)))
            is_repeat = True
            time_left_s = request.deadline_s - self.clocks.now_s()
            if time_left_s <= 0:
                return Err(_in_progress())
            self.sleep(min(poll_s, time_left_s))
            poll_s = min(MAX_POLL_S, 2 * poll_s)

    def _submit_claim(
        self, request: request_model.Request, claim: order.Claim
    ) -> Decided:
        known = self.ledger.known_decision(claim)
        if known is not None:
            return Ok(known)
        time_left_s = request.deadline_s - self.clocks.now_s()
        future = self.ledger.submit(claim)
        decided = _result_within(
            future, min(CLAIM_TIMEOUT_S, max(0.0, time_left_s))
        )
        if isinstance(decided, Err):
            if decided.err_value.maybe_written and not future.cancel():
                # The claim may have been written, or may be written later.
                self.ledger.submit(order.Settle(claim, OrderState.RELEASED))
            self.record(
                Event.CLAIM_FAILED,
                request_id=request.id,
                detail=decided.err_value.message,
            )
        return decided

    def _is_holder_overdue(self, decision: order.Decision) -> bool:
        overdue_unix_s = decision.deadline_unix_s + HOLDER_MARGIN_S
        return self.clocks.now_unix_s() > overdue_unix_s

    def _dispatch(
        self, request: request_model.Request, dispatch: Dispatch
    ) -> Outcome:
        if self.clocks.now_s() >= request.deadline_s:
            return Err(_deadline_exceeded())
        return dispatch(request)

    def _settle(
        self,
        request: request_model.Request,
        claim: order.Claim,
        outcome: Outcome,
    ) -> None:
        settle = _settlement(claim, outcome)
        event = _SETTLED_EVENTS[settle.state]
        self.record(event, request_id=request.id, claim=claim.claim)
        future = self.ledger.submit(settle)
        recorded = _result_within(future, COPY_AFTER_S)
        if isinstance(recorded, Err):
            # The answer is not held back, so this instance may be gone before
            # the store can be reached.
            self.ledger.copy(settle)
            recorded = _result_within(future, OUTCOME_TIMEOUT_S - COPY_AFTER_S)
        if isinstance(recorded, Err):
            self.record(
                Event.OUTCOME_NOT_RECORDED,
                request_id=request.id,
                claim=claim.claim,
            )


def make_orders(
    name: str,
    ledger_: Ledger,
    record: Record,
    clocks: serving_ledger.Clocks | None = None,
    sleep: Callable[[float], None] = time.sleep,
) -> Orders:
    """Return the orders of an instance.

    Args:
        name: name of this instance.
        ledger_: records claims and outcomes.
        record: records events.
        clocks: reads the time.
        sleep: blocks for a number of seconds.
    """
    return Orders(
        name,
        ledger_,
        record,
        clocks or serving_ledger.Clocks(),
        sleep,
    )


_SETTLED_EVENTS = {
    OrderState.DONE: Event.ORDER_DONE,
    OrderState.RELEASED: Event.ORDER_RELEASED,
    OrderState.IN_DOUBT: Event.ORDER_IN_DOUBT,
}


def _settlement(claim: order.Claim, outcome: Outcome) -> order.Settle:
    if isinstance(outcome, Ok):
        kept = retention.storable_answer(outcome.ok_value)
        return order.Settle(claim, OrderState.DONE, kept)
    if outcome.err_value.run is refusal.Run.NOT_RUN:
        return order.Settle(claim, OrderState.RELEASED)
    return order.Settle(claim, OrderState.IN_DOUBT)


def _result_within(
    future: batching.DecisionFuture, timeout_s: float
) -> Decided:
    try:
        return future.result(timeout_s)
    except futures.TimeoutError:
        return Err(LedgerError('no answer in time', maybe_written=True))


def _outcome_without_run(decision: order.Decision) -> Outcome:
    if decision.verdict is Verdict.DONE and decision.answer is not None:
        return Ok(decision.answer)
    return Err(_refusal_for(decision.verdict))


def _refusal_for(verdict: Verdict) -> refusal.Refusal:
    match verdict:
        case Verdict.DONE:
            return refusal.unknown(
                Code.KEY_EXPIRED,
                'The order is done, but its answer is not kept.',
            )
        case Verdict.IN_DOUBT:
            return refusal.unknown(
                Code.OUTCOME_UNKNOWN,
                'An earlier call with this key may have run.',
            )
        case Verdict.KEY_REUSED:
            return refusal.not_run(
                Code.KEY_REUSED, 'The key belongs to another request.'
            )
        case Verdict.KEY_EXPIRED:
            return refusal.unknown(
                Code.KEY_EXPIRED,
                'An order with this key may have run long ago.',
            )
        case Verdict.FULL:
            return refusal.not_run(
                Code.CLAIM_UNAVAILABLE,
                'The ledger has no room for another key.',
                RETRY_AFTER_S,
            )
        case _:
            return _deadline_exceeded()


def _claim_unavailable(error: LedgerError) -> refusal.Refusal:
    return refusal.not_run(
        Code.CLAIM_UNAVAILABLE,
        f'This call was not sent: no claim on its key ({error.message}).',
        RETRY_AFTER_S,
    )


def _in_progress() -> refusal.Refusal:
    return refusal.unknown(
        Code.IN_PROGRESS, 'An earlier call with this key is in progress.'
    )


def _deadline_exceeded() -> refusal.Refusal:
    return refusal.not_run(
        Code.DEADLINE_EXCEEDED, 'The deadline passed before the call was sent.'
    )
