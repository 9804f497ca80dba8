"""Acquires, renews and releases control leases in the platform's store."""

from collections.abc import Callable
import threading

import attrs
import cattrs
from result import Err

from ..events import Event
from ..policy import lease as policy
from ..ports.platform import Platform
from ..ports.platform import PlatformErrorKind
from ..ports.platform import StoredObject
from ..recorder import Record

KIND = 'leases'
DURATION_S = 10.0


class ControlLease:
    """A lease as one candidate observes and holds it.

    The lease counts as held only until it expires on the candidate's own
    monotonic clock, even if the stored lease still names the candidate.
    """

    def __init__(
        self,
        platform: Platform,
        name: str,
        holder: str,
        record: Record,
        monotonic: Callable[[], float],
        duration_s: float = DURATION_S,
    ) -> None:
        self._platform = platform
        self._name = name
        self._holder = holder
        self._record = record
        self._monotonic = monotonic
        self._duration_s = duration_s
        self._lock = threading.Lock()
        self._observed: policy.ObservedLease | None = None
        self._expiry_s = float('-inf')
        self._fencing = 0
        self._recorded_held = False

    @property
    def fencing(self) -> int:
        """The fencing token of the latest term in which the lease was held."""
        return self._fencing

    def held(self, needed_s: float = 0.0) -> bool:
        """Return whether the lease is held for at least the time needed.

        Args:
            needed_s: longest time that the guarded action may take.
        """
        return self._monotonic() + needed_s < self._expiry_s

    def refresh(self, floor: int = 0) -> bool:
        """Renew the lease, or claim it if it is free.

        Args:
            floor: highest fencing token known from elsewhere.

        Returns:
            Whether the lease is held now.
        """
        with self._lock:
            if not self._read():
                return self._record_transition()
            observed = self._observed
            if policy.may_claim(
                observed, self._holder, self._monotonic(), self.held()
            ):
                self._write(floor)
            return self._record_transition()

    def record_expiry(self) -> None:
        """Record an event if the lease has expired."""
        with self._lock:
            self._record_transition()

    def release(self) -> None:
        """Release the lease, so that others may claim it at once."""
        with self._lock:
            held = self.held()
            self._expiry_s = float('-inf')
            if held and self._observed is not None:
                lease = attrs.evolve(self._observed.lease, holder='')
                self._platform.update(
                    self._stored_object(self._observed.version, lease)
                )
            self._record_transition()

    def _read(self) -> bool:
        """Read the lease; return whether its state is known."""
        got = self._platform.get(KIND, self._name)
        if isinstance(got, Err):
            if got.err_value.kind is not PlatformErrorKind.NOT_FOUND:
                return False
            if self._observed is None:
                return True
            # The store may have lost a lease that is still held.
            version = 0
            lease = policy.Lease('', 0, self._duration_s)
        else:
            version = got.ok_value.version
            lease = cattrs.structure(got.ok_value.value, policy.Lease)
        # The clock is read after the store: if an observation were dated too
        # early, two instances could hold the lease at once.
        now_s = self._monotonic()
        self._observed = policy.observe(self._observed, lease, version, now_s)
        return True

    def _write(self, floor: int) -> None:
        """Write a claim or a renewal; it takes effect only on success."""
        observed = self._observed
        lease = policy.next_lease(
            observed, self._holder, self._duration_s, floor
        )
        sent_s = self._monotonic()
        if observed is None or not observed.version:
            value = cattrs.unstructure(lease)
            written = self._platform.create(KIND, self._name, value)
        else:
            written = self._platform.update(
                self._stored_object(observed.version, lease)
            )
        if isinstance(written, Err):
            return
        version = written.ok_value.version
        self._observed = policy.observe(
            observed, lease, version, self._monotonic()
        )
        self._expiry_s = policy.expiry_s(sent_s, self._duration_s)
        self._fencing = lease.fencing

    def _stored_object(
        self, version: int, lease: policy.Lease
    ) -> StoredObject:
        value = cattrs.unstructure(lease)
        return StoredObject(KIND, self._name, version, value)

    def _record_transition(self) -> bool:
        held = self.held()
        if held != self._recorded_held:
            event = Event.LEASE_HELD if held else Event.LEASE_LOST
            self._record(event, lease=self._name, fencing=self._fencing)
            self._recorded_held = held
        return held
