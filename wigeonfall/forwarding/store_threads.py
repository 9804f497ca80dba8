"""Starts the threads that watch the store and register in it."""

import asyncio
from collections.abc import Callable
import functools
import threading
import time
from typing import Any

import attrs

from ..ports.objects import Changes
from ..ports.objects import Listing
from ..ports.objects import ObjectStore
from ..recorder import Record
from . import registration
from . import snapshot_sync
from . import store_watcher
from .cluster_state import ClusterState
from .peers import Peers
from .platform_adapter import PlatformAdapter
from .settings import ForwardingSettings
from .snapshot_sync import SnapshotSyncContext
from .topology import Topology


@attrs.frozen
class StoreThreads:
    """What the threads need.

    Attributes:
        adapter: kinds of objects.
        settings: settings of the process at its start.
        get_store: returns the client of the store.
        cluster_state: gets the listings and changes of the store.
        topology: role of this instance among its peers.
        peers: the peers of this instance.
        watches_store: returns whether this instance watches the store.
        snapshot_sync: tells which kinds to list as peers do not help.
        record: records events.
    """

    adapter: PlatformAdapter
    settings: ForwardingSettings
    get_store: Callable[[], ObjectStore]
    cluster_state: ClusterState
    topology: Topology
    peers: Peers
    watches_store: Callable[[], bool]
    snapshot_sync: SnapshotSyncContext
    record: Record


def start(
    threads: StoreThreads,
    loop: asyncio.AbstractEventLoop,
    stopping: threading.Event,
) -> None:
    """Start the threads; they call back in the event loop.

    Args:
        threads: what they need.
        loop: the event loop.
        stopping: set when the process stops.
    """

    def call_in_loop(function: Callable[..., None]) -> Callable[..., None]:
        def call(*values: Any) -> None:
            if not stopping.is_set():
                loop.call_soon_threadsafe(function, *values)

        return call

    cluster_state = threads.cluster_state
    topology = threads.topology
    view = cluster_state.view
    apply_listing = call_in_loop(view.apply_listing)
    apply_changes = call_in_loop(view.apply_changes)

    def on_listing(kind: str, listing: Listing) -> None:
        cluster_state.decode_ahead(listing.objects)
        apply_listing(kind, listing)

    def on_changes(kind: str, changes: Changes) -> None:
        cluster_state.decode_ahead(c.object for c in changes.changes)
        apply_changes(kind, changes)

    for kind in view.kinds():
        store_watcher.start(
            store_watcher.StoreWatcher(
                kind=kind,
                get_store=threads.get_store,
                on_listing=on_listing,
                on_changes=on_changes,
                on_reachable=call_in_loop(
                    functools.partial(cluster_state.set_store_reachable, kind)
                ),
                is_enabled=threads.watches_store,
                settle_s=lambda: topology.settle_s(time.monotonic()),
                record=threads.record,
                stopping=stopping,
                is_listing_due=functools.partial(
                    threads.snapshot_sync.listings_due.__contains__, kind
                ),
                on_listed=call_in_loop(
                    functools.partial(
                        snapshot_sync.record_listed,
                        threads.snapshot_sync,
                        kind,
                    )
                ),
            )
        )

    def add_registered(addresses: tuple[str, ...]) -> None:
        # The first listing may be older than the entry of this instance.
        topology.registered_count = max(1, len(addresses))
        threads.peers.add_addresses(addresses)

    registration.start(
        registration.Registration(
            kind=threads.adapter.instances_kind,
            name=threads.settings.instance.name,
            address=threads.settings.listen.peers_address,
            data_center=threads.settings.instance.data_center,
            get_store=threads.get_store,
            on_addresses=call_in_loop(add_registered),
            newest_era=view.newest_era,
            fleet_size=lambda: threads.peers.fleet_size(time.monotonic()),
            record=threads.record,
            stopping=stopping,
        )
    )
