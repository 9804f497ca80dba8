"""Metrics of one instance, counted from its events."""

from typing import Any

import prometheus_client

from .events import Event
from .recorder import Record

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
        self.answer_seconds = prometheus_client.Histogram(
            'wigeonfall_answer_seconds',
            'Time from the call to the end of its answer.',
            ['service', 'tier'],
            buckets=_SECONDS_BUCKETS,
            registry=registry,
        )


def counting(record: Record, metrics: Metrics) -> Record:
    """Return a function that records events and counts them."""

    def record_and_count(event: Event, **fields: Any) -> None:
        record(event, **fields)
        metrics.events.labels(event.number).inc()
        if event is Event.REQUEST_ANSWERED:
            _count_answer(metrics, fields)
        elif event is Event.REQUEST_REFUSED:
            _count_refusal(metrics, fields)
        elif event is Event.ATTEMPT_FAILED:
            metrics.attempt_failures.labels(fields['kind']).inc()

    return record_and_count


def _count_answer(metrics: Metrics, fields: dict[str, Any]) -> None:
    labels = (fields['service'], fields['tier'])
    metrics.answers.labels(*labels, fields['status']).inc()
    metrics.answer_seconds.labels(*labels).observe(fields['total_ms'] / 1000)


def _count_refusal(metrics: Metrics, fields: dict[str, Any]) -> None:
    metrics.refusals.labels(
        fields['service'], fields['tier'], fields['code'], fields['run']
    ).inc()
