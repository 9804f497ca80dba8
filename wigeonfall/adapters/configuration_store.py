"""Revisions and site statuses as objects of the platform."""

import base64
import json
from typing import Any
import zlib

import attrs
import cattrs
from result import Err
from result import Ok
from result import Result

from ..model.revision import Change
from ..model.revision import Revision
from ..model.revision import Texts
from ..model.site_status import SiteStatus
from ..policy import configuration as policy
from ..ports.configuration import ConfigurationStore
from ..ports.configuration import StoredRevision
from ..ports.platform import Platform
from ..ports.platform import PlatformError
from ..ports.platform import PlatformErrorKind
from ..ports.platform import StoredObject

REVISIONS_KIND = 'configurations'
STATUSES_KIND = 'statuses'
NAME = 'fleet'
STATUS_PREFIX = 'configuration-'
KEPT_STATUSES = 64
REPORT_TRIES = 3


def make_store(platform: Platform) -> ConfigurationStore:
    """Return the store of revisions at a platform."""
    return ConfigurationStore(
        read=lambda: _read(platform),
        write=lambda revision, stored: _write(platform, revision, stored),
        watch=lambda since, wait_s: _watch(platform, since, wait_s),
        statuses=lambda: _statuses(platform),
        report=lambda status: _report(platform, status),
    )


def encode(revision: Revision) -> dict[str, Any]:
    """Return a revision as the value of an object."""
    texts = json.dumps(cattrs.unstructure(revision.texts))
    packed = base64.b64encode(zlib.compress(texts.encode()))
    return {
        'change': cattrs.unstructure(revision.change),
        'earlier': cattrs.unstructure(revision.earlier),
        'texts': packed.decode(),
    }


def decode(value: dict[str, Any]) -> Revision:
    """Return the revision in the value of an object.

    Raises:
        ValueError: the value holds no revision.
    """
    try:
        texts = json.loads(zlib.decompress(base64.b64decode(value['texts'])))
        return Revision(
            cattrs.structure(texts, Texts),
            cattrs.structure(value['change'], Change),
            cattrs.structure(value['earlier'], tuple[Change, ...]),
        )
    except (KeyError, zlib.error, cattrs.BaseValidationError) as error:
        raise ValueError(f'not a revision: {error!r}') from error


def _read(platform: Platform) -> Result[StoredRevision, PlatformError]:
    found = platform.get(REVISIONS_KIND, NAME)
    if isinstance(found, Ok):
        return _stored(found.ok_value)
    if found.err_value.kind is PlatformErrorKind.NOT_FOUND:
        return Ok(StoredRevision(None, 0))
    return found


def _stored(found: StoredObject) -> Result[StoredRevision, PlatformError]:
    try:
        return Ok(StoredRevision(decode(found.value), found.version))
    except ValueError as error:
        return Err(PlatformError(PlatformErrorKind.INVALID, str(error)))


def _write(
    platform: Platform, revision: Revision, stored: StoredRevision
) -> Result[StoredRevision, PlatformError]:
    value = encode(revision)
    if stored.object_version == 0:
        written = platform.create(REVISIONS_KIND, NAME, value)
    else:
        version = stored.object_version
        written = platform.update(
            StoredObject(REVISIONS_KIND, NAME, version, value)
        )
    return written.map(lambda found: StoredRevision(revision, found.version))


def _watch(
    platform: Platform, since: int, wait_s: float
) -> Result[StoredRevision | None, PlatformError]:
    came = platform.watch(REVISIONS_KIND, since, wait_s)
    if isinstance(came, Err):
        return came
    found = next((one for one in came.ok_value if one.name == NAME), None)
    if found is None:
        return Ok(None)
    stored = _stored(found)
    if isinstance(stored, Err):
        return stored
    return Ok(stored.ok_value)


def _statuses(
    platform: Platform,
) -> Result[tuple[SiteStatus, ...], PlatformError]:
    listed = platform.list(STATUSES_KIND)
    if isinstance(listed, Err):
        return listed
    found = [
        one for one in listed.ok_value if one.name.startswith(STATUS_PREFIX)
    ]
    try:
        return Ok(tuple(s for one in found for s in _history(one)))
    except cattrs.BaseValidationError as error:
        return Err(PlatformError(PlatformErrorKind.INVALID, repr(error)))


def _history(found: StoredObject) -> tuple[SiteStatus, ...]:
    return cattrs.structure(
        found.value.get('statuses', ()), tuple[SiteStatus, ...]
    )


def _report(
    platform: Platform, status: SiteStatus
) -> Result[None, PlatformError]:
    name = STATUS_PREFIX + status.data_center
    outcome: Result[None, PlatformError] = Ok(None)
    for _ in range(REPORT_TRIES):
        outcome = _report_once(platform, name, status)
        if isinstance(outcome, Ok):
            break
        if outcome.err_value.kind is not PlatformErrorKind.CONFLICT:
            break
    return outcome


def _report_once(
    platform: Platform, name: str, status: SiteStatus
) -> Result[None, PlatformError]:
    found = platform.get(STATUSES_KIND, name)
    if isinstance(found, Err):
        if found.err_value.kind is not PlatformErrorKind.NOT_FOUND:
            return found
        value = _status_value((status,))
        return platform.create(STATUSES_KIND, name, value).map(_nothing)
    stored = found.ok_value
    history = _history(stored)
    if not policy.adds_to_history(history, status):
        return Ok(None)
    value = _status_value(_with_status(history, status))
    changed = attrs.evolve(stored, value=value)
    return platform.update(changed).map(_nothing)


def _with_status(
    history: tuple[SiteStatus, ...], status: SiteStatus
) -> tuple[SiteStatus, ...]:
    # A status of the same version replaces the one that missed instances.
    others = [one for one in history if one.version != status.version]
    newest_first = sorted(
        (status, *others), key=lambda one: one.version, reverse=True
    )
    return tuple(newest_first[:KEPT_STATUSES])


def _status_value(history: tuple[SiteStatus, ...]) -> dict[str, Any]:
    return {'statuses': cattrs.unstructure(history)}


def _nothing(_found: object) -> None:
    return None
