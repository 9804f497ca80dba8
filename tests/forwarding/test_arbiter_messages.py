"""Tests of the datagrams between instances and their arbiter."""

from hypothesis import given
from hypothesis import strategies
import pytest

from wigeonfall.forwarding import arbiter_messages

NUMBERS = strategies.floats(0, 1e6, allow_nan=False)
TEXTS = strategies.text(max_size=20)
REQUESTS = strategies.builds(
    arbiter_messages.SlotRequest,
    id=TEXTS,
    service=TEXTS,
    rank=strategies.integers(0, 99),
    is_retry=strategies.booleans(),
    age_s=NUMBERS,
    goal_s=NUMBERS,
    patience_s=NUMBERS,
    time_left_s=NUMBERS,
    wait_left_s=NUMBERS,
    prompt_tokens=NUMBERS,
    answer_tokens=NUMBERS,
    ineligible=strategies.lists(TEXTS, max_size=3).map(tuple),
    customer=TEXTS,
    tokens=NUMBERS,
    charge_is_retry=strategies.booleans(),
    most_wait_s=NUMBERS,
)
HELD = strategies.builds(
    arbiter_messages.HeldSlot,
    TEXTS,
    TEXTS,
    TEXTS,
    NUMBERS,
    strategies.booleans(),
)
REPORTS = strategies.builds(
    arbiter_messages.Report,
    TEXTS,
    TEXTS,
    strategies.lists(NUMBERS, max_size=2).map(tuple),
)
GRANTS = strategies.builds(
    arbiter_messages.Grant, TEXTS, TEXTS, NUMBERS, strategies.integers(0, 99)
)
DENIALS = strategies.builds(
    arbiter_messages.Denial,
    TEXTS,
    strategies.booleans(),
    NUMBERS,
    NUMBERS,
    NUMBERS,
)


def tuples(items):
    return strategies.lists(items, max_size=3).map(tuple)


@given(tuples(REQUESTS), tuples(HELD), tuples(REPORTS))
def test_client_state_is_decoded_unchanged(requests, held, reports):
    message = arbiter_messages.ClientState(
        'i1', 7, 3, '10.0.0.1:1', requests, held, reports
    )
    assert arbiter_messages.decode(arbiter_messages.encode(message)) == message


@given(tuples(GRANTS), tuples(DENIALS))
def test_decisions_are_decoded_unchanged(grants, denials):
    message = arbiter_messages.ArbiterDecisions('i1', 7, grants, denials)
    data = arbiter_messages.encode(message)
    assert data.startswith(
        (arbiter_messages.PLAIN_PREFIX, arbiter_messages.COMPRESSED_PREFIX)
    )
    assert arbiter_messages.decode(data) == message


@pytest.mark.parametrize(
    'data',
    (b'[', b'[]', b'["asking"]', b'["else",1]', b'["answering",1,2,3,4]'),
)
def test_invalid_messages_raise_value_error(data):
    with pytest.raises(ValueError):
        arbiter_messages.decode(data)


def test_many_waiting_requests_fit_into_a_datagram():
    """An instance has far more waiting callers than there are slots."""
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
    'prefix',
    (arbiter_messages.PLAIN_PREFIX, arbiter_messages.COMPRESSED_PREFIX),
)
@given(strategies.binary(max_size=200))
def test_any_bytes_are_a_message_or_a_value_error(prefix, data):
    try:
        arbiter_messages.decode(prefix + data)
    except ValueError:
        pass
