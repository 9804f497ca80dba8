"""What one instance knows of rollouts, and the version of each request.

The path of a request asks for a version and reports the outcome. Both work
without the platform. The share that the store allows is an upper bound here:
a finding or a passed deadline lowers it at once, nothing raises it.
"""

from collections.abc import Callable
import threading

import attrs
import cattrs

from ..events import Event
from ..model.rollout import Move
from ..model.rollout import Outcome
from ..model.rollout import Phase
from ..model.rollout import Rollout
from ..policy import outcome_counts
from ..policy import rendezvous
from ..policy import rollout as policy
from ..ports.peers import Topic
from ..ports.platform import StoredObject
from ..recorder import Record
from . import rollout_exchange as exchange
from .rollout_trial import Trial
from .rollout_view import View

KIND = 'rollouts'
TOPIC = 'rollouts'
HEARD_S = 15.0
FINDINGS_KEPT = 200

Members = Callable[[], tuple[str, ...]]


class Rollouts:
    """The rollouts that one instance knows and its evidence on them."""

    def __init__(
        self,
        instance: str,
        incarnation: int,
        members: Members,
        record: Record,
    ) -> None:
        self._instance = instance
        self._members = members
        self._record = record
        self._lock = threading.RLock()
        self._evidence = outcome_counts.OutcomeCounts(instance, incarnation)
        self._known: dict[str, exchange.Known] = {}
        self._findings: dict[str, exchange.Finding] = {}
        self._trials: dict[str, Trial] = {}
        self._views: dict[str, View] = {}
        self._lives_unix_s: dict[str, float] = {}
        self._fresh_unix_s = 0.0
        self._unix_offset_s = 0.0
        self._cursor = 0

    def ready(self) -> bool:
        """Return whether the rollouts were learned from anywhere yet."""
        return self._fresh_unix_s > 0

    def fresh_unix_s(self) -> float:
        """Return the time up to which the rollouts are known to be current."""
        return self._fresh_unix_s

    def choose_version(
        self,
        service: str,
        route: str,
        request_id: str,
        now_s: float,
        failed_versions: frozenset[str] = frozenset(),
    ) -> str | None:
        """Return the version that a request goes to.

        Args:
            service: name of the service.
            route: name of the route.
            request_id: identifier of the request; its hash decides.
            now_s: present time on the monotonic clock.
            failed_versions: versions on which the request failed before.

        Returns:
            The version, or None when any will do.
        """
        view = self._views.get(service)
        if view is None:
            return None
        rollout = view.rollout
        if rollout.phase is Phase.COMPLETED:
            return rollout.new_version
        late = now_s + self._unix_offset_s >= rollout.deadline_unix_s
        if late or rollout.new_version in failed_versions:
            return rollout.old_version
        if policy.split_position(rollout.id, request_id) >= view.share:
            return rollout.old_version
        if not self._take(view):
            return rollout.old_version
        return rollout.new_version

    def _take(self, view: View) -> bool:
        """Count a request for the new version against the first limit."""
        if view.allowed is None:
            return True
        with self._lock:
            trial = self._trials.get(view.rollout.id)
            return trial is not None and trial.take(view.allowed)

    def observe(
        self,
        service: str,
        version: str,
        route: str,
        outcome: Outcome,
        now_s: float,
    ) -> None:
        """Report what a request to a version came to.

        Args:
            service: name of the service.
            version: version that the request was sent to.
            route: name of the route.
            outcome: what it came to.
            now_s: present time on the monotonic clock.
        """
        view = self._views.get(service)
        if view is None or view.rollout.phase.final:
            return
        rollout = view.rollout
        if version not in (rollout.old_version, rollout.new_version):
            return
        key = outcome_counts.CountsKey(rollout.id, version, route)
        with self._lock:
            self._evidence.observe(key, outcome)
            passed = outcome.ok and outcome.check_ok is not False
            if version == rollout.new_version and not passed:
                self.evaluate(now_s, now_s + self._unix_offset_s)

    def evaluate(self, now_s: float, now_unix_s: float) -> None:
        """Judge the evidence that came since the last call.

        Args:
            now_s: present time on the monotonic clock.
            now_unix_s: present time in seconds since the epoch.
        """
        with self._lock:
            self._unix_offset_s = now_unix_s - now_s
            new = self._evidence.take_new()
            for known in self._known.values():
                rollout = known.rollout
                if not rollout.phase.final:
                    self._judge(rollout, new, now_s, now_unix_s)
            self._refresh(now_unix_s)

    def _judge(
        self,
        rollout: Rollout,
        new: dict[outcome_counts.CountsKey, outcome_counts.Counts],
        now_s: float,
        now_unix_s: float,
    ) -> None:
        trial = self._trial(rollout)
        suspected = trial.suspected(now_s)
        verdict = trial.judge(rollout, new, now_s)
        if trial.suspected(now_s) and not suspected:
            self._record(Event.VERSION_SUSPECTED, rollout=rollout.id)
        if verdict is None or rollout.id in self._findings:
            return
        finding = exchange.Finding(
            rollout.id,
            rollout.new_version,
            self._instance,
            verdict.text(),
            now_unix_s,
        )
        self._findings[rollout.id] = finding
        self._record(
            Event.VERSION_BAD,
            rollout=rollout.id,
            version=rollout.new_version,
            why=finding.why,
        )

    def _trial(self, rollout: Rollout) -> Trial:
        trial = self._trials.get(rollout.id)
        if trial is None:
            trial = Trial(rollout, max(1, len(self._members())))
            self._trials[rollout.id] = trial
        return trial

    def learn(self, stored: StoredObject, now_unix_s: float) -> None:
        """Take in a rollout as the platform stores it."""
        rollout = cattrs.structure(stored.value, Rollout)
        with self._lock:
            self._learn(exchange.Known(stored.version, rollout))
            self._refresh(now_unix_s)

    def learned_all(self, now_unix_s: float) -> None:
        """Note that all stored rollouts were read just now."""
        with self._lock:
            self._fresh_unix_s = max(self._fresh_unix_s, now_unix_s)

    def _learn(self, new: exchange.Known) -> None:
        service = new.rollout.service
        earlier = self._known.get(service)
        if earlier is not None and earlier.version >= new.version:
            return
        self._known[service] = new
        seen = {m.id for m in earlier.rollout.moves} if earlier else set()
        ended_before = earlier is None and new.rollout.phase.final
        moves = new.rollout.moves[-1 if ended_before else 0 :]
        for move in moves:
            if move.id not in seen:
                self._report(new.rollout, move)

    def _report(self, rollout: Rollout, move: Move) -> None:
        self._record(
            Event.ROLLOUT_MOVED,
            rollout=rollout.id,
            version=rollout.new_version,
            what=move.what,
            who=move.who,
            why=move.why,
            at_unix_s=move.at_unix_s,
            share=move.share,
        )

    def _refresh(self, now_unix_s: float) -> None:
        """Compute anew what the path of requests reads."""
        active = frozenset(
            known.rollout.id
            for known in self._known.values()
            if not known.rollout.phase.final
        )
        if not active.issuperset(self._trials):
            self._evidence.keep_only(active)
            for rollout_id in tuple(self._trials):
                if rollout_id not in active:
                    del self._trials[rollout_id]
        for known in self._known.values():
            if known.rollout.id in active:
                self._trial(known.rollout)
        self._views = {
            service: self._view(known.rollout, now_unix_s)
            for service, known in self._known.items()
        }

    def _view(self, rollout: Rollout, now_unix_s: float) -> View:
        bad = rollout.id in self._findings
        share = policy.effective_share(rollout, bad, now_unix_s)
        if rollout.id in self._trials:
            now_s = now_unix_s - self._unix_offset_s
            share = self._trials[rollout.id].lowered(share, now_s)
        if rollout.steps > 1 or rollout.phase.final:
            return View(rollout, share, None)
        order = rendezvous.ranked(rollout.id, self._members())
        if self._instance not in order:
            return View(rollout, share, 0)
        allowed = policy.instance_quota(
            rollout.criteria.first_requests,
            order.index(self._instance),
            len(order),
        )
        return View(rollout, share, allowed)

    def active(self) -> tuple[exchange.Known, ...]:
        """Return the newest known rollouts that have not ended."""
        with self._lock:
            return tuple(
                known
                for known in self._known.values()
                if not known.rollout.phase.final
            )

    def known(self) -> tuple[exchange.Known, ...]:
        """Return the newest known rollout of each service."""
        with self._lock:
            return tuple(self._known.values())

    def finding(self, rollout: Rollout) -> exchange.Finding | None:
        """Return why the new version is bad, or None."""
        return self._findings.get(rollout.id)

    def decision_inputs(
        self, rollout: Rollout, now_unix_s: float
    ) -> policy.DecisionInputs:
        """Return what is known for a decision on a rollout."""
        with self._lock:
            finding = self._findings.get(rollout.id)
            return self._trial(rollout).decision_inputs(
                rollout,
                self._reporting_share(now_unix_s),
                finding.why if finding else '',
                now_unix_s - self._unix_offset_s,
            )

    def _reporting_share(self, now_unix_s: float) -> float:
        others = [n for n in self._members() if n != self._instance]
        heard = sum(
            now_unix_s - self._lives_unix_s.get(name, 0.0) <= HEARD_S
            for name in others
        )
        return (heard + 1) / (len(others) + 1)

    def snapshot(self, now_unix_s: float) -> bytes:
        """Return the encoded state for a peer."""
        with self._lock:
            state = exchange.State(
                self._fresh_unix_s,
                tuple(self._known.values()),
                tuple(self._findings.values()),
            )
            if self._trials:
                self._lives_unix_s[self._instance] = now_unix_s
                state = attrs.evolve(
                    state,
                    lives_unix_s=dict(self._lives_unix_s),
                    reports=self._some_reports(),
                )
            return exchange.encode(state)

    def _some_reports(self) -> tuple[outcome_counts.InstanceCounts, ...]:
        """Return the own report and as many others as fit, in turn."""
        own, *others = self._evidence.reports()
        chosen = [own]
        room = exchange.COUNTS_PER_STATE - len(own.counts)
        for _ in range(len(others)):
            report = others[self._cursor % len(others)]
            if len(report.counts) > room:
                break
            room -= len(report.counts)
            chosen.append(report)
            self._cursor += 1
        return tuple(chosen)

    def merge(self, data: bytes, sender: str, now_unix_s: float) -> None:
        """Take in the encoded state of a peer.

        Raises:
            ValueError: the state cannot be read.
        """
        state = exchange.decode(data)
        with self._lock:
            for known in state.rollouts:
                self._learn(known)
            for finding in state.findings:
                self._hear(finding)
            fresh_unix_s = min(state.fresh_unix_s, now_unix_s)
            self._fresh_unix_s = max(self._fresh_unix_s, fresh_unix_s)
            for name, life_unix_s in state.lives_unix_s.items():
                life_unix_s = min(life_unix_s, now_unix_s)
                latest = self._lives_unix_s.get(name, 0.0)
                self._lives_unix_s[name] = max(latest, life_unix_s)
            self._refresh(now_unix_s)
            for report in state.reports:
                self._evidence.merge(self._current(report))

    def _current(
        self, report: outcome_counts.InstanceCounts
    ) -> outcome_counts.InstanceCounts:
        """Return a report without the counts of ended rollouts."""
        counts = {
            key: part
            for key, part in report.counts.items()
            if key.rollout in self._trials
        }
        return attrs.evolve(report, counts=counts)

    def _hear(self, finding: exchange.Finding) -> None:
        if finding.rollout in self._findings:
            return
        self._findings[finding.rollout] = finding
        while len(self._findings) > FINDINGS_KEPT:
            del self._findings[next(iter(self._findings))]
        self._record(
            Event.VERSION_BAD_HEARD,
            rollout=finding.rollout,
            version=finding.version,
            instance=finding.instance,
            why=finding.why,
        )

    def topic(self) -> Topic:
        """Return the topic by which instances exchange this state."""
        return Topic(TOPIC, self.snapshot, self.merge)
