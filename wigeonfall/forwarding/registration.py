"""Registers instances in the store, by which they discover each other."""

from collections.abc import Callable
import random
import threading
from typing import Any

import attrs
from result import Err

from ..events import Event
from ..ports.objects import ObjectStore
from ..ports.platform import PlatformErrorKind
from ..ports.platform import StoredObject
from ..recorder import Record

REFRESH_INTERVAL_S = 15.0  # peers announce new instances sooner
RETRY_INTERVAL_S = 1.0
ERA_POLL_S = 0.5
# After a restore, all instances look for their entries and write lost ones.
MAX_REFRESHES_PER_S = 100.0


@attrs.frozen
class Registration:
    """What the registration of this instance needs.

    Attributes:
        kind: kind of the entries.
        name: name of this instance.
        address: "host:port" where it takes peers' datagrams and serves
            its snapshot.
        data_center: data centre of this instance.
        get_store: returns the client of the store.
        on_addresses: called with the addresses of all instances.
        newest_era: returns the newest era of the store that this instance
            has heard of, 0 if unknown.
        fleet_size: returns the number of instances.
        record: records events.
        stopping: set when the process stops.
    """

    kind: str
    name: str
    address: str
    data_center: str
    get_store: Callable[[], ObjectStore]
    on_addresses: Callable[[tuple[str, ...]], None]
    newest_era: Callable[[], int]
    fleet_size: Callable[[], int]
    record: Record
    stopping: threading.Event


def start(registration: Registration) -> threading.Thread:
    """Start the thread that keeps the entry and lists all instances."""
    thread = threading.Thread(
        target=_run, args=(registration,), name='registration', daemon=True
    )
    thread.start()
    return thread


def _run(registration: Registration) -> None:
    era: int | None = None
    while not registration.stopping.is_set():
        try:
            era = _refresh(registration, era)
        except Exception as unexpected:
            # Without the thread, the entry would be written no more.
            _record_failure(registration, repr(unexpected))
            era = None
        if era is None:
            registration.stopping.wait(RETRY_INTERVAL_S)
        elif _wait_for_restore(registration, era):
            era = None


def _wait_for_restore(registration: Registration, era: int) -> bool:
    """Wait for the next refresh; return whether the store was restored.

    Args:
        registration: the registration.
        era: era of the store that has the entry.
    """
    for _ in range(int(REFRESH_INTERVAL_S / ERA_POLL_S)):
        if registration.stopping.wait(ERA_POLL_S):
            return False
        if registration.newest_era() > era:
            spread_s = registration.fleet_size() / MAX_REFRESHES_PER_S
            registration.stopping.wait(random.uniform(0, spread_s))
            return True
    return False


def _refresh(registration: Registration, era: int | None) -> int | None:
    """List all entries and write the own one if it differs.

    Args:
        registration: the registration.
        era: era of the store that has the own entry, None if none has.

    Returns:
        The era that has the own entry now, None if it may have none.
    """
    # Once the entry is written, a listing that may be stale is enough.
    stale = era is not None
    listed = registration.get_store().list(registration.kind, stale)
    if isinstance(listed, Err):
        _record_failure(registration, listed.err_value.message)
        return None
    listing = listed.ok_value
    if listing.era and listing.era < registration.newest_era():
        return None
    entries = {item.name: item for item in listing.objects}
    addresses = (item.value.get('address') for item in entries.values())
    registration.on_addresses(
        tuple(a for a in addresses if isinstance(a, str))
    )
    value = {
        'address': registration.address,
        'data_center': registration.data_center,
    }
    own = entries.get(registration.name)
    if own is not None and own.value == value:
        return listing.era
    return listing.era if _write(registration, value, own) else None


def _write(
    registration: Registration,
    value: dict[str, Any],
    existing: StoredObject | None,
) -> bool:
    store = registration.get_store()
    if existing is None:
        written = store.create(registration.kind, registration.name, value)
    else:
        written = store.replace(attrs.evolve(existing, value=value))
    if isinstance(written, Err):
        if written.err_value.kind is not PlatformErrorKind.CONFLICT:
            _record_failure(registration, written.err_value.message)
        return False
    return True


def _record_failure(registration: Registration, detail: str) -> None:
    registration.record(Event.REGISTRATION_FAILED, detail=detail)
