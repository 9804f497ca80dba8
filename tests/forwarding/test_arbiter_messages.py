"""Tests of the messages between instances and their arbiter."""

from hypothesis import given
from hypothesis import strategies
import pytest

from wigeonfall.forwarding import arbiter_messages

FIGURES = strategies.floats(0, 1e6, allow_nan=False)
TEXTS = strategies.text(max_size=20)
ASKS = strategies.builds(
    arbiter_messages.SlotRequest,
    id=TEXTS,
    service=TEXTS,
    rank=strategies.integers(0, 99),
    is_retry=strategies.booleans(),
    age_s=FIGURES,
    goal_s=FIGURES,
    patience_s=FIGURES,
    time_left_s=FIGURES,
    wait_left_s=FIGURES,
    prompt_tokens=FIGURES,
    answer_tokens=FIGURES,
    ineligible=strategies.lists(TEXTS, max_size=3).map(tuple),
    customer=TEXTS,
    tokens=FIGURES,
    charge_is_retry=strategies.booleans(),
    most_wait_s=FIGURES,
)
HELD = strategies.builds(
    arbiter_messages.HeldSlot,
    TEXTS,
    TEXTS,
    TEXTS,
    FIGURES,
    strategies.booleans(),
)
REPORTS = strategies.builds(
    arbiter_messages.Report,
    TEXTS,
    TEXTS,
    strategies.lists(FIGURES, max_size=2).map(tuple),
)
GRANTS = strategies.builds(
    arbiter_messages.Grant, TEXTS, TEXTS, FIGURES, strategies.integers(0, 99)
)
DENIALS = strategies.builds(
    arbiter_messages.Denial,
    TEXTS,
    strategies.booleans(),
    FIGURES,
    FIGURES,
    FIGURES,
)


def tuples(items):
    return strategies.lists(items, max_size=3).map(tuple)


@given(tuples(ASKS), tuples(HELD), tuples(REPORTS))
def test_what_is_asked_arrives_unchanged(asked, held, reports):
    message = arbiter_messages.ClientState(
        'i1', 7, 3, '10.0.0.1:1', asked, held, reports
    )
    assert arbiter_messages.decode(arbiter_messages.encode(message)) == message


@given(tuples(GRANTS), tuples(DENIALS))
def test_what_is_answered_arrives_unchanged(grants, denials):
    message = arbiter_messages.ArbiterDecisions('i1', 7, grants, denials)
    data = arbiter_messages.encode(message)
    assert data.startswith(
        (arbiter_messages.PLAIN, arbiter_messages.COMPRESSED)
    )
    assert arbiter_messages.decode(data) == message


@pytest.mark.parametrize(
    'data',
    (b'[', b'[]', b'["asking"]', b'["else",1]', b'["answering",1,2,3,4]'),
)
def test_other_bytes_are_no_message(data):
    with pytest.raises(ValueError):
        arbiter_messages.decode(data)


def test_many_waiting_requests_fit_into_a_datagram():
    """Load pattern: one instance has far more callers than places."""
    waiting = tuple(
        arbiter_messages.SlotRequest(
            f'{n * 7919:016x}/{n}',
            'wigeon-pool',
            17,
            False,
            *(round(0.123 * n + k, 3) for k in range(5)),
            6610.0 + n,
            380.0,
            (),
            'customer-7',
            6990.0 + n,
            False,
            4.3,
        )
        for n in range(1500)
    )
    message = arbiter_messages.ClientState(
        'i1', 7, 3, '10.0.0.1:1', waiting, (), ()
    )
    data = arbiter_messages.encode(message)
    assert len(data) < 65_000
    assert arbiter_messages.decode(data) == message


@pytest.mark.parametrize(
    'mark', (arbiter_messages.PLAIN, arbiter_messages.COMPRESSED)
)
@given(strategies.binary(max_size=200))
def test_any_bytes_are_a_message_or_a_value_error(mark, data):
    try:
        arbiter_messages.decode(mark + data)
    except ValueError:
        pass
