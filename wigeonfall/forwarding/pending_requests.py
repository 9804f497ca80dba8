"""Makes the waiting requests and the charges of routed requests."""

from collections.abc import Callable

from ..policy.room import patience
from ..policy.room.pending import PendingRequest
from ..policy.room.token_quota import Charge
from .routed_request import RoutedRequest


def make_pending(
    request: RoutedRequest,
    pending_id: str,
    is_retry: bool,
    is_eligible: Callable[[str], bool],
    now_s: float,
) -> PendingRequest:
    """Return the request as it waits for a slot.

    Args:
        request: the request.
        pending_id: identifier among the waiting requests.
        is_retry: whether its caller was refused before, or a target failed.
        is_eligible: returns whether a target may get it, by its name.
        now_s: present time on the monotonic clock.
    """
    route = request.route
    wait_s = patience.wait_limit_s(
        route.streaming,
        route.answer_goal_s,
        route.pace_goal_s,
        request.deadline_s - now_s,
        is_retry,
    )
    return PendingRequest(
        id=pending_id,
        rank=request.rank,
        is_retry=is_retry,
        arrived_s=request.call.arrived_s,
        goal_s=request.call.arrived_s + route.answer_goal_s,
        patience_s=_patience_end_s(request),
        deadline_s=request.deadline_s,
        queue_deadline_s=now_s + wait_s,
        size=request.size,
        is_eligible=is_eligible,
        kind=route.name,
        customer=request.customer.name if request.customer else '',
        parts=request.parts,
    )


def make_charge(request: RoutedRequest, is_retry: bool) -> Charge | None:
    """Return what a request takes of its customer's limit, if it has one."""
    if request.customer is None:
        return None
    return Charge(
        request.customer.name,
        request.tokens,
        is_retry,
        patience.RETRY_SHARE * request.caller_timeout_s,
    )


def _patience_end_s(request: RoutedRequest) -> float:
    route = request.route
    if not route.streaming:
        return request.deadline_s
    patience_s = patience.patience_s(route.answer_goal_s, route.pace_goal_s)
    return min(request.deadline_s, request.call.arrived_s + patience_s)
