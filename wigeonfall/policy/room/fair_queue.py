"""Start-time fair queueing between the customers of one tier.

Each customer has a start tag in virtual time, measured in tokens per unit of
weight. The customer with the lowest tag is served next; its tag then grows by
the tokens of the request divided by the weight. The requests of one customer
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
    """The queued requests of one customer, earliest deadline first."""

    weight: float
    start_tag: float
    waiting: list[PendingRequest] = attrs.field(factory=list)
    tokens: int = 0

    def virtual_cost(self, pending: PendingRequest) -> float:
        return max(pending.cost_tokens, 1) / self.weight


class FairQueue:
    """The pending requests of one tier."""

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._by_id: dict[str, PendingRequest] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, pending_id: str) -> bool:
        return pending_id in self._by_id

    def push(self, pending: PendingRequest) -> None:
        """Add a request, unless it is queued already."""
        if pending.id in self._by_id:
            return
        flow = self._flows.get(pending.customer)
        if flow is None:
            flow = _Flow(pending.weight, self._virtual_time)
            self._flows[pending.customer] = flow
        if not flow.waiting:
            flow.start_tag = max(flow.start_tag, self._virtual_time)
        flow.weight = pending.weight
        flow.tokens += pending.cost_tokens
        bisect.insort(flow.waiting, pending, key=_by_deadline)
        self._by_id[pending.id] = pending

    def remove(self, pending_id: str) -> PendingRequest | None:
        """Remove a request without serving it; return it if it was queued."""
        pending = self._by_id.pop(pending_id, None)
        if pending is None:
            return None
        flow = self._flows[pending.customer]
        index = bisect.bisect_left(
            flow.waiting, _by_deadline(pending), key=_by_deadline
        )
        del flow.waiting[index]
        flow.tokens -= pending.cost_tokens
        if not flow.waiting and flow.start_tag <= self._virtual_time:
            del self._flows[pending.customer]
        return pending

    def serve(self, pending: PendingRequest) -> None:
        """Remove a request that is served and charge its customer for it."""
        flow = self._flows[pending.customer]
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += flow.virtual_cost(pending)
        self.remove(pending.id)
        if len(self._flows) > 2 * len(self._by_id) + 64:
            self._drop_idle_flows()

    def _drop_idle_flows(self) -> None:
        self._flows = {
            customer: flow
            for customer, flow in self._flows.items()
            if flow.waiting or flow.start_tag > self._virtual_time
        }

    def scan(self) -> Iterator[PendingRequest]:
        """Yield the requests in the order of service.

        During the iteration only the request yielded last may be removed.
        """
        heap = [
            (flow.start_tag, customer, 0)
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
                tag += flow.virtual_cost(pending)
                heapq.heappush(heap, (tag, customer, index))

    def shed_candidate(self) -> PendingRequest | None:
        """Return the request to shed first, or None if the queue is empty.

        It is the request with the latest deadline of the customer with the
        most queued tokens per weight.
        """
        backlogged = (f for f in self._flows.values() if f.waiting)
        longest = max(
            backlogged, key=lambda f: f.tokens / f.weight, default=None
        )
        return longest.waiting[-1] if longest is not None else None

    def ids_of_holder(self, holder: str) -> tuple[str, ...]:
        """Return the identifiers of a holder's requests."""
        return tuple(p.id for p in self._by_id.values() if p.holder == holder)
