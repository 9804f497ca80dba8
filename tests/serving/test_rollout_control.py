"""Tests of the control of rollouts under any interleaving."""

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
    """Holders, operators, outages, pauses and lost answers in any order."""

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
    def work(self, node, seconds):
        """Let time pass and one node act, with good traffic."""
        self.world.now_s += seconds
        self.nodes[node].traffic('old', 40)
        self.nodes[node].traffic(f'new{self.version}', 200)
        self.nodes[node].step()

    @stateful.rule(node=NODES, other=NODES, seconds=strategies.floats(0, 30))
    def work_and_sleep(self, node, other, seconds):
        """Pause one node right before a write, while another acts."""

        def pause():
            self.world.now_s += seconds
            if other != node:
                self.nodes[other].step()

        self.world.platform.before_write = pause
        self.nodes[node].step()
        self.world.platform.before_write = None

    @stateful.rule(node=NODES)
    def badness(self, node):
        """Let requests to the new version fail at one node."""
        self.nodes[node].traffic(f'new{self.version}', 30, ok=False)

    @stateful.rule(node=NODES, other=NODES)
    def exchange(self, node, other):
        """Let two nodes exchange what they know."""
        self.nodes[node].exchange(self.nodes[other])

    @stateful.rule(down=strategies.booleans(), lost=strategies.integers(0, 2))
    def platform(self, down, lost):
        """Begin or end an outage; lose the answers of the next writes."""
        self.world.platform.down = down
        self.world.platform.lose_writes = lost

    @stateful.rule(node=NODES, cut=strategies.booleans())
    def cut_off(self, node, cut):
        """Cut a node off from the platform or back on."""
        self.nodes[node].cut = cut

    @stateful.rule(
        what=strategies.sampled_from(('pause', 'resume', 'take-back', 'start'))
    )
    def operate(self, what):
        """Let an operator act."""
        stored = self.world.stored()
        if what != 'start':
            self.world.operate(what)
        elif stored is None or stored.phase.final:
            self.start()

    @stateful.invariant()
    def ended_rollouts_stay_ended(self):
        """No write ever changes a rollout that has ended."""
        last: dict[int, Rollout] = {}
        for rollout in self._history():
            before = last.get(rollout.number)
            assert before is None or not before.phase.final
            assert rollout.number >= max(last, default=0)
            last[rollout.number] = rollout

    @stateful.invariant()
    def only_the_newest_holder_writes(self):
        """Fencing numbers in the rollout never fall."""
        fencing = [r.fencing for r in self._history()]
        assert fencing == sorted(fencing)

    @stateful.invariant()
    def fencing_numbers_belong_to_one_holder(self):
        """A number is never given to two holders."""
        holders: dict[int, str] = {}
        for stored in self.world.platform.history:
            if stored.kind == leases.KIND:
                holder = stored.value['holder']
                fencing = stored.value['fencing']
                assert holders.setdefault(fencing, holder) == holder

    @stateful.invariant()
    def one_holder_at_a_time(self):
        """Never do two nodes believe that they hold the lease."""
        assert sum(node.lease.held() for node in self.nodes) <= 1

    @stateful.invariant()
    def nothing_goes_to_a_bad_version(self):
        """A node that knows of badness sends nothing there."""
        for node in self.nodes:
            for known in node.rollouts.known():
                rollout = known.rollout
                ended = rollout.phase is Phase.ROLLED_BACK
                found = node.rollouts.finding(rollout) is not None
                if ended or found and rollout.phase is not Phase.COMPLETED:
                    assert set(node.chosen()) == {rollout.old_version}

    @stateful.invariant()
    def shares_stay_below_the_stored_ones(self):
        """No node gives more than what was once written."""
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
    """Run all nodes with exchanges for some simulated seconds."""
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


def test_good_version_completes_and_moves_are_reported():
    """Every node reports each move with who, when and why."""
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


def test_bad_version_is_taken_back_on_targets_too():
    """The targets are ordered back to the old version."""
    world = rollout_nodes.World()
    nodes = rollout_nodes.new_nodes(world)
    world.operate('start', rollout_nodes.new_rollout(world, orders=True))
    _run(world, nodes, 15)
    assert 'new' in {t.version for t in world.targets.values()}
    _run(world, nodes, 20, good=False)
    assert world.stored().phase is Phase.ROLLED_BACK
    assert {t.version for t in world.targets.values()} == {'old'}


def test_badness_stops_traffic_while_the_platform_is_away():
    """Findings need no platform, and are written once it is back."""
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


def test_share_holds_while_the_platform_is_away():
    """Good evidence alone raises nothing; the deadline still counts."""
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


def test_share_holds_while_an_instance_is_unheard_of():
    """An instance that is cut off may see badness which no one else does."""
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


def _full_load():
    world = rollout_nodes.World()
    nodes = rollout_nodes.new_nodes(world)
    world.operate('start', rollout_nodes.new_rollout(world))
    while world.stored() is None or world.stored().share < 1:
        _run(world, nodes, 1)
    _run(world, nodes, 7)
    nodes[0].traffic('new', 30, ok=False)
    assert 0.85 < nodes[0].chosen(1000).count('old') / 1000 < 0.95
    return world, nodes


def test_badness_under_full_load_is_compared_first():
    """A finding without a comparison lowers the share, a second ends it."""
    world, nodes = _full_load()
    _run(world, nodes, 15, good=False)
    assert world.stored().phase is Phase.ROLLED_BACK


def test_badness_right_after_a_growth_is_compared_first():
    """Errors come sooner than answers, so the share falls but not to 0."""
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


def test_trouble_of_both_versions_under_full_load_passes():
    """Errors that the old version shows as well bring no verdict."""
    world, nodes = _full_load()
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
    """Before the share first grows, all instances keep to one limit."""
    world = rollout_nodes.World()
    nodes = rollout_nodes.new_nodes(world)
    world.operate('start', rollout_nodes.new_rollout(world))
    _run(world, nodes, 8)
    assert world.stored().steps == 1
    chosen = [v for node in nodes for v in node.chosen(40_000)]
    limit = world.stored().criteria.first_requests
    assert chosen.count('new') == limit


def test_requests_that_failed_on_the_new_version_go_back():
    """A retry goes to the old version."""
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
    """Return a world, the holder whose next step grows, and the others."""
    world = rollout_nodes.World()
    nodes = rollout_nodes.new_nodes(world)
    world.operate('start', rollout_nodes.new_rollout(world))
    _run(world, nodes, 10)
    holder = next(node for node in nodes if node.lease.held())
    world.now_s += 5.0
    holder.traffic('old', 200)
    holder.traffic('new', 200)
    return world, holder, [node for node in nodes if node is not holder]


def test_holder_grows_when_it_is_not_disturbed():
    """The next two tests start from a step that would grow."""
    world, holder, _ = _about_to_grow()
    share = world.stored().share
    holder.step()
    assert world.stored().share > share


def test_holder_that_slept_while_deciding_writes_nothing():
    """The lease is looked at again right before the write."""
    world, holder, _ = _about_to_grow()
    share = world.stored().share
    decision_inputs = holder.rollouts.decision_inputs

    def slow_decision_inputs(*args):
        world.now_s += 7.0
        return decision_inputs(*args)

    holder.rollouts.decision_inputs = slow_decision_inputs
    holder.step()
    assert world.stored().share == share


def test_write_of_a_holder_that_slept_conflicts():
    """A new holder's first write voids what the earlier one prepared."""
    world, holder, others = _about_to_grow()
    share = world.stored().share

    def sleep_in_second_write():
        world.platform.before_write = sleep

    def sleep():
        for _ in range(30):
            world.now_s += 1.0
            for node in others:
                node.step()

    world.platform.before_write = sleep_in_second_write
    holder.step()
    assert world.stored().share == share
    assert world.stored().moves[-1].what == 'control'
