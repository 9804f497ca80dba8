"""Tests of the numbered events and the page that describes them."""

import logging
import pathlib
import re

from wigeonfall.events import Event

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'EVENTS.md'
ROW = re.compile(
    r'^\| (?P<number>\d+) \| (?P<level>\w+) \| (?P<message>[^|]+) \|'
    r' (?P<meaning>[^|]+) \| (?P<fields>[^|]*)\|$'
)
SUBJECTS = range(1, 8)


def _rows() -> list[re.Match[str]]:
    found = map(ROW.match, PAGE.read_text('utf-8').splitlines())
    return [row for row in found if row is not None]


def test_page_and_code_list_the_same_events() -> None:
    described = [
        (int(row['number']), row['level'], row['message']) for row in _rows()
    ]
    defined = [
        (event.number, logging.getLevelName(event.level), event.message)
        for event in Event
    ]
    assert described == sorted(defined)


def test_numbers_and_messages_are_unique() -> None:
    assert len({event.number for event in Event}) == len(Event)
    assert len({event.message for event in Event}) == len(Event)


def test_the_hundreds_digit_is_a_subject() -> None:
    assert {event.number // 100 for event in Event} <= set(SUBJECTS)


def test_each_row_says_what_the_event_means() -> None:
    for row in _rows():
        assert len(row['meaning'].split()) >= 3, row['number']
