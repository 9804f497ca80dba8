"""Keeps requests with quarantined prompt parts from targets."""

from collections.abc import Callable
import time

import attrs
import xxhash

from ..events import Event
from ..model.target import Target
from ..policy.targets.quarantine import Hold
from ..policy.targets.quarantine import PartNews
from ..policy.targets.quarantine import PROOF_S
from ..policy.targets.quarantine import Quarantines
from ..recorder import Record
from .routed_request import RoutedRequest

MAX_PART_CHARS = 64  # of an identifier; longer ones are hashed


@attrs.frozen
class PartWatch:
    """Applies the quarantines of prompt parts to requests.

    Attributes:
        quarantines: the suspected and quarantined parts.
        fleet_size: returns the number of instances.
        record: records events.
    """

    quarantines: Quarantines
    fleet_size: Callable[[float], int]
    record: Record

    def hold(self, request: RoutedRequest) -> Hold | None:
        """Return why a request must not be sent, or None if it may be."""
        now_s = time.monotonic()
        return self.quarantines.hold(
            _keys(request), self.fleet_size(now_s), now_s
        )

    def record_sent(self, request: RoutedRequest) -> None:
        """Record that a request is sent to a target."""
        self.quarantines.record_sent(_keys(request), time.monotonic())

    def record_lost(
        self, request: RoutedRequest, target: Target, lasted_s: float
    ) -> None:
        """Record a request whose connection to its target ended.

        Args:
            request: the request.
            target: the target.
            lasted_s: time since its answer began, 0 if it had not.
        """
        if request.prompt_parts and lasted_s < PROOF_S:
            incarnation = f'{target.name}\0{target.incarnation}'
            self.quarantines.record_lost(
                _keys(request),
                xxhash.xxh32_hexdigest(incarnation.encode()),
                time.monotonic(),
            )
            self._record_changes()

    def record_answered(self, request: RoutedRequest) -> None:
        """Record a request whose answer shows that its prompt is sound."""
        if request.prompt_parts:
            self.quarantines.record_answered(_keys(request), time.monotonic())
            self._record_changes()

    def news(self, now_s: float, min_targets: int) -> PartNews | None:
        """Return what peers should know, None if there is nothing.

        Args:
            now_s: present time on the monotonic clock.
            min_targets: least number of targets lost with a suspected part.
        """
        news = self.quarantines.news(now_s, min_targets)
        self._record_changes()
        return news

    def merge(self, news: PartNews, now_s: float) -> None:
        """Apply what a peer knows."""
        self.quarantines.merge(news, now_s)
        self._record_changes()

    def _record_changes(self) -> None:
        held = self.quarantines.held_count()
        for change in self.quarantines.take_changes():
            if change.number:
                self.record(
                    Event.PART_QUARANTINED,
                    part=change.part,
                    number=change.number,
                    for_s=round(change.for_s, 1),
                    targets=change.targets,
                    companions=sorted(change.companions),
                    held=held,
                )
            else:
                self.record(Event.PART_RELEASED, part=change.part, held=held)


def _keys(request: RoutedRequest) -> list[str]:
    """Return the parts of its prompt, distinguished by service."""
    return [
        f'{request.service}/{_shortened(part)}'
        for part in request.prompt_parts
    ]


def _shortened(part: str) -> str:
    if len(part) <= MAX_PART_CHARS:
        return part
    return xxhash.xxh3_128_hexdigest(part.encode())
