"""Orders to targets: absolute, idempotent and fenced.

An order names the state that the target shall have, never a change of it, so
that repeating an order does no harm. It carries the fencing number of the
control lease. As some targets ignore that number, the lease is checked right
before an order is sent, with room for the longest time that sending takes.
"""

from collections.abc import Callable
from collections.abc import Iterable
import enum
import json
import threading
import uuid

import attrs
from result import Err
import xxhash

from ..events import Event
from ..model.target import Target
from ..ports.targets import Attempt
from ..ports.targets import AttemptFailed
from ..ports.targets import Targets
from ..recorder import Record

PARALLEL_LOADS = 4
FIRST_BACKOFF_S = 1.0
LARGEST_BACKOFF_S = 60.0
CONNECT_TIMEOUT_S = 0.5
SEND_TIME_S = 1.0
STATUS_FENCED = 409
STATUS_RATE_LIMITED = 429

Held = Callable[[float], bool]
Start = Callable[[Callable[[], None]], None]


class OrderKind(enum.Enum):
    """What a target is ordered to have."""

    LOAD_MODEL = 'load-model'
    LOAD_ADAPTER = 'load-adapter'
    LOAD_VERSION = 'load-version'
    SET_ROLE = 'set-role'


@attrs.frozen
class TargetOrder:
    """An order to one target.

    Attributes:
        target: the target.
        kind: what the target shall have.
        value: the model, adapter, version or role.
        fencing: fencing number of the control lease.
    """

    target: Target
    kind: OrderKind
    value: str
    fencing: int


class Answer(enum.Enum):
    """What came of sending an order."""

    DONE = 'done'
    FENCED = 'fenced'
    RATE_LIMITED = 'rate-limited'
    FAILED = 'failed'
    LAPSED = 'lapsed'


def send(order: TargetOrder, targets: Targets, held: Held) -> Answer:
    """Send one order if the lease is still held.

    Args:
        order: the order.
        targets: calls to targets.
        held: returns whether the lease is held for some seconds still.
    """
    attempt = _attempt(order)
    if not held(SEND_TIME_S):
        return Answer.LAPSED
    opened = targets.open(attempt)
    if isinstance(opened, Err):
        return Answer.FAILED
    answer = opened.ok_value
    try:
        while answer.read():
            pass
    except AttemptFailed:
        return Answer.FAILED
    finally:
        answer.close()
    if answer.status == STATUS_FENCED:
        return Answer.FENCED
    if answer.status == STATUS_RATE_LIMITED:
        return Answer.RATE_LIMITED
    return Answer.DONE if answer.status < 300 else Answer.FAILED


def _attempt(order: TargetOrder) -> Attempt:
    body = {
        'order': order.kind.value,
        'value': order.value,
        'fencing': order.fencing,
    }
    identifier = uuid.uuid4().hex
    # A pooled connection may be dead, and an order sent on it would wait.
    return Attempt(
        id=identifier,
        request_id=identifier,
        target=order.target,
        method='POST',
        path='/orders',
        headers=(('Content-Type', 'application/json'),),
        body=json.dumps(body).encode(),
        fresh_connection=True,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        first_byte_timeout_s=LARGEST_BACKOFF_S,
    )


@attrs.define
class _Backoff:
    failures: int = 0
    until_s: float = 0.0


class OrderSender:
    """Sends orders, few at once and slower after refusals.

    The weight store limits loads for all targets together. The sender halves
    the number of orders in progress when the store refuses one and raises it
    by one after each success.
    """

    def __init__(
        self,
        targets: Targets,
        held: Held,
        record: Record,
        start: Start,
        monotonic: Callable[[], float],
        parallel: int = PARALLEL_LOADS,
    ) -> None:
        self._targets = targets
        self._held = held
        self._record = record
        self._start = start
        self._monotonic = monotonic
        self._most = parallel
        self._allowed = parallel
        self._lock = threading.Lock()
        self._in_progress: set[str] = set()
        self._backoffs: dict[str, _Backoff] = {}

    def send_due(self, orders: Iterable[TargetOrder], now_s: float) -> None:
        """Begin to send the orders that are due, up to the limit.

        Args:
            orders: what the targets shall have; repeated until they do.
            now_s: present time on the monotonic clock.
        """
        for order in orders:
            name = order.target.name
            with self._lock:
                if len(self._in_progress) >= self._allowed:
                    return
                backoff = self._backoffs.get(name, _Backoff())
                if name in self._in_progress or backoff.until_s > now_s:
                    continue
                self._in_progress.add(name)
            self._start(lambda order=order: self._send(order))  # type: ignore

    def _send(self, order: TargetOrder) -> None:
        name = order.target.name
        answer = Answer.FAILED
        try:
            answer = send(order, self._targets, self._held)
        finally:
            with self._lock:
                self._in_progress.discard(name)
                self._note(name, answer)
        done = answer is Answer.DONE
        self._record(
            Event.TARGET_ORDERED if done else Event.TARGET_ORDER_FAILED,
            target=name,
            order=order.kind.value,
            value=order.value,
            fencing=order.fencing,
            answer=answer.value,
        )

    def _note(self, name: str, answer: Answer) -> None:
        if answer is Answer.DONE:
            self._allowed = min(self._most, self._allowed + 1)
            self._backoffs.pop(name, None)
            return
        if answer is Answer.RATE_LIMITED:
            self._allowed = max(1, self._allowed // 2)
        backoff = self._backoffs.setdefault(name, _Backoff())
        wait_s = min(LARGEST_BACKOFF_S, FIRST_BACKOFF_S * 2**backoff.failures)
        backoff.failures += 1
        backoff.until_s = self._monotonic() + wait_s * _jitter(name, backoff)


def _jitter(name: str, backoff: _Backoff) -> float:
    """Return a factor from 0.5 to 1 that differs between targets."""
    text = f'{name}\0{backoff.failures}'
    return 0.5 + xxhash.xxh32_intdigest(text.encode()) / 2**33


def in_threads(work: Callable[[], None]) -> None:
    """Run work in a thread of its own."""
    threading.Thread(target=work, daemon=True).start()
