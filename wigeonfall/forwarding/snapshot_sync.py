"""Fetches snapshots of the store from peers that have newer revisions.

Instances that do not watch the store get all changes in this way, from a peer
in their own data centre if one has them, or from the store if no peer helps.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import time
from typing import TypeAlias

import attrs

from ..events import Event
from . import internal_pages
from ..policy.view_lag import KindLag
from ..policy.view_lag import LagTerms
from ..ports.platform import StoredObject
from ..recorder import Record
from . import store_position
from .exchange import ConnectionPool
from .peer_state import PeerState
from .peers import Peers
from .store_view import StoreView

WATCH_LAG_S = 0.4  # a working watch delivers a change before this time
CHECK_INTERVAL_S = 0.1

_Fetches: TypeAlias = dict[str, asyncio.Task[None]]  # by name of the peer


@attrs.frozen
class SnapshotSyncContext:
    """What the synchronisation with peers needs.

    Attributes:
        peers: the peers of this instance.
        view: its view of the store.
        connections: HTTP connections to peers.
        data_center: data centre of this instance.
        watches_store: returns whether this instance watches the store.
        store_reachable: returns whether its watches work.
        fleet_size: returns the number of instances.
        record: records events.
        lags: in which kinds others are ahead.
        listings_due: kinds to list from the store, as peers did not help.
        terms: returns how soon changes must be in force.
        decode_ahead: called with objects before they are applied, in any
            thread.
    """

    peers: Peers
    view: StoreView
    connections: ConnectionPool
    data_center: str
    watches_store: Callable[[], bool]
    store_reachable: Callable[[], bool]
    fleet_size: Callable[[float], int]
    record: Record
    lags: dict[str, KindLag] = attrs.field()
    listings_due: set[str] = attrs.field(factory=set)
    terms: Callable[[], LagTerms] = LagTerms
    decode_ahead: Callable[[Iterable[StoredObject]], None] = lambda _items: (
        None
    )

    @lags.default
    def _make_lags(self) -> dict[str, KindLag]:
        return {kind: KindLag() for kind in self.view.kinds()}


async def run(context: SnapshotSyncContext) -> None:
    """Follow what peers know of the store, until cancelled."""
    fetches: dict[str, _Fetches] = {kind: {} for kind in context.lags}
    try:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = time.monotonic()
            ahead = _ahead_by_kind(context, now_s)
            for kind in context.lags:
                _follow_kind(context, kind, ahead[kind], fetches[kind], now_s)
    finally:
        for kind, tasks in fetches.items():
            _cancel(context.lags[kind], tasks)


def _follow_kind(
    context: SnapshotSyncContext,
    kind: str,
    ahead: dict[str, PeerState],
    fetches: _Fetches,
    now_s: float,
) -> None:
    """Ask a peer or the store for a kind, where it is time to.

    Args:
        context: the synchronisation.
        kind: name of the kind.
        ahead: the peers that are ahead in it, by name.
        fetches: what is under way.
        now_s: present time on the monotonic clock.
    """
    lag = context.lags[kind]
    terms = context.terms()
    position = context.view.positions()[kind]
    ended_s = lag.set_ahead(bool(ahead), position, now_s)
    _report(context, kind, ended_s, len(ahead), now_s)
    watches = context.watches_store()
    fleet_size = context.fleet_size(now_s)
    if not watches and lag.needs_store(fleet_size, now_s, terms):
        context.listings_due.add(kind)
    else:
        context.listings_due.discard(kind)
    grace_s = WATCH_LAG_S if watches else CHECK_INTERVAL_S
    if not (ahead and lag.may_fetch(now_s, grace_s, terms)):
        return
    state = lag.choose(
        ahead,
        lambda peer: peer.data_center == context.data_center,
        now_s,
        terms,
    )
    if state is not None:
        lag.record_fetching(state.name, now_s)
        fetches[state.name] = asyncio.create_task(
            _fetch(context, kind, state, ahead, fetches)
        )


def _cancel(lag: KindLag, fetches: _Fetches) -> None:
    """End all fetches of a kind."""
    for name, task in fetches.items():
        task.cancel()
        lag.record_ended(name)
    fetches.clear()


def record_listed(
    context: SnapshotSyncContext, kind: str, error: str | None
) -> None:
    """Record that the store was asked for a kind, in place of peers.

    Args:
        context: the synchronisation.
        kind: name of the kind.
        error: why the store gave no listing, None if it did.
    """
    now_s = time.monotonic()
    context.listings_due.discard(kind)
    context.lags[kind].record_listed(
        context.fleet_size(now_s), error, now_s, context.terms()
    )


def _report(
    context: SnapshotSyncContext,
    kind: str,
    ended_s: float | None,
    ahead_count: int,
    now_s: float,
) -> None:
    """Record that peers are ahead in a kind, or no longer are.

    Args:
        context: the synchronisation.
        kind: name of the kind.
        ended_s: how long a lag that was reported has lasted, if it has ended.
        ahead_count: number of peers that are ahead.
        now_s: present time on the monotonic clock.
    """
    lag = context.lags[kind]
    if ended_s is not None:
        context.record(Event.VIEW_CURRENT, kind=kind, lag_s=round(ended_s, 1))
    if lag.is_due_report(now_s):
        lag_s = lag.lag_s(now_s)
        context.record(
            Event.VIEW_BEHIND,
            kind=kind,
            since_unix_s=round(time.time() - lag_s, 1),
            lag_s=round(lag_s, 1),
            ahead=ahead_count,
            failed=len(lag.failed_s),
            detail=lag.error,
        )


def _ahead_by_kind(
    context: SnapshotSyncContext, now_s: float
) -> dict[str, dict[str, PeerState]]:
    """Return the peers that have something newer, by kind and name."""
    ahead: dict[str, dict[str, PeerState]] = {
        kind: {} for kind in context.view.kinds()
    }
    kinds_of: dict[tuple[tuple[str, int], ...], list[str]] = {}
    for state in _peers_ahead(context, now_s):
        told = tuple(state.revisions.items())
        if told not in kinds_of:
            kinds_of[told] = _kinds_ahead(context, state)
        for kind in kinds_of[told]:
            ahead[kind][state.name] = state
    return ahead


def _peers_ahead(
    context: SnapshotSyncContext, now_s: float
) -> list[PeerState]:
    """Return the states of peers that have something newer of any kind."""

    def tells_eras(state: PeerState) -> bool:
        return any(
            store_position.tells_eras(state.revisions, kind)
            for kind in context.view.kinds()
        )

    states = [peer.state for peer in context.peers.live(now_s)]
    # Most of hundreds of peers tell the same positions.
    told = {tuple(state.revisions.items()): state for state in states}
    newer = {
        positions
        for positions, state in told.items()
        if _kinds_ahead(context, state)
    }
    ahead = [
        state for state in states if tuple(state.revisions.items()) in newer
    ]
    if not ahead:
        return []
    watches = context.watches_store() and context.store_reachable()
    if (watches and _knows_eras(context)) or any(
        tells_eras(state) for state in states
    ):
        # A peer without eras may tell revisions of one that has ended.
        return [state for state in ahead if tells_eras(state)]
    return ahead


def _knows_eras(context: SnapshotSyncContext) -> bool:
    return any(p.era for p in context.view.positions().values())


def _kinds_ahead(context: SnapshotSyncContext, state: PeerState) -> list[str]:
    """Return the kinds of which a peer has something newer."""
    return [
        kind
        for kind in context.view.kinds()
        if context.view.is_behind(
            kind, store_position.decode(state.revisions, kind)
        )
    ]


async def _fetch(
    context: SnapshotSyncContext,
    kind: str,
    state: PeerState,
    ahead: dict[str, PeerState],
    fetches: _Fetches,
) -> None:
    """Fetch a kind from a peer, and end all other fetches if that succeeds.

    Args:
        context: the synchronisation.
        kind: name of the kind.
        state: state of the peer.
        ahead: the peers that are ahead, by name.
        fetches: what is under way.
    """
    lag = context.lags[kind]
    try:
        snapshot = await internal_pages.fetch_snapshot(
            context.connections,
            state.address,
            internal_pages.snapshot_path(kind),
            lambda: lag.record_progress(time.monotonic()),
            lambda kinds: context.decode_ahead(
                item for part in kinds.values() for item in part.objects
            ),
        )
        kinds = context.view.apply_kinds(snapshot)
        if kind in _kinds_ahead(context, state):
            raise ValueError(f'snapshot has not what was advertised of {kind}')
    except Exception as error:
        # Whatever it is, another peer or the store may still help.
        _record_failed(context, kind, state.name, ahead, repr(error))
        return
    finally:
        # One that was ended may have been begun again.
        if fetches.get(state.name) is asyncio.current_task():
            del fetches[state.name]
            lag.record_ended(state.name)
    # Peers that were overtaken are slow, or have an older state.
    for name in fetches:
        lag.record_failed(
            name, ahead, 'overtaken', time.monotonic(), context.terms()
        )
    _cancel(lag, fetches)
    lag.record_fetched(time.monotonic())
    if kinds:
        context.record(
            Event.SNAPSHOT_LOADED,
            peer=state.name,
            kinds=kinds,
            revisions=store_position.encode(context.view.positions()),
        )


def _record_failed(
    context: SnapshotSyncContext,
    kind: str,
    name: str,
    ahead: dict[str, PeerState],
    error: str,
) -> None:
    context.lags[kind].record_failed(
        name, ahead, error, time.monotonic(), context.terms()
    )
    context.record(
        Event.MESSAGE_UNREADABLE, peer=name, kind=kind, detail=error
    )
