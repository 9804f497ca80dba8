"""What data centres report on the configuration that they run with."""

import attrs


@attrs.frozen
class Report:
    """That an instance runs with a version.

    Attributes:
        instance: name of the instance.
        version: version that is in force there.
        in_force_ms: since when, in milliseconds since the epoch.
    """

    instance: str
    version: int
    in_force_ms: int


@attrs.frozen
class SiteStatus:
    """What one data centre reports on one version.

    Attributes:
        data_center: the data centre.
        version: version that it reports on.
        in_force: number of live instances that run with it.
        missing: live instances that do not run with it yet.
        first_ms: when the first instance ran with it, in milliseconds since
            the epoch.
        last_ms: when the last of these instances ran with it.
    """

    data_center: str
    version: int
    in_force: int = 0
    missing: tuple[str, ...] = ()
    first_ms: int = 0
    last_ms: int = 0
