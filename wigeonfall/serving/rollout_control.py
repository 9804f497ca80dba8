"""Moves rollouts forward, as the holder of the control lease.

Three instances, assigned by rendezvous hash, read the stored rollouts and
compete for one lease. The others learn from peers and read the store
themselves only when that news is old. Only the holder raises a share; any
instance may write down that a version was found bad, as that is safe to
repeat and to do twice.
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
from ..policy import rollout as policy
from ..policy import target_versions
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
CANDIDATES = 3
EVALUATE_EVERY_S = 0.25
CONTROL_EVERY_S = 1.0
WRITE_TIME_S = 2.0
STALE_S = 6.0
LARGEST_WAIT_S = 10.0
TAKE_BACK_DELAY_S = 1.0
TAKE_BACK_SPREAD_S = 4.0

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
        self._read_wait_s = CONTROL_EVERY_S

    def step(self, now_s: float, now_unix_s: float) -> None:
        """Do one round.

        Args:
            now_s: present time on the monotonic clock.
            now_unix_s: present time in seconds since the epoch.
        """
        candidate = self._is_candidate()
        current = self._read(candidate, now_unix_s)
        if current and candidate and self._has_work():
            self._lead(now_s, now_unix_s)
        elif not candidate and self._lease.held():
            self._lease.release()
        else:
            self._lease.record_expiry()
        for known in self._rollouts.active():
            self._take_back_unled(known, now_unix_s)

    def _is_candidate(self) -> bool:
        order = rendezvous.ranked(LEASE, self._members())
        return self._instance in order[:CANDIDATES]

    def _has_work(self) -> bool:
        return bool(self._rollouts.active()) or any(
            self._orders(known.rollout, 0) for known in self._rollouts.known()
        )

    def _read(self, candidate: bool, now_unix_s: float) -> bool:
        """Read the stored rollouts if that is due; return whether it was."""
        age_s = now_unix_s - self._rollouts.fresh_unix_s()
        if now_unix_s < self._next_read_unix_s:
            return False
        if not candidate and age_s < STALE_S:
            return False
        listed = self._platform.list(KIND)
        if isinstance(listed, Err):
            self._read_wait_s = min(LARGEST_WAIT_S, 2 * self._read_wait_s)
            self._next_read_unix_s = now_unix_s + self._read_wait_s
            return False
        self._read_wait_s = CONTROL_EVERY_S
        for stored in listed.ok_value:
            self._learn(stored, now_unix_s)
        self._rollouts.learned_all(now_unix_s)
        return True

    def _lead(self, now_s: float, now_unix_s: float) -> None:
        """Act as the lease holder, if the lease can be held."""
        floor = max(
            (known.rollout.fencing for known in self._rollouts.known()),
            default=0,
        )
        if not self._lease.refresh(floor):
            return
        for known in self._rollouts.active():
            if known.rollout.fencing < self._lease.fencing:
                self._take_control(known, now_unix_s)
            else:
                self._decide(known, now_unix_s)
        for known in self._rollouts.known():
            orders = self._orders(known.rollout, self._lease.fencing)
            self._sender.send_due(orders, now_s)

    def _take_control(self, known: exchange.Known, now_unix_s: float) -> None:
        """Write this holder's fencing number before anything else.

        After that no write which an earlier holder has prepared can take
        effect.
        """
        share = known.rollout.share
        why = f'lease with fencing number {self._lease.fencing}'
        self._write(known, 'control', share, why, now_unix_s)

    def _decide(self, known: exchange.Known, now_unix_s: float) -> None:
        rollout = known.rollout
        inputs = self._rollouts.decision_inputs(rollout, now_unix_s)
        decision = policy.decide(rollout, inputs, now_unix_s)
        if decision.action is policy.Action.HOLD:
            return
        if decision.action is policy.Action.GROW and not self._loaded(
            rollout, decision.share
        ):
            return
        what = decision.action.value
        self._write(known, what, decision.share, decision.why, now_unix_s)

    def _loaded(self, rollout: Rollout, share: float) -> bool:
        """Return whether the targets are ready for a share."""
        if not rollout.orders:
            return True
        targets = self._targets_of(rollout.service)
        needed = target_versions.new_targets(share, len(targets))
        ready = sum(t.version == rollout.new_version for t in targets)
        return ready >= max(1, needed)

    def _write(
        self,
        known: exchange.Known,
        what: str,
        share: float,
        why: str,
        now_unix_s: float,
    ) -> None:
        """Write a move as the holder, if the lease lasts long enough."""
        move = changes.new_move(what, self._instance, why, now_unix_s, share)
        rollout = policy.apply_move(known.rollout, move, self._lease.fencing)
        if not self._lease.held(WRITE_TIME_S):
            return
        self._store(known, rollout, now_unix_s)

    def _store(
        self, known: exchange.Known, rollout: Rollout, now_unix_s: float
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
            self._learn(wrote.ok_value, now_unix_s)

    def _learn(self, stored: StoredObject, now_unix_s: float) -> None:
        """Take in a stored rollout; one that is unreadable is reported."""
        try:
            self._rollouts.learn(stored, now_unix_s)
        except (cattrs.BaseValidationError, TypeError, ValueError) as exc:
            self._record(
                Event.ROLLOUT_UNREADABLE, service=stored.name, error=str(exc)
            )

    def _take_back_unled(
        self, known: exchange.Known, now_unix_s: float
    ) -> None:
        """Write a finding down when the lease holder has not done so."""
        finding = self._rollouts.finding(known.rollout)
        if finding is None:
            return
        age_s = now_unix_s - finding.at_unix_s
        wait_s = TAKE_BACK_DELAY_S + self._spread(finding) * TAKE_BACK_SPREAD_S
        if age_s < wait_s:
            return
        move = changes.new_move(
            policy.Action.ROLL_BACK.value,
            self._instance,
            finding.why,
            now_unix_s,
        )
        rollout = policy.apply_move(known.rollout, move, known.rollout.fencing)
        self._store(known, rollout, now_unix_s)

    def _spread(self, finding: exchange.Finding) -> float:
        """Return this instance's place in the order of writers, 0 to 1."""
        if finding.instance == self._instance:
            return 0.0
        text = f'{finding.rollout}\0{self._instance}'
        return xxhash.xxh32_intdigest(text.encode()) / 2**32

    def _orders(
        self, rollout: Rollout, fencing: int
    ) -> tuple[TargetOrder, ...]:
        """Return the orders for targets that serve another version."""
        if not rollout.orders:
            return ()
        targets = self._targets_of(rollout.service)
        share = rollout.share
        if self._rollouts.finding(rollout) is not None:
            share = 0.0
        elif not rollout.phase.final:
            # The next step's targets are loaded before the share grows.
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
    """Start the loops of one instance; they end when the event is set.

    Judging the evidence has a thread of its own, so that a slow platform
    delays no verdict.
    """

    def evaluate() -> None:
        while not stop.wait(EVALUATE_EVERY_S):
            rollouts.evaluate(time.monotonic(), time.time())

    def lead() -> None:
        while not stop.wait(CONTROL_EVERY_S):
            control.step(time.monotonic(), time.time())

    threads = (
        threading.Thread(target=evaluate, name='rollout-evidence'),
        threading.Thread(target=lead, name='rollout-control'),
    )
    for thread in threads:
        thread.daemon = True
        thread.start()
    return threads
