"""Accounts for the work outstanding at one target, by tier."""

import attrs

from ..room.grants import HeldGrant
from ..room.grants import PendingRequest
from ..room.grants import PoolLimits


@attrs.define
class WorkAmount:
    """An amount of work: a count of requests and their tokens."""

    requests: int = 0
    tokens: int = 0

    def add(self, tokens: int) -> None:
        """Add one request."""
        self.requests += 1
        self.tokens += tokens

    def remove(self, tokens: int) -> None:
        """Remove one request."""
        self.requests -= 1
        self.tokens -= tokens


@attrs.define
class _GrantAccount:
    held: HeldGrant
    charge_tokens: int
    revoked_s: float | None = None


class TargetAccount:
    """Account of the work outstanding at one target.

    Attributes:
        name: name of the target.
        live: whether it may get new requests.
        version: version that it serves.
        outstanding: work of all grants that are not released.
        reserved: work reserved for waiting requests in this decision.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.live = True
        self.version = ''
        self.outstanding = WorkAmount()
        self.reserved = WorkAmount()
        self._accounts: dict[str, _GrantAccount] = {}
        self._revoked = WorkAmount()
        self._revocable: dict[int, WorkAmount] = {}

    def add(self, held: HeldGrant, limits: PoolLimits) -> None:
        """Add a grant; its tokens count up to the target's limit."""
        charge_tokens = charge(held.cost_tokens, limits)
        self._accounts[held.id] = _GrantAccount(held, charge_tokens)
        self.outstanding.add(charge_tokens)
        if held.revocable:
            work = self._revocable.setdefault(held.rank, WorkAmount())
            work.add(charge_tokens)

    def remove(self, held_id: str) -> None:
        """Remove a grant."""
        account = self._accounts.pop(held_id)
        self.outstanding.remove(account.charge_tokens)
        if account.revoked_s is not None:
            self._revoked.remove(account.charge_tokens)
        elif account.held.revocable:
            self._revocable[account.held.rank].remove(account.charge_tokens)

    def revoke(self, held_id: str, now_s: float) -> None:
        """Mark a grant as revoked but not yet released."""
        account = self._accounts[held_id]
        if account.revoked_s is None:
            self._revocable[account.held.rank].remove(account.charge_tokens)
            self._revoked.add(account.charge_tokens)
        account.revoked_s = now_s

    def revoked_before(self, time_s: float) -> list[HeldGrant]:
        """Return grants revoked before a time and not yet released."""
        if not self._revoked.requests:
            return []
        return [
            a.held
            for a in self._accounts.values()
            if a.revoked_s is not None and a.revoked_s <= time_s
        ]

    def is_eligible(self, pending: PendingRequest) -> bool:
        """Return whether the target may serve a request at all."""
        return (
            self.name not in pending.excluded_targets
            and pending.version in ('', self.version)
        )

    def has_room(self, pending: PendingRequest, limits: PoolLimits) -> bool:
        """Return whether a request fits within the limits now."""
        return self._fits(self.outstanding, pending, limits)

    def accepts_any(self, limits: PoolLimits) -> bool:
        """Return whether the smallest request would fit now."""
        requests = self.outstanding.requests + self.reserved.requests
        tokens = self.outstanding.tokens + self.reserved.tokens
        return (
            requests < limits.outstanding_requests
            and tokens <= limits.outstanding_tokens
        )

    def is_preemptible_by(self, rank: int) -> bool:
        """Return whether grants can be revoked for a tier."""
        return any(
            work.requests
            for other, work in self._revocable.items()
            if other > rank
        )

    def reserve(self, pending: PendingRequest, limits: PoolLimits) -> None:
        """Reserve capacity for a request that waits for this target."""
        self.reserved.add(charge(pending.cost_tokens, limits))

    def fill_ratio(self, pending: PendingRequest, limits: PoolLimits) -> float:
        """Return the utilisation with a request and without lower tiers.

        Returns:
            The larger share of the two limits; a request does not fit if it
            is above 1.
        """
        remaining = self._non_preemptible(pending.rank)
        tokens = remaining.tokens + self.reserved.tokens
        tokens += charge(pending.cost_tokens, limits)
        requests = remaining.requests + self.reserved.requests + 1
        return max(
            requests / limits.outstanding_requests,
            tokens / limits.outstanding_tokens,
        )

    def victims(
        self, pending: PendingRequest, limits: PoolLimits
    ) -> list[HeldGrant]:
        """Return the lower-tier grants to revoke for a request.

        The lowest tier comes first, and the latest grant within it. The list
        is empty if grants that are already revoked free enough capacity, or
        if revoking all lower tiers would not.
        """
        if self.fill_ratio(pending, limits) > 1:
            return []
        remaining = WorkAmount(
            self.outstanding.requests - self._revoked.requests,
            self.outstanding.tokens - self._revoked.tokens,
        )
        chosen: list[HeldGrant] = []
        for account in self._preemptible(pending.rank):
            if self._fits(remaining, pending, limits):
                break
            remaining.remove(account.charge_tokens)
            chosen.append(account.held)
        return chosen

    def _preemptible(self, rank: int) -> list[_GrantAccount]:
        lower = (
            a
            for a in self._accounts.values()
            if a.held.rank > rank and a.held.revocable
        )
        return sorted(
            (a for a in lower if a.revoked_s is None),
            key=lambda a: (-a.held.rank, -a.held.granted_s, a.held.id),
        )

    def _non_preemptible(self, rank: int) -> WorkAmount:
        """Return the work that remains when lower tiers are revoked."""
        remaining = WorkAmount(
            self.outstanding.requests - self._revoked.requests,
            self.outstanding.tokens - self._revoked.tokens,
        )
        for other, work in self._revocable.items():
            if other > rank:
                remaining.requests -= work.requests
                remaining.tokens -= work.tokens
        return remaining

    def _fits(
        self, present: WorkAmount, pending: PendingRequest, limits: PoolLimits
    ) -> bool:
        requests = present.requests + self.reserved.requests + 1
        tokens = present.tokens + self.reserved.tokens
        tokens += charge(pending.cost_tokens, limits)
        return (
            requests <= limits.outstanding_requests
            and tokens <= limits.outstanding_tokens
        )


def charge(cost_tokens: int, limits: PoolLimits) -> int:
    """Return the tokens that count for a request at a target."""
    return min(cost_tokens, limits.outstanding_tokens)
