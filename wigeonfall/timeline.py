"""The time line: events of many instances in causal order."""

from collections.abc import Iterable
from collections.abc import Iterator
import datetime
import heapq
import json
import pathlib
import sys

import attrs
import urllib3

from . import errors
from . import recorder
from .recorder import Entry

_TIMEOUT_S = 5.0


@attrs.frozen
class TlsFiles:
    """PEM files for operators' ports that have TLS.

    Attributes:
        authority_file: authority of the instances' certificates; without
            one the ports are read in plain text.
        certificate_file: certificate to show, or '' if they ask for none.
        key_file: private key of that certificate, or ''.
    """

    authority_file: str = ''
    certificate_file: str = ''
    key_file: str = ''


class TimelineError(errors.WigeonfallError):
    """Events of an instance or a file cannot be read."""


def read_file(path: pathlib.Path) -> tuple[Entry, ...]:
    """Return the events in a file of log lines.

    Lines that are no events are passed over, since other programs may write
    to the same stream.

    Raises:
        TimelineError: the file cannot be read.
    """
    try:
        with path.open(encoding='utf-8') as lines:
            return tuple(_entries(lines))
    except (OSError, UnicodeDecodeError) as error:
        raise TimelineError(f'{path}: {error}') from error


def read_log(path: pathlib.Path) -> tuple[Entry, ...]:
    """Return the events in a file, or of standard input for "-".

    Raises:
        TimelineError: the file cannot be read.
    """
    if str(path) == '-':
        return tuple(_entries(sys.stdin))
    return read_file(path)


def read_instance(
    address: str, operators_key: str, tls_files: TlsFiles
) -> tuple[Entry, ...]:
    """Return the events that an instance holds in memory.

    Args:
        address: "host:port" of its operators' port.
        operators_key: key for the port, or ''.
        tls_files: what TLS needs.

    Raises:
        TimelineError: the instance gives no events.
    """
    headers = {}
    if operators_key:
        headers['Authorization'] = f'Bearer {operators_key}'
    try:
        with _make_pool(tls_files) as pool:
            response = pool.request(
                'GET', _events_url(address, tls_files), headers=headers
            )
        if response.status != 200:
            raise TimelineError(f'{address}: status {response.status}')
        return tuple(recorder.from_json(item) for item in response.json())
    except (urllib3.exceptions.HTTPError, ValueError, KeyError) as error:
        raise TimelineError(f'{address}: {error}') from error


def _make_pool(tls_files: TlsFiles) -> urllib3.PoolManager:
    return urllib3.PoolManager(
        timeout=_TIMEOUT_S,
        retries=False,
        ca_certs=tls_files.authority_file or None,
        cert_file=tls_files.certificate_file or None,
        key_file=tls_files.key_file or None,
    )


def _events_url(address: str, tls_files: TlsFiles) -> str:
    scheme = 'https' if tls_files.authority_file else 'http'
    return f'{scheme}://{address}/events'


def merge(sources: Iterable[Iterable[Entry]]) -> Iterator[Entry]:
    """Return the events of all sources in causal order, each once."""
    ordered = [sorted(source, key=_order) for source in sources]
    previous = None
    for entry in heapq.merge(*ordered, key=_order):
        if entry != previous:
            yield entry
        previous = entry


def describe(entry: Entry) -> str:
    """Return one line of text for an event."""
    moment = datetime.datetime.fromtimestamp(
        entry.stamp.time_ms / 1000, datetime.UTC
    )
    fields = ' '.join(f'{key}={value}' for key, value in entry.fields.items())
    time_text = moment.strftime('%H:%M:%S.%f')[:-3]
    return (
        f'{time_text}+{entry.stamp.counter} {entry.instance} '
        f'{entry.number} {entry.message} {fields}'.rstrip()
    )


def _order(entry: Entry) -> tuple[int, int, str]:
    return entry.stamp.time_ms, entry.stamp.counter, entry.instance


def _entries(lines: Iterable[str]) -> Iterator[Entry]:
    for line in lines:
        try:
            # What collects logs may put words before each line.
            yield recorder.from_json(json.loads(line[line.find('{') :]))
        except (ValueError, KeyError, TypeError):
            continue
