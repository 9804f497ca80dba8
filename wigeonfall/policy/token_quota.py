"""Token limits of customers, held by all instances together.

Load pattern: one customer sends many times its usual. What is beyond its
limit must not take the room of the others, at whichever instance it arrives.
Each instance keeps the bucket of the whole fleet: it takes out what it admits
and what its peers say that they admitted. The part of the rate that belongs to
peers which are not heard is left to them.
"""

import attrs

from ..model.routing import KeyHolder

OVERDRAFT_SHARE = 0.1  # the published overage of a limit


@attrs.define
class Bucket:
    """The tokens that a customer may still use.

    Attributes:
        tokens: tokens left; below zero after peers took more.
        updated_s: time of the last change, on the monotonic clock.
        taken_tokens: all that this instance ever took.
    """

    tokens: float
    updated_s: float
    taken_tokens: float = 0.0


class TokenQuotas:
    """The buckets of all customers, as one instance sees them."""

    def __init__(self) -> None:
        self._buckets: dict[str, Bucket] = {}
        self._heard: dict[tuple[str, int], dict[str, float]] = {}

    def take(
        self,
        customer: KeyHolder,
        tokens: float,
        heard_share: float,
        now_s: float,
    ) -> float | None:
        """Take tokens for a request.

        Args:
            customer: the customer with its present limit.
            tokens: tokens of the request.
            heard_share: part of the instances that are heard, this included.
            now_s: present time on the monotonic clock.

        Returns:
            None if they were taken, else the seconds until there is room.
        """
        if customer.tokens_per_s <= 0:
            return None
        bucket = self._refill(customer, heard_share, now_s)
        floor = -OVERDRAFT_SHARE * customer.burst_tokens
        missing = tokens + floor - bucket.tokens
        if missing > 0 and bucket.tokens < customer.burst_tokens:
            return missing / (customer.tokens_per_s * heard_share)
        bucket.tokens -= tokens
        bucket.taken_tokens += tokens
        return None

    def give_back(self, customer: str, tokens: float) -> None:
        """Return the tokens of a request that did not run."""
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.tokens += tokens
            bucket.taken_tokens -= tokens

    def taken(self) -> dict[str, float]:
        """Return what this instance took so far, by customer."""
        return {
            name: round(bucket.taken_tokens)
            for name, bucket in self._buckets.items()
            if bucket.taken_tokens
        }

    def hear(
        self, peer: str, incarnation: int, taken: dict[str, float]
    ) -> None:
        """Take out what a peer admitted since it was last heard."""
        before = self._heard.get((peer, incarnation))
        if before is None:
            self._heard = {
                key: value
                for key, value in self._heard.items()
                if key[0] != peer
            }
            before = {}
        for name, total in taken.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.tokens -= total - before.get(name, 0.0)
        self._heard[peer, incarnation] = taken

    def _refill(
        self, customer: KeyHolder, heard_share: float, now_s: float
    ) -> Bucket:
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = Bucket(customer.burst_tokens, now_s)
            self._buckets[customer.name] = bucket
        elapsed_s = max(0.0, now_s - bucket.updated_s)
        grown = bucket.tokens + (
            elapsed_s * customer.tokens_per_s * heard_share
        )
        bucket.tokens = min(customer.burst_tokens, grown)
        bucket.updated_s = now_s
        return bucket
