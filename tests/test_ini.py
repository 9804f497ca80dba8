"""Faults of INI texts carry their place."""

import attrs
from result import Err
from result import Ok

from wigeonfall import ini


@attrs.frozen
class Limits:
    """A section with one option of each kind."""

    rate_per_s: float
    names: tuple[str, ...] = ()
    enabled: bool = False


def _limits(text: str, above: str = '') -> ini.Document:
    below = ini.parse(ini.Source('base.ini', text)).unwrap()
    other = ini.parse(ini.Source('site.ini', above)).unwrap()
    return ini.overlay(below, other)


def test_options_get_the_types_of_their_fields() -> None:
    text = '[limits]\nrate_per_s = 2.5\nnames = a, b\nenabled = yes\n'
    section = _limits(text)['limits']
    outcome = ini.read_section(section, Limits, {})
    assert outcome == Ok(Limits(2.5, ('a', 'b'), True))


def test_all_faults_of_a_section_come_with_file_and_line() -> None:
    text = '# first\n[limits]\nrate_per_s = nan\nother = 1\n'
    section = _limits(text, '\n[limits]\nenabled = maybe\n')['limits']
    checks = {'rate_per_s': ini.in_range(0, 10)}
    outcome = ini.read_section(section, Limits, checks)
    assert isinstance(outcome, Err)
    places = {(f.file, f.line, f.option) for f in outcome.err_value}
    assert places == {
        ('base.ini', 3, 'rate_per_s'),
        ('base.ini', 4, 'other'),
        ('site.ini', 3, 'enabled'),
    }


def test_broken_texts_name_their_line() -> None:
    cases = {
        'a = 1\n': 1,
        '[x]\na = 1\na = 2\n': 3,
        '[x]\n[x]\n': 2,
        '[x]\nnothing\n': 2,
    }
    for text, line in cases.items():
        outcome = ini.parse(ini.Source('f.ini', text))
        assert isinstance(outcome, Err)
        assert outcome.err_value[0].line == line, text
