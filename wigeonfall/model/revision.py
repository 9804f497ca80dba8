"""Revisions: the configurations that operators had accepted."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class Change:
    """Who made a revision, when and why.

    Attributes:
        version: version that the change made.
        id: unique id, by which a writer finds its own change again.
        operator: who asked for it.
        reason: why, in the operator's words.
        accepted_ms: when it was written, in milliseconds since the epoch.
    """

    version: int
    id: str
    operator: str
    reason: str
    accepted_ms: int


@attrs.frozen
class Texts:
    """The files of a configuration.

    Attributes:
        base: text that holds for all data centres.
        overlays: text of each data centre that has one.
    """

    base: str
    overlays: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Revision:
    """One version of the configuration, as it is stored and passed on.

    Attributes:
        texts: the files.
        change: the change that made this version.
        earlier: the changes before it, newest first; only the latest few.
    """

    texts: Texts
    change: Change
    earlier: tuple[Change, ...] = ()

    @property
    def version(self) -> int:
        """The number that grows with each accepted change."""
        return self.change.version
