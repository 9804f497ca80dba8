"""Sends idempotent, fenced orders to targets.

An order names the state that the target shall have, never a change of it, so
it can be repeated safely. It carries the fencing token of the control lease.
As some targets ignore the token, the lease is checked right before an order
is sent, with a margin for the longest time that sending takes.
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
from ..model import http_status
from ..model.target import Target
from ..policy.backoff import doubled_s
from ..ports.targets import Attempt
from ..ports.targets import AttemptFailed
from ..ports.targets import Targets
from ..recorder import Record

MAX_PARALLEL_ORDERS = 4
MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0
CONNECT_TIMEOUT_S = 0.5
MAX_SEND_TIME_S = 1.0
STATUS_FENCED = 409
STATUS_RATE_LIMITED = 429

IsHeld = Callable[[float], bool]
StartTask = Callable[[Callable[[], None]], None]


class OrderKind(enum.Enum):
    """The part of a target's state that an order sets."""

    LOAD_MODEL = 'load-model'
    LOAD_ADAPTER = 'load-adapter'
    LOAD_VERSION = 'load-version'
    SET_ROLE = 'set-role'


@attrs.frozen
class TargetOrder:
    """An order to one target.

    Attributes:
        target: the target.
        kind: the part of the state that is set.
        value: the model, adapter, version or role.
        fencing: fencing token of the control lease.
    """

    target: Target
    kind: OrderKind
    value: str
    fencing: int


class SendResult(enum.Enum):
    """Result of sending an order."""

    DONE = 'done'
    FENCED = 'fenced'
    RATE_LIMITED = 'rate-limited'
    FAILED = 'failed'
    LEASE_EXPIRED = 'lapsed'


def send(order: TargetOrder, targets: Targets, is_held: IsHeld) -> SendResult:
    """Send one order if the lease is still held.

    Args:
        order: the order.
        targets: calls to targets.
        is_held: returns whether the lease stays held for some seconds.
    """
    attempt = _attempt(order)
    if not is_held(MAX_SEND_TIME_S):
        return SendResult.LEASE_EXPIRED
    opened = targets.open(attempt)
    if isinstance(opened, Err):
        return SendResult.FAILED
    answer = opened.ok_value
    try:
        while answer.read():
            pass
    except AttemptFailed:
        return SendResult.FAILED
    finally:
        answer.close()
    if answer.status == STATUS_FENCED:
        return SendResult.FENCED
    if answer.status == STATUS_RATE_LIMITED:
        return SendResult.RATE_LIMITED
    if http_status.is_success(answer.status):
        return SendResult.DONE
    return SendResult.FAILED


def _attempt(order: TargetOrder) -> Attempt:
    body = {
        'order': order.kind.value,
        'value': order.value,
        'fencing': order.fencing,
    }
    identifier = uuid.uuid4().hex
    # A pooled connection may be dead; an order would wait for its time-out.
    return Attempt(
        id=identifier,
        request_id=identifier,
        target=order.target,
        method='POST',
        path='/manage/orders',
        headers=(('Content-Type', 'application/json'),),
        body=json.dumps(body).encode(),
        fresh_connection=True,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        first_byte_timeout_s=MAX_BACKOFF_S,
    )


@attrs.define
class _Backoff:
    failures: int = 0
    until_s: float = 0.0


class OrderSender:
    """Sends orders with limited concurrency and backs off after failures.

    The weight store limits loads for all targets together. The sender halves
    its concurrency limit when the store refuses an order and raises it by one
    after each success.
    """

    def __init__(
        self,
        targets: Targets,
        is_held: IsHeld,
        record: Record,
        start: StartTask,
        monotonic: Callable[[], float],
        max_parallel: int = MAX_PARALLEL_ORDERS,
    ) -> None:
        self._targets = targets
        self._is_held = is_held
        self._record = record
        self._start = start
        self._monotonic = monotonic
        self._max_parallel = max_parallel
        self._parallel_limit = max_parallel
        self._lock = threading.Lock()
        self._in_progress: set[str] = set()
        self._backoffs: dict[str, _Backoff] = {}

    def send_due(self, orders: Iterable[TargetOrder], now_s: float) -> None:
        """Start sending the orders that are due, up to the limit.

        Args:
            orders: states that targets do not have yet; the caller repeats
                each order until its target has the state.
            now_s: present time on the monotonic clock.
        """
        for order in orders:
            name = order.target.name
            with self._lock:
                if len(self._in_progress) >= self._parallel_limit:
                    return
                backoff = self._backoffs.get(name, _Backoff())
                if name in self._in_progress or backoff.until_s > now_s:
                    continue
                self._in_progress.add(name)
            self._start(lambda order=order: self._send(order))  # type: ignore

    def _send(self, order: TargetOrder) -> None:
        name = order.target.name
        result = SendResult.FAILED
        try:
            result = send(order, self._targets, self._is_held)
        finally:
            with self._lock:
                self._in_progress.discard(name)
                self._apply_result(name, result)
        done = result is SendResult.DONE
        self._record(
            Event.TARGET_ORDER_SUCCEEDED
            if done
            else Event.TARGET_ORDER_FAILED,
            target=name,
            order=order.kind.value,
            value=order.value,
            fencing=order.fencing,
            answer=result.value,
        )

    def _apply_result(self, name: str, result: SendResult) -> None:
        if result is SendResult.DONE:
            self._parallel_limit = min(
                self._max_parallel, self._parallel_limit + 1
            )
            self._backoffs.pop(name, None)
            return
        if result is SendResult.RATE_LIMITED:
            self._parallel_limit = max(1, self._parallel_limit // 2)
        backoff = self._backoffs.setdefault(name, _Backoff())
        wait_s = doubled_s(MIN_BACKOFF_S, backoff.failures, MAX_BACKOFF_S)
        backoff.failures += 1
        backoff.until_s = self._monotonic() + wait_s * _jitter(name, backoff)


def _jitter(name: str, backoff: _Backoff) -> float:
    """Return a factor from 0.5 to 1 that differs between targets."""
    text = f'{name}\0{backoff.failures}'
    return 0.5 + xxhash.xxh32_intdigest(text.encode()) / 2**33


def run_in_thread(task: Callable[[], None]) -> None:
    """Run a task in a new daemon thread."""
    threading.Thread(target=task, daemon=True).start()
