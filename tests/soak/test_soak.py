"""A short run of the soak, and the seeds that failed before."""

import asyncio
import pathlib

import pytest

from tests.soak.soak import Plan
from tests.soak.soak import Soak

MANY = Plan(101, duration_s=6.0, instances=18, targets=6, callers=20)

# Each seed that ever failed, with its cause.
CASES: dict[int, str] = {}


@pytest.mark.parametrize('seed', (1, *CASES))
def test_promises_hold_under_faults(seed: int, tmp_path: pathlib.Path) -> None:
    soak = Soak(Plan(seed), tmp_path)
    asyncio.run(soak.run())
    assert soak.seen.broken == []
    whole = [o for o in soak.seen.outcomes if o.status == 200 and o.whole]
    assert len(whole) > len(soak.seen.outcomes) / 3
    assert len(soak.caused) > 20


def test_promises_hold_where_one_instance_places_for_all(
    tmp_path: pathlib.Path,
) -> None:
    soak = Soak(MANY, tmp_path)
    asyncio.run(soak.run())
    assert soak.seen.broken == []
    logs = [path.read_text('utf-8') for path in tmp_path.glob('i*.log')]
    asked = [log for log in logs if '"arbiter": "i' in log]
    assert len(asked) > len(logs) / 2
