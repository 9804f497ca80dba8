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


class _Store:
    """Targets that answer with scripted statuses."""

    def __init__(self, statuses=()):
        self.statuses = list(statuses)
        self.bodies = []
        self.works = []
        self.now_s = 0.0
        self.held = True

    def open(self, attempt):
        self.bodies.append(json.loads(attempt.body))
        status = self.statuses.pop(0) if self.statuses else 200
        if status is None:
            kind = port.AttemptErrorKind.SILENT
            return Err(port.AttemptError(kind, 'silent'))
        return Ok(port.TargetAnswer(status, (), lambda: b'', lambda: None))

    def targets(self):
        return port.Targets(open=self.open, forget=lambda address: None)

    def sender(self):
        return target_orders.OrderSender(
            self.targets(),
            lambda needed_s: self.held,
            lambda event, **fields: None,
            lambda work: self.works.append(work),
            lambda: self.now_s,
        )

    def finish(self):
        works, self.works = self.works, []
        for work in works:
            work()
        return len(works)


def _orders(number):
    return [
        target_orders.TargetOrder(
            Target(f't{n}', 'lm', 'dc', f'127.0.0.1:{n}'), KIND, 'v2', 7
        )
        for n in range(number)
    ]


def test_order_names_the_state_and_the_fencing_number():
    """An order is absolute, so that repeating it does no harm."""
    store = _Store()
    sent = target_orders.send(_orders(1)[0], store.targets(), lambda s: True)
    assert sent is target_orders.Answer.DONE
    body = {'order': 'load-version', 'value': 'v2', 'fencing': 7}
    assert store.bodies == [body]


def test_answers_are_told_apart():
    """Refusals for fencing and for the rate limit differ."""
    answers = target_orders.Answer
    wanted = {
        409: answers.FENCED,
        429: answers.RATE_LIMITED,
        500: answers.FAILED,
        None: answers.FAILED,
    }
    store = _Store(wanted)
    got = [
        target_orders.send(_orders(1)[0], store.targets(), lambda s: True)
        for _ in wanted
    ]
    assert got == list(wanted.values())


def test_lapsed_holder_sends_nothing():
    """A lease that ended between planning and sending stops the order."""
    store = _Store()
    store.sender().send_due(_orders(2), 0.0)
    store.held = False
    assert store.finish() == 2
    assert store.bodies == []


def test_few_loads_at_once_and_fewer_after_refusals():
    """The limit halves on 429, and the refused target waits."""
    store = _Store([429, 429])
    sender = store.sender()
    sender.send_due(_orders(20), 0.0)
    assert store.finish() == target_orders.PARALLEL_LOADS
    sender.send_due(_orders(20), 0.0)
    refused = len(store.works)
    assert refused < target_orders.PARALLEL_LOADS
    store.finish()
    sender.send_due(_orders(2), 0.0)
    assert store.works == []
    sender.send_due(_orders(2), 1.0)
    assert store.works


@hypothesis.given(
    strategies.lists(strategies.sampled_from((200, 429, 500)), max_size=60)
)
def test_every_order_gets_through_in_the_end(statuses):
    """Whatever is refused at first, each target gets its order."""
    store = _Store(statuses)
    sender = store.sender()
    orders = {order.target.name: order for order in _orders(9)}
    loaded = set()

    def open_and_note(attempt):
        answer = store.open(attempt)
        if answer.ok_value.status == 200:
            loaded.add(attempt.target.name)
        return answer

    sender._targets = port.Targets(open_and_note, lambda address: None)
    while loaded != set(orders) and store.now_s < 10_000:
        store.now_s += 5.0
        left = [o for name, o in orders.items() if name not in loaded]
        sender.send_due(left, store.now_s)
        assert len(store.works) <= target_orders.PARALLEL_LOADS
        store.finish()
    assert loaded == set(orders)
