"""The catalogue of events and the page that describes it."""

import logging
import pathlib
import re

from wigeonfall.events import Event

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'EVENTS.md'
ROW = re.compile(
    r'^\| (?P<number>\d+) \| (?P<level>\w+) \| (?P<message>[^|]+) \|'
    r' (?P<meaning>[^|]+) \| (?P<fields>[^|]*)\|$'
)
MATTERS = range(1, 8)


def _rows() -> list[re.Match[str]]:
    found = map(ROW.match, PAGE.read_text('utf-8').splitlines())
    return [row for row in found if row is not None]


def test_page_and_catalogue_agree() -> None:
    described = [
        (int(row['number']), row['level'], row['message']) for row in _rows()
    ]
    catalogue = [
        (event.number, logging.getLevelName(event.level), event.message)
        for event in Event
    ]
    assert described == sorted(catalogue)


def test_numbers_and_messages_are_unique() -> None:
    assert len({event.number for event in Event}) == len(Event)
    assert len({event.message for event in Event}) == len(Event)


def test_hundreds_stand_for_a_matter() -> None:
    assert {event.number // 100 for event in Event} <= set(MATTERS)


def test_each_row_says_what_the_event_means() -> None:
    for row in _rows():
        assert len(row['meaning'].split()) >= 3, row['number']
