"""Tokens that a customer used lately, and those reserved for its callers."""

import collections
from collections.abc import Collection
from collections.abc import Iterable
import heapq

import attrs

BIN_S = 0.1  # tokens within this time share an entry of the window
MIN_DELAY_S = 0.2
RESERVED_BEFORE_S = 0.5  # a reservation starts this long before the retry
RESERVED_AFTER_S = 0.5  # and ends this long after it
MAX_WAIT_S = 3.5  # from the charge of a request to its refund
RETRY_GAIN = 0.05  # weight of one caller in the share that retries
INITIAL_RETRY_SHARE = 1.0  # until some callers did not retry


@attrs.define
class WindowEntry:
    """Tokens admitted within BIN_S.

    Attributes:
        from_s: time of the first admission, on the monotonic clock.
        at_s: time of the last admission.
        tokens: sum of the tokens that were not refunded.
    """

    from_s: float
    at_s: float
    tokens: float


@attrs.frozen
class Reservation:
    """Tokens reserved for a caller that was told when to retry.

    Attributes:
        from_s: start of the reservation, on the monotonic clock.
        until_s: end of the reservation.
        tokens: number of tokens.
    """

    from_s: float
    until_s: float
    tokens: float


@attrs.define
class UsageWindow:
    """Tokens that one instance admitted lately for a customer.

    Attributes:
        used_tokens: tokens in the window, admitted under the present limit.
        entries: admitted tokens, oldest first.
        earlier: those admitted under a higher limit, oldest first.
        total_tokens: tokens admitted since the instance started.
    """

    used_tokens: float = 0.0
    entries: collections.deque[WindowEntry] = attrs.field(
        factory=collections.deque
    )
    earlier: collections.deque[WindowEntry] = attrs.field(
        factory=collections.deque
    )
    total_tokens: float = 0.0

    def add(self, tokens: float, now_s: float) -> None:
        """Count admitted tokens, or refunded ones if negative."""
        self.total_tokens += tokens
        if tokens < 0:
            self._refund(-tokens, now_s - MAX_WAIT_S)
            return
        self.used_tokens += tokens
        if self.entries and now_s - self.entries[-1].from_s < BIN_S:
            # The entry must not leave the window before its last tokens.
            self.entries[-1].at_s = now_s
            self.entries[-1].tokens += tokens
        else:
            self.entries.append(WindowEntry(now_s, now_s, tokens))

    def _refund(self, tokens: float, since_s: float) -> None:
        """Take refunded tokens from the entries that may have them.

        When they were charged is not known, so that the oldest of these lose
        them: no entry then leaves the window before tokens that were used.
        """
        tokens -= _take(self.earlier, tokens, since_s)
        taken = _take(self.entries, tokens, since_s)
        self.used_tokens -= taken

    def earlier_tokens(self) -> float:
        """Return the tokens in the window from under a higher limit."""
        return sum(entry.tokens for entry in self.earlier)

    def drop_old(self, window_s: float, now_s: float) -> None:
        """Drop the entries that are older than the window."""
        while self.earlier and self.earlier[0].at_s <= now_s - window_s:
            self.earlier.popleft()
        while self.entries and self.entries[0].at_s <= now_s - window_s:
            self.used_tokens -= self.entries.popleft().tokens

    def begin_lower_limit(self) -> None:
        """Count what was admitted so far as under a higher limit."""
        self.earlier.extend(self.entries)
        self.entries.clear()
        self.used_tokens = 0.0


@attrs.define
class CustomerUsage:
    """Tokens that all instances admitted lately for a customer.

    Attributes:
        limit_tokens: most tokens in a window, as last configured.
        earlier_limit_tokens: that before it was lowered, while tokens admitted
            under it are in the window.
        own: tokens admitted by this instance.
        peers: tokens admitted by peers, by their names.
        reservations: tokens reserved for refused callers.
        retry_share: share of these callers that lately did retry.
    """

    limit_tokens: float = 0.0
    earlier_limit_tokens: float = 0.0
    own: UsageWindow = attrs.field(factory=UsageWindow)
    peers: dict[str, UsageWindow] = attrs.field(factory=dict)
    reservations: list[Reservation] = attrs.field(factory=list)
    retry_share: float = INITIAL_RETRY_SHARE

    def used_tokens(self) -> float:
        """Return the tokens in the windows of all instances."""
        peers = sum(window.used_tokens for window in self.peers.values())
        return self.own.used_tokens + peers

    def earlier_tokens(self) -> float:
        """Return the tokens in all windows from under a higher limit."""
        windows = (self.own, *self.peers.values())
        return sum(window.earlier_tokens() for window in windows)

    def expected_tokens(self) -> float:
        """Return the reserved tokens that are expected to be used."""
        return self.retry_share * sum(r.tokens for r in self.reservations)

    def reserved_tokens(self, now_s: float) -> float:
        """Return the reserved tokens that others may not use now."""
        due = sum(p.tokens for p in self.reservations if p.from_s <= now_s)
        return self.retry_share * due

    def reserve(self, tokens: float, delay_s: float, now_s: float) -> None:
        """Reserve tokens for a caller that retries after a delay."""
        due_s = now_s + delay_s
        self.reservations.append(
            Reservation(
                due_s - RESERVED_BEFORE_S, due_s + RESERVED_AFTER_S, tokens
            )
        )

    def retried(self) -> None:
        """Drop the earliest reservation, as a caller retried."""
        self.retry_share += RETRY_GAIN * (1.0 - self.retry_share)
        if self.reservations:
            self.reservations.remove(
                min(self.reservations, key=lambda p: p.from_s)
            )

    def set_limit(self, limit_tokens: float) -> None:
        """Set the limit; a lower one starts with empty windows.

        What was admitted before counts against the earlier limit only, which
        bounds the windows that both are used in.
        """
        if limit_tokens < self.limit_tokens:
            if not self.earlier_tokens():
                self.earlier_limit_tokens = 0.0
            self.earlier_limit_tokens = max(
                self.limit_tokens, self.earlier_limit_tokens
            )
            for window in (self.own, *self.peers.values()):
                window.begin_lower_limit()
        self.limit_tokens = limit_tokens

    def drop_old(
        self, heard: Collection[str], window_s: float, now_s: float
    ) -> None:
        """Drop old entries, except those of peers that are not heard."""
        self.own.drop_old(window_s, now_s)
        for name, window in self.peers.items():
            if name in heard:
                window.drop_old(window_s, now_s)
        kept = [p for p in self.reservations if p.until_s > now_s]
        for _ in range(len(self.reservations) - len(kept)):
            self.retry_share -= RETRY_GAIN * self.retry_share
        self.reservations = kept

    def wait_s(
        self, missing_tokens: float, window_s: float, now_s: float
    ) -> float:
        """Return the time until that many tokens leave the windows."""
        windows = (self.own, *self.peers.values())
        merged = heapq.merge(
            *(window.earlier for window in windows),
            *(window.entries for window in windows),
            key=lambda e: e.at_s,
        )
        for entry in merged:
            missing_tokens -= entry.tokens
            if missing_tokens <= 0:
                left_s = entry.at_s + window_s - now_s
                return max(MIN_DELAY_S, left_s)
        return window_s


def _take(
    entries: Iterable[WindowEntry], tokens: float, since_s: float
) -> float:
    """Take tokens from the oldest entries since a time; return how many."""
    left = tokens
    for entry in entries:
        if left <= 0:
            break
        if entry.at_s >= since_s:
            taken = min(left, entry.tokens)
            entry.tokens -= taken
            left -= taken
    return tokens - left
