"""Tests of trials of new versions."""

import attrs
import pytest

from wigeonfall.policy.versions.move_time import ExposureBound
from wigeonfall.policy.versions import version_trial
from wigeonfall.policy.versions.version_trial import Order
from wigeonfall.policy.versions.version_trial import State
from wigeonfall.policy.versions.version_trial import Trials

# Of the twelve seconds of the order.
MOVED_S = 11.0
DUE_S = 11.3  # verdicts are stored by its end
BUSY_DUE_S = 11.7
ORDER = Order('s', 's', 'v2', 12.0, State.RUNNING)


def make_trials(order=ORDER):
    trials = Trials()
    trials.set_orders([order], 0.0)
    return trials


def answer(trials, version, ok, count=1, first_s=0.1):
    for _ in range(count):
        trials.add_evidence('s', version, ok, first_s, 0.1)


def new_version_share(trials):
    ids = [f'id-{n}' for n in range(3000)]
    return sum(trials.allows('s', 'v2', name) for name in ids) / len(ids)


def test_new_version_gets_a_small_share_at_first():
    trials = make_trials()
    assert 0.03 < new_version_share(trials) < 0.07
    for n in range(100):
        name = f'id-{n}'
        assert trials.allows('s', 'v2', name) != trials.allows('s', 'v1', name)
    assert trials.allows('other', 'v2', 'id')


def test_good_version_takes_over_within_the_duration():
    trials = make_trials()
    answer(trials, 'v2', True, 20)
    answer(trials, 'v1', True, 300)
    assert trials.decide('s', True, 3.0) is None
    assert trials.decide('s', True, 6.5) is None
    assert new_version_share(trials) < 0.07  # it may still turn bad
    assert trials.decide('s', True, MOVED_S) is None
    assert new_version_share(trials) == 1.0
    assert trials.decide('s', False, DUE_S) is State.COMPLETED


def test_failing_version_is_taken_back_and_gets_no_requests():
    trials = make_trials()
    answer(trials, 'v1', True, 100)
    answer(trials, 'v2', False, version_trial.MIN_BAD_ANSWERS)
    answer(trials, 'v2', True, 5)
    assert trials.decide('s', True, 1.0) is State.ROLLED_BACK
    assert new_version_share(trials) == 0.0


def test_slow_version_is_taken_back():
    trials = make_trials()
    answer(trials, 'v2', True, 8, first_s=0.9)
    assert trials.decide('s', True, 1.0) is State.ROLLED_BACK


def test_failures_at_the_old_rate_do_not_count_against_a_version():
    trials = make_trials()
    answer(trials, 'v1', False, 14)
    answer(trials, 'v1', True, 86)
    answer(trials, 'v2', False, 4)
    answer(trials, 'v2', True, 20)
    assert trials.decide('s', True, 1.0) is None


def test_version_with_too_few_answers_is_taken_back_at_the_end():
    trials = make_trials()
    answer(trials, 'v2', True, 3)
    assert trials.decide('s', True, BUSY_DUE_S) is State.ROLLED_BACK


def test_counts_of_peers_are_added_once_for_each_incarnation():
    trials = make_trials()
    counts = {'s/v2/bad': 3}
    trials.evidence.set_peer_counts('p', 1, counts)
    trials.evidence.set_peer_counts('p', 1, counts)
    assert trials.evidence.total('s', 'v2', 'bad') == 3
    answer(trials, 'v2', False, 1)
    assert trials.decide('s', True, 1.0) is State.ROLLED_BACK


@pytest.mark.parametrize(
    ('state', 'share'), [(State.COMPLETED, 1.0), (State.ROLLED_BACK, 0.0)]
)
def test_stored_verdict_is_followed(state, share):
    trials = make_trials(attrs.evolve(ORDER, state=state))
    assert new_version_share(trials) == share
    assert trials.decide('s', False, 20.0) is None
    assert trials.running() == ()


def test_instances_that_hear_hubs_alone_judge_by_the_counts_of_all():
    """A good version was taken back, as each instance saw a few answers."""
    instances = [make_trials() for _ in range(40)]
    hub, *others = instances
    for number, trials in enumerate(others):
        answer(trials, 'v2', True)
        answer(trials, 'v1', True, 10)
        own = trials.evidence.advertised(with_totals=False)
        hub.evidence.set_peer_counts(str(number), 1, own)
    counts = hub.evidence.advertised(with_totals=True)
    for trials in others:
        trials.evidence.set_peer_counts('hub', 1, counts)
    for trials in instances:
        assert trials.evidence.total('s', 'v2', 'good') == 39
        trials.decide('s', True, MOVED_S)
        assert new_version_share(trials) == 1.0
        assert trials.decide('s', True, BUSY_DUE_S) is State.COMPLETED


def test_counts_passed_on_by_several_hubs_are_not_added_up():
    trials = make_trials()
    counts = {'s/v2/bad': 1, '~s/v2/bad': 3}
    for name in ('hub-1', 'hub-2'):
        trials.evidence.set_peer_counts(name, 1, counts)
    assert trials.evidence.total('s', 'v2', 'bad') == 3


def test_bad_version_is_found_by_the_counts_of_all():
    trials = make_trials()
    bad = version_trial.MIN_BAD_ANSWERS
    trials.evidence.set_peer_counts('hub', 1, {'~s/v2/bad': bad})
    assert trials.decide('s', True, 1.0) is State.ROLLED_BACK


def test_an_instance_that_started_lately_moves_with_the_others():
    """Restarted ones kept the old targets busy past the deadline."""
    moved, late = make_trials(), Trials()
    late.set_orders([ORDER], 6.0)
    answer(moved, 'v2', True, 20)
    moved.decide('s', True, MOVED_S)
    late.evidence.set_peer_counts('moved', 1, moved.evidence.advertised(True))
    late.decide('s', True, MOVED_S + 0.1)
    assert new_version_share(late) == 1.0


@pytest.mark.parametrize(
    ('lasted_s', 'earliest_s', 'latest_s'),
    [(0.1, 9.0, 11.0), (4.0, 5.9, 7.5), (60.0, 5.9, 6.1)],
)
def test_requests_move_while_old_targets_can_still_finish_theirs(
    lasted_s, earliest_s, latest_s
):
    """But never in the first half, whatever some requests take."""
    trials = make_trials()
    answer(trials, 'v2', True, 20)
    for _ in range(300):
        trials.add_evidence('s', 'v1', True, 0.1, 0.1, (), lasted_s)
    moved_s = next(
        step / 10
        for step in range(120)
        if trials.decide('s', True, step / 10) is None
        and new_version_share(trials) == 1.0
    )
    assert earliest_s <= moved_s <= latest_s


@pytest.mark.parametrize('duration_s', [1.0, 5.0, 15.0, 600.0])
@pytest.mark.parametrize('old_busy', [False, True])
def test_verdicts_are_due_before_the_end(duration_s, old_busy):
    order = attrs.evolve(ORDER, duration_s=duration_s)
    trials = make_trials(order)
    answer(trials, 'v2', True, 20)
    steps = [duration_s * step / 1000 for step in range(1000)]
    verdicts = [(s, trials.decide('s', old_busy, s)) for s in steps]
    decided_s = [s for s, verdict in verdicts if verdict is not None]
    assert duration_s / 2 <= min(decided_s)
    assert min(decided_s) <= duration_s - min(0.35, duration_s / 5)
    assert verdicts[-1][1] is State.COMPLETED


def test_the_bound_on_exposure_is_a_setting():
    trials = Trials(lambda: ExposureBound(1.0, 1000.0))
    trials.set_orders([ORDER], 0.0)
    answer(trials, 'v2', True, 20)
    answer(trials, 'v1', True, 300)
    trials.decide('s', True, 6.5)
    assert new_version_share(trials) == 1.0


@pytest.mark.parametrize(('old_busy', 'due_s'), [(False, 7.2), (True, 9.6)])
def test_an_early_move_is_not_judged_to_the_end(old_busy, due_s):
    """The load changes meanwhile, for which a good version was blamed."""
    trials = make_trials()
    answer(trials, 'v2', True, 20)
    for _ in range(300):
        trials.add_evidence('s', 'v1', True, 0.1, 0.1, (), 8.0)
    verdicts = {}
    for step in range(120):
        verdicts.setdefault(trials.decide('s', old_busy, step / 10), step / 10)
    assert due_s <= verdicts[State.COMPLETED] <= due_s + 0.15


@pytest.mark.parametrize('lasted_s', [0.1, 0.5, 1.0, 2.0, 3.0])
@pytest.mark.parametrize('per_s', [5, 25, 50, 200])
def test_old_targets_get_the_time_that_their_requests_take(lasted_s, per_s):
    """A verdict right after the move would cut them off."""
    trials = make_trials()
    moved_s = due_s = None
    for step in range(240):
        now_s = step / 20
        for number in range(per_s // 20 or int(step % 4 == 0)):
            new = number == 0 and step % 10 == 0
            trials.add_evidence(
                's', 'v2' if new else 'v1', True, 0.1, 0.1, (), lasted_s
            )
        verdict = trials.decide('s', False, now_s)
        if moved_s is None and trials.is_moving('s'):
            moved_s = now_s
        if due_s is None and verdict is not None:
            due_s = now_s
    assert moved_s is not None
    assert due_s - moved_s >= lasted_s


@pytest.mark.parametrize('bad_from_s', [0.0, 3.0, 6.0, 8.0, 10.0, 11.0])
@pytest.mark.parametrize('per_s', [2, 5, 10, 20])
def test_a_move_with_few_answers_keeps_within_the_bound(per_s, bad_from_s):
    """Where requests are few, it does not wait for many answers."""
    trials = make_trials()
    bound = ExposureBound()
    exposed = 0
    for number in range(int(12 * per_s)):
        now_s = number / per_s
        new = trials.allows('s', 'v2', f'id-{number}')
        exposed += new
        ok = not new or now_s < bad_from_s
        version = 'v2' if new else 'v1'
        trials.add_evidence('s', version, ok, 0.1, 0.1, (), 2.0)
        trials.decide('s', False, now_s)
    assert exposed <= bound.share * 12 * per_s + bound.requests


@pytest.mark.parametrize('answers', [0, 1, 8])
def test_a_move_is_final_only_after_enough_answers(answers):
    trials = make_trials()
    answer(trials, 'v1', True, 50)
    answer(trials, 'v2', True, answers)
    assert trials.decide('s', False, 10.9) is None
    assert (new_version_share(trials) == 1.0) == (answers > 0)
    assert trials.decide('s', False, DUE_S) is State.ROLLED_BACK


def test_a_move_that_began_with_few_answers_is_final_after_more():
    trials = make_trials()
    answer(trials, 'v1', True, 50)
    answer(trials, 'v2', True, 8)
    assert trials.decide('s', False, 10.9) is None
    answer(trials, 'v2', True, version_trial.MIN_ANSWERS - 8)
    assert trials.decide('s', False, DUE_S) is State.COMPLETED
