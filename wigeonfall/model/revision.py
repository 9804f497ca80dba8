"""Revisions: accepted versions of the configuration."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class Change:
    """Metadata of a revision: who made it, when and why.

    Attributes:
        version: version that the change created.
        id: unique id, by which a writer recognizes its own change.
        operator: who requested it.
        reason: reason that the operator gave.
        accepted_ms: time of the write, in milliseconds since the epoch.
    """

    version: int
    id: str
    operator: str
    reason: str
    accepted_ms: int


@attrs.frozen
class Texts:
    """The contents of the configuration files.

    Attributes:
        base: text that applies to all data centres.
        overlays: text of the overlay by data centre.
    """

    base: str
    overlays: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Revision:
    """One version of the configuration, as stored and sent to instances.

    Attributes:
        texts: the files.
        change: the change that created this version.
        earlier: the most recent changes before it, newest first.
    """

    texts: Texts
    change: Change
    earlier: tuple[Change, ...] = ()

    @property
    def version(self) -> int:
        """Number that increases with each accepted change."""
        return self.change.version
