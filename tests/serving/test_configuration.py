"""Versions in force never fall, whatever order they are learned in."""

from collections.abc import Callable

import attrs
import hypothesis
from hypothesis import strategies

from wigeonfall.adapters import configuration_topic
from wigeonfall.events import Event
from wigeonfall.model.configuration import Configuration
from wigeonfall.model.revision import Change
from wigeonfall.model.revision import Revision
from wigeonfall.model.revision import Texts
from wigeonfall.ports.peers import Topic
from wigeonfall.serving.configuration import ConfigurationState

INITIAL = Configuration(0, (), (), ())


def _revision(version: int, text: str = '') -> Revision:
    base = f'[tier orders]\nrank = {version}\n' + 100 * '# note\n' + text
    change = Change(version, f'change-{version}', 'ana', 'why', 1000)
    return Revision(Texts(base, {'zac-a': '# overlay\n'}), change)


@attrs.define
class Node:
    """One instance's configuration and its topic."""

    name: str
    state: ConfigurationState
    topic: Topic
    events: list[tuple[Event, dict[str, object]]]


def _node(name: str, site: str = 'zac-a') -> Node:
    events: list[tuple[Event, dict[str, object]]] = []

    def record(event: Event, **fields: object) -> None:
        events.append((event, fields))

    state = ConfigurationState(name, site, INITIAL, record)
    topic = configuration_topic.make_topic(state, site, lambda _peer: site)
    return Node(name, state, topic, events)


def _swap(
    caller: Node,
    server: Node,
    seen: Callable[[bytes], None] = lambda _payload: None,
) -> None:
    for sender, receiver in ((caller, server), (server, caller)):
        payload = sender.topic.snapshot_for(receiver.name, 100)
        seen(payload)
        receiver.topic.merge(payload, sender.name, 100)


def _version_in_force(node: Node) -> int:
    node.state.apply(100)
    return node.state.current.version


steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('platform'),
            strategies.integers(0, 3),
            strategies.integers(1, 9),
        ),
        strategies.tuples(
            strategies.just('swap'),
            strategies.integers(0, 3),
            strategies.integers(0, 3),
        ),
        strategies.tuples(
            strategies.just('replace'),
            strategies.integers(0, 3),
            strategies.just(0),
        ),
    ),
    max_size=40,
)


@hypothesis.given(steps)
def test_versions_never_fall_and_all_agree_in_the_end(
    taken: list[tuple[str, int, int]],
) -> None:
    nodes = [_node(f'i{number}') for number in range(4)]
    newest = 0
    for kind, first, second in taken:
        before = _version_in_force(nodes[first])
        if kind == 'platform':
            nodes[first].state.learn(_revision(second))
        elif kind == 'swap' and first != second:
            _swap(nodes[first], nodes[second])
        elif kind == 'replace':
            others = [n for n in nodes if n is not nodes[first]]
            nodes[first] = _node(f'i{first}')
            before = 0
            for other in others:
                _swap(nodes[first], other)
        assert _version_in_force(nodes[first]) >= before
        newest = max(n.state.position.version for n in nodes)
    for _ in range(3):
        for caller in nodes:
            for server in nodes:
                if caller is not server:
                    _swap(caller, server)
    assert {_version_in_force(node) for node in nodes} == {newest}


def test_a_new_instance_learns_from_its_peers_and_is_confirmed() -> None:
    old, new, lonely = _node('old'), _node('new'), _node('lonely')
    old.state.learn(_revision(5))
    _swap(new, old)
    assert _version_in_force(new) == 5
    assert new.state.confirmed
    _swap(lonely, _node('other'))
    assert not lonely.state.confirmed


def test_unconfirmed_peers_behind_do_not_confirm() -> None:
    platform_says_none, new = _node('a'), _node('b')
    platform_says_none.state.confirm()
    _swap(new, platform_says_none)
    assert new.state.confirmed


def test_a_change_travels_as_a_delta_and_whole_where_it_must() -> None:
    first, second, late = _node('a'), _node('b'), _node('c')
    large = ''.join(f'# {n * 7919 % 10007}\n' for n in range(5000))
    first.state.learn(_revision(1, large))
    sizes: list[int] = []
    _swap(second, first, lambda payload: sizes.append(len(payload)))
    whole_bytes = max(sizes)
    _swap(second, first)
    first.state.learn(_revision(2, large))
    sizes.clear()
    _swap(first, second, lambda payload: sizes.append(len(payload)))
    assert second.state.position.version == 2
    assert max(sizes) < whole_bytes / 20
    # A peer that was replaced by an empty process still looks up to date.
    empty = _node('b')
    first.state.learn(_revision(3, large))
    try:
        _swap(first, empty)
    except ValueError:
        _swap(empty, first)
    assert empty.state.position.version == 3
    _swap(late, first)
    assert late.state.position.version == 3


def test_a_faulty_revision_is_passed_on_and_not_put_in_force() -> None:
    node, peer = _node('a'), _node('b')
    node.state.learn(_revision(1))
    assert _version_in_force(node) == 1
    node.state.learn(_revision(2, '[unknown]\n'))
    assert _version_in_force(node) == 1
    assert node.events[-1][0] is Event.CONFIGURATION_REFUSED
    _swap(peer, node)
    assert peer.state.position.version == 2


def test_reports_spread_inside_a_site() -> None:
    nodes = [_node(name) for name in 'abc']
    far = _node('far', 'sal-b')
    nodes[0].state.learn(_revision(4))
    for _ in range(2):
        for node in nodes:
            _swap(node, nodes[0])
            node.state.apply(200)
        _swap(far, nodes[0])
    versions = {n: r.version for n, r in nodes[0].state.reports().items()}
    assert versions == {'a': 4, 'b': 4, 'c': 4}
