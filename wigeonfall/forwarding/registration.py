"""Registers instances in the store, by which they discover each other."""

from collections.abc import Callable
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
        record: records events.
        stopping: set when the process stops.
    """

    kind: str
    name: str
    address: str
    data_center: str
    get_store: Callable[[], ObjectStore]
    on_addresses: Callable[[tuple[str, ...]], None]
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
    registered = False
    while not registration.stopping.is_set():
        registered = _refresh(registration, registered)
        registration.stopping.wait(
            REFRESH_INTERVAL_S if registered else RETRY_INTERVAL_S
        )


def _refresh(registration: Registration, registered: bool) -> bool:
    """List all entries and write the own one if it differs.

    Returns:
        Whether the own entry is in the store.
    """
    # Once the entry is written, a listing that may be stale is enough.
    listed = registration.get_store().list(registration.kind, registered)
    if isinstance(listed, Err):
        _record_failure(registration, listed.err_value.message)
        return False
    entries = {item.name: item for item in listed.ok_value.objects}
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
        return True
    return _write(registration, value, own)


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
