"""Token limits of customers, enforced over all instances together.

Load pattern: one customer sends many times its usual load. The excess must not
take capacity from other customers, whichever instance it arrives at. A limit
bounds the tokens in any sliding window: the rate times the window, plus the
burst. Each instance counts what it admitted and what its peers report. A peer
that stops reporting is assumed to go on as before. Where one instance admits
for all others, a data centre that it cannot hear is assumed to use its share
of each limit.
Instances that have just started do not know what was admitted before: as long
as no instance does, each customer is assumed to have used its rate.
A refused caller is told when there will be tokens again. They are reserved for
it around that time, weighted by the share of callers that lately did retry,
and only if the caller would still retry that late.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import heapq

import attrs

from ..model.routing import KeyHolder

WINDOW_S = 8.0  # length of the published window
BIN_S = 0.1  # tokens within this time share an entry of the window
MIN_DELAY_S = 0.2
RESERVED_BEFORE_S = 0.5  # a reservation starts this long before the retry
RESERVED_AFTER_S = 0.5  # and ends this long after it
RETRY_GAIN = 0.05  # weight of one caller in the share that retries
INITIAL_RETRY_SHARE = 1.0  # until some callers did not retry


@attrs.define
class WindowEntry:
    """Tokens admitted within BIN_S.

    Attributes:
        from_s: time of the first admission, on the monotonic clock.
        at_s: time of the last admission.
        tokens: sum of the tokens; negative if more were refunded.
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
        used_tokens: tokens in the window.
        entries: admitted tokens, oldest first.
        total_tokens: tokens admitted since the instance started.
    """

    used_tokens: float = 0.0
    entries: collections.deque[WindowEntry] = attrs.field(
        factory=collections.deque
    )
    total_tokens: float = 0.0

    def add(self, tokens: float, now_s: float) -> None:
        """Count admitted tokens, or refunded ones if negative."""
        self.total_tokens += tokens
        self.used_tokens += tokens
        if self.entries and now_s - self.entries[-1].from_s < BIN_S:
            # The entry must not leave the window before its last tokens.
            self.entries[-1].at_s = now_s
            self.entries[-1].tokens += tokens
        else:
            self.entries.append(WindowEntry(now_s, now_s, tokens))

    def drop_old(self, now_s: float) -> None:
        """Drop the entries that are older than the window."""
        while self.entries and self.entries[0].at_s <= now_s - WINDOW_S:
            self.used_tokens -= self.entries.popleft().tokens

    def clear(self) -> None:
        """Drop all entries."""
        self.entries.clear()
        self.used_tokens = 0.0


@attrs.define
class CustomerUsage:
    """Tokens that all instances admitted lately for a customer.

    Attributes:
        limit_tokens: most tokens in a window, as last configured.
        own: tokens admitted by this instance.
        peers: tokens admitted by peers, by their names.
        reservations: tokens reserved for refused callers.
        retry_share: share of these callers that lately did retry.
    """

    limit_tokens: float = 0.0
    own: UsageWindow = attrs.field(factory=UsageWindow)
    peers: dict[str, UsageWindow] = attrs.field(factory=dict)
    reservations: list[Reservation] = attrs.field(factory=list)
    retry_share: float = INITIAL_RETRY_SHARE

    def used_tokens(self) -> float:
        """Return the tokens in the windows of all instances."""
        peers = sum(window.used_tokens for window in self.peers.values())
        return self.own.used_tokens + peers

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
        """Set the limit; a lower one starts with empty windows."""
        if limit_tokens < self.limit_tokens:
            # What was admitted under the old limit does not count.
            for window in (self.own, *self.peers.values()):
                window.clear()
        self.limit_tokens = limit_tokens

    def drop_old(self, heard: Collection[str], now_s: float) -> None:
        """Drop old entries, except those of peers that are not heard."""
        self.own.drop_old(now_s)
        for name, window in self.peers.items():
            if name in heard:
                window.drop_old(now_s)
        kept = [p for p in self.reservations if p.until_s > now_s]
        for _ in range(len(self.reservations) - len(kept)):
            self.retry_share -= RETRY_GAIN * self.retry_share
        self.reservations = kept

    def wait_s(self, missing_tokens: float, now_s: float) -> float:
        """Return the time until that many tokens leave the windows."""
        windows = (self.own, *self.peers.values())
        merged = heapq.merge(
            *(window.entries for window in windows), key=lambda e: e.at_s
        )
        for entry in merged:
            missing_tokens -= entry.tokens
            if missing_tokens <= 0:
                left_s = entry.at_s + WINDOW_S - now_s
                return max(MIN_DELAY_S, left_s)
        return WINDOW_S


@attrs.frozen
class PeerUsage:
    """Tokens that an instance reports as admitted, by customer.

    Attributes:
        incarnation: number that distinguishes its starts.
        taken: all tokens since it started.
        used: tokens in its last window.
    """

    incarnation: int
    taken: Mapping[str, float]
    used: Mapping[str, float]


@attrs.frozen
class PeerVisibility:
    """Which peers an instance hears.

    Attributes:
        names: names of the peers that are heard.
        young_share: share of the instances, this one included, that
            started within the last window.
        limit_share: share of a limit that may be used on this side of a
            network partition.
    """

    names: Collection[str] = frozenset()
    young_share: float = 0.0
    limit_share: float = 1.0


@attrs.frozen
class Charge:
    """Tokens that a request takes from its customer's limit.

    Attributes:
        customer: name of the customer.
        tokens: number of tokens.
        is_retry: whether its caller was refused before.
        most_wait_s: longest delay after which its caller retries.
    """

    customer: str
    tokens: float
    is_retry: bool
    most_wait_s: float = WINDOW_S


@attrs.frozen
class OverLimit:
    """Refusal of a request whose customer is over its limit.

    Attributes:
        delay_s: time until there are enough tokens.
        used_tokens: tokens in the window.
        limit_tokens: most tokens in a window.
    """

    delay_s: float
    used_tokens: float
    limit_tokens: float


class TokenQuotas:
    """Token limits of all customers, as one instance enforces them.

    Args:
        started_s: when the process started, on the monotonic clock.
    """

    def __init__(self, started_s: float = float('-inf')) -> None:
        self._started_s = started_s
        self._usages: dict[str, CustomerUsage] = {}
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
            charge: tokens of the request.
            visibility: which peers are heard.
            now_s: present time on the monotonic clock.

        Returns:
            None if the tokens were taken, else the refusal.
        """
        if customer.tokens_per_s <= 0:
            return None
        tokens, is_retry = charge.tokens, charge.is_retry
        usage = self._usages.setdefault(customer.name, CustomerUsage())
        limit = customer.tokens_per_s * WINDOW_S + customer.burst_tokens
        usage.set_limit(limit)
        limit *= visibility.limit_share
        usage.drop_old(visibility.names, now_s)
        unknown_s = max(0.0, self._started_s + WINDOW_S - now_s)
        unknown_tokens = (
            customer.tokens_per_s * unknown_s * visibility.young_share
        )
        used = usage.used_tokens() + unknown_tokens
        missing = used + tokens - limit
        if is_retry:
            usage.retried()
        else:
            missing += usage.reserved_tokens(now_s)
        # A request above the whole limit is admitted to an empty window.
        oversized = tokens > limit and used <= 0
        if missing > 0 and not oversized:
            assumed_per_s = customer.tokens_per_s * visibility.young_share
            # Callers that were refused earlier come first.
            missing = used + tokens + usage.expected_tokens() - limit
            delay_s = usage.wait_s(missing, now_s)
            if unknown_tokens:
                delay_s = min(
                    delay_s, max(MIN_DELAY_S, missing / assumed_per_s)
                )
            if not is_retry and delay_s <= charge.most_wait_s:
                usage.reserve(tokens, delay_s, now_s)
            return OverLimit(delay_s, used, limit)
        usage.own.add(tokens, now_s)
        return None

    def refund(self, customer: str, tokens: float, now_s: float) -> None:
        """Give back the tokens of a request that did not run."""
        usage = self._usages.get(customer)
        if usage is not None:
            usage.own.add(-tokens, now_s)

    def taken(self) -> dict[str, float]:
        """Return the tokens that this instance ever admitted, by customer."""
        return {
            name: round(usage.own.total_tokens)
            for name, usage in self._usages.items()
            if usage.own.total_tokens
        }

    def used(self, now_s: float) -> dict[str, float]:
        """Return the tokens in this instance's windows, by customer."""
        used: dict[str, float] = {}
        for name, usage in self._usages.items():
            usage.own.drop_old(now_s)
            if usage.own.used_tokens:
                used[name] = round(usage.own.used_tokens)
        return used

    def set_peer_usage(
        self, peer: str, report: PeerUsage, now_s: float
    ) -> None:
        """Count what a peer admitted since its last report.

        Args:
            peer: name of the peer.
            report: its report.
            now_s: present time on the monotonic clock.
        """
        restarted = self._incarnations.get(peer) != report.incarnation
        self._incarnations[peer] = report.incarnation
        for name, total in report.taken.items():
            usage = self._usages.setdefault(name, CustomerUsage())
            window = usage.peers.setdefault(peer, UsageWindow())
            new = (
                report.used.get(name, 0.0)
                if restarted
                else (total - window.total_tokens)
            )
            if new:
                window.add(new, now_s)
            window.total_tokens = total

    def keep_peers(self, known: Iterable[str]) -> None:
        """Drop the windows of all peers but the known ones."""
        names = frozenset(known)
        for usage in self._usages.values():
            for name in tuple(usage.peers):
                if name not in names:
                    del usage.peers[name]
