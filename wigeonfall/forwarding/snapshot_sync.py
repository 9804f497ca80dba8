"""Asks peers for changes that the store's watches do not bring.

Instances that do not watch the store hear of all changes in this way, from a
peer in their own data centre if one has them.
"""

import asyncio
from collections.abc import Callable
import random
import time

import attrs

from ..events import Event
from . import internal_pages
from ..recorder import Record
from .exchange import ConnectionPool
from .exchange import ExchangeError
from .peers import Peers
from .peers import PeerState
from .store_view import StoreView

AFTER_S = 0.4  # a watch brings a change before this time
PERIOD_S = 0.1


@attrs.frozen
class SnapshotSyncContext:
    """What catching up with peers needs.

    Attributes:
        peers: the peers of this instance.
        view: what it knows of the store.
        connections: connections of this instance.
        data_center: where this instance stands.
        watching: returns whether this instance watches the store.
        record: records events.
    """

    peers: Peers
    view: StoreView
    connections: ConnectionPool
    data_center: str
    watching: Callable[[], bool]
    record: Record


async def run(parts: SnapshotSyncContext) -> None:
    """Catch up with peers that stay ahead, until cancelled."""
    behind_s = 0.0
    while True:
        await asyncio.sleep(PERIOD_S)
        ahead = _ahead(parts, time.monotonic())
        behind_s = behind_s + PERIOD_S if ahead else 0.0
        if behind_s >= (AFTER_S if parts.watching() else PERIOD_S):
            await _fetch(parts, _nearest(parts, ahead))
            behind_s = 0.0


def _nearest(parts: SnapshotSyncContext, ahead: list[PeerState]) -> PeerState:
    """Return one of the peers, if possible from this data centre."""
    near = [m for m in ahead if m.data_center == parts.data_center]
    return random.choice(near or ahead)


def _ahead(parts: SnapshotSyncContext, now_s: float) -> list[PeerState]:
    """Return the messages of peers that know newer changes."""
    revisions = parts.view.revisions()
    return [
        peer.state
        for peer in parts.peers.live(now_s)
        if any(
            peer.state.revisions.get(kind, 0) > revision
            for kind, revision in revisions.items()
        )
    ]


async def _fetch(parts: SnapshotSyncContext, state: PeerState) -> None:
    revisions = parts.view.revisions()
    behind = [
        kind
        for kind, revision in revisions.items()
        if state.revisions.get(kind, 0) > revision
    ]
    path = internal_pages.SNAPSHOT_PATH
    if len(behind) == 1:
        path = internal_pages.snapshot_path(behind[0])
    try:
        value = await internal_pages.fetch_snapshot(
            parts.connections, state.address, path
        )
        kinds = parts.view.apply_snapshot(value)
    except (ExchangeError, KeyError, TypeError) as error:
        parts.record(
            Event.MESSAGE_UNREADABLE, peer=state.name, detail=repr(error)
        )
        return
    if kinds:
        parts.record(
            Event.SNAPSHOT_TAKEN,
            peer=state.name,
            kinds=kinds,
            revisions=parts.view.revisions(),
        )
