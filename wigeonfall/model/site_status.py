"""Reports of data centres on the configuration version in force."""

import attrs


@attrs.frozen
class Report:
    """Report of an instance on the version that is in force there.

    Attributes:
        instance: name of the instance.
        version: version in force.
        in_force_ms: time since which it is in force, in milliseconds since
            the epoch.
    """

    instance: str
    version: int
    in_force_ms: int


@attrs.frozen
class SiteStatus:
    """Report of one data centre on one version.

    Attributes:
        data_center: the data centre.
        version: the version.
        in_force: number of live instances where the version is in force.
        missing: names of live instances where it is not in force yet.
        first_ms: time at which it came into force at the first instance, in
            milliseconds since the epoch.
        last_ms: time at which it came into force at the last of these
            instances, in milliseconds since the epoch.
    """

    data_center: str
    version: int
    in_force: int = 0
    missing: tuple[str, ...] = ()
    first_ms: int = 0
    last_ms: int = 0
