"""Settings shared by all tests: hypothesis profiles and known failures."""

import os
import pathlib

import hypothesis
import pytest

_KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, database=None
)
hypothesis.settings.register_profile('dev', deadline=None)
hypothesis.settings.load_profile(
    os.environ.get('WIGEONFALL_TEST_PROFILE', 'ci')
)


def _known_red_tests() -> set[str]:
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    }


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that KNOWN-RED.txt lists as expected failures."""
    known = _known_red_tests()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))
