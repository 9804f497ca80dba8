"""Tests of the messages between an arbiter and its instances."""

import hypothesis
from hypothesis import strategies

from wigeonfall.adapters import admission_messages
from wigeonfall.adapters.proto import admission_pb2
from wigeonfall.policy.room import grants
from wigeonfall.policy.targets import prefixes

MOST_BYTES = 400
HASHES = strategies.lists(strategies.integers(0, 2**64 - 1), max_size=64)


@hypothesis.example(list(range(1, 65)), 2**31)
@hypothesis.given(HASHES, strategies.integers(0, 2**31))
def test_what_a_request_costs_arrives(hashes, tokens):
    """The estimates of a request survive, in a message of bounded size."""
    pending = grants.PendingRequest(
        'f' * 32, 'i/1', 'customer', 1.0, 2, 10, 0.0, 60.0, True,
        prefix_hashes=prefixes.sample_hashes(hashes),
        prompt_tokens=tokens, answer_tokens=tokens,
    )  # fmt: skip
    sent = admission_messages.encode_pending(pending, 0.0).SerializeToString()
    message = admission_pb2.Pending.FromString(sent)
    assert len(sent) <= MOST_BYTES
    assert admission_messages.decode_pending(message, 'i/1', 0.0) == pending


@hypothesis.given(
    strategies.none() | strategies.integers(0, 2**31),
    strategies.none() | strategies.integers(0, 4_000_000),
)
def test_report_arrives(cached_tokens, pace_us):
    """No cached tokens and no word on the cache are told apart."""
    pace_s = None if pace_us is None else pace_us / 1_000_000
    report = grants.AnswerReport('id', cached_tokens, pace_s)
    sent = admission_messages.encode_report(report).SerializeToString()
    message = admission_pb2.Report.FromString(sent)
    assert admission_messages.decode_report(message) == report
