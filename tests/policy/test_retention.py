"""Tests of the compaction of a slice under load."""

from wigeonfall.model.answer import WholeAnswer
from wigeonfall.model import order
from wigeonfall.policy.orders import ledger
from wigeonfall.policy.orders import retention

START_UNIX_S = 1_700_000_000.0
ORDERS_PER_S = 30
DURATION_S = 1200
ANSWER = WholeAnswer(201, (), bytes(300))


def _run_order(
    current: order.Slice, number: int, now_unix_s: float
) -> order.Slice:
    claim = order.Claim(
        key=ledger.key_digest('norte', str(number)),
        request='r',
        claim=str(number),
        instance='i',
        deadline_unix_s=now_unix_s + 5,
    )
    settle = order.Settle(claim, order.OrderState.DONE, ANSWER)
    for change in (claim, settle):
        current, _ = ledger.decide(
            current, change, lambda key: False, False, now_unix_s
        )
    return current


def test_a_busy_slice_has_few_pages() -> None:
    current = order.Slice()
    pages: dict[str, retention.PageContent] = {}
    names = iter(f'page-{number}' for number in range(1_000_000))
    page_counts = []
    written = 0
    for second in range(DURATION_S):
        now_unix_s = START_UNIX_S + second
        for number in range(ORDERS_PER_S):
            current = _run_order(
                current, second * ORDERS_PER_S + number, now_unix_s
            )
        done = retention.compact(
            current, pages.get, lambda: next(names), now_unix_s
        )
        if done is not None:
            current = done.slice
            pages.update(done.created)
            written += sum(len(c.entries) for c in done.created.values())
            for name in done.obsolete:
                del pages[name]
        page_counts.append(len(current.pages))
    orders = DURATION_S * ORDERS_PER_S
    assert max(page_counts) <= 80
    assert written <= 3 * orders
    remembered = sum(
        len(retention.fingerprints_of(content)) for content in pages.values()
    )
    assert remembered + len(current.entries) == orders


def test_an_answer_that_does_not_fit_is_dropped() -> None:
    claim = order.Claim('k', 'r', 'c', 'i', START_UNIX_S)
    settle = order.Settle(claim, order.OrderState.DONE, ANSWER)
    fitting = retention.drop_answer_if_full(settle, retention.ENTRY_BYTES * 10)
    not_fitting = retention.drop_answer_if_full(settle, retention.ENTRY_BYTES)
    assert fitting == settle
    assert not_fitting == order.Settle(claim, order.OrderState.DONE, None)
    assert retention.drop_answer_if_full(claim, 0) == claim
