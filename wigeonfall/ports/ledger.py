"""Interface to the instances that own slices of the order ledger."""

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
        maybe_written: whether the change may still have been written, or
            may be written later.
    """

    message: str
    maybe_written: bool = False


Decisions = Result[list[order.Decision], LedgerError]


@attrs.frozen
class LedgerPeers:
    """Calls to the instances that own slices.

    Attributes:
        live: returns the instances that are considered live, including
            this one.
        forward: sends changes of one slice, given its number, to the owner;
            blocks for about a second at most and never raises.
    """

    live: Callable[[], Sequence[instance.Instance]]
    forward: Callable[
        [instance.Instance, int, Sequence[order.Change]], Decisions
    ]
