"""The rollouts that one instance knows; it chooses the version of requests.

Request handling asks for a version and reports the outcome. Both work without
the platform. The stored share is an upper bound: a regression or a passed
deadline lowers it at once at this instance, and nothing here raises it.
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
from ..policy import rendezvous
from ..policy.versions import outcome_counts
from ..policy.versions import rollout as policy
from ..ports.peers import Topic
from ..ports.platform import StoredObject
from ..recorder import Record
from . import rollout_exchange as exchange
from .rollout_trial import Trial
from .rollout_view import View

KIND = 'rollouts'
TOPIC = 'rollouts'
REPORT_MAX_AGE_S = 15.0
MAX_FINDINGS = 200

Members = Callable[[], tuple[str, ...]]


class Rollouts:
    """The rollouts that one instance knows and the outcomes of requests."""

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
        self._outcome_counts = outcome_counts.OutcomeCounts(
            instance, incarnation
        )
        self._known: dict[str, exchange.StoredRollout] = {}
        self._findings: dict[str, exchange.Finding] = {}
        self._trials: dict[str, Trial] = {}
        self._views: dict[str, View] = {}
        self._last_alive_unix_s: dict[str, float] = {}
        self._current_unix_s = 0.0
        self._unix_offset_s = 0.0
        self._report_cursor = 0

    def ready(self) -> bool:
        """Return whether the rollouts were read or received from a peer."""
        return self._current_unix_s > 0

    def fresh_unix_s(self) -> float:
        """Return the time up to which the rollouts are known to be current."""
        return self._current_unix_s

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
            request_id: identifier of the request, hashed to split traffic.
            now_s: current time on the monotonic clock.
            failed_versions: versions that already failed the request.

        Returns:
            The version, or None if no rollout of the service is known.
        """
        view = self._views.get(service)
        if view is None:
            return None
        rollout = view.rollout
        if rollout.phase is Phase.COMPLETED:
            return rollout.new_version
        expired = now_s + self._unix_offset_s >= rollout.deadline_unix_s
        if expired or rollout.new_version in failed_versions:
            return rollout.old_version
        if policy.split_position(rollout.id, request_id) >= view.share:
            return rollout.old_version
        if not self._use_quota(view):
            return rollout.old_version
        return rollout.new_version

    def _use_quota(self, view: View) -> bool:
        """Count a request to the new version against the first quota.

        Returns:
            Whether the request may go to the new version.
        """
        if view.quota is None:
            return True
        with self._lock:
            trial = self._trials.get(view.rollout.id)
            return trial is not None and trial.use_quota(view.quota)

    def observe(
        self,
        service: str,
        version: str,
        route: str,
        outcome: Outcome,
        now_s: float,
    ) -> None:
        """Count an outcome; evaluate a failure of the new version at once.

        Args:
            service: name of the service.
            version: version that the request was sent to.
            route: name of the route.
            outcome: outcome of the request.
            now_s: current time on the monotonic clock.
        """
        view = self._views.get(service)
        if view is None or view.rollout.phase.final:
            return
        rollout = view.rollout
        if version not in (rollout.old_version, rollout.new_version):
            return
        key = outcome_counts.CountsKey(rollout.id, version, route)
        with self._lock:
            self._outcome_counts.observe(key, outcome)
            passed = outcome.ok and outcome.check_ok is not False
            if version == rollout.new_version and not passed:
                self.evaluate(now_s, now_s + self._unix_offset_s)

    def evaluate(self, now_s: float, now_unix_s: float) -> None:
        """Evaluate the outcomes counted since the last call.

        Args:
            now_s: current time on the monotonic clock.
            now_unix_s: current time in seconds since the epoch.
        """
        with self._lock:
            self._unix_offset_s = now_unix_s - now_s
            new = self._outcome_counts.take_new()
            for known in self._known.values():
                rollout = known.rollout
                if not rollout.phase.final:
                    self._evaluate_rollout(rollout, new, now_s, now_unix_s)
            self._refresh(now_unix_s)

    def _evaluate_rollout(
        self,
        rollout: Rollout,
        new: dict[outcome_counts.CountsKey, outcome_counts.Counts],
        now_s: float,
        now_unix_s: float,
    ) -> None:
        trial = self._trial(rollout)
        was_suspected = trial.suspected(now_s)
        regression = trial.evaluate(rollout, new, now_s)
        if trial.suspected(now_s) and not was_suspected:
            self._record(Event.REGRESSION_SUSPECTED, rollout=rollout.id)
        if regression is None or rollout.id in self._findings:
            return
        finding = exchange.Finding(
            rollout.id,
            rollout.new_version,
            self._instance,
            regression.text(),
            now_unix_s,
        )
        self._findings[rollout.id] = finding
        self._record(
            Event.REGRESSION_FOUND,
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

    def apply_stored(self, stored: StoredObject, now_unix_s: float) -> None:
        """Apply a rollout that was read from the platform."""
        rollout = cattrs.structure(stored.value, Rollout)
        with self._lock:
            self._apply(exchange.StoredRollout(stored.version, rollout))
            self._refresh(now_unix_s)

    def mark_current(self, now_unix_s: float) -> None:
        """Record that all stored rollouts were read at the given time."""
        with self._lock:
            self._current_unix_s = max(self._current_unix_s, now_unix_s)

    def _apply(self, new: exchange.StoredRollout) -> None:
        service = new.rollout.service
        earlier = self._known.get(service)
        if earlier is not None:
            newer = policy.supersedes(new.rollout, earlier.rollout)
            if newer is None:
                newer = new.version > earlier.version
            if not newer:
                return
        self._known[service] = new
        seen = {m.id for m in earlier.rollout.moves} if earlier else set()
        first_seen_ended = earlier is None and new.rollout.phase.final
        moves = new.rollout.moves[-1 if first_seen_ended else 0 :]
        for move in moves:
            if move.id not in seen:
                self._record_move(new.rollout, move)

    def _record_move(self, rollout: Rollout, move: Move) -> None:
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
        """Update the running trials and the views that requests read."""
        active = frozenset(
            known.rollout.id
            for known in self._known.values()
            if not known.rollout.phase.final
        )
        if not active.issuperset(self._trials):
            self._outcome_counts.keep_only(active)
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
            share = self._trials[rollout.id].reduced_share(share, now_s)
        if rollout.steps > 1 or rollout.phase.final:
            return View(rollout, share, None)
        ranked = rendezvous.ranked(rollout.id, self._members())
        if self._instance not in ranked:
            return View(rollout, share, 0)
        quota = policy.instance_quota(
            rollout.criteria.first_requests,
            ranked.index(self._instance),
            len(ranked),
        )
        return View(rollout, share, quota)

    def active(self) -> tuple[exchange.StoredRollout, ...]:
        """Return the newest known state of each rollout that has not ended."""
        with self._lock:
            return tuple(
                known
                for known in self._known.values()
                if not known.rollout.phase.final
            )

    def known(self) -> tuple[exchange.StoredRollout, ...]:
        """Return the newest known rollout of each service."""
        with self._lock:
            return tuple(self._known.values())

    def finding(self, rollout: Rollout) -> exchange.Finding | None:
        """Return the finding that the new version is bad, or None."""
        return self._findings.get(rollout.id)

    def decision_inputs(
        self, rollout: Rollout, now_unix_s: float
    ) -> policy.DecisionInputs:
        """Return the inputs of a decision on a rollout."""
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
        reporting = sum(
            now_unix_s - self._last_alive_unix_s.get(name, 0.0)
            <= REPORT_MAX_AGE_S
            for name in others
        )
        return (reporting + 1) / (len(others) + 1)

    def snapshot(self, now_unix_s: float) -> bytes:
        """Return the encoded state for a peer."""
        with self._lock:
            state = exchange.State(
                self._current_unix_s,
                tuple(self._known.values()),
                tuple(self._findings.values()),
            )
            if self._trials:
                self._last_alive_unix_s[self._instance] = now_unix_s
                state = attrs.evolve(
                    state,
                    lives_unix_s=dict(self._last_alive_unix_s),
                    reports=self._some_reports(),
                )
            return exchange.encode(state)

    def _some_reports(self) -> tuple[outcome_counts.InstanceCounts, ...]:
        """Return the own counts and as many others as fit, in rotation."""
        own, *others = self._outcome_counts.reports()
        selected = [own]
        free = exchange.COUNTS_PER_STATE - len(own.counts)
        for _ in range(len(others)):
            report = others[self._report_cursor % len(others)]
            if len(report.counts) > free:
                break
            free -= len(report.counts)
            selected.append(report)
            self._report_cursor += 1
        return tuple(selected)

    def merge(self, data: bytes, sender: str, now_unix_s: float) -> None:
        """Merge the encoded state of a peer.

        Raises:
            ValueError: the state cannot be read.
        """
        state = exchange.decode(data)
        with self._lock:
            for known in state.rollouts:
                self._apply(known)
            for finding in state.findings:
                self._add_finding(finding)
            fresh_unix_s = min(state.fresh_unix_s, now_unix_s)
            self._current_unix_s = max(self._current_unix_s, fresh_unix_s)
            for name, alive_unix_s in state.lives_unix_s.items():
                alive_unix_s = min(alive_unix_s, now_unix_s)
                latest = self._last_alive_unix_s.get(name, 0.0)
                self._last_alive_unix_s[name] = max(latest, alive_unix_s)
            self._refresh(now_unix_s)
            for report in state.reports:
                self._outcome_counts.merge(self._without_ended(report))

    def _without_ended(
        self, report: outcome_counts.InstanceCounts
    ) -> outcome_counts.InstanceCounts:
        """Return an instance's counts without those of ended rollouts."""
        counts = {
            key: part
            for key, part in report.counts.items()
            if key.rollout in self._trials
        }
        return attrs.evolve(report, counts=counts)

    def _add_finding(self, finding: exchange.Finding) -> None:
        if finding.rollout in self._findings:
            return
        self._findings[finding.rollout] = finding
        while len(self._findings) > MAX_FINDINGS:
            del self._findings[next(iter(self._findings))]
        self._record(
            Event.REGRESSION_REPORTED,
            rollout=finding.rollout,
            version=finding.version,
            instance=finding.instance,
            why=finding.why,
        )

    def topic(self) -> Topic:
        """Return the topic through which instances exchange this state."""
        return Topic(TOPIC, self.snapshot, self.merge)
