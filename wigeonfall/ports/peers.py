"""Other entry instances, as serving sees them.

Instances exchange the state of named topics. A topic's state merges by a
monotone rule, so that repeated, late and reordered messages do no harm.
"""

from collections.abc import Callable

import attrs


@attrs.frozen
class Topic:
    """A piece of state that instances exchange.

    Attributes:
        name: name of the topic on the wire.
        snapshot: returns the encoded state to send, given the present time
            in seconds since the epoch.
        merge: takes encoded state from a peer, given the sender's name and
            the present time in seconds since the epoch; raises ValueError on
            state that it cannot read.
        snapshot_for: returns the state for the peer of a name, '' if it is
            not known yet; used in place of snapshot where there is one.
    """

    name: str
    snapshot: Callable[[float], bytes]
    merge: Callable[[bytes, str, float], None]
    snapshot_for: Callable[[str, float], bytes] | None = None
