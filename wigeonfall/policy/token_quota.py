"""Token limits of customers, held by all instances together.

Load pattern: one customer sends many times its usual. What is beyond its
limit must not take the room of the others, at whichever instance it arrives.
A limit is what may run in any window of a given length: the rate times the
window, and the burst. Each instance counts what it admitted and what its peers
say that they admitted. The part of the limit that belongs to peers which are
not heard is left to them. A caller that is refused is told when there will be
room, and that room is kept for it.
"""

import collections

import attrs

from ..model.routing import KeyHolder

WINDOW_S = 8.0  # length of the published window
WAIT_LEAST_S = 0.2
KEPT_S = 1.5  # that room is kept for a caller that was told when to come


@attrs.frozen
class Taken:
    """Tokens that were admitted at one time.

    Attributes:
        at_s: the time, on the monotonic clock.
        tokens: the tokens; below zero if they were given back.
    """

    at_s: float
    tokens: float


@attrs.define
class Window:
    """What a customer used lately.

    Attributes:
        limit_tokens: most tokens in a window, as last seen.
        used_tokens: tokens in the window.
        taken: when they were admitted.
        own_tokens: all that this instance ever admitted.
        promised: tokens that refused callers were told to come back for, by
            the time until which they are kept.
    """

    limit_tokens: float
    used_tokens: float = 0.0
    taken: collections.deque[Taken] = attrs.field(factory=collections.deque)
    own_tokens: float = 0.0
    promised: collections.deque[Taken] = attrs.field(factory=collections.deque)

    def add(self, tokens: float, now_s: float) -> None:
        """Count tokens that were admitted or given back."""
        self.taken.append(Taken(now_s, tokens))
        self.used_tokens += tokens

    def drop_old(self, now_s: float) -> None:
        """Forget what the window has passed."""
        while self.taken and self.taken[0].at_s <= now_s - WINDOW_S:
            self.used_tokens -= self.taken.popleft().tokens
        while self.promised and self.promised[0].at_s <= now_s:
            self.promised.popleft()

    def promised_tokens(self) -> float:
        """Return the tokens that are kept for callers."""
        return sum(promise.tokens for promise in self.promised)

    def room_s(self, missing_tokens: float, now_s: float) -> float:
        """Return the time until that many tokens leave the window."""
        for taken in self.taken:
            missing_tokens -= taken.tokens
            if missing_tokens <= 0:
                left_s = taken.at_s + WINDOW_S - now_s
                return max(WAIT_LEAST_S, left_s)
        return WINDOW_S


class TokenQuotas:
    """The windows of all customers, as one instance sees them."""

    def __init__(self) -> None:
        self._windows: dict[str, Window] = {}
        self._heard: dict[tuple[str, int], dict[str, float]] = {}

    def take(
        self,
        customer: KeyHolder,
        tokens: float,
        returned: bool,
        heard_share: float,
        now_s: float,
    ) -> float | None:
        """Take tokens for a request.

        Args:
            customer: the customer with its present limit.
            tokens: tokens of the request.
            returned: whether its caller was refused before.
            heard_share: part of the instances that are heard, this included.
            now_s: present time on the monotonic clock.

        Returns:
            None if they were taken, else the seconds until there is room.
        """
        if customer.tokens_per_s <= 0:
            return None
        window = self._window(customer, now_s)
        most = window.limit_tokens * heard_share
        missing = window.used_tokens + tokens - most
        if not returned:
            missing += window.promised_tokens()
        # One that is larger than the whole limit waits for an empty window.
        oversized = tokens > most and window.used_tokens <= 0
        if missing > 0 and not oversized:
            room_s = window.room_s(missing, now_s)
            if not returned:
                kept = Taken(now_s + room_s + KEPT_S, tokens)
                window.promised.append(kept)
            return room_s
        if returned and window.promised:
            window.promised.popleft()
        window.add(tokens, now_s)
        window.own_tokens += tokens
        return None

    def give_back(self, customer: str, tokens: float, now_s: float) -> None:
        """Return the tokens of a request that did not run."""
        window = self._windows.get(customer)
        if window is not None:
            window.add(-tokens, now_s)
            window.own_tokens -= tokens

    def taken(self) -> dict[str, float]:
        """Return what this instance admitted so far, by customer."""
        return {
            name: round(window.own_tokens)
            for name, window in self._windows.items()
            if window.own_tokens
        }

    def hear(
        self,
        peer: str,
        incarnation: int,
        taken: dict[str, float],
        now_s: float,
    ) -> None:
        """Count what a peer admitted since it was last heard."""
        before = self._heard.get((peer, incarnation))
        if before is None:
            self._heard = {
                key: value
                for key, value in self._heard.items()
                if key[0] != peer
            }
            before = {}
        for name, total in taken.items():
            new = total - before.get(name, 0.0)
            if new:
                window = self._windows.setdefault(name, Window(0.0))
                window.add(new, now_s)
        self._heard[peer, incarnation] = taken

    def _window(self, customer: KeyHolder, now_s: float) -> Window:
        limit = customer.tokens_per_s * WINDOW_S + customer.burst_tokens
        window = self._windows.setdefault(customer.name, Window(limit))
        if limit < window.limit_tokens:
            # What ran under the limit before does not count against this.
            window.taken.clear()
            window.used_tokens = 0.0
        window.limit_tokens = limit
        window.drop_old(now_s)
        return window
