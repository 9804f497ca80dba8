"""What instances tell each other of rollouts, and its encoding.

Every part merges by a monotone rule: the newest stored version of a rollout,
the union of findings, the largest counts, the latest signs of life.
"""

import json
from typing import Any
import zlib

import attrs
import cattrs

from ..model.rollout import Rollout
from ..policy.outcome_counts import Counts
from ..policy.outcome_counts import CountsKey
from ..policy.outcome_counts import InstanceCounts

LARGEST_STATE_BYTES = 4_000_000
COUNTS_PER_STATE = 40
COMPRESSION_LEVEL = 1


@attrs.frozen
class Finding:
    """The finding of one instance that a version is bad.

    Attributes:
        rollout: identifier of the rollout.
        version: the bad version.
        instance: name of the instance that found it.
        why: what was found.
        at_unix_s: when it was found.
    """

    rollout: str
    version: str
    instance: str
    why: str
    at_unix_s: float


@attrs.frozen
class Known:
    """A rollout as stored.

    Attributes:
        version: version that the platform gave the object.
        rollout: the rollout.
    """

    version: int
    rollout: Rollout


@attrs.frozen
class State:
    """What one instance tells another.

    Attributes:
        fresh_unix_s: time up to which the rollouts are known to be current.
        rollouts: newest known rollout of each service.
        findings: all known findings.
        lives_unix_s: latest sign of life by the name of the instance.
        reports: counts of some instances.
    """

    fresh_unix_s: float
    rollouts: tuple[Known, ...] = ()
    findings: tuple[Finding, ...] = ()
    lives_unix_s: dict[str, float] = attrs.field(factory=dict)
    reports: tuple[InstanceCounts, ...] = ()


def encode(state: State) -> bytes:
    """Return a state as bytes."""
    value = {
        'fresh': state.fresh_unix_s,
        'rollouts': cattrs.unstructure(state.rollouts),
        'findings': cattrs.unstructure(state.findings),
        'lives': state.lives_unix_s,
        'reports': [_from_report(report) for report in state.reports],
    }
    text = json.dumps(value, separators=(',', ':'))
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def decode(data: bytes) -> State:
    """Return the state that bytes stand for.

    Raises:
        ValueError: the bytes are no state.
    """
    try:
        unpacker = zlib.decompressobj()
        value = json.loads(unpacker.decompress(data, LARGEST_STATE_BYTES))
        return State(
            float(value['fresh']),
            cattrs.structure(value['rollouts'], tuple[Known, ...]),
            cattrs.structure(value['findings'], tuple[Finding, ...]),
            cattrs.structure(value['lives'], dict[str, float]),
            tuple(_to_report(report) for report in value['reports']),
        )
    except (zlib.error, cattrs.BaseValidationError) as exc:
        raise ValueError(f'state of rollouts: {exc}') from exc
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f'state of rollouts: {exc!r}') from exc


def _from_report(report: InstanceCounts) -> list[Any]:
    counts = [
        [
            key.rollout,
            key.version,
            key.route,
            part.requests,
            part.errors,
            part.checks,
            part.failed_checks,
            _from_histogram(part.first_token),
            _from_histogram(part.pace),
        ]
        for key, part in report.counts.items()
    ]
    return [report.instance, report.incarnation, counts]


def _to_report(value: list[Any]) -> InstanceCounts:
    instance, incarnation, parts = value
    counts = {}
    for rollout, version, route, *numbers in parts:
        requests, errors, checks, failed, first_token, pace = numbers
        counts[CountsKey(rollout, version, route)] = Counts(
            int(requests),
            int(errors),
            int(checks),
            int(failed),
            _to_histogram(first_token),
            _to_histogram(pace),
        )
    return InstanceCounts(str(instance), int(incarnation), counts)


def _from_histogram(histogram: dict[int, int]) -> list[int]:
    """Return the first used bucket and the counts from there on."""
    if not histogram:
        return []
    first = min(histogram)
    buckets = range(first, max(histogram) + 1)
    return [first, *(histogram.get(index, 0) for index in buckets)]


def _to_histogram(value: list[int]) -> dict[int, int]:
    if not value:
        return {}
    first, *numbers = value
    return {
        first + index: number
        for index, number in enumerate(numbers)
        if number > 0
    }
