"""Tests of the rollout control loop and its lease."""

import attrs
import cattrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.fakes import rollout_nodes
from wigeonfall.model.rollout import Phase
from wigeonfall.model.rollout import Rollout
from wigeonfall.serving import leases
from wigeonfall.serving import rollouts

NODES = strategies.integers(0, 2)


class AnyInterleaving(stateful.RuleBasedStateMachine):
    """Lease holders, operators, outages, pauses and lost answers."""

    def __init__(self) -> None:
        super().__init__()
        self.world = rollout_nodes.World()
        self.nodes = rollout_nodes.new_nodes(self.world)
        self.version = 0

    @stateful.initialize()
    def begin(self):
        """Start a first rollout."""
        self.start()

    def start(self):
        self.version += 1
        wanted = attrs.evolve(
            rollout_nodes.new_rollout(self.world, orders=True),
            new_version=f'new{self.version}',
        )
        self.world.operate('start', wanted)

    @stateful.rule(node=NODES, seconds=strategies.floats(0, 12))
    def step_node(self, node, seconds):
        """Advance time and run one node, with successful requests."""
        self.world.now_s += seconds
        self.nodes[node].traffic('old', 40)
        self.nodes[node].traffic(f'new{self.version}', 200)
        self.nodes[node].step()

    @stateful.rule(node=NODES, other=NODES, seconds=strategies.floats(0, 30))
    def pause_before_write(self, node, other, seconds):
        """Pause one node right before a write, while another one runs."""

        def pause():
            self.world.now_s += seconds
            if other != node:
                self.nodes[other].step()

        self.world.platform.before_write = pause
        self.nodes[node].step()
        self.world.platform.before_write = None

    @stateful.rule(node=NODES)
    def fail_new_version(self, node):
        """Fail requests to the new version at one node."""
        self.nodes[node].traffic(f'new{self.version}', 30, ok=False)

    @stateful.rule(node=NODES, other=NODES)
    def exchange(self, node, other):
        """Exchange states between two nodes."""
        self.nodes[node].exchange(self.nodes[other])

    @stateful.rule(down=strategies.booleans(), lost=strategies.integers(0, 2))
    def platform(self, down, lost):
        """Set the platform up or down; lose answers of the next writes."""
        self.world.platform.down = down
        self.world.platform.lose_writes = lost

    @stateful.rule(node=NODES, cut=strategies.booleans())
    def cut_off(self, node, cut):
        """Disconnect a node from the platform or reconnect it."""
        self.nodes[node].cut = cut

    @stateful.rule(
        what=strategies.sampled_from(('pause', 'resume', 'take-back', 'start'))
    )
    def operate(self, what):
        """Apply an operator's change."""
        stored = self.world.stored()
        if what != 'start':
            self.world.operate(what)
        elif stored is None or stored.phase.final:
            self.start()

    @stateful.invariant()
    def ended_rollouts_stay_ended(self):
        """No write changes a rollout that has ended."""
        last: dict[int, Rollout] = {}
        for rollout in self._history():
            before = last.get(rollout.number)
            assert before is None or not before.phase.final
            assert rollout.number >= max(last, default=0)
            last[rollout.number] = rollout

    @stateful.invariant()
    def fencing_tokens_never_decrease(self):
        """Fencing tokens in stored rollouts never decrease."""
        fencing = [r.fencing for r in self._history()]
        assert fencing == sorted(fencing)

    @stateful.invariant()
    def fencing_tokens_are_unique_to_a_holder(self):
        """No two holders of the lease get the same fencing token."""
        holders: dict[int, str] = {}
        for stored in self.world.platform.history:
            if stored.kind == leases.KIND:
                holder = stored.value['holder']
                fencing = stored.value['fencing']
                assert holders.setdefault(fencing, holder) == holder

    @stateful.invariant()
    def at_most_one_node_holds_the_lease(self):
        """At most one node regards itself as the lease holder."""
        assert sum(node.lease.held() for node in self.nodes) <= 1

    @stateful.invariant()
    def bad_versions_get_no_requests(self):
        """A node that knows a version is bad sends no requests to it."""
        for node in self.nodes:
            for known in node.rollouts.known():
                rollout = known.rollout
                ended = rollout.phase is Phase.ROLLED_BACK
                found = node.rollouts.finding(rollout) is not None
                if ended or found and rollout.phase is not Phase.COMPLETED:
                    assert set(node.chosen()) == {rollout.old_version}

    @stateful.invariant()
    def known_shares_stay_within_stored_ones(self):
        """No node knows a larger share than was ever stored."""
        largest: dict[str, float] = {}
        for rollout in self._history():
            share = max(rollout.share, largest.get(rollout.id, 0.0))
            largest[rollout.id] = share
        for node in self.nodes:
            for known in node.rollouts.known():
                assert known.rollout.share <= largest[known.rollout.id]

    def _history(self):
        return [
            cattrs.structure(stored.value, Rollout)
            for stored in self.world.platform.history
            if stored.kind == rollouts.KIND
        ]


AnyInterleaving.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40
)
TestAnyInterleaving = AnyInterleaving.TestCase


def _run(world, nodes, seconds, good=True, traffic=True):
    """Run the nodes, with exchanges, for some simulated seconds."""
    for _ in range(seconds):
        world.now_s += 1.0
        for node in nodes:
            if traffic:
                node.traffic('old', 20)
                node.traffic('new', 20 if good else 0)
                node.traffic('new', 0 if good else 3, ok=False)
            node.step()
        for node, peer in zip(nodes, nodes[1:] + nodes[:1], strict=True):
            node.exchange(peer)


def test_good_version_completes_and_moves_are_recorded():
    """Each node records each move with its author, time and reason."""
    world = rollout_nodes.World()
    nodes = rollout_nodes.new_nodes(world)
    world.operate('start', rollout_nodes.new_rollout(world, orders=True))
    _run(world, nodes, 150)
    assert world.stored().phase is Phase.COMPLETED
    assert {t.version for t in world.targets.values()} == {'new'}
    assert set(nodes[0].chosen()) == {'new'}
    for node in nodes:
        moves = [f for n, f in node.events if n == 'ROLLOUT_MOVED']
        whats = [move['what'] for move in moves]
        assert whats[0] == 'start' and whats[-1] == 'complete'
        assert whats.count('grow') >= 3
        assert all(m['who'] and m['why'] and m['at_unix_s'] for m in moves)


def test_bad_version_is_rolled_back_on_targets():
    """Targets that loaded the bad version get orders for the old one."""
    world = rollout_nodes.World()
    nodes = rollout_nodes.new_nodes(world)
    world.operate('start', rollout_nodes.new_rollout(world, orders=True))
    _run(world, nodes, 15)
    assert 'new' in {t.version for t in world.targets.values()}
    _run(world, nodes, 20, good=False)
    assert world.stored().phase is Phase.ROLLED_BACK
    assert {t.version for t in world.targets.values()} == {'old'}


def test_regression_stops_traffic_during_platform_outage():
    """Findings work without the platform and are stored after it."""
    world = rollout_nodes.World()
    nodes = rollout_nodes.new_nodes(world)
    world.operate('start', rollout_nodes.new_rollout(world))
    while world.stored().steps < 3:
        _run(world, nodes, 1)
    _run(world, nodes, 7)
    assert 'new' in nodes[0].chosen() and world.stored().share < 1
    world.platform.down = True
    nodes[0].traffic('new', 30, ok=False)
    assert set(nodes[0].chosen()) == {'old'}
    _run(world, nodes, 3, traffic=False)
    assert all(set(node.chosen()) == {'old'} for node in nodes)
    assert world.stored().phase is Phase.RUNNING
    world.platform.down = False
    _run(world, nodes, 20, traffic=False)
    assert world.stored().phase is Phase.ROLLED_BACK


def test_share_stays_during_platform_outage():
    """Good outcomes alone raise no share; the deadline still applies."""
    world = rollout_nodes.World()
    nodes = rollout_nodes.new_nodes(world)
    world.operate('start', rollout_nodes.new_rollout(world))
    _run(world, nodes, 30)
    share = world.stored().share
    world.platform.down = True
    _run(world, nodes, 60)
    assert {n.rollouts.active()[0].rollout.share for n in nodes} == {share}
    _run(world, nodes, 520, traffic=False)
    assert all(set(node.chosen()) == {'old'} for node in nodes)


def test_share_stays_while_an_instance_is_silent():
    """A disconnected instance may see a regression that others do not."""
    world = rollout_nodes.World()
    nodes = rollout_nodes.new_nodes(world)
    world.operate('start', rollout_nodes.new_rollout(world))
    _run(world, nodes, 5)
    _run(world, nodes[:2], 17)
    held = world.stored().share
    _run(world, nodes[:2], 60)
    assert world.stored().share == held < 1.0
    _run(world, nodes, 60)
    assert world.stored().share == 1.0


def _at_full_share():
    world = rollout_nodes.World()
    nodes = rollout_nodes.new_nodes(world)
    world.operate('start', rollout_nodes.new_rollout(world))
    while world.stored() is None or world.stored().share < 1:
        _run(world, nodes, 1)
    _run(world, nodes, 7)
    nodes[0].traffic('new', 30, ok=False)
    assert 0.85 < nodes[0].chosen(1000).count('old') / 1000 < 0.95
    return world, nodes


def test_regression_at_full_share_is_verified_first():
    """The first regression lowers the share, the second rolls back.

    Without requests to the old version there is nothing to compare with.
    """
    world, nodes = _at_full_share()
    _run(world, nodes, 15, good=False)
    assert world.stored().phase is Phase.ROLLED_BACK


def test_regression_right_after_growth_is_verified_first():
    """Errors arrive before answers, so the share falls, but not to 0."""
    world = rollout_nodes.World()
    nodes = rollout_nodes.new_nodes(world)
    world.operate('start', rollout_nodes.new_rollout(world))
    while world.stored() is None or world.stored().share < 0.2:
        _run(world, nodes, 1)
    share = world.stored().share
    assert share < 1
    nodes[0].traffic('new', 30, ok=False)
    chosen = nodes[0].chosen(4000)
    assert 0 < chosen.count('new') / len(chosen) < share / 4


def test_errors_of_both_versions_cause_no_rollback():
    """Errors at full share that the old version has too are tolerated."""
    world, nodes = _at_full_share()
    for _ in range(10):
        world.now_s += 1.0
        for node in nodes:
            for version in ('old', 'new'):
                node.traffic(version, 15)
                node.traffic(version, 5, ok=False)
            node.step()
    _run(world, nodes, 100)
    assert world.stored().phase is Phase.COMPLETED


def test_first_requests_are_limited():
    """Before the first growth all instances share one request limit."""
    world = rollout_nodes.World()
    nodes = rollout_nodes.new_nodes(world)
    world.operate('start', rollout_nodes.new_rollout(world))
    _run(world, nodes, 8)
    assert world.stored().steps == 1
    chosen = [v for node in nodes for v in node.chosen(40_000)]
    limit = world.stored().criteria.first_requests
    assert chosen.count('new') == limit


def test_requests_failed_by_new_version_go_to_the_old_one():
    """A retry after a failure of the new version uses the old one."""
    world = rollout_nodes.World()
    nodes = rollout_nodes.new_nodes(world)
    world.operate('start', rollout_nodes.new_rollout(world))
    _run(world, nodes, 60)
    failed = frozenset(('new',))
    again = {
        nodes[0].rollouts.choose_version(
            rollout_nodes.SERVICE, 'report', f'r{n}', 1.0, failed
        )
        for n in range(99)
    }
    assert again == {'old'}


def _about_to_grow():
    """Return a world, a holder about to grow the share, and the others."""
    world = rollout_nodes.World()
    nodes = rollout_nodes.new_nodes(world)
    world.operate('start', rollout_nodes.new_rollout(world))
    _run(world, nodes, 10)
    holder = next(node for node in nodes if node.lease.held())
    world.now_s += 5.0
    holder.traffic('old', 200)
    holder.traffic('new', 200)
    return world, holder, [node for node in nodes if node is not holder]


def test_undisturbed_holder_grows_the_share():
    """The state from which the next two tests start leads to growth."""
    world, holder, _ = _about_to_grow()
    share = world.stored().share
    holder.step()
    assert world.stored().share > share


def test_holder_paused_while_deciding_writes_nothing():
    """The lease is checked again right before the write."""
    world, holder, _ = _about_to_grow()
    share = world.stored().share
    decision_inputs = holder.rollouts.decision_inputs

    def slow_decision_inputs(*args):
        world.now_s += 7.0
        return decision_inputs(*args)

    holder.rollouts.decision_inputs = slow_decision_inputs
    holder.step()
    assert world.stored().share == share


def test_write_of_a_paused_holder_conflicts():
    """The first write of a new holder makes an earlier one's fail."""
    world, holder, others = _about_to_grow()
    share = world.stored().share

    def pause_in_second_write():
        world.platform.before_write = pause

    def pause():
        for _ in range(30):
            world.now_s += 1.0
            for node in others:
                node.step()

    world.platform.before_write = pause_in_second_write
    holder.step()
    assert world.stored().share == share
    assert world.stored().moves[-1].what == 'control'
