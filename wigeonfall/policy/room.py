"""Room at the targets of a service, and which target suits a request best.

Load patterns: targets are unlike in speed without saying so; a slow one that
is full breaks the pauses between events; some fail part of their requests or
fall silent. Each instance counts what it has outstanding at each target and
what its peers say that they have, learns the speed of each target from its own
answers, and lowers the limit of a target whose pauses come near their goal.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from ..model.target import Target

DEFAULT_SLOTS = 8
SPEED_GAIN = 0.2  # weight of a new observation in an average
FAILURE_GAIN = 0.15  # weight of a new outcome in an average
UNSEEN_COST = 0.9  # targets without an observation are tried early
FULL_COST = 0.6  # a full target takes up to this much longer
FAR_COST = 0.03  # crossing data centres
FAILURE_COST = 4.0
SUSPECT_S = 0.5  # first pause after a broken connection
SUSPECT_MOST_S = 4.0
PACE_HIGH = 0.8  # share of the pause goal at which a limit falls
LIMIT_STEP = 0.5
LIMIT_RISE_S = 0.5
LEAST_LIMIT = 3.0
OVER_LIMIT = 1.0  # limits end at the slots of a target


@attrs.define
class TargetRoom:
    """What one instance knows of the load of one target.

    Attributes:
        target: the target.
        limit: most requests that all instances have outstanding there.
        own: requests of this instance outstanding there.
        peers: requests of other instances outstanding there.
        cost: time for a unit of work against other targets, 0 if unseen.
        failures: share of the latest requests that failed.
        suspect_until_s: no new work before this time.
        suspicions: broken connections in a row.
        lowered_s: time of the last change of the limit.
    """

    target: Target
    limit: float = DEFAULT_SLOTS
    own: int = 0
    peers: int = 0
    cost: float = 0.0
    failures: float = 0.0
    suspect_until_s: float = 0.0
    suspicions: int = 0
    lowered_s: float = 0.0

    @property
    def free(self) -> float:
        """Requests that the target still has room for."""
        return self.limit - self.own - self.peers


@attrs.frozen
class PeerLoad:
    """What one peer says that it has outstanding.

    Attributes:
        outstanding: requests by target.
        waiting: waiting requests by service and rank.
        heard_s: time at which it said so, on the monotonic clock.
    """

    outstanding: Mapping[str, int]
    waiting: Mapping[str, Mapping[int, int]]
    heard_s: float


class Rooms:
    """The room at all targets, as one instance sees it.

    Args:
        data_center: data centre of this instance.
    """

    def __init__(self, data_center: str) -> None:
        self._data_center = data_center
        self._rooms: dict[str, TargetRoom] = {}

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Take the targets that may get work; others are forgotten."""
        present = {target.name: target for target in targets}
        for name in tuple(self._rooms):
            if name not in present and not self._rooms[name].own:
                del self._rooms[name]
        for name, target in present.items():
            known = self._rooms.get(name)
            if known is None or (
                known.target.incarnation != target.incarnation
            ):
                own = known.own if known else 0
                known = TargetRoom(target, _slots(target), own)
                self._rooms[name] = known
            known.target = target

    def set_peers(self, loads: Iterable[PeerLoad]) -> None:
        """Count what peers have outstanding."""
        for room in self._rooms.values():
            room.peers = 0
        for load in loads:
            for name, requests in load.outstanding.items():
                loaded = self._rooms.get(name)
                if loaded is not None:
                    loaded.peers += requests

    def of(self, names: Iterable[str]) -> list[TargetRoom]:
        """Return the rooms of some targets."""
        return [self._rooms[name] for name in names if name in self._rooms]

    def outstanding(self) -> dict[str, int]:
        """Return the requests of this instance by target."""
        return {n: room.own for n, room in self._rooms.items() if room.own}

    def all(self) -> tuple[TargetRoom, ...]:
        """Return the rooms of all targets."""
        return tuple(self._rooms.values())

    def sent(self, name: str) -> None:
        """Count a request that is sent to a target."""
        room = self._rooms.get(name)
        if room is not None:
            room.own += 1

    def ended(self, name: str) -> None:
        """Count the end of a request at a target."""
        room = self._rooms.get(name)
        if room is not None and room.own:
            room.own -= 1

    def observed(self, name: str, cost: float, ok: bool) -> None:
        """Learn from an answer.

        Args:
            name: name of the target.
            cost: seconds that it took for a unit of work.
            ok: whether it was a success.
        """
        room = self._rooms.get(name)
        if room is None:
            return
        room.suspicions = 0
        room.failures += FAILURE_GAIN * ((not ok) - room.failures)
        if ok:
            weight = SPEED_GAIN if room.cost else 1.0
            room.cost += weight * (cost - room.cost)

    def paused(
        self, name: str, pause_s: float, goal_s: float, now_s: float
    ) -> None:
        """Learn from the longest pause between two events of a stream."""
        room = self._rooms.get(name)
        if room is None or goal_s <= 0:
            return
        if now_s - room.lowered_s < LIMIT_RISE_S:
            return
        top = _slots(room.target) * OVER_LIMIT
        if pause_s > PACE_HIGH * goal_s:
            taken = min(room.limit, room.own + room.peers)
            room.limit = max(LEAST_LIMIT, taken - LIMIT_STEP)
            room.lowered_s = now_s
        elif room.limit < top:
            room.limit = min(top, room.limit + LIMIT_STEP)
            room.lowered_s = now_s

    def broken(self, name: str, now_s: float) -> None:
        """Hold a target back whose connections break or are refused."""
        room = self._rooms.get(name)
        if room is None:
            return
        room.failures += FAILURE_GAIN * (1 - room.failures)
        pause_s = min(SUSPECT_MOST_S, SUSPECT_S * 2**room.suspicions)
        room.suspicions += 1
        room.suspect_until_s = now_s + pause_s

    def failed(self, name: str) -> None:
        """Count a failed request at a target that answers."""
        room = self._rooms.get(name)
        if room is not None:
            room.failures += FAILURE_GAIN * (1 - room.failures)

    def choose(
        self, rooms: Iterable[TargetRoom], now_s: float
    ) -> TargetRoom | None:
        """Return the target with room that should answer soonest.

        Args:
            rooms: targets that may get the request.
            now_s: present time on the monotonic clock.

        Returns:
            The best target, or None if none has room.
        """
        with_room = [r for r in rooms if r.free >= 1]
        sound = [r for r in with_room if r.suspect_until_s <= now_s]
        if not sound:
            return None
        known = [r.cost for r in self._rooms.values() if r.cost]
        usual = min(known) if known else 1.0
        return min(sound, key=lambda r: (self._cost(r, usual), r.target.name))

    def _cost(self, room: TargetRoom, usual: float) -> float:
        speed = room.cost or UNSEEN_COST * usual
        load = (room.own + room.peers) / max(1.0, room.limit)
        far = room.target.data_center != self._data_center
        return (
            speed
            * (1 + FULL_COST * load)
            * (1 + FAILURE_COST * room.failures)
            * (1 + FAR_COST * far)
        )


def _slots(target: Target) -> int:
    return target.slots or DEFAULT_SLOTS
