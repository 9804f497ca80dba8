"""Tests of look-ups in a configuration."""

from wigeonfall.model import configuration
from wigeonfall.model import customer
from wigeonfall.model import service
from wigeonfall.model import tier

CONFIGURATION = configuration.Configuration(
    version=1,
    tiers=(tier.Tier('orders', 0), tier.Tier('batch', 1)),
    customers=(customer.Customer('norte', 'aa', 'orders', 10, 20),),
    services=(
        service.Service('pool', service.ServiceKind.MODEL, ('drafts',)),
    ),
)


def test_lookups_find_by_name_key_and_model() -> None:
    assert CONFIGURATION.tier('batch').rank == 1
    assert CONFIGURATION.customer_by_key('aa').name == 'norte'
    assert CONFIGURATION.service_for_model('drafts').name == 'pool'


def test_lookups_return_none_for_unknown_names() -> None:
    assert CONFIGURATION.tier('none') is None
    assert CONFIGURATION.customer_by_key('none') is None
    assert CONFIGURATION.service('none') is None
    assert CONFIGURATION.service_for_model('none') is None
