"""Tests of decisions on claims, and of how long a slice keeps keys."""

from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from wigeonfall.model.answer import WholeAnswer
from wigeonfall.model import order
from wigeonfall.model.order import OrderState
from wigeonfall.model.order import Verdict
from wigeonfall.policy.orders import ledger
from wigeonfall.policy.orders import retention

START_UNIX_S = 1_700_000_000.0
DEADLINE_S = 20.0


def make_claim(
    claim: str = 'c1',
    key: str = 'k',
    request: str = 'r',
    now_unix_s: float = START_UNIX_S,
    key_unix_s: float = 0.0,
) -> order.Claim:
    """Return a claim on a key."""
    return order.Claim(
        key=ledger.key_digest('norte', key),
        request=request,
        claim=claim,
        instance='i',
        deadline_unix_s=now_unix_s + DEADLINE_S,
        key_unix_s=key_unix_s,
    )


def _decide_all(
    *changes: order.Change, now_unix_s: float = START_UNIX_S
) -> list[Verdict]:
    current = order.Slice()
    verdicts = []
    for change in changes:
        current, decision = ledger.decide(
            current, change, lambda key: False, False, now_unix_s
        )
        verdicts.append(decision.verdict)
    return verdicts


def test_a_claim_that_is_decided_again_is_still_granted() -> None:
    claim = make_claim()
    assert _decide_all(claim, claim) == [Verdict.GRANTED, Verdict.GRANTED]


def test_a_claim_that_arrives_after_its_release_is_abandoned() -> None:
    claim = make_claim()
    release = order.Settle(claim, OrderState.RELEASED)
    verdicts = _decide_all(release, claim, make_claim('c2'))
    assert verdicts[1:] == [Verdict.ABANDONED, Verdict.GRANTED]


def test_an_outcome_of_another_claim_changes_nothing() -> None:
    other = order.Settle(make_claim('c2'), OrderState.RELEASED)
    verdicts = _decide_all(make_claim(), other, make_claim('c3'))
    assert verdicts[-1] is Verdict.CLAIMED


def test_a_claim_past_its_deadline_is_not_granted() -> None:
    late_unix_s = START_UNIX_S + DEADLINE_S + 1
    verdicts = _decide_all(make_claim(), now_unix_s=late_unix_s)
    assert verdicts == [Verdict.ABANDONED]


def test_a_release_does_not_free_a_key_in_a_page() -> None:
    release = order.Settle(make_claim(), OrderState.RELEASED)
    before = order.Slice()
    after, _ = ledger.decide(
        before, release, lambda key: True, False, START_UNIX_S
    )
    assert after is before


def test_a_full_slice_grants_no_new_key() -> None:
    _, decision = ledger.decide(
        order.Slice(), make_claim(), lambda key: False, True, START_UNIX_S
    )
    assert decision.verdict is Verdict.FULL


def test_customers_do_not_share_keys() -> None:
    assert ledger.key_digest('a', 'bc') != ledger.key_digest('ab', 'c')


def test_only_version_7_uuids_have_a_key_time() -> None:
    timed = '018bcfe5-6800-7000-8000-000000000000'
    assert ledger.key_time_unix_s(timed, START_UNIX_S) == START_UNIX_S
    assert ledger.key_time_unix_s(timed, START_UNIX_S - 3600) == 0
    random_key = 'f47ac10b-58cc-4372-a567-0e02b2c3d479'
    assert ledger.key_time_unix_s(random_key, START_UNIX_S) == 0
    assert ledger.key_time_unix_s('order-17', START_UNIX_S) == 0


class SliceMachine(stateful.RuleBasedStateMachine):
    """Claims, outcomes and compactions of one slice over a long time."""

    def __init__(self) -> None:
        super().__init__()
        self.now_unix_s = START_UNIX_S
        self.slice = order.Slice()
        self.pages: dict[str, retention.PageContent] = {}
        self.held: dict[str, order.Claim] = {}
        self.settled: dict[str, order.Claim] = {}
        self.recorded_unix_s: dict[str, float] = {}
        self.number = 0

    def _new_name(self) -> str:
        self.number += 1
        return f'page-{self.number}'

    def _is_in_pages(self, key: str) -> bool:
        return any(
            retention.contains_key(
                retention.fingerprints_of(self.pages[page.name]), key
            )
            for page in self.slice.pages
        )

    def _decide(self, change: order.Change) -> Verdict:
        self.slice, decision = ledger.decide(
            self.slice, change, self._is_in_pages, False, self.now_unix_s
        )
        return decision.verdict

    @stateful.rule(key=st.integers(0, 5), timed=st.booleans())
    def claim(self, key: int, timed: bool) -> None:
        self.number += 1
        claim = make_claim(
            f'c{self.number}',
            f'{key}-{timed}',
            now_unix_s=self.now_unix_s,
            key_unix_s=START_UNIX_S + key if timed else 0.0,
        )
        verdict = self._decide(claim)
        is_new = claim.key not in self.held and claim.key not in self.settled
        if verdict is Verdict.GRANTED:
            assert is_new
            self.held[claim.key] = claim
        elif is_new:
            assert timed and verdict is Verdict.KEY_EXPIRED

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(
        data=st.data(),
        state=st.sampled_from(
            (OrderState.DONE, OrderState.IN_DOUBT, OrderState.RELEASED)
        ),
    )
    def settle(self, data: st.DataObject, state: OrderState) -> None:
        key = data.draw(st.sampled_from(sorted(self.held)))
        claim = self.held.pop(key)
        answer = WholeAnswer(200, (), key.encode())
        self._decide(order.Settle(claim, state, answer))
        if state is not OrderState.RELEASED:
            self.settled[key] = claim

    @stateful.rule(passed_s=st.sampled_from((1, 700, 4000, 100_000)))
    def wait(self, passed_s: int) -> None:
        self.now_unix_s += passed_s
        # A holder does not dispatch after its deadline; the claim remains.
        if passed_s > DEADLINE_S:
            self.settled.update(self.held)
            self.held.clear()

    @stateful.rule()
    def compact(self) -> None:
        with mock.patch.multiple(
            retention, COMPACT_BYTES=-1, FOLD_PAGES=2, MERGE_PAGES=3
        ):
            done = retention.compact(
                self.slice,
                self.pages.get,
                self._new_name,
                self.now_unix_s,
            )
        if done is None:
            return
        self.pages.update(done.created)
        self.slice = done.slice
        for name in done.obsolete:
            del self.pages[name]
        assert {page.name for page in self.slice.pages} == set(self.pages)


SliceMachine.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=40
)
test_a_settled_key_is_never_granted_again = SliceMachine.TestCase
