"""Tests of orders to targets."""

import json

import hypothesis
from hypothesis import strategies
from result import Err
from result import Ok

from wigeonfall.model.target import Target
from wigeonfall.ports import targets as port
from wigeonfall.serving import target_orders

KIND = target_orders.OrderKind.LOAD_VERSION


class _ScriptedTargets:
    """Targets that answer with scripted statuses."""

    def __init__(self, statuses=()):
        self.statuses = list(statuses)
        self.bodies = []
        self.tasks = []
        self.now_s = 0.0
        self.held = True

    def open(self, attempt):
        self.bodies.append(json.loads(attempt.body))
        status = self.statuses.pop(0) if self.statuses else 200
        if status is None:
            kind = port.AttemptErrorKind.TIMED_OUT
            return Err(port.AttemptError(kind, 'silent'))
        return Ok(port.TargetAnswer(status, (), lambda: b'', lambda: None))

    def targets(self):
        return port.Targets(open=self.open, close_idle_to=lambda address: None)

    def sender(self):
        return target_orders.OrderSender(
            self.targets(),
            lambda needed_s: self.held,
            lambda event, **fields: None,
            lambda task: self.tasks.append(task),
            lambda: self.now_s,
        )

    def finish(self):
        tasks, self.tasks = self.tasks, []
        for task in tasks:
            task()
        return len(tasks)


def _orders(number):
    return [
        target_orders.TargetOrder(
            Target(f't{n}', 'lm', 'dc', f'127.0.0.1:{n}'), KIND, 'v2', 7
        )
        for n in range(number)
    ]


def test_order_contains_the_state_and_the_fencing_token():
    """An order sets a state, so it can be repeated safely."""
    scripted = _ScriptedTargets()
    sent = target_orders.send(
        _orders(1)[0], scripted.targets(), lambda s: True
    )
    assert sent is target_orders.SendResult.DONE
    body = {'order': 'load-version', 'value': 'v2', 'fencing': 7}
    assert scripted.bodies == [body]


def test_refusals_are_distinguished():
    """Refusals by fencing and by the rate limit give different results."""
    results = target_orders.SendResult
    expected = {
        409: results.FENCED,
        429: results.RATE_LIMITED,
        500: results.FAILED,
        None: results.FAILED,
    }
    scripted = _ScriptedTargets(expected)
    got = [
        target_orders.send(_orders(1)[0], scripted.targets(), lambda s: True)
        for _ in expected
    ]
    assert got == list(expected.values())


def test_nothing_is_sent_after_the_lease_expired():
    """The lease may expire between planning and sending an order."""
    scripted = _ScriptedTargets()
    scripted.sender().send_due(_orders(2), 0.0)
    scripted.held = False
    assert scripted.finish() == 2
    assert scripted.bodies == []


def test_concurrency_is_limited_and_reduced_after_refusals():
    """The limit halves on 429, and the refused target backs off."""
    scripted = _ScriptedTargets([429, 429])
    sender = scripted.sender()
    sender.send_due(_orders(20), 0.0)
    assert scripted.finish() == target_orders.MAX_PARALLEL_ORDERS
    sender.send_due(_orders(20), 0.0)
    refused = len(scripted.tasks)
    assert refused < target_orders.MAX_PARALLEL_ORDERS
    scripted.finish()
    sender.send_due(_orders(2), 0.0)
    assert scripted.tasks == []
    sender.send_due(_orders(2), 1.0)
    assert scripted.tasks


@hypothesis.given(
    strategies.lists(strategies.sampled_from((200, 429, 500)), max_size=60)
)
def test_every_order_succeeds_eventually(statuses):
    """Each target gets its order even if attempts are refused."""
    scripted = _ScriptedTargets(statuses)
    sender = scripted.sender()
    orders = {order.target.name: order for order in _orders(9)}
    loaded = set()

    def open_and_record(attempt):
        answer = scripted.open(attempt)
        if answer.ok_value.status == 200:
            loaded.add(attempt.target.name)
        return answer

    sender._targets = port.Targets(open_and_record, lambda address: None)
    while loaded != set(orders) and scripted.now_s < 10_000:
        scripted.now_s += 5.0
        remaining = [o for name, o in orders.items() if name not in loaded]
        sender.send_due(remaining, scripted.now_s)
        assert len(scripted.tasks) <= target_orders.MAX_PARALLEL_ORDERS
        scripted.finish()
    assert loaded == set(orders)
