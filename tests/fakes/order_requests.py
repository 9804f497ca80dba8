"""Requests for tests of orders."""

from wigeonfall.model import customer
from wigeonfall.model import request
from wigeonfall.model import service
from wigeonfall.model import tier

TIER = tier.Tier('orders', 0)
CUSTOMER = customer.Customer('norte', 'aa', 'orders', 10, 20)
SERVICE = service.Service('pedidos-app', service.ServiceKind.PLAIN)


def make_request(
    request_id: str,
    key: str,
    deadline_s: float,
    body: bytes = b'{}',
    now_s: float = 0.0,
) -> request.Request:
    """Return a non-idempotent call with a key."""
    return request.Request(
        id=request_id,
        customer=CUSTOMER,
        tier=TIER,
        service=SERVICE,
        method='POST',
        path='/orders',
        headers=(),
        body=body,
        arrived_s=now_s,
        deadline_s=deadline_s,
        idempotency_key=key,
    )
