"""A short run of the soak of routing tables."""

import asyncio
import pathlib

from tests.soak.tables import Plan
from tests.soak.tables import TableSoak


def test_changes_of_large_tables_are_in_force_in_time(
    tmp_path: pathlib.Path,
) -> None:
    """They took too long where links are narrow and peers stall."""
    soak = TableSoak(Plan(1), tmp_path)
    asyncio.run(soak.run())
    assert soak.broken == []
    assert soak.probes > 100
    assert len(soak.caused) > 10
