"""Fetches snapshots of the store from peers that have newer revisions.

Instances that do not watch the store get all changes in this way, from a peer
in their own data centre if one has them.
"""

import asyncio
from collections.abc import Callable
import random
import time

import attrs

from ..events import Event
from . import internal_pages
from ..recorder import Record
from . import store_position
from .exchange import ConnectionPool
from .exchange import ExchangeError
from .peer_state import PeerState
from .peers import Peers
from .store_view import StoreView

WATCH_LAG_S = 0.4  # a working watch delivers a change before this time
CHECK_INTERVAL_S = 0.1
FETCH_PAUSE_S = 0.2  # between two fetches, as changes come in series


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
        record: records events.
    """

    peers: Peers
    view: StoreView
    connections: ConnectionPool
    data_center: str
    watches_store: Callable[[], bool]
    store_reachable: Callable[[], bool]
    record: Record


async def run(context: SnapshotSyncContext) -> None:
    """Fetch snapshots of peers that stay ahead, until cancelled."""
    behind_s = 0.0
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        ahead = _peers_ahead(context, time.monotonic())
        behind_s += CHECK_INTERVAL_S
        if not ahead:
            behind_s = min(0.0, behind_s)
        if behind_s >= (
            WATCH_LAG_S if context.watches_store() else CHECK_INTERVAL_S
        ):
            await _fetch(context, _choose_peer(context, ahead))
            behind_s = -FETCH_PAUSE_S


def _choose_peer(
    context: SnapshotSyncContext, ahead: list[PeerState]
) -> PeerState:
    """Return one of the peers, preferably from this data centre."""
    near = [s for s in ahead if s.data_center == context.data_center]
    return random.choice(near or ahead)


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


async def _fetch(context: SnapshotSyncContext, state: PeerState) -> None:
    behind = _kinds_ahead(context, state)
    path = internal_pages.SNAPSHOT_PATH
    if len(behind) == 1:
        path = internal_pages.snapshot_path(behind[0])
    try:
        value = await internal_pages.fetch_snapshot(
            context.connections, state.address, path
        )
        kinds = context.view.apply_snapshot(value)
    except (ExchangeError, ValueError) as error:
        context.record(
            Event.MESSAGE_UNREADABLE, peer=state.name, detail=repr(error)
        )
        return
    if kinds:
        context.record(
            Event.SNAPSHOT_LOADED,
            peer=state.name,
            kinds=kinds,
            revisions=store_position.encode(context.view.positions()),
        )
