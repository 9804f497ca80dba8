"""Tests that odd values of other writers and peers stop nothing else."""

import asyncio
import gc
import json
import threading
import time
import zlib

import attrs
from hypothesis import given
from hypothesis import strategies as st
import pytest

from tests.fakes.arbitration import ignore
from tests.fakes.forwarding import answer_ok
from tests.fakes.forwarding import Harness
from tests.fakes.forwarding import make_table
from tests.fakes.object_store import make_store_view
from tests.fakes.object_store import MemoryObjects
from tests.forwarding.test_peers import STATE
from tests.policy.test_routing import make_customer
from wigeonfall import decoding
from wigeonfall.forwarding import arbiter_messages
from wigeonfall.forwarding import background_tasks
from wigeonfall.forwarding.cluster_state import ClusterState
from wigeonfall.forwarding import internal_pages
from wigeonfall.forwarding import peer_news
from wigeonfall.forwarding import peer_state
from wigeonfall.forwarding.peers import Peers
from wigeonfall.forwarding.store_view import StoreView
from wigeonfall.forwarding import store_watcher
from wigeonfall.model.target import Target
from wigeonfall.policy.targets.load_balancer import LoadBalancer
from wigeonfall.policy.versions.version_trial import Trials
from wigeonfall.ports.objects import Change
from wigeonfall.ports.objects import Changes
from wigeonfall.ports.objects import Listing
from wigeonfall.ports.platform import StoredObject
from wigeonfall.serving import rate_limits
from wigeonfall.serving import rollout_exchange

ERRORS = (OverflowError, RecursionError, KeyError, AttributeError)
ODD_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.just(10**400)
    | st.floats()
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)
TASK_TIMEOUT_S = 5.0


@pytest.mark.parametrize('error', ERRORS)
@pytest.mark.parametrize('kind', ['targets', 'orders', 'table'])
def test_an_entry_that_cannot_be_decoded_leaves_the_others(kind, error):
    """After one with the number 1e999, no change of targets was followed."""

    async def scenario():
        async with Harness(answer_ok, answer_ok) as site:
            site.store.put(kind, 'odd', {'raises': error})
            site.store.put('targets', 't1', {'target': site.entry_of('t1')})
            site.leave(site.targets[0])
            async with asyncio.timeout(TASK_TIMEOUT_S):
                while len(site.targets[1].served) < 5:
                    assert (await site.ask('/safe/x'))[0] == 200
                    await asyncio.sleep(0.05)
            unreadable = {
                fields['object']
                for name, fields in site.events
                if name == 'OBJECT_UNREADABLE'
            }
            # An entry of another name is no table, whatever it holds.
            assert unreadable == (set() if kind == 'table' else {'odd'})

    asyncio.run(scenario())


def test_a_table_that_cannot_be_indexed_leaves_the_one_before_in_force():
    """A key that is no string left the callback after it was decoded."""

    async def scenario():
        async with Harness(answer_ok) as site:
            odd = make_customer(name='odd', keys=([],))
            table = make_table(version=2, customers=(make_customer(), odd))
            site.store.put('table', 'main', {'table': table})
            async with asyncio.timeout(TASK_TIMEOUT_S):
                while not any(
                    n == 'OBJECT_UNREADABLE' for n, _ in site.events
                ):
                    await asyncio.sleep(0.01)
            assert (await site.ask('/safe/x'))[0] == 200
            table = make_table(version=3)
            site.store.put('table', 'main', {'table': table})
            async with asyncio.timeout(TASK_TIMEOUT_S):
                while ('TABLE_IN_FORCE', 3) not in [
                    (n, f.get('version')) for n, f in site.events
                ]:
                    await asyncio.sleep(0.01)

    asyncio.run(scenario())


def test_a_customer_with_any_name_is_served():
    """A name beyond Latin-1 closed the channels of the customer's calls."""

    async def scenario():
        customer = make_customer(name='\u0141\u00f3d\u017a')
        table = make_table(customers=(customer,))
        async with Harness(answer_ok, table=table) as site:
            assert (await site.ask('/safe/x'))[0] == 200

    asyncio.run(scenario())


def test_entries_are_decoded_once_and_targets_grouped_in_linear_time():
    """Each change decoded all entries, and copied all names for each."""
    decoded = []

    def decode(item):
        decoded.append(item.name)
        return Target(item.name, 's', 'dc', '10.0.0.1:1')

    def time_s(count):
        adapter = attrs.evolve(Harness()._adapter(), decode_target=decode)
        state = ClusterState(
            adapter, LoadBalancer('dc'), Trials(), lambda *_a, **_f: None
        )
        objects = tuple(
            StoredObject('targets', f't{n}', n + 1, {}) for n in range(count)
        )
        state.view.apply_listing('targets', Listing(objects, count, 1))
        decoded.clear()
        # A collection of what all tests before left takes longer than this.
        gc.disable()
        try:
            started_s = time.process_time()
            for revision in range(count + 1, count + 4):
                item = StoredObject('targets', 't0', revision, {})
                changes = Changes((Change(item, False),), revision, 1)
                state.view.apply_changes('targets', changes)
            taken_s = time.process_time() - started_s
        finally:
            gc.enable()
        assert decoded == ['t0'] * 3
        return taken_s

    # Sixteen times the entries; quadratic work takes 256 times as long.
    assert time_s(8000) < 64 * max(time_s(500), 0.001)


@pytest.mark.parametrize(
    'address',
    ['127.0.0.1:99999', '127.0.0.1:0', '127.0.0.1:-1', 'a\0b:1', 'x' * 300],
)
def test_a_target_that_cannot_be_dialled_is_backed_off_from(address):
    """Orders were read and their channels closed without an answer."""

    async def scenario():
        async with Harness(answer_ok, answer_ok) as site:
            site.store.put('targets', 't0', {'target': site.entry_of('t0')})
            site.targets[0].address = address
            site.store.put('targets', 't0', {'target': site.entry_of('t0')})
            await asyncio.sleep(0.3)
            for number in range(8):
                answer = await site.ask('/safe/x', request_id=f'id-{number}')
                assert answer[0] == 200
            assert any(name == 'TARGET_BACKED_OFF' for name, _ in site.events)

    asyncio.run(scenario())


@given(
    st.sampled_from(sorted(f.name for f in attrs.fields(type(STATE)))),
    ODD_JSON,
)
def test_a_state_with_any_value_is_decoded_or_refused(name, value):
    fields = json.loads(zlib.decompress(peer_state.encode(STATE)))
    fields[name] = value
    data = zlib.compress(json.dumps(fields).encode())
    try:
        state = peer_state.decode(data)
    except ValueError:
        return
    Peers('10.0.0.1:7').receive(state, 0.0)


@given(
    st.sampled_from(['lost', 'answered', 'held', 'rates', 'name']), ODD_JSON
)
def test_news_with_any_value_are_decoded_or_refused(name, value):
    data = peer_news.encode(peer_news.PeerNews('i2', 5))
    fields = json.loads(zlib.decompress(data[1:]))
    fields[name] = value
    data = peer_news.PREFIX + zlib.compress(json.dumps(fields).encode())
    try:
        peer_news.decode(data)
    except ValueError:
        pass


def deep_json(depth):
    """Return the JSON text of lists in objects, nested so deeply."""
    opening = ''.join('{"a":' if n % 2 else '[' for n in range(depth))
    closing = ''.join('}' if n % 2 else ']' for n in reversed(range(depth)))
    return opening + '"end"' + closing


DEPTHS = (60, 64, 65, 450, 600, 900, 985, 5000)
BOUNDARIES = {
    'state': lambda text: peer_state.decode(zlib.compress(text)),
    'news': lambda text: peer_news.decode(b'#' + zlib.compress(text)),
    'arbiter': arbiter_messages.decode,
    'rollouts': lambda text: rollout_exchange.decode(zlib.compress(text)),
    'demand': lambda text: rate_limits._decode(text, 0.0),
}


@pytest.mark.parametrize('depth', DEPTHS)
@pytest.mark.parametrize('boundary', BOUNDARIES)
def test_deep_messages_of_peers_are_refused_with_a_stated_error(
    boundary, depth
):
    """Some raised RecursionError, which no caller expects."""
    with pytest.raises(ValueError):
        BOUNDARIES[boundary](b'{"x": %s}' % deep_json(depth).encode())


@pytest.mark.parametrize('depth', DEPTHS)
def test_deep_entries_are_passed_on_to_peers(depth):
    """Copying one of 450 levels raised, and no peer got any change."""
    listed = decoding.loads('{"Spec": {"labels": %s}}' % deep_json(depth))
    item = StoredObject('k', 'deep', 8, listed['Spec'])
    plain = StoredObject('k', 'plain', 7, {'v': 1})
    view = make_store_view(('k',))
    view.apply_listing('k', Listing((item, plain), 8, 1))
    for page in internal_pages.snapshot_pages(view, ignore).values():
        status, body = page()
        assert status == 200
        other = make_store_view(('k',))
        assert other.apply_snapshot(decoding.loads(body)) == ['k']
        assert {i.name for i in other.objects('k')} == {'deep', 'plain'}
        assert other.objects('k') == other.objects('k')
    # An instance of an earlier release passes the whole value on.
    raw = json.dumps(view.snapshot())
    levels = json.dumps(item.value)
    raw = raw.replace(levels, '{"labels": %s}' % deep_json(depth))
    old = make_store_view(('k',))
    assert old.apply_snapshot(decoding.loads(raw)) == ['k']
    assert internal_pages.snapshot_pages(old, ignore)[b'/snapshot']()[0] == 200


def test_addresses_that_nothing_can_be_sent_to_are_not_kept():
    """Sending to a port out of range ended the exchange with all peers."""
    peers = Peers('10.0.0.1:7')
    odd = ('10.0.0.2:99999', 'a\0b:7', ':7', 'x' * 300 + ':7', '10.0.0.2')
    peers.add_addresses((*odd, '10.0.0.3:7'))
    assert peers.addresses() == ('10.0.0.3:7',)


@pytest.mark.parametrize('part', ['objects', 'revision', 'era'])
@given(value=ODD_JSON)
def test_a_snapshot_with_any_value_changes_all_or_nothing(part, value):
    view = StoreView(('k', 'l'), lambda _k: True, lambda _o: 0, print)
    sound = {'era': 1, 'revision': 5, 'objects': []}
    snapshot = {'k': sound, 'l': sound | {part: value}}
    try:
        view.apply_snapshot(snapshot)
    except ValueError:
        assert not view.is_loaded('k') and not view.is_loaded('l')


def test_a_watch_goes_on_after_an_unexpected_error():
    """The only thread that watched the kind ended."""
    objects = MemoryObjects()
    port = objects.port()
    raised = []

    def list_once(kind, stale):
        if not raised:
            raised.append(kind)
            raise RecursionError('deep')
        return port.list(kind, stale)

    listed, stopping = threading.Event(), threading.Event()
    events = []
    thread = store_watcher.start(
        store_watcher.StoreWatcher(
            kind='k',
            get_store=lambda: attrs.evolve(port, list=list_once),
            on_listing=lambda *_args: listed.set(),
            on_changes=lambda *_args: None,
            on_reachable=lambda _reachable: None,
            is_enabled=lambda: True,
            settle_s=lambda: 0.0,
            record=lambda event, **fields: events.append((event, fields)),
            stopping=stopping,
        )
    )
    assert listed.wait(TASK_TIMEOUT_S)
    stopping.set()
    objects.put('k', 'wakes the watch', {})
    thread.join(TASK_TIMEOUT_S)
    assert 'deep' in events[0][1]['detail']


def test_a_background_task_that_fails_starts_again(monkeypatch):
    monkeypatch.setattr(background_tasks, 'RESTART_DELAY_S', 0.01)
    events = []
    runs = []

    async def run():
        runs.append(time.monotonic())
        if len(runs) < 3:
            raise OverflowError('too large')

    asyncio.run(
        background_tasks.keep_running(
            'task', run, lambda event, **fields: events.append(fields)
        )
    )
    assert len(runs) == 3
    assert [fields['task'] for fields in events] == ['task', 'task']


def test_errors_of_callbacks_are_recorded():
    """They stood on standard error alone, which no metric counts."""
    events = []

    def fail():
        raise KeyError('x')

    async def scenario():
        loop = asyncio.get_running_loop()
        background_tasks.record_loop_errors(
            loop, lambda event, **fields: events.append((event.name, fields))
        )
        loop.call_soon(fail)
        await asyncio.sleep(0.01)

    asyncio.run(scenario())
    ((name, fields),) = events
    assert (name, fields['detail']) == ('TASK_FAILED', "KeyError('x')")
