"""Token limits of customers, held by all instances together.

Load pattern: one customer sends many times its usual. What is beyond its
limit must not take the room of the others, at whichever instance it arrives.
A limit is what may run in any window of a given length: the rate times the
window, and the burst. Each instance counts what it admitted and what its peers
say that they admitted. A peer that falls silent is taken to go on as before.
Where one instance admits for all others, a data centre that none hears is
taken to use its part of each limit.
Instances that have just started do not know what ran before: as far as none
can tell, each customer is taken to have used its rate.
A caller that is refused is told when there will be room. That room is kept for
it around that time, as far as callers lately came back, and it is not promised
to one that would not come back so late.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import heapq

import attrs

from ..model.routing import KeyHolder

WINDOW_S = 8.0  # length of the published window
BIN_S = 0.1  # tokens of this time are counted together
WAIT_LEAST_S = 0.2
KEPT_BEFORE_S = 0.5  # that room is kept before a caller is to come
KEPT_S = 0.5  # that it is kept after that
RETURN_GAIN = 0.05  # weight of one caller in the share that comes back
RETURN_SHARE_FIRST = 1.0  # until some did not come back


@attrs.define
class Taken:
    """Tokens that were admitted within a short time.

    Attributes:
        from_s: the time of the first, on the monotonic clock.
        at_s: the time of the last.
        tokens: the tokens; below zero if they were given back.
    """

    from_s: float
    at_s: float
    tokens: float


@attrs.frozen
class Promise:
    """Tokens that are kept for a caller that was told to come back.

    Attributes:
        from_s: when others get no more of them, on the monotonic clock.
        until_s: when they are kept no more.
        tokens: the tokens.
    """

    from_s: float
    until_s: float
    tokens: float


@attrs.define
class Window:
    """What one instance admitted lately for a customer.

    Attributes:
        used_tokens: tokens in the window.
        taken: when they were admitted.
        all_tokens: all that it ever admitted.
    """

    used_tokens: float = 0.0
    taken: collections.deque[Taken] = attrs.field(factory=collections.deque)
    all_tokens: float = 0.0

    def add(self, tokens: float, now_s: float) -> None:
        """Count tokens that were admitted or given back."""
        self.all_tokens += tokens
        self.used_tokens += tokens
        if self.taken and now_s - self.taken[-1].from_s < BIN_S:
            # The later time keeps them in the window long enough.
            self.taken[-1].at_s = now_s
            self.taken[-1].tokens += tokens
        else:
            self.taken.append(Taken(now_s, now_s, tokens))

    def drop_old(self, now_s: float) -> None:
        """Forget what the window has passed."""
        while self.taken and self.taken[0].at_s <= now_s - WINDOW_S:
            self.used_tokens -= self.taken.popleft().tokens

    def clear(self) -> None:
        """Begin a new window."""
        self.taken.clear()
        self.used_tokens = 0.0


@attrs.define
class Usage:
    """What all instances admitted lately for a customer.

    Attributes:
        limit_tokens: most tokens in a window, as last seen.
        own: what this instance admitted.
        peers: what peers admitted, by their names.
        promises: tokens that refused callers were told to come back for.
        return_share: part of these callers that lately came back.
    """

    limit_tokens: float = 0.0
    own: Window = attrs.field(factory=Window)
    peers: dict[str, Window] = attrs.field(factory=dict)
    promises: list[Promise] = attrs.field(factory=list)
    return_share: float = RETURN_SHARE_FIRST

    def used_tokens(self) -> float:
        """Return the tokens that all instances used."""
        peers = sum(window.used_tokens for window in self.peers.values())
        return self.own.used_tokens + peers

    def promised_tokens(self) -> float:
        """Return the tokens that callers are expected to come back for."""
        return self.return_share * sum(p.tokens for p in self.promises)

    def kept_tokens(self, now_s: float) -> float:
        """Return the tokens that nobody else gets as of now."""
        due = sum(p.tokens for p in self.promises if p.from_s <= now_s)
        return self.return_share * due

    def promise(self, tokens: float, delay_s: float, now_s: float) -> None:
        """Keep tokens for a caller that comes back after a delay."""
        due_s = now_s + delay_s
        self.promises.append(
            Promise(due_s - KEPT_BEFORE_S, due_s + KEPT_S, tokens)
        )

    def came_back(self) -> None:
        """Drop the promise that was due first; a caller came for it."""
        self.return_share += RETURN_GAIN * (1.0 - self.return_share)
        if self.promises:
            self.promises.remove(min(self.promises, key=lambda p: p.from_s))

    def set_limit(self, limit_tokens: float) -> None:
        """Take the present limit."""
        if limit_tokens < self.limit_tokens:
            # What ran under the limit before does not count against this.
            for window in (self.own, *self.peers.values()):
                window.clear()
        self.limit_tokens = limit_tokens

    def drop_old(self, heard: Collection[str], now_s: float) -> None:
        """Forget what the window has passed, but for silent peers."""
        self.own.drop_old(now_s)
        for name, window in self.peers.items():
            if name in heard:
                window.drop_old(now_s)
        kept = [p for p in self.promises if p.until_s > now_s]
        for _ in range(len(self.promises) - len(kept)):
            self.return_share -= RETURN_GAIN * self.return_share
        self.promises = kept

    def room_s(self, missing_tokens: float, now_s: float) -> float:
        """Return the time until that many tokens leave the window."""
        windows = (self.own, *self.peers.values())
        merged = heapq.merge(
            *(window.taken for window in windows), key=lambda t: t.at_s
        )
        for taken in merged:
            missing_tokens -= taken.tokens
            if missing_tokens <= 0:
                left_s = taken.at_s + WINDOW_S - now_s
                return max(WAIT_LEAST_S, left_s)
        return WINDOW_S


@attrs.frozen
class PeerUsage:
    """What an instance says that it admitted, by customer.

    Attributes:
        incarnation: number that tells its starts apart.
        taken: all tokens since it started.
        used: tokens in its last window.
    """

    incarnation: int
    taken: Mapping[str, float]
    used: Mapping[str, float]


@attrs.frozen
class PeerVisibility:
    """What an instance hears of its peers.

    Attributes:
        names: names of the peers that are heard.
        young_share: part of the instances, this included, that started
            within the last window.
        limit_share: part of a limit that this side of a cut may use.
    """

    names: Collection[str] = frozenset()
    young_share: float = 0.0
    limit_share: float = 1.0


@attrs.frozen
class Charge:
    """Tokens that a request takes from its customer's limit.

    Attributes:
        customer: name of the customer.
        tokens: the tokens.
        is_retry: whether its caller was refused before.
        most_wait_s: longest delay after which its caller comes back.
    """

    customer: str
    tokens: float
    is_retry: bool
    most_wait_s: float = WINDOW_S


@attrs.frozen
class OverLimit:
    """Why a customer gets no tokens now.

    Attributes:
        delay_s: time until there is room.
        used_tokens: tokens in the window.
        limit_tokens: most tokens in a window.
    """

    delay_s: float
    used_tokens: float
    limit_tokens: float


class TokenQuotas:
    """The usage of all customers, as one instance sees it.

    Args:
        started_s: when the process started, on the monotonic clock.
    """

    def __init__(self, started_s: float = float('-inf')) -> None:
        self._started_s = started_s
        self._usages: dict[str, Usage] = {}
        self._incarnations: dict[str, int] = {}

    def take(
        self,
        customer: KeyHolder,
        charge: Charge,
        visibility: PeerVisibility,
        now_s: float,
    ) -> OverLimit | None:
        """Take tokens for a request.

        Args:
            customer: the customer with its present limit.
            charge: what the request takes.
            visibility: which peers are heard.
            now_s: present time on the monotonic clock.

        Returns:
            None if they were taken, else when there is room.
        """
        if customer.tokens_per_s <= 0:
            return None
        tokens, is_retry = charge.tokens, charge.is_retry
        usage = self._usages.setdefault(customer.name, Usage())
        limit = customer.tokens_per_s * WINDOW_S + customer.burst_tokens
        usage.set_limit(limit)
        limit *= visibility.limit_share
        usage.drop_old(visibility.names, now_s)
        unseen_s = max(0.0, self._started_s + WINDOW_S - now_s)
        unseen = customer.tokens_per_s * unseen_s * visibility.young_share
        used = usage.used_tokens() + unseen
        missing = used + tokens - limit
        if is_retry:
            usage.came_back()
        else:
            missing += usage.kept_tokens(now_s)
        # One that is larger than the whole limit waits for an empty window.
        oversized = tokens > limit and used <= 0
        if missing > 0 and not oversized:
            pace = customer.tokens_per_s * visibility.young_share
            # Those who were told earlier come first.
            missing = used + tokens + usage.promised_tokens() - limit
            delay_s = usage.room_s(missing, now_s)
            if unseen:
                delay_s = min(delay_s, max(WAIT_LEAST_S, missing / pace))
            if not is_retry and delay_s <= charge.most_wait_s:
                usage.promise(tokens, delay_s, now_s)
            return OverLimit(delay_s, used, limit)
        usage.own.add(tokens, now_s)
        return None

    def refund(self, customer: str, tokens: float, now_s: float) -> None:
        """Return the tokens of a request that did not run."""
        usage = self._usages.get(customer)
        if usage is not None:
            usage.own.add(-tokens, now_s)

    def taken(self) -> dict[str, float]:
        """Return what this instance admitted so far, by customer."""
        return {
            name: round(usage.own.all_tokens)
            for name, usage in self._usages.items()
            if usage.own.all_tokens
        }

    def used(self, now_s: float) -> dict[str, float]:
        """Return what this instance admitted lately, by customer."""
        used: dict[str, float] = {}
        for name, usage in self._usages.items():
            usage.own.drop_old(now_s)
            if usage.own.used_tokens:
                used[name] = round(usage.own.used_tokens)
        return used

    def set_peer_usage(self, peer: str, said: PeerUsage, now_s: float) -> None:
        """Count what a peer admitted since it was last heard.

        Args:
            peer: name of the peer.
            said: what it says.
            now_s: present time on the monotonic clock.
        """
        first = self._incarnations.get(peer) != said.incarnation
        self._incarnations[peer] = said.incarnation
        for name, total in said.taken.items():
            usage = self._usages.setdefault(name, Usage())
            window = usage.peers.setdefault(peer, Window())
            new = (
                said.used.get(name, 0.0)
                if first
                else (total - window.all_tokens)
            )
            if new:
                window.add(new, now_s)
            window.all_tokens = total

    def keep_peers(self, known: Iterable[str]) -> None:
        """Forget the peers that are known no more."""
        names = frozenset(known)
        for usage in self._usages.values():
            for name in tuple(usage.peers):
                if name not in names:
                    del usage.peers[name]
