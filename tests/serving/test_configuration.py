"""Tests the exchange of configuration revisions between instances.

The version in force never decreases, in whatever order revisions arrive.
"""

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


def make_revision(version: int, text: str = '') -> Revision:
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


def make_node(name: str, data_center: str = 'zac-a') -> Node:
    events: list[tuple[Event, dict[str, object]]] = []

    def record(event: Event, **fields: object) -> None:
        events.append((event, fields))

    state = ConfigurationState(name, data_center, INITIAL, record)
    topic = configuration_topic.make_topic(
        state, data_center, lambda _peer: data_center
    )
    return Node(name, state, topic, events)


def _swap(
    caller: Node,
    server: Node,
    on_payload: Callable[[bytes], None] = lambda _payload: None,
) -> None:
    for sender, receiver in ((caller, server), (server, caller)):
        payload = sender.topic.snapshot_for(receiver.name, 100)
        on_payload(payload)
        receiver.topic.merge(payload, sender.name, 100)


def _version_in_force(node: Node) -> int:
    node.state.apply(100)
    return node.state.current.version


action_lists = strategies.lists(
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


@hypothesis.given(action_lists)
def test_versions_never_decrease_and_converge(
    actions: list[tuple[str, int, int]],
) -> None:
    nodes = [make_node(f'i{number}') for number in range(4)]
    newest = 0
    for kind, first, second in actions:
        before = _version_in_force(nodes[first])
        if kind == 'platform':
            nodes[first].state.add_revision(make_revision(second))
        elif kind == 'swap' and first != second:
            _swap(nodes[first], nodes[second])
        elif kind == 'replace':
            others = [n for n in nodes if n is not nodes[first]]
            nodes[first] = make_node(f'i{first}')
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


def test_a_new_instance_gets_the_revision_and_confirmation_of_a_peer() -> None:
    old, new, lonely = make_node('old'), make_node('new'), make_node('lonely')
    old.state.add_revision(make_revision(5))
    _swap(new, old)
    assert _version_in_force(new) == 5
    assert new.state.confirmed
    _swap(lonely, make_node('other'))
    assert not lonely.state.confirmed


def test_a_peer_confirms_that_there_is_no_revision() -> None:
    confirmed_node, new = make_node('a'), make_node('b')
    confirmed_node.state.confirm()
    _swap(new, confirmed_node)
    assert new.state.confirmed


def test_a_change_is_sent_as_a_delta_or_whole_without_a_base() -> None:
    first, second, late = make_node('a'), make_node('b'), make_node('c')
    large = ''.join(f'# {n * 7919 % 10007}\n' for n in range(5000))
    first.state.add_revision(make_revision(1, large))
    sizes: list[int] = []
    _swap(second, first, lambda payload: sizes.append(len(payload)))
    whole_bytes = max(sizes)
    _swap(second, first)
    first.state.add_revision(make_revision(2, large))
    sizes.clear()
    _swap(first, second, lambda payload: sizes.append(len(payload)))
    assert second.state.position.version == 2
    assert max(sizes) < whole_bytes / 20
    # The peer restarted without revisions; the sender does not know that yet.
    empty = make_node('b')
    first.state.add_revision(make_revision(3, large))
    try:
        _swap(first, empty)
    except ValueError:
        _swap(empty, first)
    assert empty.state.position.version == 3
    _swap(late, first)
    assert late.state.position.version == 3


def test_an_invalid_revision_is_passed_on_but_not_put_in_force() -> None:
    node, peer = make_node('a'), make_node('b')
    node.state.add_revision(make_revision(1))
    assert _version_in_force(node) == 1
    node.state.add_revision(make_revision(2, '[unknown]\n'))
    assert _version_in_force(node) == 1
    assert node.events[-1][0] is Event.CONFIGURATION_REFUSED
    _swap(peer, node)
    assert peer.state.position.version == 2


def test_reports_are_shared_within_a_data_center() -> None:
    nodes = [make_node(name) for name in 'abc']
    far = make_node('far', 'sal-b')
    nodes[0].state.add_revision(make_revision(4))
    for _ in range(2):
        for node in nodes:
            _swap(node, nodes[0])
            node.state.apply(200)
        _swap(far, nodes[0])
    versions = {n: r.version for n, r in nodes[0].state.reports().items()}
    assert versions == {'a': 4, 'b': 4, 'c': 4}
