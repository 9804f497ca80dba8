"""What operators do with the configuration, for the command line."""

from collections.abc import Mapping
import enum
import pathlib
import time

import attrs
from result import Err
from result import Ok
from result import Result

from . import configuration_file
from . import ini
from .model.revision import Change
from .model.revision import Revision
from .model.revision import Texts
from .model.site_status import SiteStatus
from .policy import configuration as policy
from .policy.configuration import Difference
from .ports.configuration import ConfigurationStore
from .ports.configuration import StoredRevision
from .ports.platform import PlatformError
from .ports.platform import PlatformErrorKind

APPLY_TRIES = 5
RETRY_PAUSE_S = 0.3


class Failure(enum.Enum):
    """Why an operation was not done."""

    FAULTS = 'faults'
    CONFLICT = 'conflict'
    UNREACHABLE = 'unreachable'
    UNKNOWN = 'unknown'


@attrs.frozen
class OperationError:
    """An operation that was not done, or not surely.

    Attributes:
        failure: why.
        message: one sentence for people.
        faults: faults of the files.
        winner: the change that was accepted in place of ours.
        differences: what that change did.
    """

    failure: Failure
    message: str
    faults: ini.Faults = ()
    winner: Change | None = None
    differences: tuple[Difference, ...] = ()


@attrs.frozen
class Draft:
    """Files that an operator wants to apply, and what they would change.

    Attributes:
        texts: the files.
        stored: what the store holds.
        differences: what would change.
    """

    texts: Texts
    stored: StoredRevision
    differences: tuple[Difference, ...]

    @property
    def base_version(self) -> int:
        """Version that the differences are against."""
        return policy.position(self.stored.revision).version


def read_texts(
    base: pathlib.Path, overlays: Mapping[str, pathlib.Path]
) -> Result[Texts, OperationError]:
    """Read and check the files for all data centres as a whole.

    Args:
        base: file that holds for all data centres.
        overlays: file of each data centre.
    """
    sources = {}
    faults: list[ini.Fault] = []
    for site, path in (('', base), *sorted(overlays.items())):
        loaded = ini.load(path)
        if isinstance(loaded, Ok):
            sources[site] = loaded.ok_value
        else:
            faults.extend(loaded.err_value)
    if not faults:
        faults.extend(_check(sources))
    if faults:
        message = f'{len(faults)} faults in the files'
        return Err(OperationError(Failure.FAULTS, message, tuple(faults)))
    texts = {site: source.text for site, source in sources.items()}
    return Ok(Texts(texts.pop(''), texts))


def _check(sources: Mapping[str, ini.Source]) -> list[ini.Fault]:
    faults: dict[ini.Fault, None] = {}
    base = sources['']
    sites = [site for site in sources if site] or ['']
    for site in sites:
        outcome = configuration_file.parse(
            base, sources[site] if site else None, site, 0
        )
        if isinstance(outcome, Err):
            faults.update(dict.fromkeys(outcome.err_value))
    return list(faults)


def draft(
    store: ConfigurationStore, texts: Texts
) -> Result[Draft, OperationError]:
    """Compare files with what the store holds."""
    found = store.read()
    if isinstance(found, Err):
        return Err(_unreachable(found.err_value))
    stored = found.ok_value
    changed = compare(_texts_of(stored.revision), texts)
    return Ok(Draft(texts, stored, changed))


def compare(before: Texts, after: Texts) -> tuple[Difference, ...]:
    """Return what differs between two sets of files."""
    return policy.differences(_options(before), _options(after))


def _texts_of(revision: Revision | None) -> Texts:
    return revision.texts if revision is not None else Texts('')


def _options(texts: Texts) -> dict[str, policy.Options]:
    found: dict[str, policy.Options] = {}
    for site, text in (('', texts.base), *texts.overlays.items()):
        parsed = ini.parse(ini.Source(site, text))
        if isinstance(parsed, Ok):
            found[site] = {
                name: {key: o.value for key, o in section.options.items()}
                for name, section in parsed.ok_value.items()
            }
    return found


def apply(
    store: ConfigurationStore, wanted: Draft, change: Change
) -> Result[Revision, OperationError]:
    """Write a draft unless another operator was faster.

    A write whose answer was lost is found again by the id of the change.

    Args:
        store: the platform's store.
        wanted: the draft, with what the store held when it was made.
        change: the change; its version is given here.

    Returns:
        The accepted revision.
    """
    statuses = store.statuses()
    if isinstance(statuses, Err):
        return Err(_unreachable(statuses.err_value))
    versions = [status.version for status in statuses.ok_value]
    revision = policy.next_revision(
        wanted.stored.revision, versions, wanted.texts, change
    )
    unknown = False
    last = PlatformError(PlatformErrorKind.UNAVAILABLE, 'not tried')
    for _ in range(APPLY_TRIES):
        written = store.write(revision, wanted.stored)
        if isinstance(written, Ok):
            return Ok(revision)
        last = written.err_value
        unknown = unknown or last.effect_unknown
        found = store.read()
        if isinstance(found, Ok):
            now = found.ok_value
            if policy.includes(now.revision, change.id):
                return Ok(revision)
            if now.object_version != wanted.stored.object_version:
                return Err(_conflict(wanted, now))
            if last.kind is PlatformErrorKind.INVALID:
                break
        time.sleep(RETRY_PAUSE_S)
    if unknown:
        message = f'the change may have been accepted: {last.message}'
        return Err(OperationError(Failure.UNKNOWN, message))
    return Err(_unreachable(last))


def _conflict(wanted: Draft, now: StoredRevision) -> OperationError:
    if now.revision is None:
        return OperationError(
            Failure.CONFLICT, 'the configuration was deleted meanwhile'
        )
    winner = now.revision.change
    before = _texts_of(wanted.stored.revision)
    return OperationError(
        Failure.CONFLICT,
        f'version {winner.version} by {winner.operator} came first',
        winner=winner,
        differences=compare(before, now.revision.texts),
    )


def _unreachable(error: PlatformError) -> OperationError:
    message = f'the platform gave no answer: {error.message}'
    return OperationError(Failure.UNREACHABLE, message)


@attrs.frozen
class Status:
    """The accepted configuration and where it is in force.

    Attributes:
        revision: the accepted revision, or None.
        sites: what the sites reported lately, the newest of each first.
    """

    revision: Revision | None
    sites: tuple[SiteStatus, ...]


def status(store: ConfigurationStore) -> Result[Status, OperationError]:
    """Return the accepted configuration and what the sites report."""
    found = store.read()
    if isinstance(found, Err):
        return Err(_unreachable(found.err_value))
    sites = store.statuses()
    if isinstance(sites, Err):
        return Err(_unreachable(sites.err_value))
    return Ok(Status(found.ok_value.revision, sites.ok_value))
