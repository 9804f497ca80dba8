"""INI texts with the file and line of each option, and their faults."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import configparser
import pathlib
import re
from typing import Any
from typing import TypeVar

import attrs
import cattrs
from result import Err
from result import Ok
from result import Result

# Returns what is wrong with a value, or '' if it may be used.
Check = Callable[[Any], str]
Value = TypeVar('Value')

_SECTION = re.compile(r'^\[(?P<name>[^]]+)\]')
_OPTION = re.compile(r'^(?P<name>[^\s=:#;][^=:]*?)\s*[=:]')
_BOOLEANS = {'yes': True, 'true': True, 'no': False, 'false': False}


@attrs.frozen
class Fault:
    """Something in an INI file that cannot be used.

    Attributes:
        file: name of the file.
        line: line in the file, counted from 1; 0 if none can be named.
        section: section, or ''.
        option: option, or ''.
        message: what is wrong.
    """

    file: str
    line: int
    section: str
    option: str
    message: str

    def __str__(self) -> str:
        where = f'[{self.section}] ' if self.section else ''
        option = f'{self.option}: ' if self.option else ''
        return f'{self.file}:{self.line}: {where}{option}{self.message}'


Faults = tuple[Fault, ...]


@attrs.frozen
class Source:
    """An INI text and the name of the file that it came from."""

    file: str
    text: str


@attrs.frozen
class Option:
    """One option as it was written."""

    value: str
    file: str
    line: int


@attrs.frozen
class Section:
    """One section; later files replace its options one by one."""

    name: str
    file: str
    line: int
    options: Mapping[str, Option]

    def fault(self, message: str, option: str = '') -> Fault:
        """Return a fault at an option of this section, or at its head."""
        found = self.options.get(option)
        place = (found.file, found.line) if found else (self.file, self.line)
        return Fault(*place, self.name, option, message)


Document = Mapping[str, Section]


def load(path: pathlib.Path) -> Result[Source, Faults]:
    """Read the text of an INI file."""
    try:
        return Ok(Source(str(path), path.read_text('utf-8')))
    except (OSError, UnicodeDecodeError) as error:
        return Err((Fault(str(path), 0, '', '', str(error)),))


def parse(source: Source) -> Result[Document, Faults]:
    """Parse one INI text."""
    parser = configparser.RawConfigParser(
        strict=True, default_section='', comment_prefixes=('#', ';')
    )
    try:
        parser.read_string(source.text, source.file)
    except configparser.Error as error:
        return Err((_syntax_fault(source, error),))
    lines = _lines(source.text)
    return Ok(
        {
            name: _section(source, name, parser, lines)
            for name in parser.sections()
        }
    )


def overlay(below: Document, above: Document) -> Document:
    """Return a document whose options come from above where it has any."""
    merged = dict(below)
    for name, section in above.items():
        lower = merged.get(name)
        if lower is None:
            merged[name] = section
        else:
            options = {**lower.options, **section.options}
            merged[name] = attrs.evolve(lower, options=options)
    return merged


def read_section(
    section: Section,
    cls: type[Value],
    checks: Mapping[str, Check],
    **given: Any,
) -> Result[Value, Faults]:
    """Build an attrs value from the options of a section.

    Args:
        section: the section to read.
        cls: attrs class with one field for each option.
        checks: what must hold for the value of an option.
        given: values of fields that are not options.

    Returns:
        The value, or all faults of the section.
    """
    fields = {
        field.name: field
        for field in attrs.fields(cls)  # type: ignore[arg-type]
        if field.name not in given
    }
    faults = _unknown_options(section, fields)
    values = dict(given)
    for name, field in fields.items():
        option = section.options.get(name)
        if option is None:
            if field.default is attrs.NOTHING:
                faults.append(section.fault('is missing', name))
            continue
        outcome = _value(option.value, field.type, checks.get(name))
        if isinstance(outcome, Ok):
            values[name] = outcome.ok_value
        else:
            faults.append(section.fault(outcome.err_value, name))
    if faults:
        return Err(tuple(faults))
    return Ok(cls(**values))


def in_range(low: float, high: float) -> Check:
    """Return a check that a number lies between two bounds."""

    def check(value: float) -> str:
        if low <= value <= high:
            return ''
        return f'must be between {low:g} and {high:g}'

    return check


def _unknown_options(section: Section, known: Iterable[str]) -> list[Fault]:
    return [
        section.fault('unknown option', name)
        for name in section.options
        if name not in known
    ]


def _value(text: str, kind: Any, check: Check | None) -> Result[Any, str]:
    try:
        value = _converter.structure(text, kind)
    except (ValueError, cattrs.BaseValidationError) as error:
        return Err(f'cannot use {text!r}: {error}')
    message = check(value) if check else ''
    return Err(message) if message else Ok(value)


def _syntax_fault(source: Source, error: configparser.Error) -> Fault:
    section = getattr(error, 'section', '')
    option = getattr(error, 'option', '')
    line = getattr(error, 'lineno', 0)
    if isinstance(error, configparser.DuplicateSectionError):
        message = 'section stands twice'
    elif isinstance(error, configparser.DuplicateOptionError):
        message = 'option stands twice'
    elif isinstance(error, configparser.MissingSectionHeaderError):
        message = 'option before the first section'
    else:
        message = 'cannot be parsed'
        line = error.errors[0][0] if hasattr(error, 'errors') else 0
    return Fault(source.file, line, section, option, message)


def _lines(text: str) -> dict[tuple[str, str], int]:
    lines: dict[tuple[str, str], int] = {}
    section = ''
    for number, line in enumerate(text.splitlines(), start=1):
        if head := _SECTION.match(line):
            section = head['name']
            lines[section, ''] = number
        elif option := _OPTION.match(line):
            lines[section, option['name'].lower()] = number
    return lines


def _section(
    source: Source,
    name: str,
    parser: configparser.RawConfigParser,
    lines: Mapping[tuple[str, str], int],
) -> Section:
    options = {
        option: Option(value, source.file, lines.get((name, option), 0))
        for option, value in parser.items(name)
    }
    return Section(name, source.file, lines.get((name, ''), 0), options)


def _structure_bool(text: str, _kind: Any) -> bool:
    if text.lower() not in _BOOLEANS:
        raise ValueError('must be yes or no')
    return _BOOLEANS[text.lower()]


def _structure_names(text: str, _kind: Any) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(',') if part.strip())


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    converter.register_structure_hook(bool, _structure_bool)
    converter.register_structure_hook_func(
        lambda kind: kind == tuple[str, ...], _structure_names
    )
    return converter


_converter = _make_converter()
