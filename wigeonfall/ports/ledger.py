"""Other instances that write slices of the ledger, as serving sees them."""

from collections.abc import Callable
from collections.abc import Sequence

import attrs
from result import Result

from ..model import instance
from ..model import order


@attrs.frozen
class LedgerError:
    """A failed change of the ledger.

    Attributes:
        message: detail for logs.
        maybe_written: whether the change may be in the ledger nevertheless,
            now or later.
    """

    message: str
    maybe_written: bool = False


Decisions = Result[list[order.Decision], LedgerError]


@attrs.frozen
class LedgerPeers:
    """Calls to the instances that own slices.

    Attributes:
        live: returns the instances that are thought to live, this one
            included.
        forward: hands changes of one slice, by its number, to its owner;
            blocks for at most a second or so and never raises.
    """

    live: Callable[[], Sequence[instance.Instance]]
    forward: Callable[
        [instance.Instance, int, Sequence[order.Change]], Decisions
    ]
