"""Finds parts of prompts that crash targets, and keeps them from targets.

Load pattern: requests that share a part of their prompts crash each target
that begins to answer them. They arrive at any instance, few at each, and share
their customer and their other parts with sound requests. A part is suspected
when a request with it is lost before its answer proved sound, and cleared as
soon as one is answered. It is quarantined when requests with it were lost at
several targets, and no instance knows of an answer. While all of these also
held other parts of which no answer is known, only requests that hold all of
them are refused, so that sound requests can still clear the others.
A quarantine ends after a while; one request at a time then shows whether the
part still crashes targets, and a further loss begins a longer quarantine.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import itertools

import attrs
import xxhash

from ..backoff import doubled_s

TARGETS_LOST = 3  # with requests that share a part, before it is quarantined
SETTLE_S = 1.0  # for peers to tell that they know of an answer
# A crash ends an answer that has just begun; one that lasted is proof.
PROOF_S = 1.0
ANSWER_MEMORY_S = 60.0  # a part answered within it is not suspected
LOSS_MEMORY_S = 600.0
LOSS_NEWS_S = 60.0  # for which peers are told of a loss
ANSWER_NEWS_S = 2.0  # for which peers that suspect a part are told
QUARANTINE_S = 60.0  # the first one of a part; then doubled
MAX_QUARANTINE_S = 3600.0
FORGET_AFTER_S = 600.0  # from the end of a quarantine
TRIAL_TIMEOUT_S = 10.0  # of a request that shows whether a part is sound
TRIAL_PERIOD_S = 10.0  # in which other instances may try a part
MAX_SUSPECTS = 2048
MAX_TARGETS = 8  # lost with one part; more change nothing
MAX_COMPANIONS = 4
MAX_ANSWERED = 8192
MAX_NEWS_PARTS = 100  # keeps a datagram far below its limit
_HASH_RANGE = 2**64


@attrs.frozen
class Suspect:
    """A part of requests that were lost with their targets.

    Attributes:
        lost_s: when each target was lost. In news, the age of that.
        companions: other parts that all of these requests held.
    """

    lost_s: Mapping[str, float]
    companions: frozenset[str] = frozenset()

    def add(
        self, target: str, at_s: float, parts: frozenset[str]
    ) -> 'Suspect':
        """Return the suspect with a further loss."""
        lost_s = dict(self.lost_s)
        lost_s[target] = min(at_s, lost_s.get(target, at_s))
        if len(lost_s) > MAX_TARGETS:
            del lost_s[min(lost_s, key=lost_s.__getitem__)]
        return Suspect(lost_s, self.companions & parts)

    @property
    def newest_s(self) -> float:
        """When the last target was lost."""
        return max(self.lost_s.values())


@attrs.frozen
class PartNews:
    """What an instance tells its peers of parts; ages are in seconds.

    Attributes:
        lost: the suspected parts, with ages.
        answered: age of the last answer, by part.
        held: number and age of the quarantine, by part.
    """

    lost: Mapping[str, Suspect] = attrs.field(factory=dict)
    answered: Mapping[str, float] = attrs.field(factory=dict)
    held: Mapping[str, tuple[int, float]] = attrs.field(factory=dict)


@attrs.frozen
class Hold:
    """The reason why a request must not be sent.

    Attributes:
        part: the quarantined part of its prompt.
        left_s: time until the part may be tried again.
    """

    part: str
    left_s: float


@attrs.frozen
class Change:
    """The start or the end of a quarantine.

    Attributes:
        part: the part.
        number: how often it was quarantined, 0 if it is released.
        for_s: length of the quarantine.
        targets: targets that were lost with requests that held the part.
        companions: other parts that all of these requests held.
    """

    part: str
    number: int
    for_s: float
    targets: int
    companions: frozenset[str] = frozenset()


@attrs.define
class _Quarantine:
    number: int
    from_s: float
    tried_s: float = float('-inf')

    @property
    def length_s(self) -> float:
        return doubled_s(QUARANTINE_S, self.number - 1, MAX_QUARANTINE_S)

    @property
    def end_s(self) -> float:
        return self.from_s + self.length_s


class Quarantines:
    """The suspected and quarantined parts, as one instance knows them.

    Times are on the monotonic clock.

    Args:
        name: name of this instance.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._lost: dict[str, Suspect] = {}
        self._answered: dict[str, float] = {}
        self._quarantines: dict[str, _Quarantine] = {}
        self._told_until_s: dict[str, float] = {}
        self._changes: list[Change] = []

    def record_lost(
        self, parts: Collection[str], target: str, now_s: float
    ) -> None:
        """Suspect the parts of a request that was lost with its target.

        Args:
            parts: the parts that other requests may share.
            target: the target in its present incarnation.
            now_s: present time.
        """
        known = frozenset(parts)
        first = sorted(known)[: MAX_COMPANIONS + 1]
        for part in known:
            self._add_loss(part, target, now_s, known, first)
        self._update(parts, now_s)

    def record_answered(self, parts: Collection[str], now_s: float) -> None:
        """Clear the parts of a request that was answered."""
        for part in parts:
            if part in self._lost or part in self._quarantines:
                self._told_until_s[part] = now_s + ANSWER_NEWS_S
            self._add_answer(part, now_s)

    def hold(
        self, parts: Collection[str], fleet_size: int, now_s: float
    ) -> Hold | None:
        """Return why a request must not be sent, or None if it may be.

        Args:
            parts: the parts of its prompt.
            fleet_size: number of instances; about one of them may try a part
                after its quarantine.
            now_s: present time.
        """
        if not self._quarantines:
            return None
        for part in parts:
            quarantine = self._quarantines.get(part)
            if quarantine is None or not self._has_companions(part, parts):
                continue
            if now_s < quarantine.end_s:
                return Hold(part, quarantine.end_s - now_s)
            wait_s = self._trial_wait_s(part, quarantine, fleet_size, now_s)
            if wait_s > 0:
                return Hold(part, wait_s)
        return None

    def record_sent(self, parts: Collection[str], now_s: float) -> None:
        """Record that a request is sent, which may try quarantined parts."""
        for part in parts:
            if part in self._quarantines:
                self._quarantines[part].tried_s = now_s

    def held_count(self) -> int:
        """Return the number of parts that are not released."""
        return len(self._quarantines)

    def news(self, now_s: float, min_targets: int = 1) -> PartNews | None:
        """Return what peers should know, or None if there is nothing.

        Args:
            now_s: present time.
            min_targets: least number of targets lost with a suspected part.
        """
        self._update(tuple(self._lost), now_s)
        self._drop_old(now_s)
        held = {
            part: (quarantine.number, now_s - quarantine.from_s)
            for part, quarantine in self._quarantines.items()
            if now_s < quarantine.end_s
        }
        if len(held) > MAX_NEWS_PARTS:
            newest = sorted(held, key=lambda p: held[p][1])
            held = {part: held[part] for part in newest[:MAX_NEWS_PARTS]}
        suspects = [
            (part, suspect)
            for part, suspect in self._lost.items()
            if part in held
            or (
                len(suspect.lost_s) >= min_targets
                and now_s - suspect.newest_s < LOSS_NEWS_S
            )
        ]
        if len(suspects) > MAX_NEWS_PARTS:
            suspects.sort(key=lambda s: (-len(s[1].lost_s), -s[1].newest_s))
            del suspects[MAX_NEWS_PARTS:]
        lost = {
            part: Suspect(
                {t: now_s - at_s for t, at_s in suspect.lost_s.items()},
                suspect.companions,
            )
            for part, suspect in suspects
        }
        answered = {
            part: now_s - self._answered[part]
            for part in itertools.islice(self._told_until_s, MAX_NEWS_PARTS)
            if part in self._answered
        }
        if not (lost or answered or held):
            return None
        return PartNews(lost, answered, held)

    def merge(self, news: PartNews, now_s: float) -> None:
        """Add what a peer knows; late and repeated news does no harm."""
        for part, age_s in news.answered.items():
            if now_s - age_s > self._answered.get(part, float('-inf')):
                if part in self._lost or part in self._quarantines:
                    self._told_until_s[part] = now_s + ANSWER_NEWS_S
                self._add_answer(part, now_s - age_s)
        for part, suspect in news.lost.items():
            for target, age_s in suspect.lost_s.items():
                at_s = now_s - age_s
                others = suspect.companions
                self._add_loss(part, target, at_s, others, sorted(others))
            if part in self._answered and part not in self._lost:
                self._told_until_s[part] = now_s + ANSWER_NEWS_S
        for part, (number, age_s) in news.held.items():
            self._add_quarantine(part, number, now_s - age_s, now_s)
        self._update(news.lost, now_s)

    def take_changes(self) -> list[Change]:
        """Return the starts and ends of quarantines since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _is_sound(self, part: str, at_s: float) -> bool:
        """Return whether a part was answered shortly before or later."""
        answered_s = self._answered.get(part, float('-inf'))
        return answered_s > at_s - ANSWER_MEMORY_S

    def _has_companions(self, part: str, parts: Collection[str]) -> bool:
        """Return whether a request is like those that were lost."""
        suspect = self._lost.get(part)
        return suspect is None or all(
            other in parts or other in self._answered
            for other in suspect.companions
        )

    def _add_loss(
        self,
        part: str,
        target: str,
        at_s: float,
        parts: frozenset[str],
        first: Iterable[str],
    ) -> None:
        """Add a loss to a part; a new suspect begins with the first parts."""
        if self._is_sound(part, at_s):
            return
        suspect = self._lost.pop(part, None)
        if suspect is None:
            others = [other for other in first if other != part]
            suspect = Suspect({}, frozenset(others[:MAX_COMPANIONS]))
        self._lost[part] = suspect.add(target, at_s, parts)
        if len(self._lost) > MAX_SUSPECTS:
            del self._lost[next(iter(self._lost))]

    def _add_answer(self, part: str, at_s: float) -> None:
        self._answered.pop(part, None)
        self._answered[part] = at_s
        if len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]
        self._lost.pop(part, None)
        quarantine = self._quarantines.get(part)
        if quarantine is not None and self._is_sound(part, quarantine.from_s):
            self._release(part)

    def _add_quarantine(
        self, part: str, number: int, from_s: float, now_s: float
    ) -> None:
        if self._is_sound(part, from_s):
            self._told_until_s[part] = now_s + ANSWER_NEWS_S
            return
        known = self._quarantines.get(part)
        if known is not None and known.number > number:
            return
        if known is not None and known.number == number:
            known.from_s = min(known.from_s, from_s)
            return
        quarantine = _Quarantine(number, from_s)
        if quarantine.end_s > now_s:
            self._quarantines[part] = quarantine
            suspect = self._lost.get(part, Suspect({}))
            self._changes.append(
                Change(
                    part,
                    number,
                    quarantine.end_s - now_s,
                    len(suspect.lost_s),
                    suspect.companions,
                )
            )

    def _update(self, parts: Collection[str], now_s: float) -> None:
        """Begin the quarantines for which there is enough evidence."""
        for part in parts:
            suspect = self._lost.get(part)
            if suspect is None:
                continue
            quarantine = self._quarantines.get(part)
            if quarantine is not None:
                if suspect.newest_s > quarantine.end_s:
                    number = quarantine.number + 1
                    self._add_quarantine(part, number, now_s, now_s)
                continue
            if len(suspect.lost_s) < TARGETS_LOST:
                continue
            enough_s = sorted(suspect.lost_s.values())[TARGETS_LOST - 1]
            if now_s - enough_s >= SETTLE_S:
                self._add_quarantine(part, 1, now_s, now_s)

    def _release(self, part: str) -> None:
        quarantine = self._quarantines.pop(part)
        self._changes.append(Change(part, 0, quarantine.length_s, 0))

    def _trial_wait_s(
        self,
        part: str,
        quarantine: _Quarantine,
        fleet_size: int,
        now_s: float,
    ) -> float:
        """Return the time until this instance may try a part, 0 for now."""
        tried_s = now_s - quarantine.tried_s
        if tried_s < TRIAL_TIMEOUT_S:
            return TRIAL_TIMEOUT_S - tried_s
        period, in_period_s = divmod(now_s - quarantine.end_s, TRIAL_PERIOD_S)
        draw = f'{part}\0{quarantine.number}\0{period}\0{self._name}'
        digest = xxhash.xxh64_intdigest(draw.encode())
        if digest * max(1, fleet_size) < _HASH_RANGE:
            return 0.0
        return TRIAL_PERIOD_S - in_period_s

    def _drop_old(self, now_s: float) -> None:
        for part, quarantine in tuple(self._quarantines.items()):
            if now_s - quarantine.end_s > FORGET_AFTER_S:
                self._lost.pop(part, None)
                self._release(part)
        for part, suspect in tuple(self._lost.items()):
            if now_s - suspect.newest_s > LOSS_MEMORY_S:
                del self._lost[part]
        for part, until_s in tuple(self._told_until_s.items()):
            if until_s < now_s:
                del self._told_until_s[part]
        for part, at_s in tuple(itertools.islice(self._answered.items(), 64)):
            if now_s - at_s > ANSWER_MEMORY_S:
                del self._answered[part]
