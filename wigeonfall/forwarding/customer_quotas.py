"""Charges the token limits of customers in the table that is in force."""

from collections.abc import Callable
import time

import attrs

from ..model.routing import KeyHolder
from ..policy.room import token_quota
from .cluster_state import ClusterState
from .settings import QuotaSettings
from .topology import Topology


@attrs.frozen
class CustomerQuotas:
    """Charges and refunds tokens of customers.

    Attributes:
        quotas: token limits of all customers.
        cluster_state: what this instance knows of the store.
        topology: its role among its peers.
    """

    quotas: token_quota.TokenQuotas
    cluster_state: ClusterState
    topology: Topology

    def take(
        self, charge: token_quota.Charge, now_s: float
    ) -> token_quota.OverLimit | None:
        """Charge a customer; return its refusal if it is over its limit."""
        holder = self._holder(charge.customer)
        if holder is None:
            return None
        return self.quotas.take(
            holder, charge, self.topology.quota_visibility(now_s), now_s
        )

    def would_refuse(
        self, charge: token_quota.Charge, now_s: float
    ) -> token_quota.OverLimit | None:
        """Return what take would return, without taking anything."""
        holder = self._holder(charge.customer)
        if holder is None:
            return None
        return self.quotas.would_refuse(
            holder, charge, self.topology.quota_visibility(now_s), now_s
        )

    def _holder(self, customer: str) -> KeyHolder | None:
        index = self.cluster_state.routing_index
        return index.by_name.get(customer) if index else None

    def rate_of(self, customer: str) -> float:
        """Return the token rate of a customer, 0 if it has no limit."""
        holder = self._holder(customer)
        return holder.tokens_per_s if holder else 0.0

    def refund(self, customer: str, tokens: float) -> None:
        """Refund the tokens of a request that did not run."""
        self.quotas.refund(customer, tokens, time.monotonic())


def make_terms(
    settings: Callable[[], QuotaSettings],
) -> Callable[[], token_quota.QuotaTerms]:
    """Return a function that returns how limits are measured at present."""

    def terms() -> token_quota.QuotaTerms:
        quota = settings()
        return token_quota.QuotaTerms(
            quota.window_s, quota.overage, quota.slack_tokens
        )

    return terms
