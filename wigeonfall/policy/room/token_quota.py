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
What a customer asks beyond its limit, within the published tolerance, is
served from slots that nobody waits for: that takes nothing from other
customers. Half of the tolerance is left for usage that is not known yet, and
instances that do not hear each other divide the other half.
A refused caller is told when there will be tokens again. They are reserved for
it around that time, weighted by the share of callers that lately did retry,
and only if the caller would still retry that late.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import copy

import attrs

from ...model.routing import KeyHolder
from .usage_window import CustomerUsage
from .usage_window import MIN_DELAY_S
from .usage_window import UsageWindow

WINDOW_S = 8.0  # unless the settings say otherwise
TOLERANCE_SHARE = 0.5  # the rest is for usage that is not known yet


@attrs.frozen
class QuotaTerms:
    """How the operators measure the limits.

    Attributes:
        window_s: length of the window in which tokens are counted.
        overage: share by which a limit may be exceeded in a window.
        slack_tokens: tokens by which it may be exceeded besides.
    """

    window_s: float = WINDOW_S
    overage: float = 0.0
    slack_tokens: float = 0.0

    def tolerance_tokens(self, limit_tokens: float) -> float:
        """Return the tokens that may exceed a limit."""
        return self.overage * limit_tokens + self.slack_tokens


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
        heard_share: share of the known instances, this one included, that
            are heard.
    """

    names: Collection[str] = frozenset()
    young_share: float = 0.0
    limit_share: float = 1.0
    heard_share: float = 1.0

    @property
    def tolerance_share(self) -> float:
        """Share of the tolerance that may be used on this side."""
        known = self.limit_share * self.heard_share * (1.0 - self.young_share)
        return TOLERANCE_SHARE * known


@attrs.frozen
class Charge:
    """Tokens that a request takes from its customer's limit.

    Attributes:
        customer: name of the customer.
        tokens: number of tokens.
        is_retry: whether its caller was refused before.
        most_wait_s: longest delay after which its caller retries.
        has_room: whether it would take a slot that nobody waits for.
    """

    customer: str
    tokens: float
    is_retry: bool
    most_wait_s: float = WINDOW_S
    has_room: bool = False


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
        terms: returns how the operators measure the limits.
    """

    def __init__(
        self,
        started_s: float = float('-inf'),
        terms: Callable[[], QuotaTerms] = QuotaTerms,
    ) -> None:
        self._started_s = started_s
        self._terms = terms
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
        usage = self._usages.setdefault(customer.name, CustomerUsage())
        return self._take(usage, customer, charge, visibility, now_s)

    def would_refuse(
        self,
        customer: KeyHolder,
        charge: Charge,
        visibility: PeerVisibility,
        now_s: float,
    ) -> OverLimit | None:
        """Return what take would return, without taking anything."""
        if customer.tokens_per_s <= 0:
            return None
        usage = copy.deepcopy(self._usages.get(customer.name, CustomerUsage()))
        return self._take(usage, customer, charge, visibility, now_s)

    def _take(
        self,
        usage: CustomerUsage,
        customer: KeyHolder,
        charge: Charge,
        visibility: PeerVisibility,
        now_s: float,
    ) -> OverLimit | None:
        tokens, is_retry = charge.tokens, charge.is_retry
        terms = self._terms()
        usage.drop_old(visibility.names, terms.window_s, now_s)
        limit = customer.tokens_per_s * terms.window_s + customer.burst_tokens
        usage.set_limit(limit)

        def usable(limit: float) -> float:
            tolerance = terms.tolerance_tokens(limit) if charge.has_room else 0
            share = visibility.tolerance_share
            return limit * visibility.limit_share + tolerance * share

        limit = usable(limit)
        earlier = usage.earlier_tokens()
        if earlier:
            # A window that both limits are used in is bound by the higher one.
            limit = min(limit, usable(usage.earlier_limit_tokens) - earlier)
        unknown_s = max(0.0, self._started_s + terms.window_s - now_s)
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
        oversized = tokens > limit and used + earlier <= 0
        if missing > 0 and not oversized:
            assumed_per_s = customer.tokens_per_s * visibility.young_share
            # Callers that were refused earlier come first.
            missing = used + tokens + usage.expected_tokens() - limit
            delay_s = usage.wait_s(missing, terms.window_s, now_s)
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
            usage.own.drop_old(self._terms().window_s, now_s)
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
