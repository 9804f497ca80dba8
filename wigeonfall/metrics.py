"""Metrics of one instance, counted from its events."""

import functools
import math
from typing import Any

import prometheus_client

from .events import Event
from .policy.memory import Kind
from .policy.memory import MemoryAccount
from .recorder import Record

MOST_LABELS = 100  # routes and targets come and go over weeks
_SECONDS_BUCKETS = (0.01, 0.03, 0.1, 0.3, 1.0, 1.4, 3.0, 10.0, 30.0, 100.0)


class Metrics:
    """Counters and histograms of one instance."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self.events = prometheus_client.Counter(
            'wigeonfall_events',
            'Events by their number.',
            ['event'],
            registry=registry,
        )
        self.answers = prometheus_client.Counter(
            'wigeonfall_answers',
            'Answered requests.',
            ['service', 'tier', 'status'],
            registry=registry,
        )
        self.refusals = prometheus_client.Counter(
            'wigeonfall_refusals',
            'Refused requests.',
            ['service', 'tier', 'code', 'run'],
            registry=registry,
        )
        self.attempt_failures = prometheus_client.Counter(
            'wigeonfall_attempt_failures',
            'Failed attempts at targets.',
            ['kind'],
            registry=registry,
        )
        self.quarantined_parts = prometheus_client.Gauge(
            'wigeonfall_quarantined_parts',
            'Prompt parts that crashed targets and are not released.',
            registry=registry,
        )
        self.callers_closed = prometheus_client.Counter(
            'wigeonfall_callers_closed',
            'Callers closed or refused for their memory, by cause.',
            ['cause'],
            registry=registry,
        )
        self.target_rate_limit = prometheus_client.Gauge(
            'wigeonfall_target_rate_limit',
            'Requests a second that a target accepts from all instances.',
            ['target'],
            registry=registry,
        )
        self.cold_targets = prometheus_client.Gauge(
            'wigeonfall_cold_targets',
            'Targets that are known to be cold.',
            registry=registry,
        )
        self.evacuated_data_centres = prometheus_client.Gauge(
            'wigeonfall_evacuated_data_centres',
            'Data centres whose targets get no new requests.',
            registry=registry,
        )
        self.behind_since = prometheus_client.Gauge(
            'wigeonfall_behind_since_seconds',
            'Unix time since which peers are ahead in a kind of object, 0 if'
            ' none is.',
            ['kind'],
            registry=registry,
        )
        self.prompt_tokens = prometheus_client.Counter(
            'wigeonfall_prompt_tokens',
            'Prompt tokens of requests sent, by whether targets were expected'
            ' to hold them.',
            ['expected'],
            registry=registry,
        )
        self.answer_seconds = prometheus_client.Histogram(
            'wigeonfall_answer_seconds',
            'Time from the call to the end of its answer.',
            ['service', 'tier'],
            buckets=_SECONDS_BUCKETS,
            registry=registry,
        )
        self.passed_on = prometheus_client.Counter(
            'wigeonfall_passed_on',
            'Answers of targets that were passed on.',
            ['route', 'target', 'status'],
            registry=registry,
        )
        self.turned_away = prometheus_client.Counter(
            'wigeonfall_turned_away',
            'Requests that got no whole answer, by rank and status.',
            ['route', 'rank', 'status', 'ran'],
            registry=registry,
        )
        self.wait_seconds = prometheus_client.Histogram(
            'wigeonfall_wait_seconds',
            'Time that answered requests waited for a target.',
            ['route'],
            buckets=_SECONDS_BUCKETS,
            registry=registry,
        )
        self.first_seconds = prometheus_client.Histogram(
            'wigeonfall_first_seconds',
            'Time from sending to the first byte or event.',
            ['target'],
            buckets=_SECONDS_BUCKETS,
            registry=registry,
        )
        self._names: dict[str, set[str]] = {}

    def label(self, kind: str, name: str) -> str:
        """Return a name as a label, or 'other' beyond a number of them."""
        names = self._names.setdefault(kind, set())
        if name not in names and len(names) >= MOST_LABELS:
            return 'other'
        names.add(name)
        return name


def show_account(
    account: MemoryAccount, registry: prometheus_client.CollectorRegistry
) -> None:
    """Add gauges of what a process holds for others, by kind.

    Args:
        account: the memory that is held.
        registry: gets the gauges.
    """
    held = prometheus_client.Gauge(
        'wigeonfall_held_bytes',
        'Memory held for callers and answers, by kind.',
        ['kind'],
        registry=registry,
    )
    for kind in Kind:
        held.labels(kind.name.lower()).set_function(
            functools.partial(account.used_bytes.__getitem__, kind)
        )
    most = prometheus_client.Gauge(
        'wigeonfall_held_bytes_limit',
        'Maximum of all kinds together.',
        registry=registry,
    )
    most.set(account.limit_bytes)


def counting(record: Record, metrics: Metrics) -> Record:
    """Return a function that records events and counts them."""

    def record_and_count(event: Event, **fields: Any) -> None:
        record(event, **fields)
        metrics.events.labels(event.number).inc()
        if event is Event.REQUEST_ANSWERED:
            _count_answer(metrics, fields)
        elif event is Event.REQUEST_REFUSED:
            _count_refusal(metrics, fields)
        elif event is Event.ANSWER_FORWARDED:
            _count_passed_on(metrics, fields)
        elif event is Event.REQUEST_NOT_SERVED:
            _count_turned_away(metrics, fields)
        elif event is Event.REQUEST_ASSIGNED:
            kept = fields['kept_tokens']
            metrics.prompt_tokens.labels('kept').inc(kept)
            metrics.prompt_tokens.labels('read').inc(
                max(0, fields['prompt_tokens'] - kept)
            )
        elif event is Event.ATTEMPT_FAILED:
            metrics.attempt_failures.labels(fields['kind']).inc()
        elif event is Event.CALLER_CLOSED:
            metrics.callers_closed.labels(fields['cause']).inc()
        elif event in (Event.PART_QUARANTINED, Event.PART_RELEASED):
            metrics.quarantined_parts.set(fields['held'])
        elif event is Event.TARGET_RATE_LIMITED:
            target = metrics.label('target', fields['target'])
            metrics.target_rate_limit.labels(target).set(fields['per_s'])
        elif event is Event.TARGET_RATE_UNLIMITED:
            target = metrics.label('target', fields['target'])
            metrics.target_rate_limit.labels(target).set(math.inf)
        elif event in (Event.TARGET_COLD, Event.TARGET_WARM):
            metrics.cold_targets.set(fields['cold'])
        elif event is Event.VIEW_BEHIND:
            metrics.behind_since.labels(fields['kind']).set(
                fields['since_unix_s']
            )
        elif event is Event.VIEW_CURRENT:
            metrics.behind_since.labels(fields['kind']).set(0)
        elif event in (Event.EVACUATION_BEGUN, Event.EVACUATION_LIFTED):
            metrics.evacuated_data_centres.set(fields['evacuated'])

    return record_and_count


def _count_answer(metrics: Metrics, fields: dict[str, Any]) -> None:
    labels = (fields['service'], fields['tier'])
    metrics.answers.labels(*labels, fields['status']).inc()
    metrics.answer_seconds.labels(*labels).observe(fields['total_ms'] / 1000)


def _count_refusal(metrics: Metrics, fields: dict[str, Any]) -> None:
    metrics.refusals.labels(
        fields['service'], fields['tier'], fields['code'], fields['run']
    ).inc()


def _count_passed_on(metrics: Metrics, fields: dict[str, Any]) -> None:
    route = metrics.label('route', fields['route'])
    target = metrics.label('target', fields['target'])
    metrics.passed_on.labels(route, target, fields['status']).inc()
    metrics.wait_seconds.labels(route).observe(fields['waited_ms'] / 1000)
    metrics.first_seconds.labels(target).observe(fields['first_ms'] / 1000)


def _count_turned_away(metrics: Metrics, fields: dict[str, Any]) -> None:
    route = metrics.label('route', fields['route'])
    metrics.turned_away.labels(
        route, fields['rank'], fields['status'], fields['ran']
    ).inc()
