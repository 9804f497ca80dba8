"""Start-time fair queueing between the customers of one tier.

Each customer has a start tag in virtual time, measured in tokens per unit of
weight. The customer with the lowest tag is served next, which moves its tag on
by the request's tokens over the customer's weight. A customer's own requests
are ordered by deadline.
"""

import bisect
from collections.abc import Iterator
import heapq

import attrs

from .grants import PendingRequest


def _by_deadline(pending: PendingRequest) -> tuple[float, float, str]:
    return (pending.deadline_s, pending.arrived_s, pending.id)


@attrs.define
class _Flow:
    """The requests of one customer, earliest deadline first."""

    weight: float
    start: float
    waiting: list[PendingRequest] = attrs.field(factory=list)
    tokens: int = 0

    def virtual_length(self, pending: PendingRequest) -> float:
        return max(pending.cost_tokens, 1) / self.weight


class FairQueue:
    """The waiting requests of one tier."""

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._by_id: dict[str, PendingRequest] = {}
        self._virtual = 0.0

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, pending_id: str) -> bool:
        return pending_id in self._by_id

    def push(self, pending: PendingRequest) -> None:
        """Add a request, unless it waits already."""
        if pending.id in self._by_id:
            return
        flow = self._flows.get(pending.customer)
        if flow is None:
            flow = _Flow(pending.weight, self._virtual)
            self._flows[pending.customer] = flow
        if not flow.waiting:
            flow.start = max(flow.start, self._virtual)
        flow.weight = pending.weight
        flow.tokens += pending.cost_tokens
        bisect.insort(flow.waiting, pending, key=_by_deadline)
        self._by_id[pending.id] = pending

    def remove(self, pending_id: str) -> PendingRequest | None:
        """Remove a request without serving it; return it, if it waited."""
        pending = self._by_id.pop(pending_id, None)
        if pending is None:
            return None
        flow = self._flows[pending.customer]
        index = bisect.bisect_left(
            flow.waiting, _by_deadline(pending), key=_by_deadline
        )
        del flow.waiting[index]
        flow.tokens -= pending.cost_tokens
        if not flow.waiting and flow.start <= self._virtual:
            del self._flows[pending.customer]
        return pending

    def take(self, pending: PendingRequest) -> None:
        """Remove a request that is served and charge its customer."""
        flow = self._flows[pending.customer]
        self._virtual = max(self._virtual, flow.start)
        flow.start += flow.virtual_length(pending)
        self.remove(pending.id)
        if len(self._flows) > 2 * len(self._by_id) + 64:
            self._drop_idle_flows()

    def _drop_idle_flows(self) -> None:
        self._flows = {
            customer: flow
            for customer, flow in self._flows.items()
            if flow.waiting or flow.start > self._virtual
        }

    def scan(self) -> Iterator[PendingRequest]:
        """Yield the requests in the order in which they should be served.

        Only the request that was yielded last may be taken meanwhile.
        """
        heap = [
            (flow.start, customer, 0)
            for customer, flow in self._flows.items()
            if flow.waiting
        ]
        heapq.heapify(heap)
        while heap:
            tag, customer, index = heapq.heappop(heap)
            flow = self._flows[customer]
            pending = flow.waiting[index]
            yield pending
            if pending.id in self._by_id:
                index += 1
            if index < len(flow.waiting):
                tag += flow.virtual_length(pending)
                heapq.heappush(heap, (tag, customer, index))

    def last(self) -> PendingRequest | None:
        """Return the request to shed first, or None.

        It is the one with the latest deadline of the customer that has the
        most tokens waiting for its weight.
        """
        backlogged = (f for f in self._flows.values() if f.waiting)
        longest = max(
            backlogged, key=lambda f: f.tokens / f.weight, default=None
        )
        return longest.waiting[-1] if longest is not None else None

    def ids_of(self, holder: str) -> tuple[str, ...]:
        """Return the identifiers of a holder's requests."""
        return tuple(p.id for p in self._by_id.values() if p.holder == holder)
