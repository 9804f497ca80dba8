"""Advances rollouts while this instance holds the control lease.

Three instances, assigned by rendezvous hashing, read the stored rollouts and
compete for one lease. The others receive rollouts from peers and read the
store only when that state is stale. Only the lease holder raises a share. Any
instance may roll back a version that was found bad, as this write is
idempotent.
"""

from collections.abc import Callable
import threading
import time

import cattrs
from result import Err
from result import Ok
import xxhash

from ..events import Event
from ..model.rollout import Rollout
from ..model.target import Target
from ..policy import rendezvous
from ..policy.targets import target_versions
from ..policy.versions import rollout as policy
from ..ports.platform import Platform
from ..ports.platform import StoredObject
from ..recorder import Record
from . import rollout_changes as changes
from . import rollout_exchange as exchange
from .leases import ControlLease
from .rollouts import KIND
from .rollouts import Members
from .rollouts import Rollouts
from .target_orders import OrderKind
from .target_orders import OrderSender
from .target_orders import TargetOrder

LEASE = 'rollouts'
CANDIDATE_COUNT = 3
EVALUATION_PERIOD_S = 0.25
CONTROL_PERIOD_S = 1.0
MIN_LEASE_FOR_WRITE_S = 2.0
MAX_STATE_AGE_S = 6.0
MAX_READ_BACKOFF_S = 10.0
ROLLBACK_DELAY_S = 1.0
ROLLBACK_JITTER_S = 4.0

TargetsOf = Callable[[str], tuple[Target, ...]]


class Control:
    """The control loop of one instance."""

    def __init__(
        self,
        instance: str,
        platform: Platform,
        rollouts: Rollouts,
        lease: ControlLease,
        members: Members,
        targets_of: TargetsOf,
        sender: OrderSender,
        record: Record,
    ) -> None:
        self._instance = instance
        self._platform = platform
        self._rollouts = rollouts
        self._lease = lease
        self._members = members
        self._targets_of = targets_of
        self._sender = sender
        self._record = record
        self._next_read_unix_s = 0.0
        self._read_backoff_s = CONTROL_PERIOD_S

    def step(self, now_s: float, now_unix_s: float) -> None:
        """Run one round of the control loop.

        Args:
            now_s: current time on the monotonic clock.
            now_unix_s: current time in seconds since the epoch.
        """
        candidate = self._is_candidate()
        was_read = self._read_stored(candidate, now_unix_s)
        if was_read and candidate and self._has_work():
            self._act_as_holder(now_s, now_unix_s)
        elif not candidate and self._lease.held():
            self._lease.release()
        else:
            self._lease.record_expiry()
        for known in self._rollouts.active():
            self._roll_back_overdue(known, now_unix_s)

    def _is_candidate(self) -> bool:
        ranked = rendezvous.ranked(LEASE, self._members())
        return self._instance in ranked[:CANDIDATE_COUNT]

    def _has_work(self) -> bool:
        return bool(self._rollouts.active()) or any(
            self._orders(known.rollout, 0) for known in self._rollouts.known()
        )

    def _read_stored(self, candidate: bool, now_unix_s: float) -> bool:
        """Read the stored rollouts if due; return whether they were read."""
        age_s = now_unix_s - self._rollouts.fresh_unix_s()
        if now_unix_s < self._next_read_unix_s:
            return False
        if not candidate and age_s < MAX_STATE_AGE_S:
            return False
        listed = self._platform.list(KIND)
        if isinstance(listed, Err):
            self._read_backoff_s = min(
                MAX_READ_BACKOFF_S, 2 * self._read_backoff_s
            )
            self._next_read_unix_s = now_unix_s + self._read_backoff_s
            return False
        self._read_backoff_s = CONTROL_PERIOD_S
        for stored in listed.ok_value:
            self._apply_stored(stored, now_unix_s)
        self._rollouts.mark_current(now_unix_s)
        return True

    def _act_as_holder(self, now_s: float, now_unix_s: float) -> None:
        """Decide on rollouts and order versions, if the lease is held."""
        newest_fencing = max(
            (known.rollout.fencing for known in self._rollouts.known()),
            default=0,
        )
        if not self._lease.refresh(newest_fencing):
            return
        for known in self._rollouts.active():
            if known.rollout.fencing < self._lease.fencing:
                self._take_control(known, now_unix_s)
            else:
                self._decide(known, now_unix_s)
        for known in self._rollouts.known():
            orders = self._orders(known.rollout, self._lease.fencing)
            self._sender.send_due(orders, now_s)

    def _take_control(
        self, known: exchange.StoredRollout, now_unix_s: float
    ) -> None:
        """Write the fencing token of this holder before any other change.

        This changes the stored version, so that a pending conditional write
        of an earlier holder fails.
        """
        share = known.rollout.share
        why = f'lease with fencing number {self._lease.fencing}'
        self._write(known, 'control', share, why, now_unix_s)

    def _decide(
        self, known: exchange.StoredRollout, now_unix_s: float
    ) -> None:
        rollout = known.rollout
        inputs = self._rollouts.decision_inputs(rollout, now_unix_s)
        decision = policy.decide(rollout, inputs, now_unix_s)
        if decision.action is policy.Action.HOLD:
            return
        if decision.action is policy.Action.GROW and not self._targets_ready(
            rollout, decision.share
        ):
            return
        what = decision.action.value
        self._write(known, what, decision.share, decision.why, now_unix_s)

    def _targets_ready(self, rollout: Rollout, share: float) -> bool:
        """Return whether enough targets serve the new version for a share."""
        if not rollout.orders:
            return True
        targets = self._targets_of(rollout.service)
        needed = target_versions.new_targets(share, len(targets))
        ready = sum(t.version == rollout.new_version for t in targets)
        return ready >= max(1, needed)

    def _write(
        self,
        known: exchange.StoredRollout,
        what: str,
        share: float,
        why: str,
        now_unix_s: float,
    ) -> None:
        """Store a move as the holder, if the lease lasts for the write."""
        move = changes.new_move(what, self._instance, why, now_unix_s, share)
        rollout = policy.apply_move(known.rollout, move, self._lease.fencing)
        if not self._lease.held(MIN_LEASE_FOR_WRITE_S):
            return
        self._store(known, rollout, now_unix_s)

    def _store(
        self,
        known: exchange.StoredRollout,
        rollout: Rollout,
        now_unix_s: float,
    ) -> None:
        wrote = changes.write(
            self._platform, rollout.service, known.version, rollout
        )
        if isinstance(wrote, Err):
            self._record(
                Event.ROLLOUT_WRITE_FAILED,
                rollout=rollout.id,
                what=rollout.moves[-1].what,
                error=wrote.err_value.kind.value,
                effect_unknown=wrote.err_value.effect_unknown,
            )
            wrote = self._platform.get(KIND, rollout.service)
        if isinstance(wrote, Ok):
            self._apply_stored(wrote.ok_value, now_unix_s)

    def _apply_stored(self, stored: StoredObject, now_unix_s: float) -> None:
        """Apply a stored rollout; record an event if it is unreadable."""
        try:
            self._rollouts.apply_stored(stored, now_unix_s)
        except (cattrs.BaseValidationError, TypeError, ValueError) as exc:
            self._record(
                Event.ROLLOUT_UNREADABLE, service=stored.name, error=str(exc)
            )

    def _roll_back_overdue(
        self, known: exchange.StoredRollout, now_unix_s: float
    ) -> None:
        """Roll back a bad version if the lease holder has not done so.

        The delay differs by instance, so that few of them write.
        """
        finding = self._rollouts.finding(known.rollout)
        if finding is None:
            return
        age_s = now_unix_s - finding.at_unix_s
        delay_s = ROLLBACK_DELAY_S + self._jitter(finding) * ROLLBACK_JITTER_S
        if age_s < delay_s:
            return
        move = changes.new_move(
            policy.Action.ROLL_BACK.value,
            self._instance,
            finding.why,
            now_unix_s,
        )
        rollout = policy.apply_move(known.rollout, move, known.rollout.fencing)
        self._store(known, rollout, now_unix_s)

    def _jitter(self, finding: exchange.Finding) -> float:
        """Return the part of the jitter, 0 to 1, that this instance waits.

        It is 0 for the instance that made the finding.
        """
        if finding.instance == self._instance:
            return 0.0
        text = f'{finding.rollout}\0{self._instance}'
        return xxhash.xxh32_intdigest(text.encode()) / 2**32

    def _orders(
        self, rollout: Rollout, fencing: int
    ) -> tuple[TargetOrder, ...]:
        """Return orders for the targets that serve an undesired version."""
        if not rollout.orders:
            return ()
        targets = self._targets_of(rollout.service)
        share = rollout.share
        if self._rollouts.finding(rollout) is not None:
            share = 0.0
        elif not rollout.phase.final:
            # Targets of the next step load the version before the share grows.
            share = max(
                rollout.criteria.first_share,
                min(1.0, rollout.share * policy.GROWTH_FACTORS[-1]),
            )
        desired = target_versions.desired_versions(rollout, share, targets)
        return tuple(
            TargetOrder(
                target, OrderKind.LOAD_VERSION, desired[target.name], fencing
            )
            for target in targets
            if target.version != desired[target.name]
        )


def run(
    rollouts: Rollouts, control: Control, stop: threading.Event
) -> tuple[threading.Thread, ...]:
    """Start the threads of one instance; they end when the event is set.

    Outcomes are evaluated in their own thread, so that a slow platform does
    not delay the detection of a regression.
    """

    def evaluate() -> None:
        while not stop.wait(EVALUATION_PERIOD_S):
            rollouts.evaluate(time.monotonic(), time.time())

    def run_control() -> None:
        while not stop.wait(CONTROL_PERIOD_S):
            control.step(time.monotonic(), time.time())

    threads = (
        threading.Thread(target=evaluate, name='rollout-evidence'),
        threading.Thread(target=run_control, name='rollout-control'),
    )
    for thread in threads:
        thread.daemon = True
        thread.start()
    return threads
