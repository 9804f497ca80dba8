"""Tests of arbiter messages between releases."""

import json

from wigeonfall.forwarding import arbiter_messages
from wigeonfall.forwarding.arbiter_messages import ArbiterDecisions
from wigeonfall.forwarding.arbiter_messages import ClientState
from wigeonfall.forwarding.arbiter_messages import Grant
from wigeonfall.forwarding.arbiter_messages import SlotRequest
from wigeonfall.model.prompt import PromptPart

FIRST_RELEASE_FIELDS = 16


def _state() -> ClientState:
    request = SlotRequest(
        id='r/1',
        service='models',
        rank=1,
        is_retry=False,
        age_s=0.1,
        goal_s=0.4,
        patience_s=2.0,
        time_left_s=10.0,
        wait_left_s=2.0,
        prompt_tokens=600,
        answer_tokens=80,
        ineligible=(),
        customer='c',
        tokens=680.0,
        charge_is_retry=False,
        most_wait_s=3.0,
        kind='reports',
        holder='c',
        parts=(PromptPart('a1', 60), PromptPart('b2', 540)),
    )
    return ClientState('one', 7, 1, '127.0.0.1:1', (request,), (), ())


def test_a_message_in_the_newest_format_comes_back_whole():
    state = _state()
    assert arbiter_messages.decode(arbiter_messages.encode(state)) == state


def test_a_peer_of_the_first_release_gets_the_fields_that_it_knows():
    data = arbiter_messages.encode(_state(), arbiter_messages.FIRST_FORMAT)
    assert len(json.loads(data)[5][0]) == FIRST_RELEASE_FIELDS
    (request,) = arbiter_messages.decode(data).requests
    assert (request.kind, request.holder, request.parts) == ('', '', ())


def test_fields_of_later_releases_are_passed_over():
    values = json.loads(arbiter_messages.encode(_state()))
    values[5][0].append('of a later release')
    data = json.dumps(values).encode()
    assert arbiter_messages.decode(data) == _state()


def test_grant_tells_kept_tokens_only_to_peers_that_know_them():
    decisions = ArbiterDecisions('hub', 7, (Grant('r/1', 'a', 9, 1, 60),), ())
    newest = arbiter_messages.encode(decisions)
    assert arbiter_messages.decode(newest) == decisions
    first = arbiter_messages.encode(decisions, arbiter_messages.FIRST_FORMAT)
    assert len(json.loads(first)[3][0]) == 4
    assert arbiter_messages.decode(first).grants[0].kept_tokens == 0.0
