"""A short run of the soak, and the seeds that failed before."""

import asyncio
import pathlib

import pytest

from tests.soak.soak import Plan
from tests.soak.soak import Soak

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
