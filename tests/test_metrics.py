"""Metrics that are counted from events."""

from typing import Any

import prometheus_client
import pytest

from wigeonfall.events import Event
from wigeonfall import metrics

LABELS = {'service': 'lm', 'tier': 'orders'}


@pytest.fixture
def registry() -> prometheus_client.CollectorRegistry:
    return prometheus_client.CollectorRegistry()


def test_events_are_recorded_and_counted(
    registry: prometheus_client.CollectorRegistry,
) -> None:
    seen: list[tuple[Event, dict[str, Any]]] = []
    record = metrics.counting(
        lambda event, **fields: seen.append((event, fields)),
        metrics.Metrics(registry),
    )
    refusal = {**LABELS, 'code': 'overloaded', 'run': 'not-run'}
    record(Event.REQUEST_ANSWERED, **LABELS, status=200, total_ms=250)
    record(Event.REQUEST_ANSWERED, **LABELS, status=200, total_ms=50)
    record(Event.REQUEST_REFUSED, **refusal)
    record(Event.ATTEMPT_FAILED, kind='connect')
    assert [event.number for event, _ in seen] == [201, 201, 202, 204]
    assert seen[2][1] == refusal

    def value(name: str, **labels: str) -> float | None:
        return registry.get_sample_value(name, labels)

    answered = {**LABELS, 'status': '200'}
    assert value('wigeonfall_events_total', event='201') == 2
    assert value('wigeonfall_answers_total', **answered) == 2
    assert value('wigeonfall_refusals_total', **refusal) == 1
    assert value('wigeonfall_attempt_failures_total', kind='connect') == 1
    assert value('wigeonfall_answer_seconds_sum', **LABELS) == 0.3
    bucket = 'wigeonfall_answer_seconds_bucket'
    assert value(bucket, **LABELS, le='0.1') == 1
    assert value(bucket, **LABELS, le='0.3') == 2


def test_labels_are_bounded(monkeypatch):
    monkeypatch.setattr(metrics, 'MOST_LABELS', 2)
    registry = prometheus_client.CollectorRegistry()
    made = metrics.Metrics(registry)
    names = [made.label('route', name) for name in ('a', 'b', 'c', 'a')]
    assert names == ['a', 'b', 'other', 'a']


def test_the_forwarding_path_is_counted():
    registry = prometheus_client.CollectorRegistry()
    made = metrics.Metrics(registry)
    record = metrics.counting(lambda *_args, **_fields: None, made)
    record(
        Event.ANSWER_FORWARDED,
        route='r',
        target='t',
        status=200,
        waited_ms=20,
        first_ms=90,
    )
    record(Event.REQUEST_NOT_SERVED, route='r', rank=1, status=503, ran=False)
    record(Event.REQUEST_ASSIGNED, prompt_tokens=600, kept_tokens=460)
    text = prometheus_client.generate_latest(registry).decode()
    assert 'wigeonfall_passed_on_total{route="r",' in text
    assert 'wigeonfall_wait_seconds_count{route="r"} 1.0' in text
    assert 'wigeonfall_first_seconds_count{target="t"} 1.0' in text
    assert 'status="503"' in text
    assert 'wigeonfall_prompt_tokens_total{expected="kept"} 460.0' in text
    assert 'wigeonfall_prompt_tokens_total{expected="read"} 140.0' in text
