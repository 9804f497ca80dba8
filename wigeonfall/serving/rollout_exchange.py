"""The state of rollouts that instances exchange, and its encoding.

Each part of the state is merged by a monotonic rule: the newest stored version
of a rollout, the union of findings, the largest counts, the latest time at
which an instance was alive.
"""

import json
from typing import Any
import zlib

import attrs
import cattrs

from .. import decoding
from ..model.rollout import Rollout
from ..policy.versions.outcome_counts import Counts
from ..policy.versions.outcome_counts import CountsKey
from ..policy.versions.outcome_counts import InstanceCounts

MAX_STATE_BYTES = 4_000_000
COUNTS_PER_STATE = 40
COMPRESSION_LEVEL = 1


@attrs.frozen
class Finding:
    """The finding of one instance that a version is bad.

    Attributes:
        rollout: identifier of the rollout.
        version: the bad version.
        instance: name of the instance that made the finding.
        why: the regression that was found.
        at_unix_s: time at which it was found.
    """

    rollout: str
    version: str
    instance: str
    why: str
    at_unix_s: float


@attrs.frozen
class StoredRollout:
    """A stored rollout with its object version.

    Attributes:
        version: version of the object at the platform.
        rollout: the rollout.
    """

    version: int
    rollout: Rollout


@attrs.frozen
class State:
    """The state that one instance sends to another.

    Attributes:
        fresh_unix_s: time up to which the rollouts are known to be current.
        rollouts: newest known rollout of each service.
        findings: all known findings of bad versions.
        lives_unix_s: time at which an instance was last alive, by its name.
        reports: counts of outcomes of some instances.
    """

    fresh_unix_s: float
    rollouts: tuple[StoredRollout, ...] = ()
    findings: tuple[Finding, ...] = ()
    lives_unix_s: dict[str, float] = attrs.field(factory=dict)
    reports: tuple[InstanceCounts, ...] = ()


def encode(state: State) -> bytes:
    """Return a state as compressed JSON."""
    value = {
        'fresh': state.fresh_unix_s,
        'rollouts': cattrs.unstructure(state.rollouts),
        'findings': cattrs.unstructure(state.findings),
        'lives': state.lives_unix_s,
        'reports': [_encode_report(report) for report in state.reports],
    }
    text = json.dumps(value, separators=(',', ':'))
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def decode(data: bytes) -> State:
    """Return the state that was encoded as compressed JSON.

    Raises:
        ValueError: the bytes are not an encoded state.
    """
    try:
        decompressor = zlib.decompressobj()
        value = decoding.loads(decompressor.decompress(data, MAX_STATE_BYTES))
        return State(
            float(value['fresh']),
            cattrs.structure(value['rollouts'], tuple[StoredRollout, ...]),
            cattrs.structure(value['findings'], tuple[Finding, ...]),
            cattrs.structure(value['lives'], dict[str, float]),
            tuple(_decode_report(report) for report in value['reports']),
        )
    except (zlib.error, cattrs.BaseValidationError) as exc:
        raise ValueError(f'cannot decode state of rollouts: {exc}') from exc
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f'cannot decode state of rollouts: {exc!r}') from exc


def _encode_report(report: InstanceCounts) -> list[Any]:
    counts = [
        [
            key.rollout,
            key.version,
            key.route,
            counted.requests,
            counted.errors,
            counted.checks,
            counted.failed_checks,
            _encode_histogram(counted.first_token),
            _encode_histogram(counted.pace),
        ]
        for key, counted in report.counts.items()
    ]
    return [report.instance, report.incarnation, counts]


def _decode_report(value: list[Any]) -> InstanceCounts:
    instance, incarnation, rows = value
    counts = {}
    for rollout, version, route, *numbers in rows:
        requests, errors, checks, failed, first_token, pace = numbers
        counts[CountsKey(rollout, version, route)] = Counts(
            int(requests),
            int(errors),
            int(checks),
            int(failed),
            _decode_histogram(first_token),
            _decode_histogram(pace),
        )
    return InstanceCounts(str(instance), int(incarnation), counts)


def _encode_histogram(histogram: dict[int, int]) -> list[int]:
    """Return the first nonempty bucket, then the counts from it onwards."""
    if not histogram:
        return []
    first = min(histogram)
    buckets = range(first, max(histogram) + 1)
    return [first, *(histogram.get(index, 0) for index in buckets)]


def _decode_histogram(value: list[int]) -> dict[int, int]:
    if not value:
        return {}
    first, *counts = value
    return {
        first + index: count for index, count in enumerate(counts) if count > 0
    }
