"""Tests of the counts of outcomes that instances exchange."""

import copy

import hypothesis
from hypothesis import strategies

from wigeonfall.model.rollout import Outcome
from wigeonfall.policy.versions import outcome_counts

KEY = outcome_counts.CountsKey('lm/1', 'v2', 'report')
OUTCOMES = strategies.builds(
    Outcome,
    strategies.booleans(),
    strategies.none() | strategies.floats(0.001, 60),
    strategies.none() | strategies.floats(0.001, 1),
    strategies.none() | strategies.booleans(),
)


@hypothesis.given(
    strategies.lists(OUTCOMES, min_size=1, max_size=12), strategies.data()
)
def test_reports_in_any_order_count_once(outcomes, data):
    """Each outcome counts once when reports are repeated, late or lost."""
    sender = outcome_counts.OutcomeCounts('a', 1)
    snapshots = []
    for outcome in outcomes:
        sender.observe(KEY, outcome)
        snapshots.append(copy.deepcopy(sender.reports()[0]))
    receiver = outcome_counts.OutcomeCounts('b', 1)
    received = outcome_counts.Counts()
    arrivals = data.draw(strategies.lists(strategies.sampled_from(snapshots)))
    for report in (*arrivals, snapshots[-1]):
        receiver.merge(copy.deepcopy(report))
        new = receiver.take_new().get(KEY, outcome_counts.Counts())
        outcome_counts.add(received, new)
    assert received == snapshots[-1].counts[KEY]


def test_own_report_from_a_peer_is_ignored():
    """Own counts that a peer sends back are not counted again."""
    own = outcome_counts.OutcomeCounts('a', 1)
    own.observe(KEY, Outcome(ok=False))
    own.take_new()
    own.merge(copy.deepcopy(own.reports()[0]))
    assert own.take_new() == {}


def test_a_dropped_incarnation_is_not_added_again():
    """A dropped incarnation is ignored when a peer repeats it."""
    receiver = outcome_counts.OutcomeCounts('b', 1)
    for incarnation in (1, 2, 3, 1):
        counts = {KEY: outcome_counts.Counts(requests=5)}
        receiver.merge(outcome_counts.InstanceCounts('a', incarnation, counts))
    assert receiver.take_new()[KEY].requests == 15
