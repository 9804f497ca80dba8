"""Topics of state that entry instances exchange with their peers.

The merge of a topic is monotone, so that duplicate, late and reordered
messages do no harm.
"""

from collections.abc import Callable

import attrs


@attrs.frozen
class Topic:
    """A piece of state that instances exchange.

    Attributes:
        name: name of the topic on the wire.
        snapshot: returns the encoded state to send, given the current time
            in seconds since the epoch.
        merge: merges encoded state from a peer, given the sender's name and
            the current time in seconds since the epoch; raises ValueError if
            the state cannot be decoded.
        snapshot_for: returns the encoded state for one peer, given its name
            ('' if not known yet) and the current time; if set, it is used
            instead of snapshot.
    """

    name: str
    snapshot: Callable[[float], bytes]
    merge: Callable[[bytes, str, float], None]
    snapshot_for: Callable[[str, float], bytes] | None = None
