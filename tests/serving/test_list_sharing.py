"""Tests sending the live list to instances that could not read it."""

from hypothesis import given
from hypothesis import strategies as st

from wigeonfall.adapters import live_list_topic
from wigeonfall.model.target import Target
from wigeonfall.serving import available_targets
from wigeonfall.serving import list_sharing


def _make():
    targets = available_targets.AvailableTargets(
        lambda event, **fields: None, lambda: None
    )
    return targets, list_sharing.ListSharing(targets)


def _targets(count, incarnation=1):
    return tuple(
        Target(f't{i:05d}', 'app', 'dc', f'h:{i}', incarnation)
        for i in range(count)
    )


def _swap(lender, borrower, now_s=0.0):
    for sender, receiver, name in (
        (borrower, lender, 'borrower'),
        (lender, borrower, 'lender'),
    ):
        peer = 'borrower' if sender is lender else 'lender'
        payload = live_list_topic.encode(sender.message(peer))
        receiver.merge(live_list_topic.decode(payload), name, now_s)


@given(st.integers(0, 3 * list_sharing.TARGETS_PER_MESSAGE))
def test_a_list_of_any_length_is_received_completely(count: int) -> None:
    lent, lender = _make()
    borrowed, borrower = _make()
    lent.apply_live_list(_targets(count), 0.0)
    for _ in range(4):
        _swap(lender, borrower)
    assert borrowed.live('app', 1.0) == lent.live('app', 1.0)
    assert borrowed.known()


def test_a_list_received_from_a_peer_is_sent_on() -> None:
    lent, lender = _make()
    _, between = _make()
    borrowed, borrower = _make()
    lent.apply_live_list(_targets(3), 0.0)
    _swap(lender, between)
    assert not borrowed.known()
    for _ in range(2):
        _swap(between, borrower)
    assert borrowed.listed() == _targets(3)


def test_a_peer_without_a_list_provides_none() -> None:
    _, lender = _make()
    borrowed, borrower = _make()
    for _ in range(2):
        _swap(lender, borrower)
    assert not borrowed.known()


def test_the_platforms_list_takes_precedence_over_that_of_a_peer() -> None:
    lent, lender = _make()
    own, borrower = _make()
    lent.apply_live_list(_targets(3), 0.0)
    _swap(lender, borrower)
    own.apply_live_list(_targets(1, incarnation=2), 1.0)
    _swap(lender, borrower, 2.0)
    assert own.listed() == _targets(1, incarnation=2)


def test_nothing_is_sent_to_peers_that_have_a_list() -> None:
    lent, lender = _make()
    other, sharing = _make()
    lent.apply_live_list(_targets(3), 0.0)
    other.apply_live_list(_targets(3), 0.0)
    _swap(lender, sharing)
    assert lender.message('borrower').targets == ()
