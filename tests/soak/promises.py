"""What callers and targets see, and the promises that are held to it.

A request that may not repeat runs at most once; another one at most as often
as its route allows. An answer with status 200 is whole and belongs to its
request. What is refused with a time to come back has not run. Every request
ends in time, and a connection breaks only at an instance that had a fault.
Evacuated data centres get nothing new, but from instances that had a fault, or
while the store was away.
"""

import collections

import attrs

MOST_RUNS = {'once': 1, 'safe': 2, 'resumed': 3, 'stream': 1}
EVENTS = 6
LIMIT_S = 4.0  # time that callers give a request
LATE_S = 1.5  # beyond it; processes share a busy machine
STORE_AWAY = 'store away'  # name of that fault
EVACUATE_S = 2.0  # in which requests to a data centre stop


@attrs.frozen
class Outcome:
    """What one caller got.

    Attributes:
        id: identifier of the request.
        kind: its route.
        instance: instance that it was sent to.
        began_s: when it was sent, on the monotonic clock.
        ended_s: when its answer or connection ended.
        status: status of the answer, 0 without one.
        whole: whether the answer came whole.
        body: what came.
        retry_after: whether it was told when to come back.
    """

    id: str
    kind: str
    instance: str
    began_s: float
    ended_s: float
    status: int
    whole: bool
    body: bytes
    retry_after: bool


def expected(request_id: str, kind: str) -> bytes:
    """Return the whole answer to a request."""
    if kind in ('once', 'safe'):
        return request_id.encode()
    return b''.join(
        event(request_id, number) for number in range(1, EVENTS + 1)
    )


def event(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return b'id: %d\ndata: %s %d\n\n' % (number, request_id.encode(), number)


class Promises:
    """Holds the promises to what was seen.

    Attributes:
        broken: each breach, in words.
        outcomes: what callers got.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.outcomes: list[Outcome] = []
        self._runs: collections.Counter[str] = collections.Counter()
        self._refused: set[str] = set()
        self._reached: list[tuple[str, str, float]] = []
        self._evacuations: list[tuple[str, list[float]]] = []
        self._faults: dict[str, list[list[float]]] = collections.defaultdict(
            list
        )

    def fault_began(self, name: str, now_s: float) -> list[float]:
        """Note a fault at an instance or target; return its open span."""
        span = [now_s, float('inf')]
        self._faults[name].append(span)
        return span

    def ran(self, request_id: str, kind: str) -> None:
        """Take note that a target begins to run a request."""
        self._runs[request_id] += 1
        if self._runs[request_id] > MOST_RUNS[kind]:
            self.broken.append(f'{request_id} ({kind}) ran too often')
        if request_id in self._refused:
            self.broken.append(f'{request_id} ran after it was refused')

    def reached(self, request_id: str, place: str, now_s: float) -> None:
        """Note in which data centre a request runs."""
        self._reached.append((request_id, place, now_s))

    def evacuation_began(self, place: str, now_s: float) -> list[float]:
        """Note the evacuation of a data centre; return its open span."""
        span = [now_s, float('inf')]
        self._evacuations.append((place, span))
        return span

    def judge_evacuations(self) -> None:
        """Judge the requests that reached evacuated data centres."""
        outcomes = {outcome.id: outcome for outcome in self.outcomes}
        for request_id, place, at_s in self._reached:
            outcome = outcomes.get(request_id)
            if (
                outcome is not None
                and any(
                    place == evacuated
                    and began_s + EVACUATE_S < at_s < ended_s
                    for evacuated, (began_s, ended_s) in self._evacuations
                )
                and not any(
                    self._had_fault(outcome, name, EVACUATE_S)
                    for name in (outcome.instance, STORE_AWAY)
                )
            ):
                self.broken.append(
                    f'{request_id} reached {place}, which is evacuated'
                )

    def ended(self, outcome: Outcome) -> None:
        """Judge what a caller got."""
        self.outcomes.append(outcome)
        name = f'{outcome.id} ({outcome.kind} at {outcome.instance})'
        if outcome.status == 200 and outcome.whole:
            if outcome.body != expected(outcome.id, outcome.kind):
                self.broken.append(f'{name} got {outcome.body!r}')
        elif outcome.status == 200:
            answer = expected(outcome.id, outcome.kind)
            if not answer.startswith(_whole_events(outcome.body)):
                self.broken.append(f'{name} got in part {outcome.body!r}')
        if outcome.retry_after:
            self._refused.add(outcome.id)
            if self._runs[outcome.id]:
                self.broken.append(f'{name} was refused, but had run')
        if self._had_fault(outcome, outcome.instance):
            return
        if outcome.status == 0:
            self.broken.append(f'{name} got no answer')
        if outcome.ended_s - outcome.began_s > LIMIT_S + LATE_S:
            took_s = outcome.ended_s - outcome.began_s
            self.broken.append(f'{name} ended after {took_s:.1f} s')

    def _had_fault(
        self, outcome: Outcome, name: str, before_s: float = 0.0
    ) -> bool:
        """Return whether something had a fault during a call or before."""
        return any(
            began_s <= outcome.ended_s
            and outcome.began_s - before_s <= ended_s
            for began_s, ended_s in self._faults[name]
        )


def _whole_events(body: bytes) -> bytes:
    """Return a stream up to its last whole event."""
    end = body.rfind(b'\n\n')
    return body[: end + 2] if end >= 0 else b''
