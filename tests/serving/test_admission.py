"""Tests of admission when links to arbiters break, lose messages or lag."""

import threading
import time

import attrs
import hypothesis
from hypothesis import strategies
from result import Ok

from tests.fakes import arbitration
from wigeonfall.model import refusal
from wigeonfall.policy.room import grants
from wigeonfall.serving import admission

INSTANCES = 3
NODE = strategies.integers(0, INSTANCES - 1)
STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('submit'), NODE, strategies.integers(0, 3)
        ),
        strategies.tuples(
            strategies.just('release'), NODE, strategies.integers(0, 5)
        ),
        strategies.tuples(
            strategies.just('connect'), NODE, strategies.integers(0, 1)
        ),
        strategies.tuples(
            strategies.just('disconnect'), NODE, strategies.booleans()
        ),
        strategies.tuples(
            strategies.just('restart'),
            strategies.integers(0, 1),
            strategies.none(),
        ),
        strategies.tuples(strategies.just('deliver'), NODE, strategies.none()),
        strategies.tuples(
            strategies.just('tick'),
            strategies.sampled_from([0.1, 0.6, 40.0]),
            strategies.none(),
        ),
    ),
    max_size=60,
)


class Run:
    """Carries out random steps and keeps track of grants and waits."""

    def __init__(self, arbiters):
        self.fleet = arbitration.Fleet(INSTANCES, arbiters)
        self.arbiters = arbiters
        self.waits = []
        self.grants = [[] for _ in range(INSTANCES)]
        self.granted_by = set()

    def step(self, kind, subject, detail):
        """Carry out one step."""
        fleet = self.fleet
        if kind == 'submit':
            request = arbitration.make_request(
                'r', detail, fleet.now_s + 50, fleet.now_s
            )
            node = fleet.nodes[subject]
            wait = node.submit(request, frozenset(), fleet.now_s)
            self.waits.append((subject, wait))
        elif kind == 'release' and len(self.grants[subject]) > detail:
            self.grants[subject].pop(detail).release()
        elif kind == 'connect':
            fleet.connect(subject, detail % self.arbiters)
        elif kind == 'disconnect':
            fleet.disconnect(subject, detail)
        elif kind == 'restart':
            fleet.restart(subject % self.arbiters)
        elif kind == 'deliver':
            fleet.deliver(subject)
        elif kind == 'tick':
            fleet.tick(subject)
        self.collect()

    def collect(self):
        """Move the waits that ended with a grant to the grants."""
        left = []
        for subject, wait in self.waits:
            if wait.outcome is None:
                left.append((subject, wait))
            elif isinstance(wait.outcome, Ok):
                self.grants[subject].append(wait.outcome.ok_value)
        self.waits = left

    def give_up(self):
        """End all waits and release all grants, also those in transit."""
        for node, wait in self.waits:
            self.fleet.nodes[node].finish(wait, self.fleet.now_s)
        self.waits = []
        for held in self.grants:
            while held:
                held.pop().release()
        self.fleet.settle()

    def most_outstanding(self):
        """Return the most requests held at one target."""
        return max(
            self.fleet.outstanding(each.name)[0]
            for each in arbitration.TARGETS
        )


@hypothesis.given(STEPS)
def test_one_arbiter_with_whole_links_keeps_the_limit(steps):
    """The limit of a target is never exceeded while no link breaks."""
    run = Run(1)
    for node in range(INSTANCES):
        run.fleet.connect(node, 0)
    run.fleet.settle()
    limit = arbitration.SERVICE.outstanding_requests
    for kind, subject, detail in steps:
        if kind in ('submit', 'release', 'deliver', 'tick'):
            run.step(kind, subject, detail)
            assert run.most_outstanding() <= limit
    run.give_up()
    for _ in range(2 * limit):
        run.step('submit', 0, 0)
    run.fleet.settle()
    assert run.most_outstanding() == limit


@hypothesis.settings(max_examples=300)
@hypothesis.given(STEPS)
def test_broken_links_and_fresh_arbiters_keep_the_stated_bound(steps):
    """The excess over the limit of a target stays bounded.

    Each arbiter adds at most its limit and each instance without a link at
    most its local share. All waits end and all grants are released.
    """
    run = Run(2)
    arbiters = 2
    limit = arbitration.SERVICE.outstanding_requests
    for kind, subject, detail in steps:
        arbiters += kind == 'restart'
        run.step(kind, subject, detail)
        assert run.most_outstanding() <= arbiters * limit + INSTANCES
    run.fleet.tick(60)
    run.fleet.settle()
    run.collect()
    for node, held in zip(run.fleet.nodes, run.grants):
        assert len(node.held()) == len(held)
    run.give_up()
    assert run.most_outstanding() == 0


def test_revocation_lost_with_its_link_is_repeated():
    """A low-tier stream is still revoked if the link broke before."""
    run = Run(1)
    fleet = run.fleet
    for node in range(INSTANCES):
        fleet.connect(node, 0)
    for _ in range(16):
        run.step('submit', 1, 3)
    fleet.settle()
    run.collect()
    assert len(run.grants[1]) == 16
    run.step('submit', 0, 0)
    fleet.deliver(0)
    fleet.tick(0.3)
    fleet.connect(1, 0)
    fleet.settle()
    fleet.tick(0.3)
    fleet.settle()
    assert sum(grant.revoked.is_set() for grant in run.grants[1]) == 1


def test_new_arbiter_counts_held_grants_before_it_grants():
    """Grants of an arbiter that stopped count at its successor."""
    run = Run(1)
    fleet = run.fleet
    for node in range(INSTANCES):
        fleet.connect(node, 0)
    for _ in range(20):
        run.step('submit', 1, 1)
    fleet.settle()
    run.collect()
    fleet.restart(0)
    for node in (0, 1, 2):
        fleet.connect(node, 0)
        run.step('submit', 0, 0)
        fleet.deliver(node)
        run.collect()
        assert run.most_outstanding() == 8
    fleet.settle()
    assert run.most_outstanding() == 8


def test_arbiter_grants_only_the_share_of_the_connected_instances():
    """Missing instances may still grant their own shares locally."""
    run = Run(1)
    fleet = run.fleet
    for _ in range(7):
        run.step('submit', 0, 1)
    assert run.most_outstanding() == 1
    for node in (0, 1):
        fleet.connect(node, 0)
    for _ in range(13):
        run.step('submit', 1, 1)
    fleet.settle()
    assert run.most_outstanding() == 1
    fleet.tick(0.6)
    fleet.settle()
    assert run.most_outstanding() == 8 * 2 // 3
    fleet.tick(35)
    fleet.settle()
    assert run.most_outstanding() == 8


def test_wait_that_an_arbiter_ended_does_not_return_to_the_local_queue():
    """A request that the arbiter shed no longer waits after a link breaks."""
    run = Run(1)
    for _ in range(5):
        run.step('submit', 0, 3)
    for node in range(INSTANCES):
        run.fleet.connect(node, 0)
    for _ in range(40):
        run.step('submit', 1, 0)
    run.fleet.settle()
    run.fleet.tick(0.6)
    run.fleet.settle()
    run.collect()
    assert {node for node, _ in run.waits} == {1}
    for grant in run.grants[0]:
        assert grant.revoked.is_set()
        grant.release()
    run.fleet.disconnect(0, lose=True)
    run.fleet.tick(0.6)
    assert run.fleet.nodes[0].held() == ()


def test_broken_link_is_replaced_before_the_local_share_is_used():
    """Grants of other instances may fill the targets until then."""
    run = Run(1)
    for node in range(INSTANCES):
        run.fleet.connect(node, 0)
    for _ in range(16):
        run.step('submit', 1, 1)
    run.fleet.settle()
    run.step('submit', 0, 0)
    run.fleet.restart(0)
    run.fleet.tick(0.9)
    assert run.most_outstanding() == 8
    run.fleet.tick(0.2)
    assert run.most_outstanding() == 9


def test_grant_of_an_unusable_target_is_released_and_replaced():
    """The instance may know sooner than the arbiter that a target left."""
    fleet = arbitration.Fleet(1, 1, seen=arbitration.TARGETS[1:])
    fleet.connect(0, 0)
    request = arbitration.make_request('r', 0, 50)
    wait = fleet.nodes[0].submit(request, frozenset(), 0)
    fleet.settle()
    assert wait.outcome.ok_value.target.name == 'b'
    assert fleet.outstanding('a') == (0, 0)


def test_decisions_and_end_of_a_replaced_link_are_ignored():
    """Messages of an old link may arrive after a new one is attached."""
    fleet = arbitration.Fleet(1, 2)
    fleet.connect(0, 0)
    fleet.settle()
    node = fleet.nodes[0]
    request = arbitration.make_request('r', 0, 50)
    wait = node.submit(request, frozenset(), 0)
    old, _ = fleet.lines.pop(0)
    fleet.connect(0, 1)
    granted = grants.Granted(wait.pending.id, 'i0/1', 'a')
    node.apply_decisions(old.link, (granted,), 0)
    node.detach(old.link, 0)
    assert wait.outcome is None
    fleet.settle()
    assert isinstance(wait.outcome, Ok)


def test_grants_of_a_stopped_instance_are_reclaimed():
    """They count until the live list no longer names the instance."""
    run = Run(1)
    fleet = run.fleet
    for node in range(INSTANCES):
        fleet.connect(node, 0)
    for _ in range(16):
        run.step('submit', 1, 1)
    fleet.settle()
    fleet.disconnect(1, lose=True)
    fleet.nodes[1] = fleet.nodes[2]
    run.step('submit', 0, 0)
    fleet.tick(1.0)
    fleet.settle()
    run.collect()
    assert not run.grants[0]
    fleet.live = (fleet.live[0], fleet.live[2])
    fleet.tick(1.0)
    fleet.settle()
    run.collect()
    assert len(run.grants[0]) == 1


def test_grants_of_a_disconnected_instance_count_until_their_deadline():
    """A live instance without a link may still use the targets."""
    run = Run(1)
    fleet = run.fleet
    for node in range(INSTANCES):
        fleet.connect(node, 0)
    for _ in range(16):
        run.step('submit', 1, 1)
    fleet.settle()
    fleet.disconnect(1, lose=True)
    fleet.tick(45)
    run.step('submit', 0, 0)
    fleet.settle()
    fleet.tick(0.2)
    fleet.settle()
    run.collect()
    assert not run.grants[0]
    fleet.tick(10)
    fleet.settle()
    run.collect()
    assert len(run.grants[0]) == 1


def test_instance_without_arbiter_applies_its_share_and_the_tiers():
    """It grants only its local share and sheds low tiers first."""
    run = Run(1)
    for _ in range(10):
        run.step('submit', 0, 3)
    assert run.most_outstanding() == 1
    low = [wait for _, wait in run.waits]
    for _ in range(9):
        run.step('submit', 0, 0)
    run.fleet.tick(0.3)
    assert all(grant.revoked.is_set() for grant in run.grants[0])
    for grant in run.grants[0]:
        grant.release()
    for wait in low:
        assert wait.outcome.err_value.code is refusal.Code.OVERLOADED
        assert wait.outcome.err_value.run is refusal.Run.NOT_RUN


def test_acquire_blocks_until_room_or_deadline():
    """A release grants the next request; the deadline ends a wait."""
    fleet = arbitration.Fleet(1, 0)
    both = admission.Admission(
        fleet.live[0],
        lambda _service, _now_s: arbitration.TARGETS[:1],
        lambda: fleet.live,
        arbitration.ignore,
    )

    def acquire(wait_s):
        now_s = time.monotonic()
        request = arbitration.make_request('r', 0, now_s + wait_s, now_s, 50)
        return both.acquire(request, frozenset(), now_s)

    first = acquire(30).ok_value
    refused = acquire(0.05).err_value
    assert refused.code is refusal.Code.DEADLINE_EXCEEDED
    later = []
    thread = threading.Thread(target=lambda: later.append(acquire(30)))
    thread.start()
    first.release()
    thread.join()
    assert later[0].ok_value.target.name == 'a'


def test_arbiter_learns_from_reports_of_instances():
    """A prompt goes to the target whose cache held it for another instance."""
    fleet = arbitration.Fleet(2, 1)
    for node in range(2):
        fleet.connect(node, 0)
    fleet.settle()
    fleet.tick(1.0)

    def send(node, name, hashes):
        made = arbitration.make_request(
            name, 1, fleet.now_s + 60, fleet.now_s, 20
        )
        made = attrs.evolve(made, prefix_hashes=hashes, prompt_tokens=2048)
        made = attrs.evolve(
            made,
            service=attrs.evolve(made.service, outstanding_tokens=9000),
        )
        wait = fleet.nodes[node].submit(made, frozenset(), fleet.now_s)
        fleet.settle()
        return wait.outcome.ok_value

    homes = []
    for number in range(1, 5):
        hashes = tuple(range(number * 10, number * 10 + 8))
        grant = send(0, f'first{number}', hashes)
        fleet.tick(1.0)
        grant.report_cached_tokens(0)
        grant.report_pace(0.02)
        grant.release()
        fleet.settle()
        homes.append((hashes, grant.target.name))
    for hashes, home in homes:
        grant = send(1, f'again{home}', hashes)
        assert grant.target.name == home
        fleet.tick(0.01)
        grant.report_cached_tokens(2048)
        grant.release()
        fleet.settle()
    assert {home for _, home in homes} == {'a', 'b'}
