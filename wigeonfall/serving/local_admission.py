"""Admission by the free room that this instance sees at the targets."""

from collections.abc import Callable
import threading

import attrs
from result import Err
from result import Ok
from result import Result

from ..model.refusal import Code
from ..model.refusal import not_run
from ..model.refusal import Refusal
from ..model.request import Request
from ..model.target import Target

LiveTargets = Callable[[str, float], tuple[Target, ...]]


@attrs.frozen
class Grant:
    """Leave to send one request to one target.

    Attributes:
        target: the target to send to.
        revoked: set when the work must give way to a higher tier.
        release: gives the room back; called once, when the attempt is over.
        began: tells that the answer has begun, and how many tokens of the
            prompt the target's cache held, if it says so.
        paced: tells the mean time between the tokens of a whole answer.
    """

    target: Target
    revoked: threading.Event
    release: Callable[[], None]
    began: Callable[[int | None], None] = lambda _cached_tokens: None
    paced: Callable[[float], None] = lambda _pace_s: None


class LocalAdmission:
    """Requests in progress by target, as this instance sent them."""

    def __init__(self, live_targets: LiveTargets) -> None:
        self._live_targets = live_targets
        self._running: dict[str, int] = {}
        self._changed = threading.Condition()

    def acquire(
        self, request: Request, excluded: frozenset[str], now_s: float
    ) -> Result[Grant, Refusal]:
        """Wait for room at a target.

        Args:
            request: the request to send.
            excluded: names of targets that must not get it.
            now_s: present time on the monotonic clock.

        Returns:
            A grant, or a refusal when there is no target or no room before
            the request's deadline.
        """
        targets = tuple(
            target
            for target in self._live_targets(request.service.name, now_s)
            if target.name not in excluded
            and request.version in ('', target.version)
        )
        if not targets:
            return Err(not_run(Code.NO_TARGET, 'no target is ready', 1.0))
        wait_s = request.deadline_s - now_s
        with self._changed:
            while not self._room(request, targets):
                if not self._changed.wait(wait_s):
                    message = 'no target had room before the deadline'
                    return Err(not_run(Code.OVERLOADED, message, 1.0))
            return Ok(self._grant(min(targets, key=self._load)))

    def _load(self, target: Target) -> int:
        return self._running.get(target.name, 0)

    def _room(self, request: Request, targets: tuple[Target, ...]) -> bool:
        least = min(self._load(target) for target in targets)
        return least < request.service.outstanding_requests

    def _grant(self, target: Target) -> Grant:
        self._running[target.name] = self._load(target) + 1
        return Grant(target, threading.Event(), lambda: self._release(target))

    def _release(self, target: Target) -> None:
        with self._changed:
            self._running[target.name] -= 1
            self._changed.notify()
